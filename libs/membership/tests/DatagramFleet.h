// A handful of membership cores over an in-memory datagram fake: loss, doubling, delay (and so reordering) and cut directions, all
// from one seed under virtual time. Each datagram goes through the real codec, so sizes, keys and replay windows count.
#pragma once

#include "membership/MembershipCore.h"
#include "wire/DatagramCodec.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jj {

struct DatagramFaults {
    double loss_ = 0;
    double doubled_ = 0;
    Duration minDelay_ = 500us;
    Duration maxDelay_ = 1500us;
};

class DatagramFleet {
public:
    static constexpr Duration step = 5ms;
    static constexpr Duration tickPeriod = 20ms;

    struct Node {
        MembershipCore::Self self_;
        std::unique_ptr<MembershipCore> core_;
        std::unique_ptr<DatagramCodec> codec_;
        Duration wallOffset_ {};
        bool up_ = true; // a process stands at the address
        bool paused_ = false; // the process stands still; what arrives waits
        std::uint64_t bytes_ = 0;
        std::uint64_t datagrams_ = 0;
        std::uint64_t oversized_ = 0;
        std::vector<std::string> waiting_;
        std::vector<MembershipCommand> told_; // commands other than datagrams
    };

    // Called for each command that isn't a datagram.
    using Listener = std::function<void(std::size_t node, const MembershipCommand& command)>;

    // `listed`: how many of the hosts, from the first one on, the platform's list names.
    DatagramFleet(std::size_t count, std::size_t regions, std::uint64_t seed, const MembershipSettings& settings = {}, std::size_t listed = SIZE_MAX)
        : settings_(settings)
        , listed_(listed)
        , random_(seed)
        , seed_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Node node;
            node.self_ = { PeerAddress { 0x0a000000 + static_cast<std::uint32_t>(i), 9000 }, RegionId(static_cast<std::uint32_t>(i % regions)),
                FailureDomainId(static_cast<std::uint32_t>(i % (2 * regions))) };
            byNode_[nodeIdOf(node.self_.endpoint_)] = i;
            nodes_.push_back(std::move(node));
        }
        for (std::size_t i = 0; i < count; ++i)
            start(i);
    }

    std::size_t size() const { return nodes_.size(); }
    Node& at(std::size_t i) { return nodes_[i]; }
    MembershipCore& core(std::size_t i) { return *nodes_[i].core_; }
    NodeId id(std::size_t i) const { return nodeIdOf(nodes_[i].self_.endpoint_); }
    TimePoint now() const { return now_; }
    WallTime wall(std::size_t i) const
    {
        return WallTime(std::chrono::milliseconds(1'767'225'600'000)
            + std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch() + nodes_[i].wallOffset_));
    }

    DatagramFaults faults_;
    Listener listener_;
    // Says whether a datagram of one node to another is dropped.
    std::function<bool(std::size_t from, std::size_t to)> cut_;

    // A new process at the address, which remembers nothing but the platform's list.
    void start(std::size_t i)
    {
        Node& node = nodes_[i];
        node.core_ = std::make_unique<MembershipCore>(node.self_, settings_, now_, wall(i), mixSeed(i));
        node.codec_ = std::make_unique<DatagramCodec>(WireKey::fromHex(std::string(64, 'a')).value(), id(i));
        node.up_ = true;
        node.waiting_.clear();
        list(i);
    }

    void list(std::size_t i)
    {
        HostsListed listed;
        for (std::size_t host = 0; host < std::min(listed_, nodes_.size()); ++host) {
            const MembershipCore::Self& self = nodes_[host].self_;
            listed.hosts_.push_back({ self.endpoint_, self.domain_, self.region_, false });
        }
        handle(i, listed);
    }

    void handle(std::size_t i, const MembershipEvent& event)
    {
        nodes_[i].core_->handle(event, now_, wall(i));
        drain(i);
    }

    void run(Duration duration)
    {
        const TimePoint until = now_ + duration;
        while (now_ < until)
            stepOnce();
    }

    // Runs until the condition holds, at most `limit`. Gives the time it took, or none.
    template <class Condition>
    std::optional<Duration> runUntil(Condition condition, Duration limit)
    {
        const TimePoint from = now_;
        while (!condition()) {
            if (now_ - from >= limit)
                return std::nullopt;
            stepOnce();
        }
        return now_ - from;
    }

    MemberState stateAt(std::size_t observer, std::size_t subject)
    {
        const auto* standing = core(observer).members().rows().cell<MemberStanding>(id(subject));
        return standing ? standing->state_ : MemberState::Left;
    }

    // Every live node sees exactly the live ones as alive.
    bool isSettled()
    {
        for (std::size_t i = 0; i < size(); ++i) {
            for (std::size_t j = 0; j < size() && nodes_[i].up_; ++j) {
                if (i != j && (stateAt(i, j) == MemberState::Alive) != nodes_[j].up_)
                    return false;
            }
        }
        return true;
    }

