// Simulates several hosts in virtual time. Each has a scheduler, an intake and a spool, and all share one store. Simulated engines need
// several steps per item, and callers check what they read.
#pragma once

#include "MemoryDisk.h"
#include "ledger/Acceptor.h"
#include "ledger/JobIntake.h"
#include "ledger/JobScheduler.h"
#include "ledger/JobSpool.h"
#include "objects/VirtualStore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jj {

class LedgerWorld {
public:
    static constexpr std::uint32_t eventsPerItem = 3;
    static constexpr Duration step = 5ms;
    // The number of disks that may be lost at a time, plus one.
    static constexpr std::size_t copies = 2;
    static constexpr Duration spoolTimeout = 600ms;
    static constexpr WallTime wallStart { std::chrono::milliseconds(1'000'000'000) };

    struct Host {
        NodeId id_;
        bool isAlive_ = true; // the process runs
        bool isPaused_ = false; // the process is suspended
        bool isStoreUnreachable_ = false; // calls to the store are dropped
        std::unique_ptr<CallQueue> queue_;
        std::unique_ptr<JobScheduler> scheduler_;
        std::unique_ptr<Acceptor> acceptor_;
        MemoryDisk disk_;
        std::unique_ptr<JobSpool<MemoryDisk>> spool_;
        std::unique_ptr<JobIntake> intake_;
        std::uint64_t incarnation_ = 0; // incremented with each process; callbacks of earlier processes are ignored
        std::vector<ItemRun> runs_; // runs on the engines
        std::map<RunId, std::uint32_t> stepCounts_; // number of steps that each run has taken
        std::set<NodeId> consideredDead_; // hosts that this host considers dead
        bool areEnginesBusy_ = false; // online requests take all of its slots, so that no item starts
        bool mayBeReplaced_ = false; // as reported by the host's fleet view
        std::vector<std::function<void()>> heldMessages_; // messages that arrived while the host was paused
    };

    // Settings with a short commit window. Items take about 15 ms here, so a job gets several pages, and failures can happen between two
    // pages.
    static SchedulerSettings shortCommitWindow()
    {
        SchedulerSettings settings;
        settings.commitWindow_ = 300ms;
        return settings;
    }

    explicit LedgerWorld(std::uint64_t seed, std::size_t hosts = 2, const SchedulerSettings& scheduler = shortCommitWindow())
        : scheduler_(scheduler)
        , store_(seed, MemoryStoreSettings { 0, 0, 1s, 100'000, 50 })
        , random_(seed)
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            hosts_.push_back(std::make_unique<Host>());
            hosts_.back()->id_ = NodeId(100 + index);
            start(index);
            hosts_.back()->scheduler_->scan(false, now_);
        }
        // The first scan ends before the tests begin.
        advance(2 * step);
    }

    Host& host(std::size_t index) { return *hosts_[index]; }
    JobScheduler& scheduler(std::size_t index) { return *hosts_[index]->scheduler_; }
    TimePoint now() const { return now_; }
    WallTime wall() const { return wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()) + wallShift_; }

    void start(std::size_t index)
    {
        Host& host = *hosts_[index];
        ++host.incarnation_;
        host.isAlive_ = true;
        leaving_.erase(host.id_);
        host.runs_.clear();
        host.stepCounts_.clear();
        CallQueueSettings queue;
        queue.budget_.readsPerSecond_ = 1e6;
        queue.budget_.writesPerSecond_ = 1e6;
        queue.budget_.probeEvery_ = 50ms;
        queue.budget_.rampTime_ = 100ms;
        queue.longestBackoff_ = 200ms;
        queue.answerBound_ = 1s;
        queue.hedges_ = hedges_;
        host.queue_ = std::make_unique<CallQueue>(queue, random_());
        LedgerStore send = [this, index, incarnation = host.incarnation_](ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) {
            Host& own = *hosts_[index];
            if (own.incarnation_ == incarnation)
                own.queue_->send(std::move(call), callClass, until, std::move(done));
        };
        SchedulerOutlets outlets;
        outlets.store_ = send;
        outlets.self_ = host.id_;
        outlets.isLive_ = [this, index](NodeId node) { return !node.isNone() && !hosts_[index]->consideredDead_.contains(node); };
        outlets.preferredOwner_ = [this, index](std::string_view, NodeId) { return preferredOwner(index); };
        outlets.stop_ = [this, index](RunId run) { std::erase_if(hosts_[index]->runs_, [run](const ItemRun& one) { return one.id_ == run; }); };
        outlets.transfer_ = [this](NodeId to, const JobTransfer& job) {
            for (std::size_t other = 0; other < hosts_.size(); ++other) {
                if (hosts_[other]->id_ == to && !loseTransfers_)
                    at(other, [this, other, job] { scheduler(other).adopt(job, now_, wall()); });
            }
        };
        outlets.shareFailures_ = [this, index](const JobFailures& failures) { shareFailures(index, failures); };
        outlets.note_ = [this](const SchedulerEvent& event) { ++notes_[event.note_]; };
        outlets.serviceOf_ = [this](std::string_view, std::string_view) { return service_; };
        outlets.isVersionServing_ = [this](std::string_view, SoftwareVersionId version) { return versionsServing_.contains(version); };
        outlets.isWriteInDoubt_ = [this, index](std::string_view key) { return hosts_[index]->queue_->isWriteInDoubt(key); };
        outlets.usageOf_ = [this](const std::string& workspace) { return usages_[workspace]; };
        outlets.mayBeReplaced_ = [this, index] { return hosts_[index]->mayBeReplaced_; };
        // In reality, hosts notify each other within milliseconds whether they have spooled jobs.
        outlets.mayBeSpooled_ = [this] { return std::any_of(hosts_.begin(), hosts_.end(), [](const auto& each) { return !each->disk_.texts_->empty(); }); };
        host.scheduler_ = std::make_unique<JobScheduler>(scheduler_, std::move(outlets));
        host.acceptor_ = std::make_unique<Acceptor>(send);
        startIntake(index, send);
    }

    // Empties the host's disk.
    void wipeDisk(std::size_t index)
    {
        hosts_[index]->disk_.texts_->clear();
        hosts_[index]->disk_.removed_->clear();
    }

    // Submits a job through the host's intake, which writes it to the store or spools it.
    void take(std::size_t index, const JobName& job, std::uint32_t items)
    {
        hosts_[index]->intake_->submit(submission(job, items), 2s, now_, wall(), [this, job](const IntakeAnswer& answer, TimePoint) { outcomes_[job].push_back(answer.outcome_); });
    }

    void kill(std::size_t index)
    {
        Host& host = *hosts_[index];
        host.isAlive_ = false;
        host.runs_.clear();
        host.heldMessages_.clear();
        ++host.incarnation_;
    }

    // Ends the process as kill() does. Copies that the host had removed from its disk may come back.
    void losePower(std::size_t index)
    {
        kill(index);
        hosts_[index]->disk_.losePower(random_);
    }

    // Makes the host hand over its jobs. It leaves for good only when its process ends.
    void leave(std::size_t index)
    {
        leaving_.insert(hosts_[index]->id_);
        at(index, [this, index] { scheduler(index).beginLeaving(now_); });
    }

    // Makes one host consider another one dead, although that one continues to run.
    void markDeadFor(std::size_t observer, std::size_t host) { hosts_[observer]->consideredDead_.insert(hosts_[host]->id_); }

    // Makes all other hosts consider this host dead, or alive again.
    void markDead(std::size_t index, bool dead = true)
    {
        for (auto& host : hosts_) {
            if (host->id_ == hosts_[index]->id_)
                continue;
            if (dead)
                host->consideredDead_.insert(hosts_[index]->id_);
            else
                host->consideredDead_.erase(hosts_[index]->id_);
        }
    }

    // As markDead(), but the host knows as much about it as on the platform: while its peers receive nothing from it, its fleet view
    // reports that it may be replaced, and it is notified when they consider it alive again.
    void cutOff(std::size_t index, bool isCutOff = true)
    {
        hosts_[index]->mayBeReplaced_ = isCutOff;
        markDead(index, isCutOff);
        if (!isCutOff)
            at(index, [this, index] { scheduler(index).recheckOwnership(now_); });
    }

    void pause(std::size_t index) { hosts_[index]->isPaused_ = true; }
    void resume(std::size_t index)
    {
        hosts_[index]->isPaused_ = false;
        // Messages held during the pause are delivered before the first tick, which detects the gap.
        for (const auto& action : std::exchange(hosts_[index]->heldMessages_, {}))
            action();
    }

    static JobSubmission submission(const JobName& job, std::uint32_t items)
    {
        JobSubmission submission;
        submission.job_ = job;
        submission.head_.host_ = "h";
        submission.head_.runTarget_ = 18s;
        submission.head_.abandonAfter_ = 60s;
        submission.head_.maxAttempts_ = 3;
        for (std::uint32_t index = 0; index < items; ++index)
            submission.items_.push_back({ job + "-" + std::to_string(index), "/p/" + std::to_string(index), {}, "YQ==" });
        return submission;
    }

    // Submits a job through one host, to be owned by another one. The outcome is appended to outcomes_ when it is known.
    void submit(std::size_t index, const JobName& job, std::uint32_t items, std::size_t owner)
    {
        Host& host = *hosts_[index];
        const NodeId ownerId = hosts_[owner]->id_;
        JobSubmission submitted = submission(job, items);
        submitted.head_.workspace_ = workspaces_[job];
        host.acceptor_->accept(submitted, ownerId, 2s, now_, wall(), [this, job, owner](const Acceptance& acceptance, TimePoint) {
            outcomes_[job].push_back(acceptance.outcome_);
            if (acceptance.outcome_ == AcceptOutcome::Accepted)
                sendToOwner(owner, { job, acceptance.head_, acceptance.headVersion_, acceptance.items_, 0, !acceptance.isNew_, {} });
        });
    }

    // Advances virtual time in steps. In each step the store advances first, then each host runs its engines, its ticks and its call queue.
    void advance(Duration time)
    {
        const TimePoint end = now_ + time;
        while (now_ < end) {
            now_ += step;
            store_.advanceTo(now_);
            expireSpoolRequests();
            runAgenda();
            for (std::size_t index = 0; index < hosts_.size(); ++index) {
                if (hosts_[index]->isAlive_ && !hosts_[index]->isPaused_)
                    runHost(index);
            }
        }
    }

    // Runs the action after the time, whatever happens to the hosts meanwhile.
    void later(Duration time, std::function<void()> action) { agenda_.emplace(now_ + time, std::move(action)); }

    // Runs the action on the host's current process. A paused host runs it when it resumes; a host without a process drops it.
    void at(std::size_t index, std::function<void()> action)
    {
        Host& host = *hosts_[index];
        if (!host.isAlive_)
            return;
        if (host.isPaused_)
            host.heldMessages_.push_back(std::move(action));
        else
            action();
    }

    std::size_t indexOf(NodeId node) const { return static_cast<std::size_t>(node.value() - hosts_.front()->id_.value()); }

    // Returns the first live host, counted from firstPreferred_, that this host doesn't consider dead and that isn't leaving.
    NodeId preferredOwner(std::size_t index) const
    {
        for (std::size_t rank = 0; rank < hosts_.size(); ++rank) {
            const auto& host = hosts_[(firstPreferred_ + rank) % hosts_.size()];
            if (host->isAlive_ && !hosts_[index]->consideredDead_.contains(host->id_) && !leaving_.contains(host->id_))
                return host->id_;
        }
        return NodeId::none();
    }

    // Starts the next item once the store has confirmed that its job is open.
    std::optional<ItemRun> startNext(std::size_t index, bool onlyUrgent = false)
    {
        constexpr Duration confirmationTime = 100ms;
        for (const TimePoint end = now_ + confirmationTime; now_ < end; advance(step)) {
            if (auto run = scheduler(index).startNext("s", now_, SoftwareVersion().id(), onlyUrgent))
                return run;
        }
        return std::nullopt;
    }

    ReadAnswer read(std::size_t index, const JobName& job, std::uint32_t after = 0, Duration wait = {}, bool force = false)
    {
        std::optional<ReadAnswer> got;
        scheduler(index).read(job, after, wait, force, now_, [&got](ReadAnswer answer) { got = std::move(answer); });
        for (int steps = 0; steps < 400 && !got; ++steps)
            advance(step);
        REQUIRE(got);
        return *got;
    }

    // Returns all results that are in the store.
    std::vector<JobResult> stored(const JobName& job)
    {
        std::vector<JobResult> results;
        for (std::uint32_t page = 0;; ++page) {
            const auto found = store_.core().objects().find(resultPageKey(job, page));
            if (found == store_.core().objects().end())
                return results;
            const auto decoded = decodeResults(found->second.value_);
            REQUIRE(decoded);
            results.insert(results.end(), decoded.value().begin(), decoded.value().end());
        }
    }

    static std::string completeText()
    {
        std::string text;
        for (std::uint32_t event = 1; event <= eventsPerItem; ++event)
            text += (event > 1 ? "\n" : "") + std::string("e") + std::to_string(event);
        return text;
    }

    // Checks that no item has two results, and that the texts of completed items are complete.
    void checkResults(const JobName& job)
    {
        std::set<std::string> seen;
        for (const JobResult& result : stored(job)) {
            CAPTURE(result.item_);
            CHECK(seen.insert(result.item_).second);
            if (result.state_ == ResultState::Completed)
                CHECK(result.text_ == completeText());
        }
    }

    SchedulerSettings scheduler_;
    VirtualStore store_;
    std::mt19937_64 random_;
    std::map<JobName, std::vector<AcceptOutcome>> outcomes_;
    std::map<SchedulerNote, int> notes_;
    std::map<SpoolNote, int> spoolNotes_;
    std::optional<std::string> service_ = "s";
    std::set<SoftwareVersionId> versionsServing_ { SoftwareVersion().id() };
    std::vector<std::string> starts_; // the item of each run that was started, in order
    std::function<void(const ItemRun&)> onStart_ = [](const ItemRun&) {};
    std::map<JobName, std::string> workspaces_; // of jobs that have one
    std::map<std::string, double> usages_; // of workspaces
    std::size_t slots_ = 4; // maximum number of concurrent runs per host
    int stepsPerEvent_ = 4; // number of steps between two events of a run
    std::function<RunResult(const ItemRun&)> runOutcome_ = [](const ItemRun&) { return RunResult::Completed; };
    std::map<std::string, RunResult> rejectedItems_; // items that engines answer with an error, without an event
    std::map<std::string, std::uint32_t> rejections_; // number of these answers by item, whether or not the host has received them
    bool areResultPagesRefused_ = false; // the store refuses writes of result pages
    bool areFailuresShared_ = true; // hosts receive the records of failed runs that others share
    std::size_t firstPreferred_ = 0; // where the choice of an owner begins
    bool loseTransfers_ = false;
    double refusedCalls_ = 0; // share of the store's calls that are refused while others succeed
    double lateWrites_ = 0; // share of the writes that get no answer and take effect seconds later, if their condition still holds
    bool lateMessages_ = false; // messages of acceptances are late or repeated at times
    std::uint32_t hedges_ = 2; // as the daemon's
    std::chrono::milliseconds wallShift_ {}; // offset of the wall clock of all hosts

private:
    // A host can only tell that the store is unavailable from missing answers.
    bool isStoreSilent(std::size_t index) { return hosts_[index]->isStoreUnreachable_ || store_.core().isOut(); }

    void startIntake(std::size_t index, const LedgerStore& send)
    {
        Host& host = *hosts_[index];
        const auto isAway = [this, index] { return isStoreSilent(index); };
        const auto ownerOf = [this, index](const JobName&) { return preferredOwner(index); };
        const auto notifyOwner = [this](const JobName& job, const Acceptance& acceptance) {
            // There is none while all hosts are leaving.
            if (!acceptance.head_.owner_.isNone())
                sendToOwner(indexOf(acceptance.head_.owner_), { job, acceptance.head_, acceptance.headVersion_, acceptance.items_, 0, !acceptance.isNew_, {} });
        };
        const auto notifyHolders = [this, index](const JobName& job) {
            for (std::size_t other = 0; other < hosts_.size(); ++other) {
                if (other != index)
                    at(other, [this, other, job] { hosts_[other]->spool_->discardCopy(job); });
            }
        };
        SpoolOutlets spool { send, isAway, ownerOf, notifyOwner, notifyHolders, [this](SpoolNote note, const JobName&, std::error_code) { ++spoolNotes_[note]; }, [] {} };
        host.spool_ = std::make_unique<JobSpool<MemoryDisk>>(host.disk_, SpoolSettings(), std::move(spool));
        host.spool_->load(now_);
        IntakeOutlets intake;
        intake.store_ = send;
        intake.isStoreUnavailable_ = isAway;
        intake.chooseReplicas_ = [this, index](const std::vector<NodeId>& unanswered) { return chooseReplicas(index, unanswered); };
        intake.requestSpooling_ = [this, index, incarnation = host.incarnation_](NodeId to, SpooledJob job, std::function<void(SpoolOutcome, TimePoint)> done) {
            storeCopy(to, std::move(job), [this, index, incarnation, done = std::move(done)](SpoolOutcome outcome, TimePoint now) {
                if (hosts_[index]->incarnation_ == incarnation)
                    done(outcome, now);
            });
        };
        intake.discardCopy_ = [this](NodeId to, const JobName& job) { at(indexOf(to), [this, to, job] { hosts_[indexOf(to)]->spool_->discardCopy(job); }); };
        intake.ownerOf_ = ownerOf;
        intake.notifyOwner_ = notifyOwner;
        host.intake_ = std::make_unique<JobIntake>(IntakeSettings(), std::move(intake));
    }

    std::vector<NodeId> chooseReplicas(std::size_t index, const std::vector<NodeId>& unanswered)
    {
        std::vector<NodeId> found;
        for (const auto& host : hosts_) {
            if (!hosts_[index]->consideredDead_.contains(host->id_) && std::find(unanswered.begin(), unanswered.end(), host->id_) == unanswered.end())
                found.push_back(host->id_);
        }
        std::shuffle(found.begin(), found.end(), random_);
        if (found.size() < copies)
            return {};
        found.resize(copies);
        return found;
    }

    // An answer after the timeout is ignored, but the host may have written the copy nevertheless.
    void storeCopy(NodeId to, SpooledJob job, std::function<void(SpoolOutcome, TimePoint)> done)
    {
        auto open = std::make_shared<std::function<void(SpoolOutcome, TimePoint)>>(std::move(done));
        const auto answer = [open](SpoolOutcome outcome, TimePoint now) {
            if (*open)
                std::exchange(*open, {})(outcome, now);
        };
        spoolRequests_.push_back({ now_ + spoolTimeout, answer });
        at(indexOf(to), [this, to, job = std::move(job), answer] { hosts_[indexOf(to)]->spool_->storeCopy(job, true, now_, [this, answer](SpoolOutcome outcome) { answer(outcome, now_); }); });
    }

    // Sends the records to all other hosts, and what these know back.
    void shareFailures(std::size_t from, const JobFailures& failures)
    {
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (other == from || !areFailuresShared_)
                continue;
            later(step, [this, from, other, failures, incarnation = hosts_[from]->incarnation_] {
                at(other, [this, from, other, failures, incarnation] {
                    scheduler(other).handleFailures(failures, now_);
                    if (hosts_[from]->incarnation_ == incarnation)
                        at(from, [this, from, known = scheduler(other).failuresOf(failures.job_)] { scheduler(from).handleFailures(known, now_); });
                });
            });
        }
    }

