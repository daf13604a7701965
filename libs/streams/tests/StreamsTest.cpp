// Tests which software version a stream belongs to, over the hosts that hold its record.
#include "base/Hash.h"
#include "membership/Replicas.h"
#include "streams/StreamResolver.h"
#include "streams/StreamTable.h"
#include "streams/VersionHistory.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace jj;

namespace {

constexpr Duration lifetime = 60s;
constexpr Duration margin = 5s;
constexpr Duration deadline = 55s;
constexpr ServiceId service { 3 };
const SoftwareVersionId v1 = SoftwareVersion("v1").id();
const SoftwareVersionId v2 = SoftwareVersion("v2").id();

TimePoint at(Duration time) { return TimePoint(100s) + time; }

// Hosts that hold records and resolve streams, with messages that arrive at once unless their receiver is cut off.
class StreamFleet {
public:
    explicit StreamFleet(std::size_t domains, std::size_t hostsPerDomain)
    {
        for (std::uint64_t number = 1; number <= domains * hostsPerDomain; ++number)
            hosts_.push_back(std::make_unique<Host>(*this, NodeId(number), FailureDomainId(static_cast<std::uint32_t>(number % domains))));
        for (const auto& host : hosts_)
            host->history_.noteCallerDeadline(service, deadline);
    }

    struct Host {
        Host(StreamFleet& fleet, NodeId node, FailureDomainId domain)
            : node_(node)
            , domain_(domain)
            , resolver_({}, outlets(fleet))
        {
        }

        ResolverOutlets outlets(StreamFleet& fleet)
        {
            ResolverOutlets outlets;
            outlets.self_ = node_;
            outlets.replicasOf_ = [&fleet](StreamId stream) { return fleet.replicasOf(stream); };
            outlets.watchers_ = [&fleet] { return fleet.watchers_; };
            outlets.countOthers_ = [&fleet] {
                const auto live = std::count_if(fleet.hosts_.begin(), fleet.hosts_.end(), [](const auto& host) { return !host->isDown_; });
                return HostCounts { fleet.hosts_.size() - 1, static_cast<std::size_t>(std::max<std::ptrdiff_t>(live - 1, 0)) };
            };
            outlets.ownAnswer_ = [this, &fleet](const StreamQuery& query) { return answer(query, fleet.now_); };
            outlets.send_ = [this, &fleet](NodeId to, const StreamQuery& query) { fleet.deliver(to, query, *this); };
            return outlets;
        }

        StreamAnswer answer(const StreamQuery& query, TimePoint now) const
        {
            StreamAnswer answer { node_, query.number_, false, { query.stream_, {}, {} }, history_.soleVersion(query.service_, now), history_.hasSeveralVersions(query.service_, now), history_.seenVersion(query.service_, now) };
            if (const StreamRecord* record = table_.find(query.stream_, now)) {
                answer.isRecorded_ = true;
                answer.record_ = *record;
            }
            return answer;
        }

        NodeId node_;
        FailureDomainId domain_;
        bool isDown_ = false;
        StreamTable table_ { lifetime, 1000 };
        VersionHistory history_ { margin, 300s };
        StreamResolver resolver_;
    };

    std::vector<NodeId> replicasOf(StreamId stream) const
    {
        std::vector<ReplicaCandidate> candidates;
        for (const auto& host : hosts_) {
            if (!host->isDown_)
                candidates.push_back({ host->node_, host->domain_ });
        }
        return chooseReplicas(stream.value(), candidates, 20);
    }

    void record(const StreamRecord& record)
    {
        std::vector<NodeId> replicas = replicasOf(record.stream_);
        replicas.resize(3);
        for (const NodeId node : replicas)
            host(node).table_.put(record, now_);
    }

    void deliver(NodeId to, const StreamQuery& query, Host& from)
    {
        ++queries_;
        if (host(to).isDown_ || from.isDown_ || silent_.contains(to) || queries_ <= lostQueries_)
            return;
        from.resolver_.handle(host(to).answer(query, now_));
    }

    // The hosts of a failure domain lose what they hold. Others notice it if `isNoticed`.
    void kill(FailureDomainId domain, bool isNoticed)
    {
        for (const auto& host : hosts_) {
            if (host->domain_ != domain)
                continue;
            host->table_ = StreamTable(lifetime, 1000);
            host->isDown_ = isNoticed;
        }
    }

