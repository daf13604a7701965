// Simulates what 300 hosts know about the engines while hosts stop, freeze and restart, and datagrams and calls are lost.
//
// Two hosts per region watch the store. The others learn of new versions from reports and summaries and request updates from a peer
// that is ahead. The test checks that after the last fault every host knows all engines and no removed one, within a time that
// doesn't grow with the size of the fleet.
#include "CatalogNode.h"
#include "Dissemination.h"
#include "ExchangeFleet.h"
#include "PeerLag.h"

#include <doctest/doctest.h>
#include <set>

using namespace jj;

namespace {

// Sanitized builds run at least ten times slower.
#ifdef JJ_SANITIZED
constexpr int schedules = 1;
#else
constexpr int schedules = 6;
#endif
constexpr std::size_t watchersOfRegion = 2;
constexpr Duration callTime = 15ms; // one-way time of a call between two hosts
constexpr Duration watchPeriod = 100ms;
constexpr Duration staleBy = 2s; // age of the list that a process starts from

class CatalogFleet {
public:
    CatalogFleet(const FleetShape& shape, std::uint64_t seed)
        : fleet_(shape, seed)
    {
        fleet_.onVersions_ = [this](std::size_t place, KnownVersions versions) { hear(place, versions.engines_); };
        fleet_.onTick_ = [this](std::size_t place) { tick(place); };
        for (std::size_t place = 0; place < fleet_.size(); ++place)
            hosts_.push_back(std::make_unique<Host>());
        for (int engine = 0; engine < 40; ++engine)
            put("e" + std::to_string(engine));
        fleet_.advance(staleBy + 500ms);
        for (std::size_t place = 0; place < fleet_.size(); ++place)
            begin(place);
    }

    void advance(Duration time) { fleet_.advance(time); }
    std::size_t pick(std::size_t below) { return std::uniform_int_distribution<std::size_t>(0, below - 1)(fleet_.random()); }

    void put(const std::string& key)
    {
        changes_.push_back({ fleet_.now(), { ChangeKind::Put, ObjectVersion(changes_.size() + 1), key, "ready" } });
        engines_.insert(key);
    }
    void removeAny()
    {
        const std::string key = *std::next(engines_.begin(), static_cast<std::ptrdiff_t>(pick(engines_.size())));
        engines_.erase(key);
        changes_.push_back({ fleet_.now(), { ChangeKind::Remove, ObjectVersion(changes_.size() + 1), key, {} } });
    }

    void die(std::size_t place) { fleet_.setLive(place, false); }
    void start(std::size_t place)
    {
        fleet_.restart(place);
        hosts_[place] = std::make_unique<Host>();
        begin(place);
    }
    // Cuts the host off without the other hosts noticing.
    void setCut(std::size_t place, bool isCut) { fleet_.node(place).isCut_ = isCut; }
    bool isCut(std::size_t place) { return fleet_.node(place).isCut_; }
    std::size_t size() const { return hosts_.size(); }

    // Returns the number of hosts whose set of engines differs from the store's.
    std::size_t behind() const
    {
        return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [this](const auto& host) { return host->node_.using_ != engines_; }));
    }
    std::size_t asks() const { return asks_; }

