// Runs 20,000 randomized schedules of the job scheduler (1,000 in a sanitized build), each from its own seed. Jobs are
// submitted, read, cancelled and submitted again while hosts crash, pause or are considered dead, one of them repeatedly loses its disk,
// transfers of jobs are lost, and the store loses answers, is slow or is unavailable. The guarantees to callers must hold in each schedule.
#include "LedgerWorld.h"

#include <chrono>

using namespace jj;

namespace {

// A sanitized build is at least ten times slower.
#ifdef JJ_SANITIZED
constexpr int schedules = 1'000;
#else
constexpr int schedules = 20'000;
#endif
constexpr std::size_t hosts = 3;

// What a caller has seen of a job. Later reads must not contradict it.
struct Seen {
    std::vector<JobResult> results_;
    bool isAcknowledged_ = false;
    std::size_t submissions_ = 0;
    std::size_t refusals_ = 0; // number of submissions answered with NotAccepted; a submission whose node died gets no answer
    bool isCancelRequested_ = false; // a cancellation without an answer may still take effect
};

class Schedule {
public:
    explicit Schedule(std::uint64_t seed)
        : world_(seed, hosts)
        , random_(seed * 7919 + 1)
    {
        world_.slots_ = 2 + pick(4);
        world_.stepsPerEvent_ = 1 + static_cast<int>(pick(6));
    }

    void run()
    {
        const std::size_t jobs = 1 + pick(2);
        for (std::size_t job = 0; job < jobs; ++job)
            submit("j" + std::to_string(job));
        for (int rounds = 0; rounds < 14; ++rounds) {
            injectFault();
            world_.advance(30ms + std::chrono::milliseconds(pick(300)));
            readJobs();
        }
        removeFaults();
        world_.advance(7s);
        for (std::size_t index = 0; index < hosts; ++index)
            world_.scheduler(index).scan(false, world_.now());
        world_.advance(8s);
        check();
    }

private:
    std::uint64_t pick(std::uint64_t below) { return random_() % below; }

    void submit(const JobName& job)
    {
        seen_.try_emplace(job);
        const std::size_t through = pick(hosts);
        if (!isUsable(through))
            return;
        ++seen_[job].submissions_;
        const std::uint32_t items = 2 + static_cast<std::uint32_t>(job.back() - '0') * 3;
        if (pick(2) == 0)
            world_.submit(through, job, items, pick(hosts));
        else
            world_.take(through, job, items);
    }

    void injectFault()
    {
        const std::size_t index = pick(hosts);
        LedgerWorld::Host& host = world_.host(index);
        switch (pick(14)) {
        case 0:
            if (host.isAlive_)
                world_.kill(index);
            break;
        case 1:
            if (!host.isAlive_) {
                host.isPaused_ = false;
                // The two copies of a job tolerate the loss of one disk, so only one host ever loses its disk.
                if (index == failingDiskHost_ && pick(2) == 0)
                    world_.wipeDisk(index);
                world_.start(index);
                world_.scheduler(index).tick(world_.now(), world_.wall());
                world_.scheduler(index).scan(false, world_.now());
            }
            break;
        case 2:
            if (host.isAlive_)
                world_.pause(index);
            break;
        case 3:
            if (host.isPaused_)
                world_.resume(index);
            break;
        case 4:
            world_.markDead(index);
            break;
        case 5:
            world_.markDead(index, false);
            break;
        case 6:
            world_.store_.loseNextAnswer();
            break;
        case 7:
            world_.store_.loseNextCall();
            break;
        case 8:
            world_.store_.core().setOutage(!world_.store_.core().isOut());
            break;
        case 9:
            world_.store_.faults().delayJitter_ = std::chrono::milliseconds(pick(200));
            break;
        case 10:
            world_.store_.faults().lostAfter_ = pick(2) == 0 ? 0 : 0.2;
            break;
        case 11:
            if (isUsable(index))
                world_.scheduler(index).scan(pick(2) == 0, world_.now());
            break;
        case 12:
            submit("j" + std::to_string(pick(seen_.size())));
            break;
        case 13:
            if (pick(3) == 0)
                end("j" + std::to_string(pick(seen_.size())), index);
            else
                world_.loseTransfers_ = !world_.loseTransfers_;
            break;
        }
    }

