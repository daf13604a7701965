// The configuration in force, as the store or a peer tells it.
//
// A node that watches reads it once and then follows it by calls that the store holds open. The others are passive: they hear from
// peers which version there is, and ask a peer that has it. So the store's calls grow with the watchers, two a region, and not
// with the nodes: 84 nodes that all watched made 130 calls a second while engines registered.
#pragma once

#include "DecisionLog.h"
#include "PeerLag.h"
#include "StoreLink.h"
#include "serving/Translation.h"

#include <functional>
#include <memory>
#include <string>

namespace jj {

// The configuration in force. It only ever moves forward: an older version, from wherever it comes, is dropped.
class ConfigFollower {
public:
    using Applied = std::function<void(const std::shared_ptr<const RouteTable>&)>;
    // Asks a peer for an update; nothing happens when there is none.
    using AskPeer = std::function<void()>;

    ConfigFollower(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Applied applied, AskPeer askPeer);

    // Passive at first: the store isn't called.
    void setPassive(bool passive) { passive_ = passive; }
    void tick(TimePoint now);
    // From the store or from a peer.
    void take(std::string_view value, std::string_view source);
    void peerHas(std::uint64_t version, TimePoint now);

    std::uint64_t version() const { return table_ ? table_->version() : 0; }
    const std::shared_ptr<const RouteTable>& table() const { return table_; }
    const std::string& value() const { return value_; }

private:
    void read();
    void watch();
    void again(TimePoint now);

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    Applied applied_;
    AskPeer askPeer_;
    std::shared_ptr<const RouteTable> table_;
    std::string value_; // as the store holds it, for peers
    ObjectVersion seen_; // of the store, up to which changes are known; none: has to be read
    bool passive_ = true;
    // Each node reads once at its start: it serves some 0.3 s sooner than by a peer's update, when all of them start together.
    bool hasRead_ = false;
    bool busy_ = false; // a call is under way
    std::uint32_t failures_ = 0;
    TimePoint nextAt_ {};
    PeerLag lag_;
};

} // namespace jj