    void expireSpoolRequests()
    {
        while (!spoolRequests_.empty() && spoolRequests_.front().first <= now_) {
            const auto answer = std::move(spoolRequests_.front().second);
            spoolRequests_.pop_front();
            answer(SpoolOutcome::Unknown, now_);
        }
    }

    // Delivers the first message of an acceptance, possibly late, unless the owner's process ends before: its connection ends with it. If the
    // messages are repeated, further ones follow, which reach whichever process then runs.
    void sendToOwner(std::size_t owner, JobTransfer transfer)
    {
        if (!loseTransfers_) {
            const auto deliver = [this, owner, transfer, incarnation = hosts_[owner]->incarnation_] {
                if (hosts_[owner]->incarnation_ == incarnation)
                    at(owner, [this, owner, transfer] { scheduler(owner).adopt(transfer, now_, wall()); });
            };
            const bool isLate = lateMessages_ && random_() % 4 == 0;
            isLate ? later(randomUpTo(1200ms), deliver) : deliver();
        }
        if (!lateMessages_ || random_() % 2 == 0)
            return;
        transfer.mayHaveResults_ = true;
        for (int tries = 0; tries < 2; ++tries) {
            later(1200ms * (tries + 1) + randomUpTo(3s), [this, owner, transfer] { at(owner, [this, owner, transfer] { scheduler(owner).adopt(transfer, now_, wall()); }); });
        }
    }