    bool isUsable(std::size_t index) { return world_.host(index).isAlive_ && !world_.host(index).isPaused_; }

    void end(const JobName& job, std::size_t index)
    {
        if (!isUsable(index))
            return;
        seen_[job].isCancelRequested_ = true;
        world_.scheduler(index).end(job, pick(2) == 0, world_.now(), [](const CancelAnswer&) {});
    }

    void readJobs()
    {
        for (auto& [job, seen] : seen_) {
            seen.refusals_ = 0;
            for (const AcceptOutcome outcome : world_.outcomes_[job]) {
                seen.isAcknowledged_ = seen.isAcknowledged_ || outcome == AcceptOutcome::Accepted || outcome == AcceptOutcome::AlreadyAccepted || outcome == AcceptOutcome::Spooled;
                seen.refusals_ += outcome == AcceptOutcome::NotAccepted ? 1 : 0;
            }
            const std::size_t index = pick(hosts);
            if (!isUsable(index))
                continue;
            const bool wasAcknowledged = seen.isAcknowledged_;
            world_.scheduler(index).read(job, 0, {}, pick(3) == 0, world_.now(), [this, job = job, wasAcknowledged](const ReadAnswer& answer) { checkRead(job, answer, wasAcknowledged); });
        }
    }

    void checkRead(const JobName& job, const ReadAnswer& answer, bool wasAcknowledged)
    {
        // A read never reports an acknowledged job as missing.
        if (answer.outcome_ == ReadOutcome::Missing)
            CHECK_FALSE(wasAcknowledged);
        if (answer.outcome_ != ReadOutcome::Found)
            return;
        std::vector<JobResult>& known = seen_[job].results_;
        const std::size_t common = std::min(known.size(), answer.results_.size());
        CHECK(std::equal(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(common), answer.results_.begin()));
        if (answer.results_.size() > known.size())
            known = answer.results_;
    }

    void removeFaults()
    {
        world_.store_.core().setOutage(false);
        world_.store_.faults() = VirtualStoreFaults();
        world_.loseTransfers_ = false;
        for (std::size_t index = 0; index < hosts; ++index) {
            if (!world_.host(index).isAlive_)
                world_.start(index);
            if (world_.host(index).isPaused_)
                world_.resume(index);
            world_.markDead(index, false);
        }
        world_.advance(100ms);
        for (std::size_t index = 0; index < hosts; ++index)
            world_.scheduler(index).scan(false, world_.now());
    }

    void check()
    {
        readJobs();
        world_.advance(500ms);
        for (const auto& entry : seen_) {
            const JobName& job = entry.first;
            const Seen& seen = entry.second;
            CAPTURE(job);
            world_.checkResults(job);
            const auto stored = world_.stored(job);
            REQUIRE(stored.size() >= seen.results_.size());
            CHECK(std::equal(seen.results_.begin(), seen.results_.end(), stored.begin()));
            if (seen.isAcknowledged_ && !seen.isCancelRequested_)
                CHECK(stored.size() == 2 + static_cast<std::size_t>(job.back() - '0') * 3);
            // All submissions of this job were refused as "not run", so none of its items may have run.
            if (seen.submissions_ > 0 && seen.refusals_ == seen.submissions_) {
                for (const std::string& item : world_.starts_)
                    CHECK_FALSE(item.starts_with(job + "-"));
            }
        }
    }

    LedgerWorld world_;
    std::mt19937_64 random_;
    std::map<JobName, Seen> seen_;
    const std::size_t failingDiskHost_ = pick(hosts);
};

} // namespace

TEST_CASE("ledger: no randomized schedule loses or duplicates results")
{
    for (int seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        Schedule(static_cast<std::uint64_t>(seed)).run();
    }
}
