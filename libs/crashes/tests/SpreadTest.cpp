// Tests how fast all hosts of a fleet know a part that crashes engines, on a model of a network that loses datagrams.
//
// The model follows what hosts do in the serving library: the host that finds an engine down sends its records to all others at once, and
// each host repeats its records to two others a second.
#include "crashes/CrashSuspects.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace jj;

namespace {

constexpr Fingerprint shared { 0xa1 };
constexpr Fingerprint deadly { 0xdead };
constexpr double lossRate = 0.05;
constexpr Duration repeatPeriod = 1s;
constexpr std::size_t repeatReceivers = 2;
constexpr Duration step = 10ms;
constexpr Duration crashGap = 120ms;
// Hosts must know a part this long after the crash that proves it.
constexpr Duration bound = 4s;

class SpreadModel {
public:
    SpreadModel(std::size_t hosts, std::uint64_t seed)
        : hosts_(hosts)
        , repeatAt_(hosts)
        , random_(seed)
    {
        for (TimePoint& at : repeatAt_)
            at = now_ + std::chrono::milliseconds(random_() % 1000);
    }

    std::size_t anyHost() { return random_() % hosts_.size(); }

    void crash(std::size_t host, std::uint64_t engine)
    {
        const RequestFingerprints request { { shared, deadly }, Fingerprint(1000 + engine) };
        hosts_[host].lost(request, UpstreamId(engine), LossPoint::BeforeAnswer, now_);
        std::vector<SuspectRecord> records;
        for (const Fingerprint suspect : hosts_[host].engineCrashed(UpstreamId(engine), now_))
            records.push_back(hosts_[host].recordOf(suspect, now_));
        for (std::size_t other = 0; other < hosts_.size(); ++other)
            send(host, other, records);
    }

    void run(Duration time)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += step) {
            deliver();
            for (std::size_t host = 0; host < hosts_.size(); ++host)
                repeat(host);
        }
    }

    std::size_t knowing()
    {
        return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [this](CrashSuspects& host) { return host.findBlocked({ { shared, deadly }, Fingerprint(5) }, now_).has_value(); }));
    }

    void restart(std::size_t host) { hosts_[host] = CrashSuspects(); }
    std::size_t datagrams() const { return datagrams_; }

private:
    struct Datagram {
        std::size_t to_ = 0;
        TimePoint sentAt_ {};
        std::vector<SuspectRecord> records_;
    };

    void send(std::size_t from, std::size_t to, const std::vector<SuspectRecord>& records)
    {
        if (from == to || records.empty())
            return;
        ++datagrams_;
        if (std::uniform_real_distribution<>()(random_) >= lossRate)
            inFlight_.insert({ now_ + std::chrono::milliseconds(1 + random_() % 30), { to, now_, records } });
    }

    void deliver()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
            const Datagram datagram = std::move(inFlight_.begin()->second);
            inFlight_.erase(inFlight_.begin());
            for (const SuspectRecord& record : datagram.records_)
                hosts_[datagram.to_].merge(record, now_);
        }
    }

    void repeat(std::size_t host)
    {
        if (now_ < repeatAt_[host])
            return;
        repeatAt_[host] += repeatPeriod;
        const auto records = hosts_[host].recordsToRepeat(now_);
        for (std::size_t receiver = 0; receiver < repeatReceivers; ++receiver)
            send(host, anyHost(), records);
    }

    TimePoint now_ {};
    std::vector<CrashSuspects> hosts_;
    std::vector<TimePoint> repeatAt_;
    std::multimap<TimePoint, Datagram> inFlight_; // by the time of arrival
    std::mt19937_64 random_;
    std::size_t datagrams_ = 0;
};

} // namespace

// Guards against hosts that go on sending requests with a part of which the others know that it crashes engines.
TEST_CASE("all hosts of a fleet know a part that crashes engines in time")
{
    for (const std::size_t hosts : { 12U, 100U, 300U }) {
        Duration slowest {};
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            SpreadModel fleet(hosts, seed);
            for (std::uint64_t engine = 1; engine <= 3; ++engine) {
                fleet.run(crashGap);
                fleet.crash(fleet.anyHost(), engine);
            }
            Duration taken {};
            for (; fleet.knowing() < hosts && taken < bound; taken += step)
                fleet.run(step);
            CHECK(fleet.knowing() == hosts);
            slowest = std::max(slowest, taken);
        }
        MESSAGE(hosts << " hosts: the last one knows after " << toMilliseconds(slowest) << " ms at most");
    }
}

// Guards against a host that starts while such requests come, and sends them as if nothing had happened.
TEST_CASE("a host that has started again knows what crashes engines in time")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SpreadModel fleet(12, seed);
        for (std::uint64_t engine = 1; engine <= 3; ++engine)
            fleet.crash(fleet.anyHost(), engine);
        fleet.run(bound);
        REQUIRE(fleet.knowing() == 12);
        fleet.restart(fleet.anyHost());
        fleet.run(bound);
        CHECK(fleet.knowing() == 12);
    }
}

// Guards against messages that grow with the fleet at each host, or go on when there is nothing to know.
TEST_CASE("a host repeats two datagrams a second while a part is blocked, and none before an engine crashes")
{
    SpreadModel fleet(100, 1);
    fleet.run(10s);
    CHECK(fleet.datagrams() == 0);
    for (std::uint64_t engine = 1; engine <= 3; ++engine)
        fleet.crash(fleet.anyHost(), engine);
    fleet.run(5s);
    const std::size_t before = fleet.datagrams();
    fleet.run(10s);
    CHECK(fleet.datagrams() - before <= 100 * repeatReceivers * 10);
}
