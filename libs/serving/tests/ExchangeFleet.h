// Simulates a fleet in virtual time, without sockets. Each node has a ReportExchange and a CapacityBoard; datagrams are delayed or lost,
// and nodes can be isolated.
#pragma once

#include "ReportExchange.h"
#include "base/Hash.h"
#include "capacity/CapacityBoard.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace jj {

struct FleetShape {
    std::size_t nodes_ = 300;
    std::size_t regions_ = 2;
    std::size_t domainsOfRegion_ = 3;
    std::size_t engines_ = 160;
    double loss_ = 0.01;
    double changesPerSecond_ = 0; // of the load of each node
};

class ExchangeFleet {
public:
    struct Node {
        ExchangeSelf self_;
        PeerAddress at_;
        std::unique_ptr<PeerTable> peers_;
        std::unique_ptr<CapacityBoard> board_;
        std::unique_ptr<ReportExchange> exchange_;
        KnownVersions versions_;
        std::uint64_t datagrams_ = 0; // number of received datagrams
        std::uint64_t bytes_ = 0;
        bool isCut_ = false; // receives and sends nothing
    };

    ExchangeFleet(const FleetShape& shape, std::uint64_t seed)
        : shape_(shape)
        , random_(seed)
        , key_(WireKey::fromHex(std::string(64, '0')).value())
    {
        for (std::size_t place = 0; place < shape.nodes_; ++place)
            addNode(place);
        for (const auto& node : nodes_)
            introduce(*node);
    }

    // Called when a node receives a report or summary that states the versions of a peer. If it isn't set, the node counts as having
    // applied all changes up to these versions.
    std::function<void(std::size_t place, KnownVersions)> onVersions_;
    // Called every 20 ms for each node that isn't isolated.
    std::function<void(std::size_t place)> onTick_;

    // Runs `work` after `delay`.
    void after(Duration delay, std::function<void()> work) { later_.emplace(now_ + delay, std::move(work)); }

    void advance(Duration time)
    {
        constexpr Duration step = 5ms;
        constexpr Duration tickPeriod = 20ms;
        for (const TimePoint end = now_ + time; now_ < end;) {
            now_ += step;
            deliver();
            runLater();
            for (std::size_t place = 0; place < nodes_.size(); ++place) {
                Node& node = *nodes_[place];
                if (node.isCut_)
                    continue;
                change(node);
                const bool isTick = (now_ - TimePoint() + step * static_cast<Duration::rep>(place)) % tickPeriod == Duration::zero();
                if (!isTick) {
                    node.exchange_->sendPending(now_);
                    continue;
                }
                node.exchange_->tick(now_);
                if (onTick_)
                    onTick_(place);
            }
        }
    }

    void stopChanges() { shape_.changesPerSecond_ = 0; }

    // Isolates or reconnects the node, and notifies all other nodes of its new state immediately.
    void setLive(std::size_t place, bool isLive)
    {
        Node& node = *nodes_[place];
        node.isCut_ = !isLive;
        ++incarnation_;
        for (const auto& other : nodes_) {
            if (other.get() != &node)
                other->peers_->apply(rumorOf(node, isLive ? MemberState::Alive : MemberState::Dead), now_);
        }
    }

    // Replaces the process at the address of the node by a new one, which knows all other nodes that aren't isolated.
    void restart(std::size_t place)
    {
        Node& node = *nodes_[place];
        node.self_.incarnation_ = Incarnation(node.self_.incarnation_.value() + 1);
        node.versions_ = {};
        build(node, place);
        for (const auto& other : nodes_) {
            if (other.get() != &node && !other->isCut_)
                node.peers_->apply(rumorOf(*other, MemberState::Alive), now_);
        }
        setLive(place, true);
    }

