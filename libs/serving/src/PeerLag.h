// When a node asks for what a peer has and it doesn't.
//
// A passive node asks at once, since nobody else brings it. One that follows the store waits for its own answer for a while first. Neither asks
// again before FollowerTimes::askEvery_: while engines register there are new versions all the time.
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

    // A peer has that version, which this node doesn't know. True: a passive node asks now.
    bool mustAsk(std::uint64_t version, bool isPassive, TimePoint now)
    {
        if (version <= version_)
            return false;
        version_ = version;
        aheadSince_ = now;
        return isPassive && mayAsk(now);
    }

    // This node still doesn't know version(). True: it asks now.
    bool mustAskAgain(bool isPassive, TimePoint now)
    {
        const Duration patience = isPassive ? Duration::zero() : times_.behindBound_;
        return now - aheadSince_ >= patience && mayAsk(now);
    }

    // The newest that a peer has; 0: none was heard of.
    std::uint64_t version() const { return version_; }

private:
    bool mayAsk(TimePoint now)
    {
        if (now - askedAt_ < times_.askEvery_)
            return false;
        askedAt_ = now;
        return true;
    }

    FollowerTimes times_;
    std::uint64_t version_ = 0;
    TimePoint aheadSince_ {};
    TimePoint askedAt_ {};
};

} // namespace jj
