// Finds out which software version began a stream that a caller resumes.
//
//     StreamResolver resolver(settings, outlets);
//     resolver.resolve(stream, service, now, [](const StreamResolution& resolution) { ... });
//     resolver.handle(answer, now);
//     resolver.tick(now);
//
// The hosts that hold the stream's record are asked, and asked again where their answer is lost. The first record decides. Without one,
// the stream is known only if its service has had a single version. A host that was cut off or stood still may have missed a newer one,
// and so may several at once, so a majority of the hosts must have answered, and none of them may know another version.
#pragma once

#include "base/Time.h"
#include "streams/StreamMessages.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace jj {

struct ResolverSettings {
    // The first of the hosts that may hold the record: their answers are awaited, as are those of the watchers.
    std::size_t awaitedReplicas_ = 3;
    // In a large fleet so many answers, this host's included, stand for a majority: over half of the hosts that may be asked, which are spread
    // evenly over the failure domains.
    std::size_t maxQuorum_ = 12;
    // Hosts that are asked at first beyond a quorum. All are asked with the second try, since membership may not have noticed yet that some
    // are down.
    std::size_t spareHosts_ = 1;
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
    NoQuorum, // one version, but too few hosts answered to be certain of it
    Contradicted, // hosts have reported different versions
};
std::string_view nameOf(ResolutionKind kind);

struct StreamResolution {
    ResolutionKind kind_ = ResolutionKind::Unknown;
    ServiceId service_; // valid if the version is known
    SoftwareVersionId version_; // none: the stream can't go on
    std::size_t answers_ = 0; // of other hosts
    std::size_t otherHosts_ = 0; // that are known
};

struct HostCounts {
    std::size_t known_ = 0; // live or not
    std::size_t live_ = 0;
};

struct ResolverOutlets {
    NodeId self_;
    // Returns hosts that may hold the stream's record, the most probable first, and this host possibly among them. They are live, in as many
    // failure domains as possible.
    std::function<std::vector<NodeId>(StreamId)> replicasOf_;
    // Returns the hosts that watch the store, which receive changes of engines first.
    std::function<std::vector<NodeId>()> watchers_;
    std::function<HostCounts()> countOthers_;
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
        // Without a record, the query doesn't end before these have answered.
        std::vector<NodeId> awaited_; // of the hosts that may hold the record
        std::vector<NodeId> watchers_; // none of awaited_ and others_
        std::vector<NodeId> others_; // further hosts that may hold the record, and haven't answered
        std::size_t answers_ = 0; // of other hosts
        std::size_t quorumAnswers_ = 0; // of those, without watchers_: they aren't spread over the failure domains
        SoftwareVersionId soleVersion_; // as this host or another one states it; none: none has stated it
        SoftwareVersionId seenVersion_; // by this host or another one; none: none has seen one
        bool isSoleVersionRefuted_ = false; // a host knows of several versions, or of another one
        TimePoint askedAt_ {};
        TimePoint until_ {};
        Done done_;
    };

    void ask(std::uint32_t number, bool isFirstTry);
    static void noteVersions(Pending& pending, const StreamAnswer& answer);
    // Returns whether so many hosts have answered that one that is in step is among them, as long as those out of step are a minority.
    bool hasQuorum(const Pending& pending) const { return pending.quorumAnswers_ + 1 >= quorum(); }
    // Returns the number of answers that are needed, this host's included.
    std::size_t quorum() const;
    // Returns whether the query ends without a record.
    bool isDecided(const Pending& pending) const;
    StreamResolution withoutRecord(const Pending& pending) const;
    static StreamResolution fromRecord(const StreamRecord& record);
    void finish(std::uint32_t number, const StreamResolution& resolution);

    ResolverSettings settings_;
    ResolverOutlets outlets_;
    std::map<std::uint32_t, Pending> pending_; // by number of the query
    std::uint32_t nextNumber_ = 1;
};

} // namespace jj