    StreamResolution resolveAt(NodeId node, StreamId stream)
    {
        StreamResolution found { ResolutionKind::Unreachable, {}, {} };
        bool isDone = false;
        host(node).resolver_.resolve(stream, service, now_, [&](const StreamResolution& resolution) {
            found = resolution;
            isDone = true;
        });
        for (int tick = 0; tick < 20 && !isDone; ++tick) {
            now_ += 20ms;
            host(node).resolver_.tick(now_);
        }
        CHECK(isDone);
        return found;
    }

    Host& host(NodeId node) { return *hosts_[node.value() - 1]; }
    std::vector<std::unique_ptr<Host>> hosts_;
    TimePoint now_ = at(0s);
    std::size_t queries_ = 0;
    std::size_t lostQueries_ = 0; // the first ones
    std::set<NodeId> silent_; // down without being noticed
    std::vector<NodeId> watchers_;
};

} // namespace

TEST_CASE("streams: the same attempt id in two workspaces names two streams")
{
    CHECK(streamIdOf("north", "a1") == streamIdOf("north", "a1"));
    CHECK(streamIdOf("north", "a1") != streamIdOf("south", "a1"));
    CHECK(streamIdOf("", "a1") != streamIdOf("a1", "a1"));
}

// Guards against a record that all streams without an attempt id share: each would go on at the version of another one.
TEST_CASE("streams: a stream without an attempt id has no record")
{
    StreamTable table(lifetime, 3);
    CHECK(streamIdOf("north", "").isNone());
    table.put({ streamIdOf("north", ""), service, v1 }, at(0s));
    CHECK(table.size() == 0);
    CHECK(table.find(streamIdOf("north", ""), at(1s)) == nullptr);
}

TEST_CASE("streams: the replicas of a stream are in different failure domains, and don't move when others are lost")
{
    std::vector<ReplicaCandidate> candidates;
    for (std::uint32_t number = 1; number <= 60; ++number)
        candidates.push_back({ NodeId(number), FailureDomainId(number % 5) });
    for (std::uint64_t stream = 0; stream < 200; ++stream) {
        const auto chosen = chooseReplicas(stream, candidates, 3);
        std::set<std::uint64_t> domains;
        for (const NodeId node : chosen)
            domains.insert(node.value() % 5);
        CHECK(domains.size() == 3);
        std::vector<ReplicaCandidate> left = candidates;
        std::erase_if(left, [&](const auto& one) { return one.domain_ == FailureDomainId(static_cast<std::uint32_t>(chosen[0].value() % 5)); });
        const auto after = chooseReplicas(stream, left, 3);
        CHECK(after[0] == chosen[1]);
        CHECK(after[1] == chosen[2]);
    }
    // With fewer failure domains than replicas, several hosts of one are chosen.
    std::erase_if(candidates, [](const auto& one) { return one.domain_ != FailureDomainId(1); });
    CHECK(chooseReplicas(1, candidates, 3).size() == 3);
    CHECK(chooseReplicas(1, {}, 3).empty());
}

TEST_CASE("streams: records are bounded in number and age, and renewed")
{
    StreamTable table(lifetime, 3);
    for (std::uint64_t stream = 1; stream <= 4; ++stream)
        table.put({ StreamId(stream), service, v1 }, at(stream * 1s));
    CHECK(table.size() == 3);
    CHECK(table.find(StreamId(1), at(5s)) == nullptr);
    REQUIRE(table.find(StreamId(2), at(5s)));
    table.put({ StreamId(2), service, v1 }, at(50s));
    CHECK(table.find(StreamId(2), at(100s)) != nullptr);
    CHECK(table.find(StreamId(3), at(100s)) == nullptr);
    table.expire(at(100s));
    CHECK(table.size() == 1);
    for (int second = 51; second < 100; ++second)
        table.put({ StreamId(2), service, v1 }, at(second * 1s));
    CHECK(table.find(StreamId(2), at(158s)) != nullptr);
    CHECK(table.find(StreamId(2), at(159s)) == nullptr);
}