    Node& node(std::size_t place) { return *nodes_[place]; }
    const Node& node(std::size_t place) const { return *nodes_[place]; }
    std::size_t placeOf(NodeId node) const { return places_.at(node); }
    std::mt19937_64& random() { return random_; }
    std::size_t size() const { return nodes_.size(); }
    TimePoint now() const { return now_; }
    UpstreamId engine(std::size_t place) const { return UpstreamId(mixHash(99, place)); }

    // Returns the number of online requests that all nodes run on the engine.
    std::uint32_t questionsOn(UpstreamId engine) const
    {
        std::uint32_t sum = 0;
        for (const auto& node : nodes_)
            sum += ownQuestions(*node, engine);
        return sum;
    }

private:
    struct Flight {
        TimePoint at_;
        std::uint64_t order_;
        std::size_t to_;
        std::string bytes_;

        friend bool operator<(const Flight& left, const Flight& right) { return std::pair(left.at_, left.order_) > std::pair(right.at_, right.order_); }
    };

    void addNode(std::size_t place)
    {
        auto node = std::make_unique<Node>();
        const std::size_t region = place % shape_.regions_;
        const std::size_t domain = place / shape_.regions_ % shape_.domainsOfRegion_;
        node->at_ = { static_cast<std::uint32_t>(0x0a000000 + place), 7000 };
        node->self_ = { nodeIdOf(node->at_), RegionId(static_cast<std::uint32_t>(region)), FailureDomainId(static_cast<std::uint32_t>(region * 100 + domain)), Incarnation(1), place % 7 == 0 };
        places_[node->self_.node_] = place;
        build(*node, place);
        nodes_.push_back(std::move(node));
    }

    void build(Node& node, std::size_t place)
    {
        node.peers_ = std::make_unique<PeerTable>(node.self_.region_);
        node.board_ = std::make_unique<CapacityBoard>(CapacitySettings(), node.self_.node_, HostLocation { CellId::none(), node.self_.region_, node.self_.domain_ }, place);
        node.exchange_ = std::make_unique<ReportExchange>(node.self_, *node.peers_, outletsOf(node, place));
    }

    ExchangeOutlets outletsOf(Node& node, std::size_t place)
    {
        ExchangeOutlets outlets;
        outlets.ownReport_ = [this, &node] {
            NodeReport report;
            report.use_ = node.board_->ownUse(now_);
            report.configVersion_ = node.versions_.config_;
            report.enginesVersion_ = node.versions_.engines_;
            return report;
        };
        outlets.ownVersions_ = [&node] { return node.versions_; };
        outlets.ownCell_ = [this, &node] { return node.board_->ownCell(now_); };
        outlets.onReport_ = [this, &node, place](const NodeReport& report, bool isMate) {
            if (isMate)
                node.board_->applyReport(report.use_, now_);
            hear(place, { report.configVersion_, report.enginesVersion_ });
        };
        outlets.onCell_ = [this, &node, place](const CellSummary& summary, TimePoint at) {
            node.board_->applyCellReport(summary.use_, at);
            hear(place, { summary.configVersion_, summary.enginesVersion_ });
        };
        outlets.onCellsChanged_ = [this, &node] { placeEngines(node); };
        outlets.send_ = [this, &node](std::span<const PeerAddress> receivers, const PeerDatagram& datagram) {
            const std::string bytes = encode(key_, datagram);
            for (const PeerAddress& receiver : receivers)
                send(node, places_.at(nodeIdOf(receiver)), bytes);
        };
        return outlets;
    }

    void hear(std::size_t place, KnownVersions versions)
    {
        if (onVersions_)
            return onVersions_(place, versions);
        Node& node = *nodes_[place];
        node.versions_.config_ = std::max(node.versions_.config_, versions.config_);
        node.versions_.engines_ = std::max(node.versions_.engines_, versions.engines_);
    }

