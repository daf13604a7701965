// Runs randomized schedules in which jobs end while everything around them fails: hosts are killed, suspended, cut off from their peers or from
// the store, all are started anew; jobs change their owner; messages, marks of ends and writes are late, lost, repeated or overtaken; ends are
// repeated at other hosts. In each schedule, no item may start later than the bound after the end of its job was acknowledged.
#include "LateStarts.h"

using namespace jj;

namespace {

// A sanitized build is at least ten times slower.
#ifdef JJ_SANITIZED
constexpr int schedules = 100;
#else
constexpr int schedules = 2'000;
#endif
constexpr std::size_t hosts = 3;
constexpr int maxHops = 3; // as JobFront's

class EndingSchedule {
public:
    explicit EndingSchedule(std::uint64_t seed)
        : world_(seed, hosts)
        , late_(world_)
        , random_(seed * 6364136223846793005ULL + 1)
    {
        world_.slots_ = 1;
        world_.stepsPerEvent_ = 10 + static_cast<int>(pick(30));
        world_.lateMessages_ = pick(2) == 0;
        constexpr std::uint64_t noticeShares[] = { 0, 5, 50, 100 };
        noticePercent_ = noticeShares[pick(std::size(noticeShares))];
    }

    void run()
    {
        if (pick(3) == 0)
            world_.advance(SchedulerSettings().replacementWindow_ + 1s);
        for (int jobs = 0; jobs < 2; ++jobs)
            submit();
        for (int rounds = 0; rounds < 14; ++rounds) {
            injectFault();
            deliverMarks();
            world_.advance(milliseconds(20, 500));
        }
        world_.advance(7s);
        CAPTURE(late_.latest() / 1ms);
        CHECK(late_.count() == 0);
        CHECK(late_.latest() <= SchedulerSettings().startConfirmationLifetime_);
    }

    int lateStarts() const { return late_.count(); }
    std::size_t starts() const { return world_.starts_.size(); }

private:
    std::uint64_t pick(std::uint64_t below) { return random_() % below; }
    std::chrono::milliseconds milliseconds(std::uint64_t from, std::uint64_t to) { return std::chrono::milliseconds(from + pick(to - from)); }
    bool isUsable(std::size_t index) { return world_.host(index).isAlive_ && !world_.host(index).isPaused_; }

    void submit()
    {
        const std::size_t entry = pick(hosts);
        if (!isUsable(entry))
            return;
        const JobName job = "j" + std::to_string(jobs_++);
        // Enough to keep a host busy for longer than the schedule.
        constexpr std::uint32_t items = 60;
        if (pick(2) == 0)
            world_.submit(entry, job, items, pick(hosts));
        else
            world_.take(entry, job, items);
        // An end that closely follows the acceptance.
        if (pick(3) == 0)
            world_.later(milliseconds(5, 400), [this, job, index = pick(hosts)] { end(job, index); });
    }

    JobName anyJob() { return "j" + std::to_string(pick(jobs_)); }

    // A caller's call at one host, which goes to the presumed owner, then to the owner that this one names, or writes the head itself.
    void end(const JobName& job, std::size_t entry)
    {
        if (!isUsable(entry))
            return;
        const bool bypassesOwner = pick(3) == 0;
        end(job, entry, bypassesOwner ? entry : pick(hosts), bypassesOwner, 0);
    }

    void end(const JobName& job, std::size_t entry, std::size_t at, bool bypassOwner, int hops)
    {
        if (!isUsable(at))
            at = entry;
        if (!isUsable(at))
            return;
        const bool bypasses = bypassOwner && at == entry;
        world_.scheduler(at).end(job, bypasses, world_.now(), [this, job, entry, at, hops](const CancelAnswer& answer) {
            if (answer.outcome_ == ReadOutcome::Found)
                return late_.acknowledged(job);
            if (hops + 1 >= maxHops)
                return;
            if (answer.outcome_ == ReadOutcome::OtherOwner && !answer.owner_.isNone())
                return end(job, entry, world_.indexOf(answer.owner_), answer.owner_ == world_.host(entry).id_, hops + 1);
            if (answer.outcome_ == ReadOutcome::Unavailable && at != entry)
                end(job, entry, entry, true, hops + 1);
        });
    }