// Guards against a stream that goes on at one of two versions that hosts have reported for it.
TEST_CASE("streams: contradicting records make the version of a stream unknown")
{
    StreamTable table(lifetime, 3);
    table.put({ StreamId(1), service, v1 }, at(0s));
    table.put({ StreamId(1), service, v2 }, at(1s));
    table.put({ StreamId(1), service, v1 }, at(2s));
    REQUIRE(table.find(StreamId(1), at(3s)));
    CHECK(table.find(StreamId(1), at(3s))->version_.isNone());
}

TEST_CASE("streams: a service has one version only after the lifetime of streams has passed")
{
    VersionHistory history(margin, 300s);
    history.noteCallerDeadline(service, deadline);
    CHECK(history.soleVersion(service, at(0s)).isNone());
    CHECK_FALSE(history.addEngine(UpstreamId(1), service, v1, at(0s)));
    CHECK(history.soleVersion(service, at(59s)).isNone());
    CHECK(history.soleVersion(service, at(60s)) == v1);
    CHECK(history.soleVersion(ServiceId(9), at(60s)).isNone());
    CHECK(history.addEngine(UpstreamId(2), service, v2, at(70s)));
    CHECK_FALSE(history.addEngine(UpstreamId(3), service, v2, at(70s)));
    CHECK(history.soleVersion(service, at(71s)).isNone());
    CHECK(history.hasSeveralVersions(service, at(71s)));
    history.removeEngine(UpstreamId(1), at(80s));
    CHECK(history.soleVersion(service, at(139s)).isNone());
    CHECK(history.soleVersion(service, at(140s)) == v2);
    CHECK_FALSE(history.hasSeveralVersions(service, at(140s)));
    history.restart(at(150s));
    CHECK(history.soleVersion(service, at(151s)).isNone());
    // The last engine has left: streams may have begun there until then.
    history.removeEngine(UpstreamId(2), at(220s));
    history.removeEngine(UpstreamId(3), at(220s));
    CHECK(history.soleVersion(service, at(221s)) == v2);
    CHECK(history.soleVersion(service, at(280s)).isNone());
}

// Guards against a version that counts as gone while a caller who waits longer than others may still resume its streams.
TEST_CASE("streams: how long a service needs one version follows from how long its callers wait")
{
    VersionHistory history(margin, 300s);
    history.addEngine(UpstreamId(1), service, v1, at(0s));
    history.addEngine(UpstreamId(2), service, v2, at(0s));
    history.removeEngine(UpstreamId(1), at(1s));
    CHECK(history.soleVersion(service, at(100s)).isNone());
    history.noteCallerDeadline(service, 10s);
    CHECK(history.soleVersion(service, at(15s)).isNone());
    CHECK(history.soleVersion(service, at(16s)) == v2);
    history.noteCallerDeadline(service, 40s);
    history.noteCallerDeadline(service, 10s);
    CHECK(history.soleVersion(service, at(45s)).isNone());
    CHECK(history.soleVersion(service, at(46s)) == v2);
    history.noteCallerDeadline(service, 4000s);
    CHECK(history.soleVersion(service, at(305s)).isNone());
    CHECK(history.soleVersion(service, at(306s)) == v2);
}

// Guards against refusals while membership hasn't noticed yet that all hosts which hold a stream's record are down.
TEST_CASE("streams: other hosts are asked when those that hold the record don't answer")
{
    StreamFleet fleet(3, 4);
    for (const auto& host : fleet.hosts_)
        host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
    const std::vector<NodeId> replicas = fleet.replicasOf(StreamId(7));
    const NodeId asking = replicas.back(); // the first three hold records
    for (std::size_t place = 0; place < 3; ++place)
        fleet.silent_.insert(replicas[place]);
    CHECK((fleet.resolveAt(asking, StreamId(7)).kind_ == ResolutionKind::SoleVersion));
}

TEST_CASE("streams: an engine that changes its service or version counts once")
{
    VersionHistory history(margin, 300s);
    history.noteCallerDeadline(service, deadline);
    history.addEngine(UpstreamId(1), service, v1, at(0s));
    CHECK(history.addEngine(UpstreamId(1), service, v2, at(1s)));
    CHECK(history.hasSeveralVersions(service, at(2s)));
    CHECK(history.soleVersion(service, at(61s)) == v2);
}

