// Finds connections that have gone silent for good while new ones work.
//
// Failure met: something between two ends has lost track of an open connection. Its socket stays open, no error ever comes, and what
// waits on it waits for ever. So not the socket's state but progress tells that it lives: a frame or heartbeat on a node link, a
// token on an engine's stream, a bookmark on a watch. Without progress for its bound the guard asks for one probe on a fresh
// connection: if that is answered, only the old connection is lost and its work may go on over a fresh one; if not, the peer is lost.
//
// It shows as a stall of at most bound + probe bound. A pause of this process is no silence of its peers: after a late tick
// all bounds start anew, because what came meanwhile may wait unread.
//
//     guard.watch(streamId, 5s, now);
//     guard.progress(streamId, now);
//     for (const auto& finding : guard.tick(now)) ...
//     guard.probed(streamId, answered, now);
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace jj {

enum class SilenceKind : std::uint8_t {
    ProbeWanted, // open a fresh connection to the same peer, ask for a sign of life, and say probed()
    ConnectionLost, // the peer lives: close the connection; its work may go on over a fresh one
    PeerLost, // neither the connection nor the probe was answered
};

template <class Key>
class ProgressGuard {
public:
    struct Finding {
        Key key_;
        SilenceKind kind_;
    };

    explicit ProgressGuard(Duration probeBound, Duration lateTick = 500ms)
        : probeBound_(probeBound)
        , lateTick_(lateTick)
    {
    }

    // From now on the connection has to show progress within each `bound`. Replaces an earlier watch of the key.
    void watch(const Key& key, Duration bound, TimePoint now) { watches_[key] = { bound, now, neverTime, Answer::None }; }

    void progress(const Key& key, TimePoint now)
    {
        const auto found = watches_.find(key);
        if (found != watches_.end())
            found->second = { found->second.bound_, now, neverTime, Answer::None };
    }

    // What came of the probe. A probe that isn't answered within its bound needs no call.
    void probed(const Key& key, bool answered)
    {
        const auto found = watches_.find(key);
        if (found != watches_.end() && found->second.probedAt_ != neverTime)
            found->second.answer_ = answered ? Answer::Alive : Answer::Dead;
    }

    // The connection's work has ended.
    void forget(const Key& key) { watches_.erase(key); }

    // What was found since the last tick. A key of ConnectionLost or PeerLost isn't watched any more.
    std::vector<Finding> tick(TimePoint now)
    {
        if (lastTick_ != TimePoint {} && now - lastTick_ > lateTick_)
            startAnew(now);
        lastTick_ = now;
        std::vector<Finding> findings;
        for (auto& [key, watch] : watches_)
            check(key, watch, now, findings);
        for (const Finding& finding : findings) {
            if (finding.kind_ != SilenceKind::ProbeWanted)
                watches_.erase(finding.key_);
        }
        return findings;
    }

    std::size_t size() const { return watches_.size(); }

private:
    enum class Answer : std::uint8_t {
        None,
        Alive,
        Dead,
    };

    struct Watch {
        Duration bound_ {};
        TimePoint lastProgress_ {};
        TimePoint probedAt_ = neverTime; // neverTime: no probe under way
        Answer answer_ = Answer::None;
    };

    void startAnew(TimePoint now)
    {
        for (auto& [key, watch] : watches_) {
            watch.lastProgress_ = now;
            watch.probedAt_ = neverTime;
            watch.answer_ = Answer::None;
        }
    }

    void check(const Key& key, Watch& watch, TimePoint now, std::vector<Finding>& findings) const
    {
        if (watch.probedAt_ == neverTime) {
            if (now - watch.lastProgress_ < watch.bound_)
                return;
            watch.probedAt_ = now;
            findings.push_back({ key, SilenceKind::ProbeWanted });
        } else if (watch.answer_ == Answer::Alive) {
            findings.push_back({ key, SilenceKind::ConnectionLost });
        } else if (watch.answer_ == Answer::Dead || now - watch.probedAt_ >= probeBound_) {
            findings.push_back({ key, SilenceKind::PeerLost });
        }
    }

    Duration probeBound_;
    Duration lateTick_;
    TimePoint lastTick_ {};
    std::map<Key, Watch> watches_;
};

} // namespace jj