    Duration randomUpTo(std::chrono::milliseconds time) { return std::chrono::milliseconds(random_() % static_cast<std::uint64_t>(time.count())); }

    void runAgenda()
    {
        while (!agenda_.empty() && agenda_.begin()->first <= now_) {
            const std::function<void()> action = std::move(agenda_.begin()->second);
            agenda_.erase(agenda_.begin());
            action();
        }
    }

    void runHost(std::size_t index)
    {
        Host& host = *hosts_[index];
        runEngines(host);
        host.scheduler_->tick(now_, wall());
        host.intake_->tick(now_);
        host.spool_->tick(now_, wall());
        while (!host.areEnginesBusy_ && host.runs_.size() < slots_) {
            auto run = host.scheduler_->startNext("s", now_);
            if (!run)
                break;
            starts_.push_back(run->item_);
            onStart_(*run);
            host.stepCounts_[run->id_] = 0;
            host.runs_.push_back(std::move(*run));
        }
        sendStoreCalls(index);
    }

    void runEngines(Host& host)
    {
        const auto runs = host.runs_;
        for (const ItemRun& run : runs) {
            const std::uint32_t steps = ++host.stepCounts_[run.id_];
            if (steps % static_cast<std::uint32_t>(stepsPerEvent_) != 0)
                continue;
            if (const auto rejected = rejectedItems_.find(run.item_); rejected != rejectedItems_.end()) {
                ++rejections_[run.item_];
                std::erase_if(host.runs_, [&run](const ItemRun& one) { return one.id_ == run.id_; });
                host.scheduler_->ended(run.id_, rejected->second, now_);
                continue;
            }
            const std::uint64_t event = run.resumeAfter_.value_or(0) + steps / static_cast<std::uint32_t>(stepsPerEvent_);
            if (event <= eventsPerItem) {
                host.scheduler_->event(run.id_, event, "e" + std::to_string(event));
                continue;
            }
            std::erase_if(host.runs_, [&run](const ItemRun& one) { return one.id_ == run.id_; });
            host.scheduler_->ended(run.id_, runOutcome_(run), now_);
        }
    }

