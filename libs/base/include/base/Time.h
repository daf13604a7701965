// Time as the whole project sees it.
//
// Decision code never asks the system for the time: it receives a TimePoint with each event and tick. A TimePoint counts
// nanoseconds of the runtime's monotonic clock of one process and means nothing in another process. What has to mean the same
// on all hosts (deadlines kept in the object API, lease expiry shown to operators) is a WallTime.
//
//     ManualClock clock;
//     clock.advance(50ms);          // tests pause and advance time
//     core.tick(clock.now());
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace jj {

using namespace std::chrono_literals;

using Duration = std::chrono::nanoseconds;

using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Milliseconds since the Unix epoch, UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

constexpr TimePoint neverTime = TimePoint::max();

constexpr double toMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
constexpr double toSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e9; }
constexpr Duration fromSeconds(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e9)); }

// The clock of a runtime: virtual in tests and replays, the CAF system's clock in a daemon.
template <class T>
concept Clock = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
    {
        clock.wallNow()
        } -> std::same_as<WallTime>;
};

// A clock that stands still until it is advanced.
class ManualClock {
public:
    TimePoint now() const { return now_; }
    WallTime wallNow() const { return std::chrono::time_point_cast<std::chrono::milliseconds>(wallStart_ + std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch())); }
    void advance(Duration step) { now_ += step; }
    void set(TimePoint time) { now_ = time; }

private:
    TimePoint now_ {};
    // 2026-01-01T00:00:00Z: any fixed instant serves, a round one reads well in logs.
    WallTime wallStart_ { std::chrono::milliseconds(1'767'225'600'000) };
};

static_assert(Clock<ManualClock>);

// The process's own monotonic and wall clocks, for programs without a runtime of their own (tools, stand-ins).
class SystemClock {
public:
    TimePoint now() const { return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())); }
    WallTime wallNow() const { return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()); }
};

static_assert(Clock<SystemClock>);

} // namespace jj