    // The watchers notify some hosts, at once or later.
    void deliverMarks()
    {
        for (std::uint64_t number = 0; number < jobs_; ++number) {
            const JobName job = "j" + std::to_string(number);
            if (!world_.store_.core().objects().contains(cancelMarkKey(job)))
                continue;
            for (std::size_t index = 0; index < hosts; ++index) {
                if (pick(100) < noticePercent_)
                    world_.later(milliseconds(0, 1500), [this, index, job] { world_.at(index, [this, index, job] { world_.scheduler(index).handleCancelMark(job, world_.now()); }); });
            }
        }
    }

    void injectFault()
    {
        const std::size_t index = pick(hosts);
        LedgerWorld::Host& host = world_.host(index);
        switch (pick(18)) {
        case 0:
        case 1:
        case 2:
            return end(anyJob(), index);
        case 3: {
            // The same end at all hosts.
            const JobName job = anyJob();
            for (std::size_t other = 0; other < hosts; ++other)
                world_.later(milliseconds(0, 1500), [this, job, other] { end(job, other); });
            return;
        }
        case 4:
            return submit();
        case 5:
            return restart(index);
        case 6:
            for (std::size_t other = 0; other < hosts; ++other)
                restart(other);
            return;
        case 7:
            if (!isUsable(index))
                return;
            world_.pause(index);
            return world_.later(milliseconds(200, 5000), [this, index] {
                if (world_.host(index).isPaused_)
                    world_.resume(index);
            });
        case 8:
            // Unnoticed by the host itself, or known to it.
            pick(2) == 0 ? world_.cutOff(index, true) : world_.markDead(index, true);
            return world_.later(milliseconds(300, 4000), [this, index] { world_.cutOff(index, false); });
        case 9:
        case 10:
            host.isStoreUnreachable_ = true;
            return world_.later(milliseconds(300, 6000), [&host] { host.isStoreUnreachable_ = false; });
        case 11:
            world_.store_.core().setOutage(true);
            return world_.later(milliseconds(300, 3000), [this] { world_.store_.core().setOutage(false); });
        case 12:
            world_.loseTransfers_ = !world_.loseTransfers_;
            return;
        case 13:
            world_.firstPreferred_ = index;
            for (std::size_t other = 0; other < hosts; ++other) {
                if (isUsable(other))
                    world_.scheduler(other).handOverMisplaced(world_.now());
            }
            return;
        case 14:
            world_.store_.faults().lostAfter_ = 0.5;
            return world_.later(milliseconds(100, 600), [this] { world_.store_.faults().lostAfter_ = 0; });
        case 15:
            world_.refusedCalls_ = pick(2) == 0 ? 0 : 0.3;
            world_.lateWrites_ = pick(2) == 0 ? 0 : 0.3;
            return;
        case 16:
            world_.store_.faults().delay_ = pick(2) == 0 ? 2ms : milliseconds(20, 170);
            return;
        default:
            if (isUsable(index))
                world_.scheduler(index).scan(false, world_.now());
        }
    }

    void restart(std::size_t index)
    {
        if (world_.host(index).isAlive_)
            pick(2) == 0 ? world_.kill(index) : world_.losePower(index);
        world_.later(milliseconds(100, 1500), [this, index] {
            if (world_.host(index).isAlive_)
                return;
            world_.host(index).isPaused_ = false;
            world_.start(index);
            world_.scheduler(index).tick(world_.now(), world_.wall());
            world_.later(milliseconds(0, 800), [this, index] { world_.at(index, [this, index] { world_.scheduler(index).scan(false, world_.now()); }); });
        });
    }

    LedgerWorld world_;
    LateStarts late_;
    std::mt19937_64 random_;
    std::uint64_t jobs_ = 0;
    std::uint64_t noticePercent_ = 0; // chance that a host is notified of a mark in a round
};

} // namespace

// Guards against items that start after the end of their job was acknowledged, in schedules that no one has thought of.
TEST_CASE("ledger: late starts: no item starts after its job's end in randomized schedules")
{
    int found = 0;
    std::size_t starts = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        EndingSchedule schedule(static_cast<std::uint64_t>(seed));
        schedule.run();
        found += schedule.lateStarts() > 0 ? 1 : 0;
        starts += schedule.starts();
    }
    // A rule that stops all items would keep the bound.
    CHECK(starts > 5 * static_cast<std::size_t>(schedules));
    MESSAGE("schedules with a late start: ", found, " of ", schedules, "; items started: ", starts);
}