    void sendStoreCalls(std::size_t index)
    {
        Host& host = *hosts_[index];
        host.queue_->tick(now_);
        for (OutgoingCall& call : host.queue_->take()) {
            if (host.isStoreUnreachable_)
                continue;
            const auto answered = [this, index, id = call.id_, incarnation = host.incarnation_](ObjectAnswer answer) {
                at(index, [this, index, id, incarnation, answer = std::move(answer)]() mutable {
                    Host& own = *hosts_[index];
                    if (own.incarnation_ == incarnation)
                        own.queue_->answered(id, std::move(answer), now_);
                });
            };
            const bool isRefusedPage = areResultPagesRefused_ && call.call_.isWrite() && call.call_.key_.starts_with("job-results/");
            if (isRefusedPage || isChosen(refusedCalls_))
                later(step, [answered] { answered(ObjectAnswer::failed(ObjectError::Unavailable)); });
            else if (call.call_.isWrite() && isChosen(lateWrites_))
                later(500ms + randomUpTo(4s), [this, late = std::move(call.call_)] { store_.call(late, [](const ObjectAnswer&) {}); });
            else
                store_.call(std::move(call.call_), answered);
        }
    }

    // Draws nothing if the share is 0, so that a world without these faults keeps its schedule.
    bool isChosen(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share; }

public:
    std::set<NodeId> leaving_;

private:
    std::vector<std::unique_ptr<Host>> hosts_;
    std::deque<std::pair<TimePoint, std::function<void(SpoolOutcome, TimePoint)>>> spoolRequests_; // pending ones, ordered by timeout
    std::multimap<TimePoint, std::function<void()>> agenda_;
    TimePoint now_ { 1s };
};

} // namespace jj
