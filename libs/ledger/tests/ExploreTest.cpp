// Runs 20,000 randomized schedules of the job scheduler (1,000 in a sanitized build), each from its own seed. Jobs are
// submitted, read, cancelled and submitted again while hosts crash, pause or are considered dead, one of them repeatedly loses its disk,
// transfers of jobs are lost, repeated or late, and the store loses answers, refuses single calls, executes writes late, is slow or is
// unavailable, to all hosts or to one. Owners are replaced for a time, hosts leave, and all of them are killed or lose power at once. The
// guarantees to callers must hold in each schedule.
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
constexpr Duration settled = 1s; // what has been read for so long is in every answer
constexpr Duration callTimeout = 1200ms; // as JobFront's
constexpr int maxHops = 3;

// What a caller has seen of a job. Later reads must not contradict it.
struct Seen {
    std::vector<JobResult> results_;
    std::map<TimePoint, std::size_t> readAt_; // the number of results that had been read by then
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
        world_.lateMessages_ = pick(2) == 0;
        knowsOfCuts_ = pick(3) > 0;
        if (seed % 2 == 0)
            rejectItems();
        if (pick(2) == 0)
            return;
        // Jobs stay open with a part of their results over restarts.
        world_.slots_ = 1 + pick(2);
        world_.stepsPerEvent_ = 10 + static_cast<int>(pick(pick(2) == 0 ? 20 : 35));
        rounds_ = 14 + static_cast<int>(pick(20));
    }

    void run()
    {
        // Owners that have been available for long answer reads from memory.
        if (pick(4) == 0)
            world_.advance(SchedulerSettings().replacementWindow_ + 1s);
        const std::size_t jobs = 1 + pick(3);
        for (std::size_t job = 0; job < jobs; ++job)
            submit("j" + std::to_string(job));
        for (int rounds = 0; rounds < rounds_; ++rounds) {
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

    // Two items of each job fail at each run.
    void rejectItems()
    {
        for (const char* job : { "j0", "j1", "j2" }) {
            world_.rejectedItems_[std::string(job) + "-0"] = RunResult::Failed;
            world_.rejectedItems_[std::string(job) + "-1"] = RunResult::Unprocessable;
        }
    }

    void submit(const JobName& job)
    {
        seen_.try_emplace(job);
        const std::size_t through = pick(hosts);
        if (!isUsable(through))
            return;
        ++seen_[job].submissions_;
        const std::uint32_t items = itemsOf(job);
        if (pick(2) == 0)
            world_.submit(through, job, items, pick(hosts));
        else
            world_.take(through, job, items);
    }

    void injectFault()
    {
        const std::size_t index = pick(hosts);
        LedgerWorld::Host& host = world_.host(index);
        switch (pick(27)) {
        case 0:
            if (host.isAlive_)
                pick(2) == 0 ? world_.kill(index) : world_.losePower(index);
            break;
        case 1:
            if (!host.isAlive_) {
                // The two copies of a job tolerate the loss of one disk, so only one host ever loses its disk.
                if (index == failingDiskHost_ && pick(2) == 0)
                    world_.wipeDisk(index);
                restart(index);
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
            cutOff(index, true);
            break;
        case 5:
            cutOff(index, false);
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
        case 14:
            if (pick(2) == 0)
                endAll();
            break;
        case 15:
            if (isUsable(index) && pick(2) == 0)
                world_.leave(index);
            break;
        case 16:
            // Above the time after which calls are hedged.
            world_.store_.faults().delay_ = pick(2) == 0 ? 2ms : std::chrono::milliseconds(20 + pick(150));
            break;
        case 17:
            slowForAWhile();
            break;
        case 18:
            if (world_.leaving_.contains(host.id_) && host.isAlive_)
                world_.kill(index);
            break;
        case 19:
            // The store is unavailable while a job comes in, so that it is spooled.
            world_.store_.core().setOutage(true);
            submit("j" + std::to_string(pick(seen_.size())));
            world_.later(700ms, [this] { world_.store_.core().setOutage(false); });
            if (pick(3) == 0)
                world_.later(700ms + std::chrono::milliseconds(pick(100)), [this, index] { losePowerForAWhile(index); });
            break;
        case 20:
            world_.refusedCalls_ = pick(2) == 0 ? 0 : 0.3;
            break;
        case 21:
            world_.lateWrites_ = pick(2) == 0 ? 0 : 0.3;
            break;
        case 22:
            host.isStoreUnreachable_ = true;
            world_.later(std::chrono::milliseconds(300 + pick(2500)), [&host] { host.isStoreUnreachable_ = false; });
            break;
        case 23:
            loseAnswersThenStore();
            break;
        case 24:
            replaceForATime(pickOwner());
            break;
        case 25:
            restartWhileReplaced(pickOwner());
            break;
        case 26:
            keepEnginesBusy(index);
            break;
        }
    }

    // The effects of some tenths of a second are unknown to their senders, which then can't ask either.
    void loseAnswersThenStore()
    {
        world_.store_.faults().lostAfter_ = 1;
        world_.later(std::chrono::milliseconds(100 + pick(400)), [this] {
            world_.store_.faults().lostAfter_ = 0;
            world_.store_.core().setOutage(true);
            world_.later(std::chrono::milliseconds(300 + pick(1200)), [this] { world_.store_.core().setOutage(false); });
        });
    }

    // The owner of a job is paused, or cut off from its peers and perhaps from the store, until others have taken over its jobs, listed results
    // and, mostly, given the jobs back, at times without a message that reaches it.
    void replaceForATime(std::size_t index)
    {
        LedgerWorld::Host& host = world_.host(index);
        if (!isUsable(index))
            return;
        if (pick(2) == 0)
            world_.pause(index);
        host.isStoreUnreachable_ = pick(2) == 0;
        world_.cutOff(index, true);
        scanAll();
        continueFor(400 + pick(1200));
        const bool areTransfersLost = std::exchange(world_.loseTransfers_, pick(3) > 0);
        world_.cutOff(index, false);
        if (pick(4) > 0)
            giveBack(index);
        world_.loseTransfers_ = areTransfersLost;
        host.isStoreUnreachable_ = false;
        if (host.isPaused_)
            world_.resume(index);
    }

    // The owner of a job restarts while others still consider it dead and take over its jobs, so that two of them load a job at the same time.
    void restartWhileReplaced(std::size_t index)
    {
        if (!isUsable(index))
            return;
        world_.kill(index);
        world_.cutOff(index, true);
        world_.advance(50ms + std::chrono::milliseconds(pick(300)));
        slowForAWhile();
        world_.store_.faults().delayJitter_ = std::chrono::milliseconds(1 + pick(200));
        restart(index);
        world_.later(std::chrono::milliseconds(pick(300)), [this] { scanAll(); });
        for (std::size_t other = 0; other < hosts; ++other) {
            if (other != index && pick(2) == 0)
                keepEnginesBusy(other);
        }
        world_.later(std::chrono::milliseconds(300 + pick(1500)), [this, index] { world_.cutOff(index, false); });
    }

    // Online requests take all slots of the host, so that no item starts there and it lists nothing.
    void keepEnginesBusy(std::size_t index)
    {
        LedgerWorld::Host& host = world_.host(index);
        host.areEnginesBusy_ = true;
        world_.later(std::chrono::milliseconds(500 + pick(2500)), [&host] { host.areEnginesBusy_ = false; });
    }

    void giveBack(std::size_t to)
    {
        world_.firstPreferred_ = to;
        // A job with results that aren't listed yet isn't handed over.
        for (int tries = 0; tries < 6; ++tries) {
            for (std::size_t index = 0; index < hosts; ++index) {
                if (index != to && isUsable(index))
                    world_.scheduler(index).handOverMisplaced(world_.now());
            }
            world_.advance(50ms);
        }
        continueFor(pick(1000));
    }

    void continueFor(std::uint64_t milliseconds)
    {
        for (std::uint64_t passed = 0; passed < milliseconds; passed += 200) {
            world_.advance(200ms);
            readJobs();
        }
    }

    // Returns the host that owns a job of the schedule.
    std::size_t pickOwner()
    {
        const auto& objects = world_.store_.core().objects();
        const auto found = objects.find(headKey("j" + std::to_string(pick(seen_.size()))));
        const auto head = found == objects.end() ? Result<JobHead>(LedgerError::BadRecord) : decodeHead(found->second.value_);
        return head && !head.value().owner_.isNone() ? world_.indexOf(head.value().owner_) : pick(hosts);
    }

    void scanAll()
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            if (isUsable(index))
                world_.scheduler(index).scan(false, world_.now());
        }
    }

    // In a part of the schedules hosts don't know that their peers receive nothing from them. Positions must agree even then.
    void cutOff(std::size_t index, bool isCutOff)
    {
        hasUnnoticedCut_ = hasUnnoticedCut_ || !knowsOfCuts_;
        knowsOfCuts_ ? world_.cutOff(index, isCutOff) : world_.markDead(index, isCutOff);
    }

    // The processes of all hosts end at the same moment, by a kill or a loss of power, and are back within a second.
    void endAll()
    {
        const bool isPowerLost = pick(2) == 0;
        for (std::size_t index = 0; index < hosts; ++index)
            isPowerLost ? world_.losePower(index) : world_.kill(index);
        if (pick(2) == 0)
            slowForAWhile();
        world_.advance(200ms + std::chrono::milliseconds(pick(800)));
        for (std::size_t index = 0; index < hosts; ++index)
            restart(index);
    }

    // Power is lost at this host or at all, and is back within a second.
    void losePowerForAWhile(std::size_t only)
    {
        const bool isLostAtAll = pick(2) == 0;
        for (std::size_t index = 0; index < hosts; ++index) {
            if (!isLostAtAll && index != only)
                continue;
            world_.losePower(index);
            world_.later(std::chrono::milliseconds(100 + pick(800)), [this, index] {
                if (!world_.host(index).isAlive_)
                    restart(index);
            });
        }
    }

    void restart(std::size_t index)
    {
        world_.host(index).isPaused_ = false;
        world_.start(index);
        world_.scheduler(index).tick(world_.now(), world_.wall());
        // The first scan comes after the copies on the disk are uploaded, if the store is slow.
        const bool isScanLate = pick(2) == 0;
        world_.later(std::chrono::milliseconds(isScanLate ? pick(1200) : 0), [this, index] {
            world_.at(index, [this, index] { world_.scheduler(index).scan(false, world_.now()); });
        });
    }

    // Answers of the store come later than usual for some tenths of a second, so that calls are hedged and meet their own effect.
    void slowForAWhile()
    {
        world_.store_.faults().delay_ = std::chrono::milliseconds(60 + pick(120));
        world_.later(std::chrono::milliseconds(300 + pick(1000)), [this] { world_.store_.faults().delay_ = 2ms; });
    }

    static std::uint32_t itemsOf(const JobName& job) { return 2 + static_cast<std::uint32_t>(job.back() - '0') * 3; }

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
            // Reads at one host, in a part of the cases from the store, as a node does that gets no answer from the owner.
            Call direct { job, 0, {}, index, world_.now(), wasAcknowledged, {} };
            direct.isForced_ = pick(3) == 0;
            world_.scheduler(index).read(job, 0, {}, direct.isForced_, world_.now(), [this, direct](const ReadAnswer& answer) { checkRead(direct, answer); });
            const std::size_t entry = pick(hosts);
            if (!isUsable(entry))
                continue;
            const auto after = static_cast<std::uint32_t>(pick(3) == 0 ? pick(seen.results_.size() + 1) : 0);
            const bool isWaiting = pick(2) == 0;
            auto call = std::make_shared<Call>(Call { job, after, std::chrono::milliseconds(isWaiting ? pick(1000) : 0), entry, world_.now(), wasAcknowledged, {} });
            const auto presumed = owners_.find({ entry, job });
            const bool isKnown = presumed != owners_.end() && !world_.host(entry).consideredDead_.contains(presumed->second);
            call->next_ = isKnown ? presumed->second : world_.preferredOwner(entry);
            call->entryIncarnation_ = world_.host(entry).incarnation_;
            queryOwner(call);
        }
    }

    // A read of a caller. It takes JobFront's way: to the presumed owner, to the owner that this one names, and to the store.
    struct Call {
        JobName job_;
        std::uint32_t after_ = 0;
        Duration wait_ {};
        std::size_t entry_ = 0; // the host that received the call
        TimePoint askedAt_ {};
        bool wasAcknowledged_ = false;
        NodeId next_; // the host to query next
        std::uint64_t entryIncarnation_ = 0;
        int hops_ = 0;
        bool isForced_ = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    void queryOwner(const CallPtr& call)
    {
        const NodeId self = world_.host(call->entry_).id_;
        if (call->next_ == self || call->next_.isNone())
            return answerLocally(call, call->next_.isNone());
        const auto isOpen = std::make_shared<bool>(true);
        const std::size_t owner = world_.indexOf(call->next_);
        world_.at(owner, [this, call, owner, isOpen] {
            world_.scheduler(owner).read(call->job_, call->after_, call->wait_, false, world_.now(), [this, call, isOpen](const ReadAnswer& answer) {
                if (std::exchange(*isOpen, false))
                    atEntry(call, [this, call, answer] { onReply(call, answer, false); });
            });
        });
        world_.later(callTimeout, [this, call, isOpen] {
            if (std::exchange(*isOpen, false))
                atEntry(call, [this, call] { answerLocally(call, true); });
        });
    }

    void atEntry(const CallPtr& call, const std::function<void()>& action)
    {
        if (world_.host(call->entry_).incarnation_ == call->entryIncarnation_)
            world_.at(call->entry_, action);
    }

    void answerLocally(const CallPtr& call, bool isForced)
    {
        call->isForced_ = isForced;
        world_.scheduler(call->entry_).read(call->job_, call->after_, call->wait_, isForced, world_.now(), [this, call](const ReadAnswer& answer) { onReply(call, answer, true); });
    }

    void onReply(const CallPtr& call, const ReadAnswer& answer, bool wasLocal)
    {
        const bool mayContinue = ++call->hops_ < maxHops && world_.now() - call->askedAt_ < call->wait_ + callTimeout;
        if (answer.outcome_ == ReadOutcome::OtherOwner && mayContinue) {
            owners_[{ call->entry_, call->job_ }] = answer.owner_;
            call->next_ = answer.owner_;
            return answer.owner_ == world_.host(call->entry_).id_ && wasLocal ? answerLocally(call, true) : queryOwner(call);
        }
        if (answer.outcome_ == ReadOutcome::Unavailable && !wasLocal && mayContinue)
            return answerLocally(call, true);
        if (answer.outcome_ == ReadOutcome::Found && !wasLocal)
            owners_[{ call->entry_, call->job_ }] = call->next_;
        checkRead(*call, answer);
    }

    void checkRead(const Call& call, const ReadAnswer& answer)
    {
        // A read never reports an acknowledged job as missing.
        if (answer.outcome_ == ReadOutcome::Missing)
            CHECK_FALSE(call.wasAcknowledged_);
        if (answer.outcome_ != ReadOutcome::Found)
            return;
        Seen& seen = seen_[call.job_];
        std::vector<JobResult>& known = seen.results_;
        REQUIRE(call.after_ <= known.size());
        const std::size_t common = std::min(known.size() - call.after_, answer.results_.size());
        const auto first = known.begin() + call.after_;
        CHECK(std::equal(first, first + static_cast<std::ptrdiff_t>(common), answer.results_.begin()));
        const std::size_t end = call.after_ + answer.results_.size();
        const auto later = seen.readAt_.upper_bound(call.askedAt_ - settled);
        const std::size_t settledCount = later == seen.readAt_.begin() ? 0 : std::prev(later)->second;
        // An answer may hold only a part of the results, but at least one if there is one. The caller then reads on.
        const bool isPartial = !hasUnnoticedCut_ && !answer.results_.empty() && end < settledCount;
        if (isPartial)
            readOn(call, static_cast<std::uint32_t>(end));
        if (!hasUnnoticedCut_ && !isPartial && settledCount > call.after_) {
            CAPTURE(call.job_);
            CAPTURE(call.after_);
            CAPTURE(call.entry_);
            CAPTURE(call.isForced_);
            CAPTURE(call.hops_);
            CHECK(end >= settledCount);
        }
        if (end > known.size())
            known.insert(known.end(), answer.results_.begin() + static_cast<std::ptrdiff_t>(known.size() - call.after_), answer.results_.end());
        const std::size_t read = seen.readAt_.empty() ? 0 : seen.readAt_.rbegin()->second;
        if (end > read)
            seen.readAt_[world_.now()] = end;
    }

    // The answer has to hold what had been read a second before the first call.
    void readOn(const Call& call, std::uint32_t after)
    {
        if (!isUsable(call.entry_))
            return;
        auto next = std::make_shared<Call>(call);
        next->after_ = after;
        next->wait_ = {};
        next->hops_ = 0;
        next->entryIncarnation_ = world_.host(call.entry_).incarnation_;
        const auto presumed = owners_.find({ call.entry_, call.job_ });
        next->next_ = presumed != owners_.end() ? presumed->second : world_.preferredOwner(call.entry_);
        queryOwner(next);
    }

    void removeFaults()
    {
        world_.store_.core().setOutage(false);
        world_.store_.faults() = VirtualStoreFaults();
        world_.refusedCalls_ = 0;
        world_.lateWrites_ = 0;
        world_.loseTransfers_ = false;
        for (std::size_t index = 0; index < hosts; ++index) {
            if (world_.leaving_.contains(world_.host(index).id_))
                world_.kill(index);
            if (!world_.host(index).isAlive_)
                world_.start(index);
            if (world_.host(index).isPaused_)
                world_.resume(index);
            world_.host(index).isStoreUnreachable_ = false;
            world_.host(index).areEnginesBusy_ = false;
            cutOff(index, false);
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
                CHECK(stored.size() == itemsOf(job));
            for (const JobResult& result : stored)
                checkState(result);
            // All submissions of this job were refused as "not run", so none of its items may have run.
            if (seen.submissions_ > 0 && seen.refusals_ == seen.submissions_) {
                for (const std::string& item : world_.starts_)
                    CHECK_FALSE(item.starts_with(job + "-"));
            }
        }
    }

    // An item is errored if engines have rejected it as often as its job allows, and only then.
    void checkState(const JobResult& result)
    {
        CAPTURE(result.item_);
        const auto rejected = world_.rejectedItems_.find(result.item_);
        const bool isRejected = rejected != world_.rejectedItems_.end();
        REQUIRE(isRejected == (result.state_ == ResultState::Errored));
        if (isRejected)
            CHECK(world_.rejections_[result.item_] >= (rejected->second == RunResult::Failed ? LedgerWorld::submission("", 0).head_.maxAttempts_ : 1U));
    }

    LedgerWorld world_;
    std::mt19937_64 random_;
    std::map<JobName, Seen> seen_;
    std::map<std::pair<std::size_t, JobName>, NodeId> owners_; // as each host knows them from answers, perhaps outdated
    int rounds_ = 14;
    bool knowsOfCuts_ = true;
    bool hasUnnoticedCut_ = false;
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