// Guards against the loss of what is known about streams when their hosts, or those of a whole failure domain, are killed.
TEST_CASE("streams: a stream is resolved at every host although a failure domain was lost")
{
    for (const bool isNoticed : { true, false }) {
        StreamFleet fleet(4, 3);
        for (std::uint64_t stream = 0; stream < 100; ++stream)
            fleet.record({ StreamId(stream), service, stream % 2 == 0 ? v1 : v2 });
        fleet.kill(FailureDomainId(1), isNoticed);
        for (std::uint64_t stream = 0; stream < 100; ++stream) {
            const StreamResolution found = fleet.resolveAt(NodeId(2), StreamId(stream));
            CHECK((found.kind_ == ResolutionKind::Recorded));
            CHECK(found.version_ == (stream % 2 == 0 ? v1 : v2));
        }
    }
}

// Guards against a guess: without a record, a stream goes on only if no other version can have begun it.
TEST_CASE("streams: a stream without a record is unknown unless its service has had one version")
{
    StreamFleet fleet(3, 2);
    for (const auto& host : fleet.hosts_)
        host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
    CHECK((fleet.resolveAt(NodeId(1), StreamId(7)).kind_ == ResolutionKind::SoleVersion));
    CHECK(fleet.resolveAt(NodeId(1), StreamId(7)).version_ == v1);
    // One host that is asked knows of a second version; the host that asks doesn't.
    fleet.host(fleet.replicasOf(StreamId(7))[0]).history_.addEngine(UpstreamId(2), service, v2, fleet.now_);
    const NodeId asking = fleet.replicasOf(StreamId(7))[1];
    CHECK((fleet.resolveAt(asking, StreamId(7)).kind_ == ResolutionKind::Unknown));
    CHECK(fleet.resolveAt(asking, StreamId(7)).version_.isNone());
}

// Guards against a host that restarted: it knows neither records nor which versions there were.
TEST_CASE("streams: a host that has just started relies on the histories of others")
{
    StreamFleet fleet(3, 2);
    for (const auto& host : fleet.hosts_)
        host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
    fleet.host(NodeId(1)).history_ = VersionHistory(margin, 300s);
    fleet.host(NodeId(1)).history_.addEngine(UpstreamId(1), service, v1, fleet.now_);
    CHECK(fleet.resolveAt(NodeId(1), StreamId(7)).version_ == v1);
    for (const auto& host : fleet.hosts_)
        host->history_.restart(fleet.now_);
    CHECK((fleet.resolveAt(NodeId(1), StreamId(7)).kind_ == ResolutionKind::Unknown));
}

// Guards against a host that is cut off, and that knows one version because it missed the newer one.
TEST_CASE("streams: a host that reaches no other one resolves only the streams that it knows itself")
{
    StreamFleet fleet(3, 2);
    for (const auto& host : fleet.hosts_)
        host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
    StreamFleet::Host& cutOff = fleet.host(NodeId(1));
    cutOff.table_.put({ StreamId(8), service, v1 }, fleet.now_);
    cutOff.isDown_ = true;
    CHECK((fleet.resolveAt(NodeId(1), StreamId(7)).kind_ == ResolutionKind::Unreachable));
    CHECK(fleet.resolveAt(NodeId(1), StreamId(8)).version_ == v1);
    CHECK(cutOff.resolver_.pending() == 0);
}

// Guards against a stream that goes on at the old version because all hosts that answer were cut off, or stood still, while a newer one joined.
TEST_CASE("streams: hosts that are a minority don't agree on the only version")
{
    StreamFleet fleet(3, 4);
    for (const auto& host : fleet.hosts_)
        host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
    const FailureDomainId cutOff = fleet.host(NodeId(1)).domain_;
    for (const auto& host : fleet.hosts_) {
        if (host->domain_ == cutOff)
            continue;
        host->history_.addEngine(UpstreamId(2), service, v2, fleet.now_);
        fleet.silent_.insert(host->node_);
    }
    for (std::uint64_t stream = 0; stream < 20; ++stream)
        CHECK((fleet.resolveAt(NodeId(1), StreamId(stream)).kind_ == ResolutionKind::NoQuorum));
    // The cut ends, but its hosts haven't received the new version yet.
    fleet.silent_.clear();
    for (std::uint64_t stream = 0; stream < 20; ++stream)
        CHECK((fleet.resolveAt(NodeId(1), StreamId(stream)).kind_ == ResolutionKind::Unknown));
}

