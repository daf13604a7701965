// Finds out which software version began a stream that a caller resumes.
//
//     StreamResolver resolver(settings, outlets);
//     resolver.resolve(stream, service, now, [](const StreamResolution& resolution) { ... });
//     resolver.handle(answer, now);
//     resolver.tick(now);
//
// The hosts that hold the stream's record are asked, and asked again where their answer is lost. The first record decides. Without one,
// the stream is known only if its service has had a single version, and at least one other host must have answered: a host that is cut off
// may not know of a newer version.
#pragma once

#include "base/Time.h"
#include "streams/StreamMessages.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace jj {

struct ResolverSettings {
    // Hosts that are asked at first. The others are asked with the second try, since membership may not have noticed yet that some are down.
    std::size_t askedAtFirst_ = 3;
    // Another region answers within 30 ms.
    Duration retryAfter_ = std::chrono::milliseconds(60);
    // Then the request is refused. Its caller can still ask another host.
    Duration timeout_ = std::chrono::milliseconds(200);
};

enum class ResolutionKind : std::uint8_t {
    Recorded, // a host holds the stream's record
    SoleVersion, // no record; the service has had one version for as long as streams can be resumed
    Unknown, // the hosts that answered hold no record, and the service has had several versions
    Unreachable, // no other host answered
    Contradicted, // hosts have reported different versions
};
std::string_view nameOf(ResolutionKind kind);

struct StreamResolution {
    ResolutionKind kind_ = ResolutionKind::Unknown;
    ServiceId service_; // valid if the version is known
    SoftwareVersionId version_; // none: the stream can't go on
};

struct ResolverOutlets {
    NodeId self_;
    // Returns hosts that may hold the stream's record, the most probable first, and this host possibly among them.
    std::function<std::vector<NodeId>(StreamId)> replicasOf_;
    // Whether other hosts are known, live or not.
    std::function<bool()> areThereOthers_;
    // What this host knows itself.
    std::function<StreamAnswer(const StreamQuery&)> ownAnswer_;
    std::function<void(NodeId to, const StreamQuery&)> send_;
};

class StreamResolver {
public:
    using Done = std::function<void(const StreamResolution&)>;

    StreamResolver(ResolverSettings settings, ResolverOutlets outlets)
        : settings_(settings)
        , outlets_(std::move(outlets))
    {
    }

    // Calls `done` once: at once if this host holds the record, else after other hosts have answered or the timeout has passed.
    void resolve(StreamId stream, ServiceId service, TimePoint now, Done done);
    void handle(const StreamAnswer& answer);
    void tick(TimePoint now);
    std::size_t pending() const { return pending_.size(); }

private:
    struct Pending {
        StreamQuery query_;
        std::vector<NodeId> unanswered_; // of those that were asked at first
        std::vector<NodeId> others_; // that are asked with the second try, and haven't answered
        bool isAnswered_ = false; // by another host
        SoftwareVersionId soleVersion_; // as this host or another one states it; none: none has stated it
        bool isSoleVersionRefuted_ = false; // a host knows of several versions, or of another one
        TimePoint askedAt_ {};
        TimePoint until_ {};
        Done done_;
    };

    void ask(std::uint32_t number, bool isFirstTry);
    static void noteSoleVersion(Pending& pending, const StreamAnswer& answer);
    StreamResolution withoutRecord(const Pending& pending) const;
    static StreamResolution fromRecord(const StreamRecord& record);
    void finish(std::uint32_t number, const StreamResolution& resolution);

    ResolverSettings settings_;
    ResolverOutlets outlets_;
    std::map<std::uint32_t, Pending> pending_; // by number of the query
    std::uint32_t nextNumber_ = 1;
};

} // namespace jj