    void placeEngines(Node& node)
    {
        std::vector<CellId> others = node.exchange_->cells().cells();
        std::erase(others, node.exchange_->ownCell());
        node.board_->setCells(node.exchange_->ownCell(), others);
        for (std::size_t place = 0; place < shape_.engines_; ++place) {
            EngineEntry entry;
            entry.id_ = engine(place);
            entry.service_ = "s";
            entry.slots_ = 8;
            const std::size_t region = place % shape_.regions_;
            entry.region_ = RegionId(static_cast<std::uint32_t>(region));
            entry.domain_ = FailureDomainId(static_cast<std::uint32_t>(region * 100 + place / shape_.regions_ % shape_.domainsOfRegion_));
            entry.cell_ = node.exchange_->cells().cellOf(entry.region_, entry.domain_, entry.id_.value());
            node.board_->upsert(entry);
        }
    }

    MemberRumor rumorOf(const Node& node, MemberState state) const
    {
        MemberRumor rumor;
        rumor.node_ = node.self_.node_;
        rumor.endpoint_ = node.at_;
        rumor.region_ = node.self_.region_;
        rumor.domain_ = node.self_.domain_;
        rumor.incarnation_ = Incarnation(incarnation_);
        rumor.state_ = state;
        return rumor;
    }

    void introduce(const Node& node)
    {
        for (const auto& other : nodes_) {
            if (other.get() != &node)
                other->peers_->apply(rumorOf(node, MemberState::Alive), now_);
        }
    }

    void send(const Node& from, std::size_t to, const std::string& bytes)
    {
        if (from.isCut_ || std::bernoulli_distribution(shape_.loss_)(random_))
            return;
        const bool isNear = from.self_.region_ == nodes_[to]->self_.region_;
        const Duration delay = (isNear ? 1ms : 12ms) + std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 3)(random_));
        flights_.push({ now_ + delay, ++order_, to, bytes });
    }

    void deliver()
    {
        while (!flights_.empty() && flights_.top().at_ <= now_) {
            const Flight flight = flights_.top();
            flights_.pop();
            Node& node = *nodes_[flight.to_];
            if (node.isCut_)
                continue;
            ++node.datagrams_;
            node.bytes_ += flight.bytes_.size();
            const auto datagram = decodeDatagram(key_, flight.bytes_);
            if (const auto* digest = std::get_if<CellDigest>(&datagram.value()))
                node.exchange_->received(*digest, now_);
            else
                node.exchange_->received(std::get<NodeReport>(datagram.value()), now_);
        }
    }

    void runLater()
    {
        while (!later_.empty() && later_.begin()->first <= now_) {
            const std::function<void()> work = std::move(later_.begin()->second);
            later_.erase(later_.begin());
            work();
        }
    }

    // Starts or ends an online request on a random engine of any cell, with the configured rate.
    void change(Node& node)
    {
        constexpr double stepSeconds = 0.005;
        if (shape_.changesPerSecond_ <= 0 || !std::bernoulli_distribution(shape_.changesPerSecond_ * stepSeconds)(random_))
            return;
        const UpstreamId id = engine(std::uniform_int_distribution<std::size_t>(0, shape_.engines_ - 1)(random_));
        if (ownQuestions(node, id) > 0)
            node.board_->ended(id, WorkClass::OnlineRequest);
        else
            node.board_->started(id, WorkClass::OnlineRequest);
        node.exchange_->publish();
    }

    std::uint32_t ownQuestions(const Node& node, UpstreamId engine) const
    {
        for (const EngineUse& use : node.board_->ownUse(now_).uses_) {
            if (use.engine_ == engine)
                return use.onlineRequests_;
        }
        return 0;
    }

    FleetShape shape_;
    std::mt19937_64 random_;
    WireKey key_;
    TimePoint now_ { 100s };
    std::uint64_t incarnation_ = 1;
    std::uint64_t order_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<NodeId, std::size_t> places_;
    std::priority_queue<Flight> flights_;
    std::multimap<TimePoint, std::function<void()>> later_;
};

} // namespace jj
