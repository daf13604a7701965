// Circuit of one upstream at its home: closed, open after failures, half-open after a healthy probe until one request succeeds.
#pragma once

#include "decisions/Events.h"

#include <algorithm>

namespace jj {

class Circuit {
public:
    enum class State : std::uint8_t {
        Closed,
        Open,
        HalfOpen, // one request at a time
    };

    State state() const { return state_; }
    bool isOpen() const { return state_ == State::Open; }

    // Returns true when this failure opened the circuit.
    bool onFailure(FailureClass failure, TimePoint now)
    {
        ++failures_;
        const bool certain = failure == FailureClass::Connect || failure == FailureClass::Crashed;
        if (state_ == State::Open || (state_ == State::Closed && !certain && failures_ < failuresToOpen))
            return false;
        backoff_ = state_ == State::HalfOpen ? std::min(longest, backoff_ * 2) : shortest;
        state_ = State::Open;
        probeAt_ = now + backoff_;
        return true;
    }

    void onSuccess()
    {
        failures_ = 0;
        // An answer that was under way before the upstream failed proves nothing about it now.
        if (state_ == State::HalfOpen)
            state_ = State::Closed;
    }

    // Whether a probe is due; the next one is then a backoff later.
    bool takeProbe(TimePoint now)
    {
        if (state_ != State::Open || now < probeAt_)
            return false;
        probeAt_ = now + backoff_;
        return true;
    }

    void onProbe(bool healthy, TimePoint now)
    {
        if (state_ != State::Open)
            return;
        if (healthy) {
            state_ = State::HalfOpen;
            return;
        }
        backoff_ = std::min(longest, backoff_ * 2);
        probeAt_ = now + backoff_;
    }

private:
    static constexpr std::uint32_t failuresToOpen = 3;
    static constexpr Duration shortest = std::chrono::milliseconds(250);
    static constexpr Duration longest = std::chrono::seconds(8);

    State state_ = State::Closed;
    std::uint32_t failures_ = 0;
    Duration backoff_ = shortest;
    TimePoint probeAt_ {};
};

} // namespace jj
