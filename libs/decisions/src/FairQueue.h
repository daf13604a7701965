// A queue that is fair among workspaces: start-time fair queueing. Each waiting workspace holds a virtual start tag; the lowest
// goes next, and serving an entry moves its workspace's tag on by the entry's cost. A workspace that was idle starts at the
// queue's virtual time, so its first request overtakes another workspace's burst however long that is.
//
// Entries that were cancelled are not searched for: they are dropped when they come to the front (lazy deletion), by the
// caller's `alive` test on the entry's ticket. Cost of each operation: O(log workspaces waiting).
#pragma once

#include "base/Id.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <tuple>

namespace jj {

class FairQueue {
public:
    struct Entry {
        RequestId request_;
        // Changes each time the request is queued, so that an entry of an earlier stay is distinguished.
        std::uint64_t ticket_ = 0;
        std::uint32_t cost_ = 1;
    };

    void push(WorkspaceId workspace, const Entry& entry)
    {
        Lane& lane = activate(workspace);
        lane.entries_.push_back(entry);
    }

    // For work that gave way and has been paid for already: goes before the rest of its workspace, at no cost.
    void pushFront(WorkspaceId workspace, Entry entry)
    {
        entry.cost_ = 0;
        Lane& lane = activate(workspace);
        lane.entries_.push_front(entry);
    }

    // The entry that goes next, or nullptr. Drops those that are no longer alive.
    template <class Alive>
    const Entry* front(Alive&& alive)
    {
        while (!order_.empty()) {
            Lane& lane = lanes_[order_.begin()->workspace_];
            while (!lane.entries_.empty() && !alive(lane.entries_.front()))
                lane.entries_.pop_front();
            if (!lane.entries_.empty())
                return &lane.entries_.front();
            retire(order_.begin());
        }
        return nullptr;
    }

    // Takes the entry that front() gave.
    void popFront()
    {
        const Place place = *order_.begin();
        Lane& lane = lanes_[place.workspace_];
        virtualTime_ = place.start_;
        const std::uint64_t next = place.start_ + lane.entries_.front().cost_;
        lane.entries_.pop_front();
        order_.erase(order_.begin());
        lane.start_ = next;
        if (lane.entries_.empty())
            lane.waits_ = false;
        else
            order_.insert(Place { next, place.workspace_ });
        trim();
    }

    bool empty() const { return order_.empty(); }
    std::size_t workspaces() const { return order_.size(); }
    // Entries of one workspace, those cancelled but not yet dropped included.
    std::size_t waiting(WorkspaceId workspace) const
    {
        const auto found = lanes_.find(workspace);
        return found == lanes_.end() ? 0 : found->second.entries_.size();
    }

private:
    struct Place {
        std::uint64_t start_ = 0;
        WorkspaceId workspace_;

        friend bool operator<(const Place& a, const Place& b) { return std::tie(a.start_, a.workspace_) < std::tie(b.start_, b.workspace_); }
    };
    struct Lane {
        std::deque<Entry> entries_;
        std::uint64_t start_ = 0;
        bool waits_ = false;
    };

    // Idle workspaces are forgotten beyond this number; their tags are behind the virtual time or soon will be.
    static constexpr std::size_t maxIdleLanes = 4096;

    Lane& activate(WorkspaceId workspace)
    {
        Lane& lane = lanes_[workspace];
        if (!lane.waits_) {
            lane.waits_ = true;
            lane.start_ = std::max(lane.start_, virtualTime_);
            order_.insert(Place { lane.start_, workspace });
        }
        return lane;
    }

    void retire(std::set<Place>::iterator place)
    {
        lanes_[place->workspace_].waits_ = false;
        order_.erase(place);
    }

    void trim()
    {
        if (lanes_.size() > order_.size() + maxIdleLanes)
            boost::unordered::erase_if(lanes_, [](const auto& each) { return !each.second.waits_; });
    }

    // Invariant: order_ has exactly one place for each lane with waits_, at that lane's start_.
    boost::unordered_flat_map<WorkspaceId, Lane, std::hash<WorkspaceId>> lanes_;
    std::set<Place> order_;
    std::uint64_t virtualTime_ = 0;
};

} // namespace jj
