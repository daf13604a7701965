// Decides when a node requests an update after a peer has reported a newer version.
//
// A passive node doesn't read changes from the store, so it requests the update immediately. A node that follows the store first waits
// FollowerTimes::maxLag_ for the change to arrive from there. Requests are at least FollowerTimes::minRequestInterval_ apart, because new
// versions appear constantly while engines register.
#pragma once

#include "FollowerTimes.h"

#include <cstdint>

namespace jj {

class PeerLag {
public:
    explicit PeerLag(FollowerTimes times)
        : times_(times)
    {
    }

    // Records that a peer has `version`, which this node hasn't applied. Returns true if the node should request an update now; only a
    // passive node does so immediately.
    bool recordPeerVersion(std::uint64_t version, bool isPassive, TimePoint now)
    {
        if (version <= version_)
            return false;
        version_ = version;
        behindSince_ = now;
        return isPassive && tryRequest(now);
    }

    // Called while this node hasn't applied version() yet. Returns true if it should request an update now, and records the time of that
    // request.
    bool mustRequest(bool isPassive, TimePoint now)
    {
        const Duration delay = isPassive ? Duration::zero() : times_.maxLag_;
        return now - behindSince_ >= delay && tryRequest(now);
    }

    // Returns the newest version that a peer has reported; 0 if none has.
    std::uint64_t version() const { return version_; }

private:
    // Returns whether the minimum interval since the last request has passed; if so, records `now` as the time of the next one.
    bool tryRequest(TimePoint now)
    {
        if (now - requestedAt_ < times_.minRequestInterval_)
            return false;
        requestedAt_ = now;
        return true;
    }

    FollowerTimes times_;
    std::uint64_t version_ = 0;
    TimePoint behindSince_ {};
    TimePoint requestedAt_ {};
};

} // namespace jj
