// Follows the current configuration, which comes from the store or from a peer.
//
// A watcher reads the configuration from the store once and then follows it by long polling: the store holds each call open until
// there is a change. All other nodes are passive: they learn from peers' reports which version exists and request it from a peer
// that has it. So the load on the store grows with the number of watchers, two per region, and not with the number of nodes: when
// all 84 nodes of a fleet watched, they made 130 calls per second while engines registered.
#pragma once

#include "DecisionLog.h"
#include "PeerLag.h"
#include "StoreLink.h"
#include "serving/Translation.h"

#include <functional>
#include <memory>
#include <string>

namespace jj {

// Holds the current configuration. Its version only increases: an older version is dropped, whatever its source.
class ConfigFollower {
public:
    using OnApplied = std::function<void(const std::shared_ptr<const RouteTable>&)>;
    // Requests an update from a peer; does nothing when no peer can be asked.
    using RequestFromPeer = std::function<void()>;

    ConfigFollower(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, OnApplied onApplied, RequestFromPeer requestFromPeer);

    // Sets whether the node is passive. A passive node calls the store only once, at its start. Nodes are passive initially.
    void setPassive(bool isPassive) { isPassive_ = isPassive; }
    void tick(TimePoint now);
    // Apply a configuration received from the store, or from a peer in the form of encoded(), unless it is unreadable, invalid or not newer.
    void applyStored(std::string_view value);
    void applyUpdate(std::string_view encodedConfig);
    // Records that a peer has this version. If it is newer, a passive node requests it at once. A watcher requests it only if the
    // store hasn't delivered it after FollowerTimes::maxLag_.
    void onPeerVersion(std::uint64_t version, TimePoint now);

    std::uint64_t version() const { return table_ ? table_->version() : 0; }
    const std::shared_ptr<const RouteTable>& table() const { return table_; }
    // Returns the configuration as it is sent to peers, which holds fingerprints instead of keys.
    const std::string& encoded() const { return encoded_; }

private:
    void read();
    void watch();
    void scheduleRetry(TimePoint now);
    void apply(Checked<RouteConfig> config, std::string_view source);

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    OnApplied onApplied_;
    RequestFromPeer requestFromPeer_;
    std::shared_ptr<const RouteTable> table_;
    std::string encoded_;
    ObjectVersion followedVersion_; // store version up to which changes have been applied; none: the configuration must be read again
    bool isPassive_ = true;
    // Each node reads the store once at its start. When all nodes start together, a node can serve about 0.3 s earlier than if it
    // waited for a peer's update.
    bool hasRead_ = false;
    bool isCallInFlight_ = false;
    std::uint32_t failures_ = 0;
    TimePoint nextCallAt_ {};
    PeerLag lag_;
};

} // namespace jj
