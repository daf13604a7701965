// Updates that are still to be sent: each goes out a bounded number of times, the least sent first.
//
// An update that other nodes send too is on its way without this node, so each receipt counts like several sends. When all nodes of a
// fleet start together, each of them has an update of every other one. Without counting receipts, each of 985 nodes still sent 11 KB/s a
// minute after they knew each other, twice as much as each of 300.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jj {

// Older updates beyond this are left to the members in turn that each datagram carries too.
constexpr std::size_t maxEntries = 1024;

template <class Key>
class Broadcasts {
public:
    // The piece is new, or has changed: it starts again from zero.
    void push(const Key& key)
    {
        const auto found = std::find_if(entries_.begin(), entries_.end(), [&key](const Entry& entry) { return entry.key_ == key; });
        if (found != entries_.end())
            entries_.erase(found);
        entries_.insert(entries_.begin(), Entry { key, 0 });
        if (entries_.size() > maxEntries)
            entries_.pop_back();
    }

    // Another node has sent the piece as this node knows it.
    void countReceived(const Key& key)
    {
        const auto found = std::find_if(entries_.begin(), entries_.end(), [&key](const Entry& entry) { return entry.key_ == key; });
        if (found == entries_.end())
            return;
        found->sent_ += sendsPerReceipt;
        hasReceipts_ = true;
    }

    // Up to `count` keys, counted as sent; those sent `limit` times are dropped.
    std::vector<Key> take(std::size_t count, std::uint32_t limit)
    {
        if (hasReceipts_)
            order(limit);
        hasReceipts_ = false;
        count = std::min(count, entries_.size());
        std::vector<Key> keys;
        keys.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            keys.push_back(entries_[i].key_);
            ++entries_[i].sent_;
        }
        order(limit);
        return keys;
    }

    std::size_t size() const { return entries_.size(); }

private:
    static constexpr std::uint32_t sendsPerReceipt = 2;

    struct Entry {
        Key key_;
        std::uint32_t sent_;
    };

    void order(std::uint32_t limit)
    {
        std::erase_if(entries_, [limit](const Entry& entry) { return entry.sent_ >= limit; });
        std::stable_sort(entries_.begin(), entries_.end(), [](const Entry& left, const Entry& right) { return left.sent_ < right.sent_; });
    }

    // Invariant: one entry a key, and ordered by sent_ unless hasReceipts_.
    std::vector<Entry> entries_;
    bool hasReceipts_ = false;
};

// Updates for the own region and for the others. Only bridges send to other regions, and rarely: an update that has made its rounds at
// home must not be used up before it crosses.
template <class Key>
class RegionalBroadcasts {
public:
    void push(const Key& key)
    {
        local_.push(key);
        crossing_.push(key);
    }

    // A node of the own region has sent the piece. Other regions may not have it yet.
    void countReceived(const Key& key) { local_.countReceived(key); }

    std::vector<Key> take(std::size_t count, std::uint32_t limit, bool crosses)
    {
        return crosses ? crossing_.take(count, crossLimit) : local_.take(count, limit);
    }

private:
    static constexpr std::uint32_t crossLimit = 6;

    Broadcasts<Key> local_;
    Broadcasts<Key> crossing_;
};

} // namespace jj
