// Records are sent once, without acknowledgement: three hosts receive each.
#include "StreamVersions.h"

#include <algorithm>
#include <map>

namespace jj {

namespace {

    // A stream can be resumed for as long as its caller waits, counted from its last recorded attempt, and no longer than this.
    constexpr Duration maxStreamLifetime = 300s;
    // Other hosts learn within this time that an engine has left, unless they are cut off.
    constexpr Duration engineRemovalMargin = 5s;
    // At most 2 MB.
    constexpr std::size_t maxRecords = 20'000;
    constexpr std::size_t replicas = 3;
    constexpr std::size_t maxHostsAsked = 20; // about the version of one stream, besides the watchers
    constexpr std::size_t maxWatchersAsked = 8; // there are two a region, but many for a moment after a start or an outage of the store
    // A host that is down counts among those of which a majority must answer for so long: it may have been replaced by one with another name.
    constexpr Duration downHostCounts = 600s;
    constexpr std::size_t maxRecordsPerDatagram = 40;
    constexpr Duration refreshPeriod = 100ms;
    // A longer gap between two ticks means that the process was paused and may have missed changes of engines.
    constexpr Duration pauseThreshold = 1s;

} // namespace

StreamVersions::StreamVersions(Fleet& fleet)
    : fleet_(fleet)
    , history_(engineRemovalMargin, maxStreamLifetime)
    , table_(maxStreamLifetime, maxRecords)
    , resolver_({}, outlets())
{
}

ResolverOutlets StreamVersions::outlets()
{
    ResolverOutlets outlets;
    outlets.self_ = fleet_.self();
    outlets.replicasOf_ = [this](StreamId stream) { return chooseReplicas(stream.value(), candidates_, maxHostsAsked); };
    outlets.watchers_ = [this] {
        std::vector<NodeId> watchers;
        for (const Peer& peer : fleet_.peers()) {
            if (peer.isLive() && peer.watching_ && watchers.size() < maxWatchersAsked)
                watchers.push_back(peer.node_);
        }
        return watchers;
    };
    outlets.countOthers_ = [this] {
        const TimePoint now = SystemClock().now();
        HostCounts counts;
        for (const Peer& peer : fleet_.peers()) {
            const bool isKnown = peer.isLive() || (peer.state_ != MemberState::Left && now - peer.downSince_ < downHostCounts);
            counts.known_ += isKnown ? 1 : 0;
            counts.live_ += peer.isLive() ? 1 : 0;
        }
        return counts;
    };
    outlets.ownAnswer_ = [this](const StreamQuery& query) { return answer(query, SystemClock().now()); };
    outlets.send_ = [this](NodeId to, const StreamQuery& query) { fleet_.send(to, query); };
    return outlets;
}

void StreamVersions::setEngine(const EngineEntry& engine, TimePoint now)
{
    const auto service = idFromName<ServiceId>(engine.service_);
    if (history_.addEngine(engine.id_, service, engine.softwareVersion_.id(), now))
        sendRecordsOf(service);
}

void StreamVersions::setTable(const RouteTable& table)
{
    for (const Route& route : table.routes()) {
        if (route.kind_ != RouteKind::Streaming)
            continue;
        for (const RouteTarget& target : route.targets_)
            history_.noteCallerDeadline(idFromName<ServiceId>(target.service_), route.timeout_);
    }
}

void StreamVersions::record(const StreamRecord& record, TimePoint now)
{
    if (record.stream_.isNone())
        return;
    table_.put(record, now);
    if (history_.soleVersion(record.service_, now) == record.version_)
        return;
    for (const NodeId node : replicasOf(record.stream_)) {
        if (node != fleet_.self())
            fleet_.send(node, StreamRecords { { record } });
    }
}

void StreamVersions::sendRecordsOf(ServiceId service)
{
    std::map<NodeId, std::vector<StreamRecord>> byNode;
    table_.forEachOf(service, [&](const StreamRecord& record) {
        for (const NodeId node : replicasOf(record.stream_))
            byNode[node].push_back(record);
    });
    byNode.erase(fleet_.self());
    for (const auto& [node, records] : byNode) {
        for (std::size_t first = 0; first < records.size(); first += maxRecordsPerDatagram) {
            const std::size_t end = std::min(records.size(), first + maxRecordsPerDatagram);
            fleet_.send(node, StreamRecords { { records.begin() + static_cast<std::ptrdiff_t>(first), records.begin() + static_cast<std::ptrdiff_t>(end) } });
        }
    }
}

StreamAnswer StreamVersions::answer(const StreamQuery& query, TimePoint now) const
{
    StreamAnswer answer;
    answer.from_ = fleet_.self();
    answer.number_ = query.number_;
    answer.record_.stream_ = query.stream_;
    if (const StreamRecord* record = table_.find(query.stream_, now)) {
        answer.isRecorded_ = true;
        answer.record_ = *record;
    }
    answer.soleVersion_ = history_.soleVersion(query.service_, now);
    answer.hasSeveralVersions_ = history_.hasSeveralVersions(query.service_, now);
    answer.seenVersion_ = history_.seenVersion(query.service_, now);
    return answer;
}

void StreamVersions::handle(const PeerDatagram& message, TimePoint now)
{
    if (const auto* records = std::get_if<StreamRecords>(&message)) {
        for (const StreamRecord& record : records->records_)
            table_.put(record, now);
    } else if (const auto* query = std::get_if<StreamQuery>(&message)) {
        fleet_.send(query->from_, answer(*query, now));
    } else if (const auto* reply = std::get_if<StreamAnswer>(&message)) {
        resolver_.handle(*reply);
    }
}

void StreamVersions::tick(TimePoint now)
{
    if (tickedAt_ != TimePoint() && now - tickedAt_ > pauseThreshold)
        history_.restart(now);
    tickedAt_ = now;
    resolver_.tick(now);
    if (now - refreshedAt_ < refreshPeriod)
        return;
    refreshedAt_ = now;
    table_.expire(now);
    candidates_.clear();
    if (!fleet_.isLeaving())
        candidates_.push_back({ fleet_.self(), fleet_.domain() });
    for (const Peer& peer : fleet_.peers()) {
        if (peer.isLive() && !peer.leaving_)
            candidates_.push_back({ peer.node_, peer.domain_ });
    }
}

std::vector<NodeId> StreamVersions::replicasOf(StreamId stream) const { return chooseReplicas(stream.value(), candidates_, replicas); }

} // namespace jj
