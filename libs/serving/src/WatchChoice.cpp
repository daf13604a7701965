// Decides by this node's rank, by the reported watchers and by the time since a watcher was last reported.
#include "WatchChoice.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace jj {

namespace {

    constexpr std::size_t watchersPerRegion = 2;
    // Nodes discover each other 50 to 800 ms after their start. Without this spread all of 84 nodes started to watch at once; with
    // it, 27 do.
    constexpr Duration startSpread = 600ms;
    // Within this time after their start, some dozen nodes that start at once discover each other. In a fleet of hundreds, nodes need
    // longer and report that they are still joining; their first call then waits until maxJoinTime after the start at most.
    constexpr Duration discoveryTime = 900ms;
    constexpr Duration maxJoinTime = 3s;
    // All 84 nodes of a fleet had discovered each other 0.8 s after their start.
    constexpr Duration settleTime = 1200ms;

    // Delay between the tries of successive nodes in rank order. The store refuses at most half of the nodes, so a node that it serves
    // tries within a second.
    constexpr Duration tryInterval = 250ms;
    // Bounds the wait for higher-ranked nodes: a node that is cut off from its peers regards them as alive for some more seconds.
    constexpr Duration maxWait = 6s;

    std::uint64_t rankOf(NodeId node)
    {
        constexpr std::uint64_t label = 0x77617463;
        return mixHash(label, node.value());
    }

} // namespace

WatchChoice::WatchChoice(NodeId self, TimePoint start, std::uint64_t seed, bool expectsOthers)
    : rank_(rankOf(self))
    , earliestWatchAt_(start + std::chrono::milliseconds(mixHash(seed, self.value()) % (startSpread / 1ms)))
    , discoveredAt_(expectsOthers ? start + discoveryTime : start)
    , joinDeadline_(start + maxJoinTime)
    , settledAt_(start + settleTime)
{
}

std::size_t WatchChoice::countHigherRanked(const std::vector<WatchPeer>& peers) const
{
    const auto ahead = std::count_if(peers.begin(), peers.end(), [this](const WatchPeer& peer) { return peer.isEligible_ && rankOf(peer.node_) > rank_; });
    return static_cast<std::size_t>(ahead);
}

bool WatchChoice::isWatcherMissing(const std::vector<WatchPeer>& peers, std::size_t higherRanked, TimePoint now)
{
    const bool isWatcherReported = std::any_of(peers.begin(), peers.end(), [](const WatchPeer& peer) { return peer.isReportedWatching_; });
    if (isWatcherReported || watcherReportedAt_ == neverTime)
        watcherReportedAt_ = now;
    const std::size_t waitSteps = higherRanked < watchersPerRegion ? 0 : higherRanked - watchersPerRegion + 1;
    const Duration wait = std::min<Duration>(maxWait, tryInterval * static_cast<Duration::rep>(waitSteps));
    return !isWatcherReported && now - watcherReportedAt_ >= wait;
}

bool WatchChoice::shouldWatch(const std::vector<WatchPeer>& peers, bool isLeaving, bool isFollowing, TimePoint now)
{
    const std::size_t higherRanked = countHigherRanked(peers);
    const bool isElected = !isLeaving && higherRanked < watchersPerRegion && (isWatching_ || now >= settledAt_);
    const bool isWatcherMissingNow = isWatcherMissing(peers, higherRanked, now);
    const bool isHigherRankedReported = std::any_of(peers.begin(), peers.end(), [this](const WatchPeer& peer) { return peer.isReportedWatching_ && rankOf(peer.node_) > rank_; });
    const bool isNeeded = isFollowing && !isLeaving ? !isHigherRankedReported : isWatcherMissingNow;
    const bool wasWatching = std::exchange(isWatching_, now >= earliestWatchAt_ && (isElected || isNeeded));
    if (isWatching_ && !wasWatching)
        firstCallAt_ = std::max(now, discoveredAt_);
    return isWatching_;
}

bool WatchChoice::mayReadLongList(const std::vector<WatchPeer>& peers, bool isJoining, Duration waited, TimePoint now) const
{
    // A node that doesn't know the others yet would take itself for one of the first.
    if (now < (isJoining ? joinDeadline_ : discoveredAt_))
        return false;
    constexpr int maxDoublings = 16;
    const int doublings = static_cast<int>(std::min<Duration::rep>(maxDoublings, waited / listWait));
    return countHigherRanked(peers) < listReadersPerRegion << doublings;
}

} // namespace jj