private:
    struct Flight {
        std::size_t to_;
        std::string bytes_;
    };

    std::uint64_t mixSeed(std::size_t i) { return seed_ * 1'000 + i + (++starts_ << 32); }

    double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void stepOnce()
    {
        now_ += step;
        while (!flights_.empty() && flights_.begin()->first <= now_) {
            const Flight flight = std::move(flights_.begin()->second);
            flights_.erase(flights_.begin());
            if (nodes_[flight.to_].up_)
                nodes_[flight.to_].waiting_.push_back(flight.bytes_);
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!nodes_[i].up_ || nodes_[i].paused_)
                continue;
            // Nodes tick at their own offsets.
            if ((now_.time_since_epoch() / step + static_cast<std::int64_t>(i)) % (tickPeriod / step) == 0) {
                nodes_[i].core_->tick(now_, wall(i));
                drain(i);
            }
            // After the tick: a process that was held up finds its timers due before it reads what waits in its socket.
            receive(i);
        }
    }

    void receive(std::size_t i)
    {
        Node& node = nodes_[i];
        for (const std::string& bytes : std::exchange(node.waiting_, {})) {
            Result<Datagram> datagram = node.codec_->decode(bytes);
            if (datagram)
                handle(i, DatagramReceived { datagram.value().sender_, datagram.value().incarnation_, datagram.value().message_ });
            else if (datagram.error() == WireError::StaleIncarnation)
                handle(i, StaleDatagram { node.codec_->staleSender() });
        }
    }

    void drain(std::size_t i)
    {
        for (MembershipCommand& command : nodes_[i].core_->takeCommands()) {
            if (const auto* send = std::get_if<SendDatagram>(&command)) {
                transmit(i, *send);
                continue;
            }
            if (listener_)
                listener_(i, command);
            nodes_[i].told_.push_back(std::move(command));
        }
    }

    void transmit(std::size_t from, const SendDatagram& send)
    {
        Node& node = nodes_[from];
        const Result<std::string> bytes = node.codec_->encode(send.target_, send.selfIncarnation_, send.message_);
        if (!bytes) {
            ++node.oversized_;
            return;
        }
        ++node.datagrams_;
        node.bytes_ += bytes.value().size();
        const std::size_t to = byNode_.at(send.target_);
        if (cut_ && cut_(from, to))
            return;
        const int copies = unit() < faults_.doubled_ ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (unit() < faults_.loss_)
                continue;
            const double spread = static_cast<double>((faults_.maxDelay_ - faults_.minDelay_).count());
            const Duration delay = faults_.minDelay_ + Duration(static_cast<std::int64_t>(unit() * spread));
            flights_.emplace(now_ + delay, Flight { to, bytes.value() });
        }
    }

    MembershipSettings settings_;
    std::size_t listed_;
    std::mt19937_64 random_;
    std::uint64_t seed_;
    std::uint64_t starts_ = 0;
    TimePoint now_ {};
    std::vector<Node> nodes_;
    std::map<NodeId, std::size_t> byNode_;
    std::multimap<TimePoint, Flight> flights_;
};

} // namespace jj
