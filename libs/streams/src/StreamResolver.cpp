// A query ends with the first record, with the answers that decide without one, or at its timeout.
#include "streams/StreamResolver.h"

#include <algorithm>

namespace jj {

std::string_view nameOf(ResolutionKind kind)
{
    static constexpr std::string_view names[] = { "recorded", "soleVersion", "unknown", "unreachable", "noQuorum", "contradicted" };
    return names[static_cast<std::size_t>(kind)];
}

StreamResolution StreamResolver::fromRecord(const StreamRecord& record)
{
    if (record.version_.isNone())
        return { ResolutionKind::Contradicted, record.service_, {}, 0, 0 };
    return { ResolutionKind::Recorded, record.service_, record.version_, 0, 0 };
}

void StreamResolver::resolve(StreamId stream, ServiceId service, TimePoint now, Done done)
{
    const StreamQuery query { outlets_.self_, nextNumber_++, stream, service };
    const StreamAnswer own = outlets_.ownAnswer_(query);
    if (own.isRecorded_)
        return done(fromRecord(own.record_));
    Pending pending;
    pending.query_ = query;
    pending.askedAt_ = now;
    pending.until_ = now + settings_.timeout_;
    pending.done_ = std::move(done);
    noteVersions(pending, own);
    for (const NodeId host : outlets_.replicasOf_(stream)) {
        if (host != outlets_.self_)
            (pending.awaited_.size() < settings_.awaitedReplicas_ ? pending.awaited_ : pending.others_).push_back(host);
    }
    for (const NodeId host : outlets_.watchers_()) {
        const bool isAwaited = std::find(pending.awaited_.begin(), pending.awaited_.end(), host) != pending.awaited_.end();
        if (host == outlets_.self_ || isAwaited)
            continue;
        (std::erase(pending.others_, host) > 0 ? pending.awaited_ : pending.watchers_).push_back(host);
    }
    if (isDecided(pending))
        return pending.done_(withoutRecord(pending));
    pending_.emplace(query.number_, std::move(pending));
    ask(query.number_, true);
}

// An answer may arrive within a call, and end the query.
void StreamResolver::ask(std::uint32_t number, bool isFirstTry)
{
    const Pending& pending = pending_.at(number);
    const StreamQuery query = pending.query_;
    std::vector<NodeId> hosts = pending.awaited_;
    const std::size_t wanted = isFirstTry ? quorum() + settings_.spareHosts_ : hosts.size() + pending.others_.size();
    const std::size_t missing = wanted - std::min(wanted, hosts.size());
    const auto end = pending.others_.begin() + static_cast<std::ptrdiff_t>(std::min(missing, pending.others_.size()));
    hosts.insert(hosts.end(), pending.others_.begin(), end);
    hosts.insert(hosts.end(), pending.watchers_.begin(), pending.watchers_.end());
    for (const NodeId host : hosts)
        outlets_.send_(host, query);
}

void StreamResolver::noteVersions(Pending& pending, const StreamAnswer& answer)
{
    const auto note = [&pending](SoftwareVersionId& known, SoftwareVersionId version) {
        pending.isSoleVersionRefuted_ = pending.isSoleVersionRefuted_ || (!version.isNone() && !known.isNone() && known != version);
        known = version.isNone() ? known : version;
    };
    pending.isSoleVersionRefuted_ = pending.isSoleVersionRefuted_ || answer.hasSeveralVersions_;
    note(pending.seenVersion_, answer.seenVersion_);
    note(pending.soleVersion_, answer.soleVersion_);
}

// On a host that is cut off together with many others, membership declares the rest dead after a while, and all queries go to hosts that are
// cut off as well. A fixed number of their answers would prove nothing.
std::size_t StreamResolver::quorum() const
{
    const HostCounts others = outlets_.countOthers_();
    const std::size_t majority = (others.known_ + 1) / 2 + 1;
    const bool isMajorityLive = others.live_ + 1 >= majority;
    return isMajorityLive ? std::min(majority, settings_.maxQuorum_) : majority;
}

bool StreamResolver::isDecided(const Pending& pending) const
{
    return pending.awaited_.empty() && pending.watchers_.empty() && (pending.others_.empty() || pending.isSoleVersionRefuted_ || hasQuorum(pending));
}

StreamResolution StreamResolver::withoutRecord(const Pending& pending) const
{
    StreamResolution resolution;
    resolution.answers_ = pending.answers_;
    resolution.otherHosts_ = outlets_.countOthers_().known_;
    if (pending.answers_ == 0 && resolution.otherHosts_ > 0) {
        resolution.kind_ = ResolutionKind::Unreachable;
    } else if (pending.soleVersion_.isNone() || pending.isSoleVersionRefuted_) {
        resolution.kind_ = ResolutionKind::Unknown;
    } else if (!hasQuorum(pending)) {
        resolution.kind_ = ResolutionKind::NoQuorum;
    } else {
        resolution.kind_ = ResolutionKind::SoleVersion;
        resolution.service_ = pending.query_.service_;
        resolution.version_ = pending.soleVersion_;
    }
    return resolution;
}

void StreamResolver::handle(const StreamAnswer& answer)
{
    const auto found = pending_.find(answer.number_);
    if (found == pending_.end() || found->second.query_.stream_ != answer.record_.stream_)
        return;
    Pending& pending = found->second;
    const std::size_t counted = std::erase(pending.awaited_, answer.from_) + std::erase(pending.others_, answer.from_);
    const std::size_t uncounted = std::erase(pending.watchers_, answer.from_);
    if (counted + uncounted == 0)
        return;
    ++pending.answers_;
    pending.quorumAnswers_ += counted;
    if (answer.isRecorded_)
        return finish(answer.number_, fromRecord(answer.record_));
    noteVersions(pending, answer);
    if (isDecided(pending))
        finish(answer.number_, withoutRecord(pending));
}

void StreamResolver::tick(TimePoint now)
{
    std::vector<std::uint32_t> expired;
    std::vector<std::uint32_t> askedAgain;
    for (auto& [number, pending] : pending_) {
        if (now >= pending.until_) {
            expired.push_back(number);
        } else if (now - pending.askedAt_ >= settings_.retryAfter_) {
            pending.askedAt_ = now;
            askedAgain.push_back(number);
        }
    }
    for (const std::uint32_t number : askedAgain)
        ask(number, false);
    for (const std::uint32_t number : expired)
        finish(number, withoutRecord(pending_.at(number)));
}

void StreamResolver::finish(std::uint32_t number, const StreamResolution& resolution)
{
    const Done done = std::move(pending_.at(number).done_);
    pending_.erase(number);
    done(resolution);
}

} // namespace jj