private:
    struct Host {
        testing::Node node_;
        PeerLag lag_ { FollowerTimes() };
        UpdateBudget budget_;
        std::uint64_t followedTo_ = 0;
        TimePoint watchedAt_ {};
        bool isAsking_ = false;
        std::uint64_t process_ = 0;
    };
    struct Change {
        TimePoint at_;
        ObjectChange change_;
    };

    // Starts a process with a list that shows the store as it was `staleBy` ago.
    void begin(std::size_t place)
    {
        Host& host = *hosts_[place];
        host.process_ = ++processes_;
        std::map<std::string, ObjectEntry> state;
        std::uint64_t version = 0;
        for (const Change& one : changes_) {
            if (one.at_ > fleet_.now() - staleBy)
                break;
            version = one.change_.version_.value();
            if (one.change_.kind_ == ChangeKind::Put)
                state[one.change_.key_] = { one.change_.key_, one.change_.version_, one.change_.value_.size(), one.change_.value_ };
            else
                state.erase(one.change_.key_);
        }
        std::vector<ObjectEntry> entries;
        entries.reserve(state.size());
        for (const auto& [key, entry] : state)
            entries.push_back(entry);
        host.node_.list(entries, ObjectVersion(version), fleet_.now());
        host.followedTo_ = version;
        publish(place);
    }

    void publish(std::size_t place)
    {
        fleet_.node(place).versions_ = { 0, hosts_[place]->node_.catalog_.version() };
        fleet_.node(place).exchange_->publish();
    }

    bool isWatcher(std::size_t place)
    {
        std::size_t before = 0;
        for (std::size_t other = 0; other < place; ++other)
            before += !isCut(other) && fleet_.node(other).self_.region_ == fleet_.node(place).self_.region_ ? 1 : 0;
        return before < watchersOfRegion;
    }

    void tick(std::size_t place)
    {
        Host& host = *hosts_[place];
        const TimePoint now = fleet_.now();
        host.node_.catalog_.tick(now);
        const bool watches = isWatcher(place);
        if (watches && now - host.watchedAt_ >= watchPeriod)
            watch(place);
        if (!host.node_.catalog_.knowsAsMuch(host.lag_.version()) && host.lag_.mustAskAgain(!watches, now) && !watches)
            ask(place);
    }

    void watch(std::size_t place)
    {
        Host& host = *hosts_[place];
        host.watchedAt_ = fleet_.now();
        std::vector<ObjectChange> since;
        for (std::size_t version = host.followedTo_; version < changes_.size(); ++version)
            since.push_back(changes_[version].change_);
        host.followedTo_ = changes_.size();
        if (since.empty())
            return;
        host.node_.follow(since, ObjectVersion(changes_.size()), fleet_.now());
        publish(place);
    }

    void hear(std::size_t place, std::uint64_t version)
    {
        Host& host = *hosts_[place];
        if (!host.node_.catalog_.knowsAsMuch(version) && host.lag_.mustAsk(version, !isWatcher(place), fleet_.now()))
            ask(place);
    }

    void ask(std::size_t place)
    {
        Host& host = *hosts_[place];
        if (host.isAsking_)
            return;
        std::vector<UpdatePeer> known;
        const ExchangeFleet::Node& self = fleet_.node(place);
        for (const Peer& peer : self.peers_->rows()) {
            if (peer.isLive())
                known.push_back({ peer.node_, peer.region_ == self.self_.region_, 0, peer.enginesVersion_ });
        }
        const NodeId source = pickUpdateSource(known, 0, host.node_.catalog_.version(), fleet_.random());
        if (source.isNone())
            return;
        ++asks_;
        host.isAsking_ = true;
        const std::uint64_t since = host.node_.catalog_.version();
        fleet_.after(callTime, [this, place, process = host.process_, from = fleet_.placeOf(source), since] { answer(place, process, from, since); });
    }

    void answer(std::size_t place, std::uint64_t process, std::size_t from, std::uint64_t since)
    {
        Host& source = *hosts_[from];
        std::optional<EngineUpdate> update;
        if (!isCut(from) && source.budget_.mayAnswer(fleet_.now())) {
            update = source.node_.catalog_.updateSince(since, fleet_.now());
            source.budget_.spent(update->bytes(), fleet_.now());
        }
        fleet_.after(callTime, [this, place, process, update = std::move(update)] {
            Host& host = *hosts_[place];
            if (host.process_ != process)
                return;
            host.isAsking_ = false;
            if (!update || isCut(place))
                return;
            host.node_.catalog_.take(*update, "peer", fleet_.now());
            publish(place);
        });
    }

    ExchangeFleet fleet_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<Change> changes_;
    testing::Names engines_;
    std::uint64_t processes_ = 0;
    std::size_t asks_ = 0;
};

FleetShape shapeOf(std::size_t nodes)
{
    FleetShape shape;
    shape.nodes_ = nodes;
    shape.domainsOfRegion_ = nodes > 100 ? 3 : 1;
    shape.engines_ = 20;
    shape.loss_ = 0.02;
    return shape;
}

// Adds and removes engines while hosts stop, restart and are cut off; then restarts all hosts and reconnects them.
void disturb(CatalogFleet& fleet, int turns)
{
    std::set<std::size_t> dead;
    std::set<std::size_t> cut;
    for (int turn = 0; turn < turns; ++turn) {
        fleet.put("n" + std::to_string(turn));
        fleet.removeAny();
        const std::size_t place = fleet.pick(fleet.size());
        switch (fleet.pick(4)) {
        case 0:
            for (std::size_t many = 0; many < fleet.size() / 5; ++many) {
                const std::size_t one = fleet.pick(fleet.size());
                if (cut.contains(one) || !dead.insert(one).second)
                    continue;
                fleet.die(one);
            }
            break;
        case 1:
            for (const std::size_t one : std::exchange(dead, {}))
                fleet.start(one);
            break;
        case 2:
            if (!dead.contains(place) && cut.insert(place).second)
                fleet.setCut(place, true);
            break;
        case 3:
            for (const std::size_t one : std::exchange(cut, {}))
                fleet.setCut(one, false);
            break;
        }
        fleet.advance(std::chrono::milliseconds(50 + fleet.pick(400)));
    }
    for (const std::size_t one : dead)
        fleet.start(one);
    for (const std::size_t one : cut)
        fleet.setCut(one, false);
}

} // namespace

// Guards against hosts that keep using a removed engine because they missed the one message that reported its removal.
TEST_CASE("catalog fleet: after any sequence of faults 300 hosts know exactly the existing engines within two seconds")
{
    for (int seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        CatalogFleet fleet(shapeOf(300), static_cast<std::uint64_t>(seed));
        disturb(fleet, 16);
        fleet.advance(2s);
        CHECK(fleet.behind() == 0);
    }
}

// Guards against updates that take longer, or require more requests per host, in a larger fleet.
TEST_CASE("catalog fleet: a removal reaches 300 hosts as fast as 60, with as many requests per host")
{
    const auto played = [](std::size_t nodes) {
        CatalogFleet fleet(shapeOf(nodes), 5);
        fleet.advance(1s);
        const std::size_t asksBefore = fleet.asks();
        fleet.removeAny();
        Duration time {};
        for (; fleet.behind() > 0 && time < 5s; time += 20ms)
            fleet.advance(20ms);
        return std::pair(time, static_cast<double>(fleet.asks() - asksBefore) / static_cast<double>(nodes));
    };
    const auto [few, fewAsks] = played(60);
    const auto [many, manyAsks] = played(300);
    MESSAGE("time until all hosts are up to date: ", toSeconds(few), " s with 60 hosts, ", toSeconds(many), " s with 300; requests per host: ", fewAsks, ", ", manyAsks);
    CHECK(many <= 1200ms);
    CHECK(manyAsks < 4);
}