// Guards against a failure domain of a large fleet that is cut off and has enough hosts for all that are asked.
TEST_CASE("streams: many hosts of one failure domain are a minority too")
{
    for (const std::size_t domains : { 2U, 3U }) {
        for (const bool isNoticed : { false, true }) {
            StreamFleet fleet(domains, 120 / domains);
            const FailureDomainId cutOff = fleet.host(NodeId(1)).domain_;
            for (const auto& host : fleet.hosts_) {
                host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
                if (host->domain_ == cutOff)
                    continue;
                host->history_.addEngine(UpstreamId(2), service, v2, fleet.now_);
                fleet.silent_.insert(host->node_);
                host->isDown_ = isNoticed;
            }
            for (std::uint64_t stream = 0; stream < 20; ++stream)
                CHECK((fleet.resolveAt(NodeId(1), StreamId(stream)).kind_ == ResolutionKind::NoQuorum));
        }
    }
}

// Guards against a claim of the old version beside a host that has just started and knows the newer one alone.
TEST_CASE("streams: a host with a short history contradicts those that missed a version")
{
    StreamFleet fleet(1, 3);
    for (const auto& host : fleet.hosts_)
        host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
    fleet.host(NodeId(2)).history_ = VersionHistory(margin, 300s);
    fleet.host(NodeId(2)).history_.addEngine(UpstreamId(2), service, v2, fleet.now_);
    CHECK((fleet.resolveAt(NodeId(1), StreamId(7)).kind_ == ResolutionKind::Unknown));
}

// Guards against a query that ends before the hosts that receive changes of engines first have answered.
TEST_CASE("streams: the watchers of the store are asked about the only version")
{
    StreamFleet fleet(4, 6);
    for (const auto& host : fleet.hosts_)
        host->history_.addEngine(UpstreamId(1), service, v1, at(-100s));
    for (std::uint64_t stream = 0; stream < 20; ++stream) {
        const NodeId watcher = fleet.replicasOf(StreamId(stream)).back();
        fleet.watchers_ = { watcher };
        fleet.host(watcher).history_.addEngine(UpstreamId(2), service, v2, fleet.now_);
        const NodeId asking = fleet.replicasOf(StreamId(stream)).front();
        CHECK((fleet.resolveAt(asking, StreamId(stream)).kind_ == ResolutionKind::Unknown));
        fleet.host(watcher).history_ = VersionHistory(margin, 300s);
        fleet.host(watcher).history_.noteCallerDeadline(service, deadline);
    }
}

TEST_CASE("streams: lost queries are sent again")
{
    StreamFleet fleet(3, 2);
    fleet.record({ StreamId(7), service, v2 });
    NodeId other;
    for (const auto& host : fleet.hosts_) {
        if (!host->table_.find(StreamId(7), fleet.now_))
            other = host->node_;
    }
    REQUIRE_FALSE(other.isNone());
    fleet.lostQueries_ = 3;
    CHECK(fleet.resolveAt(other, StreamId(7)).version_ == v2);
    CHECK(fleet.queries_ > 3);
}

// Guards against an answer that belongs to a query of an earlier process with the same number.
TEST_CASE("streams: an answer about another stream is ignored")
{
    StreamFleet fleet(3, 1);
    fleet.lostQueries_ = 100;
    StreamResolution found { ResolutionKind::Unreachable, {}, {} };
    fleet.host(NodeId(1)).resolver_.resolve(StreamId(7), service, fleet.now_, [&](const StreamResolution& resolution) { found = resolution; });
    fleet.host(NodeId(1)).resolver_.handle({ NodeId(2), 1, true, { StreamId(6), service, v1 }, {}, false, {} });
    CHECK(fleet.host(NodeId(1)).resolver_.pending() == 1);
    fleet.host(NodeId(1)).resolver_.handle({ NodeId(2), 1, true, { StreamId(7), service, v1 }, {}, false, {} });
    CHECK(fleet.host(NodeId(1)).resolver_.pending() == 0);
    CHECK(found.version_ == v1);
}
