// Decides by this node's rank, by the reported watchers and by the time since a watcher was last reported.
#include "WatchChoice.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace jj {

namespace {

    constexpr std::size_t watchersOfRegion = 2;
    // Nodes discover each other 50 to 800 ms after their start. Without this spread all of 84 nodes started to watch at once; with
    // it, 27 do.
    constexpr Duration startSpread = 600ms;
    // Within this time after their start, some dozen nodes that start at once discover each other. In a fleet of hundreds, nodes need
    // longer and report that they are still joining; their first call then waits until longestJoin after the start at most.
    constexpr Duration meetTime = 900ms;
    constexpr Duration longestJoin = 3s;
    // All 84 nodes of a fleet had discovered each other 0.8 s after their start.
    constexpr Duration settleTime = 1200ms;

    // Delay between the tries of successive nodes in rank order. The store refuses at most half of the nodes, so a node that it serves
    // tries within a second.
    constexpr Duration nextTry = 250ms;
    // Bounds the wait for higher-ranked nodes: a node that is cut off from its peers regards them as alive for some more seconds.
    constexpr Duration longestWait = 6s;

    std::uint64_t rankOf(NodeId node)
    {
        constexpr std::uint64_t label = 0x77617463;
        return mixHash(label, node.value());
    }

} // namespace

WatchChoice::WatchChoice(NodeId self, TimePoint start, std::uint64_t seed, bool expectsOthers)
    : rank_(rankOf(self))
    , firstAt_(start + std::chrono::milliseconds(mixHash(seed, self.value()) % (startSpread / 1ms)))
    , metAt_(expectsOthers ? start + meetTime : start)
    , joinedAt_(start + longestJoin)
    , settledAt_(start + settleTime)
{
}

std::size_t WatchChoice::placeAmong(const std::vector<WatchPeer>& peers) const
{
    const auto ahead = std::count_if(peers.begin(), peers.end(), [this](const WatchPeer& peer) { return peer.mayWatch_ && rankOf(peer.node_) > rank_; });
    return static_cast<std::size_t>(ahead);
}

bool WatchChoice::isMissed(const std::vector<WatchPeer>& peers, std::size_t place, TimePoint now)
{
    const bool hearsWatcher = std::any_of(peers.begin(), peers.end(), [](const WatchPeer& peer) { return peer.isHeardWatching_; });
    if (hearsWatcher || heardAt_ == neverTime)
        heardAt_ = now;
    const std::size_t turn = place < watchersOfRegion ? 0 : place - watchersOfRegion + 1;
    const Duration wait = std::min<Duration>(longestWait, nextTry * static_cast<Duration::rep>(turn));
    return !hearsWatcher && now - heardAt_ >= wait;
}

bool WatchChoice::mustWatch(const std::vector<WatchPeer>& peers, bool isLeaving, bool isFollowing, TimePoint now)
{
    const std::size_t place = placeAmong(peers);
    const bool isElected = !isLeaving && place < watchersOfRegion && (watching_ || now >= settledAt_);
    const bool isMissedNow = isMissed(peers, place, now);
    const bool hearsHigher = std::any_of(peers.begin(), peers.end(), [this](const WatchPeer& peer) { return peer.isHeardWatching_ && rankOf(peer.node_) > rank_; });
    const bool isNeeded = isFollowing && !isLeaving ? !hearsHigher : isMissedNow;
    const bool watched = std::exchange(watching_, now >= firstAt_ && (isElected || isNeeded));
    if (watching_ && !watched)
        beginsAt_ = std::max(now, metAt_);
    return watching_;
}

} // namespace jj
