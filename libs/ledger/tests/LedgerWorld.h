// Simulates several hosts in virtual time. Each has a scheduler, an intake and a spool, and all share one store. Simulated engines need
// several steps per item, and callers check what they read.
#pragma once

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

// A disk that survives the end of the simulated process, and is empty after a disk loss.
struct MemoryDisk {
    std::shared_ptr<std::map<std::string, std::string>> texts_ = std::make_shared<std::map<std::string, std::string>>();

    Result<std::vector<std::string>> names() const
    {
        std::vector<std::string> names;
        for (const auto& [name, text] : *texts_)
            names.push_back(name);
        return names;
    }
    Result<std::string> read(const std::string& name) const
    {
        const auto found = texts_->find(name);
        if (found == texts_->end())
            return std::make_error_code(std::errc::no_such_file_or_directory);
        return found->second;
    }
    Result<void> write(const std::string& name, std::string_view text) const
    {
        (*texts_)[name] = text;
        return success();
    }
    Result<void> remove(const std::string& name) const
    {
        texts_->erase(name);
        return success();
    }
};

class LedgerWorld {
public:
    static constexpr std::uint32_t eventsPerItem = 3;
    static constexpr Duration step = 5ms;
    // The number of disks that may be lost at a time, plus one.
    static constexpr std::size_t copies = 2;
    static constexpr Duration keepBound = 600ms;
    static constexpr WallTime wallStart { std::chrono::milliseconds(1'000'000'000) };

    struct Host {
        NodeId id_;
        bool alive_ = true; // the process runs
        bool paused_ = false; // the process is suspended
        bool storeCut_ = false; // calls to the store are dropped
        std::unique_ptr<CallQueue> queue_;
        std::unique_ptr<JobScheduler> scheduler_;
        std::unique_ptr<Acceptor> acceptor_;
        MemoryDisk disk_;
        std::unique_ptr<JobSpool<MemoryDisk>> spool_;
        std::unique_ptr<JobIntake> intake_;
        std::uint64_t life_ = 0; // incremented with each process; callbacks of earlier processes are ignored
        std::vector<ItemRun> runs_; // runs on the engines
        std::map<RunId, std::uint32_t> sent_; // number of steps that each run has taken
        std::set<NodeId> deadTo_; // hosts that this host considers dead
        bool mayBeReplaced_ = false; // as reported by the host's fleet view
        std::vector<std::function<void()>> held_; // messages that arrived while the host was paused
    };

    // Settings with a short commit window. Items take about 15 ms here, so a job gets several pages, and failures can happen between two
    // pages.
    static SchedulerSettings quickPages()
    {
        SchedulerSettings settings;
        settings.commitWindow_ = 300ms;
        return settings;
    }

    explicit LedgerWorld(std::uint64_t seed, std::size_t hosts = 2, const SchedulerSettings& scheduler = quickPages())
        : scheduler_(scheduler)
        , store_(seed, MemoryStoreSettings { 0, 0, 1s, 100'000, 50 })
        , random_(seed)
    {
        for (std::size_t place = 0; place < hosts; ++place) {
            hosts_.push_back(std::make_unique<Host>());
            hosts_.back()->id_ = NodeId(100 + place);
            start(place);
        }
    }

    Host& host(std::size_t place) { return *hosts_[place]; }
    JobScheduler& scheduler(std::size_t place) { return *hosts_[place]->scheduler_; }
    TimePoint now() const { return now_; }
    WallTime wall() const { return wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()) + wallShift_; }

    void start(std::size_t place)
    {
        Host& host = *hosts_[place];
        ++host.life_;
        host.alive_ = true;
        host.runs_.clear();
        host.sent_.clear();
        CallQueueSettings queue;
        queue.budget_.readsPerSecond_ = 1e6;
        queue.budget_.writesPerSecond_ = 1e6;
        queue.budget_.probeEvery_ = 50ms;
        queue.budget_.rampTime_ = 100ms;
        queue.longestBackoff_ = 200ms;
        queue.answerBound_ = 1s;
        host.queue_ = std::make_unique<CallQueue>(queue, random_());
        LedgerStore send = [this, place, life = host.life_](ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) {
            Host& own = *hosts_[place];
            if (own.life_ == life)
                own.queue_->send(std::move(call), callClass, until, std::move(done));
        };
        SchedulerOutlets outlets;
        outlets.store_ = send;
        outlets.self_ = host.id_;
        outlets.isLive_ = [this, place](NodeId node) { return !hosts_[place]->deadTo_.contains(node); };
        outlets.preferredOwner_ = [this, place](std::string_view, NodeId) { return preferred(place); };
        outlets.stop_ = [this, place](RunId run) { std::erase_if(hosts_[place]->runs_, [run](const ItemRun& one) { return one.id_ == run; }); };
        outlets.transfer_ = [this](NodeId to, const JobTransfer& job) {
            for (std::size_t other = 0; other < hosts_.size(); ++other) {
                if (hosts_[other]->id_ == to && !loseTransfers_)
                    at(other, [this, other, job] { scheduler(other).adopt(job, now_, wall()); });
            }
        };
        outlets.note_ = [this](const SchedulerEvent& event) { ++notes_[event.note_]; };
        outlets.serviceOf_ = [this](std::string_view, std::string_view) { return service_; };
        outlets.mayBeReplaced_ = [this, place] { return hosts_[place]->mayBeReplaced_; };
        // In reality, hosts notify each other within milliseconds whether they have spooled jobs.
        outlets.mayBeKept_ = [this] { return std::any_of(hosts_.begin(), hosts_.end(), [](const auto& each) { return !each->disk_.texts_->empty(); }); };
        host.scheduler_ = std::make_unique<JobScheduler>(scheduler_, std::move(outlets));
        host.acceptor_ = std::make_unique<Acceptor>(send);
        startIntake(place, send);
    }

    // Empties the host's disk.
    void wipe(std::size_t place) { hosts_[place]->disk_.texts_->clear(); }

    // Submits a job through the host's intake, which writes it to the store or spools it.
    void take(std::size_t place, const JobName& job, std::uint32_t items)
    {
        hosts_[place]->intake_->submit(submission(job, items), 2s, now_, wall(), [this, job](const IntakeAnswer& answer, TimePoint) { outcomes_[job].push_back(answer.outcome_); });
    }

    void kill(std::size_t place)
    {
        Host& host = *hosts_[place];
        host.alive_ = false;
        host.runs_.clear();
        host.held_.clear();
        ++host.life_;
    }

    // Makes one host consider another one dead, although that one continues to run.
    void believeDead(std::size_t believer, std::size_t host) { hosts_[believer]->deadTo_.insert(hosts_[host]->id_); }

    // Makes all other hosts consider this host dead, or alive again.
    void bury(std::size_t place, bool dead = true)
    {
        for (auto& host : hosts_) {
            if (host->id_ == hosts_[place]->id_)
                continue;
            if (dead)
                host->deadTo_.insert(hosts_[place]->id_);
            else
                host->deadTo_.erase(hosts_[place]->id_);
        }
    }

    void pause(std::size_t place) { hosts_[place]->paused_ = true; }
    void wake(std::size_t place)
    {
        hosts_[place]->paused_ = false;
        // Messages held during the pause are delivered before the first tick, which detects the gap.
        for (const auto& action : std::exchange(hosts_[place]->held_, {}))
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
        for (std::uint32_t place = 0; place < items; ++place)
            submission.items_.push_back({ job + "-" + std::to_string(place), "/p/" + std::to_string(place), {}, "YQ==" });
        return submission;
    }

    // Submits a job through one host, to be owned by another one. The outcome is appended to outcomes_ when it is known.
    void submit(std::size_t place, const JobName& job, std::uint32_t items, std::size_t owner)
    {
        Host& host = *hosts_[place];
        const NodeId ownerId = hosts_[owner]->id_;
        host.acceptor_->accept(submission(job, items), ownerId, 2s, now_, wall(), [this, job, owner](const Acceptance& acceptance, TimePoint) {
            outcomes_[job].push_back(acceptance.outcome_);
            if (acceptance.outcome_ != AcceptOutcome::Accepted || loseTransfers_)
                return;
            JobTransfer transfer { job, acceptance.head_, acceptance.headVersion_, acceptance.items_, 0, false, {} };
            at(owner, [this, owner, transfer] { scheduler(owner).adopt(transfer, now_, wall()); });
        });
    }

    // Advances virtual time in steps. In each step the store advances first, then each host runs its engines, its ticks and its call queue.
    void advance(Duration time)
    {
        const TimePoint end = now_ + time;
        while (now_ < end) {
            now_ += step;
            store_.advanceTo(now_);
            endAsks();
            for (std::size_t place = 0; place < hosts_.size(); ++place) {
                if (hosts_[place]->alive_ && !hosts_[place]->paused_)
                    turn(place);
            }
        }
    }

    ReadAnswer read(std::size_t place, const JobName& job, std::uint32_t after = 0, Duration wait = {}, bool force = false)
    {
        std::optional<ReadAnswer> got;
        scheduler(place).read(job, after, wait, force, now_, [&got](ReadAnswer answer) { got = std::move(answer); });
        for (int turns = 0; turns < 400 && !got; ++turns)
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

    static std::string wholeText()
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
                CHECK(result.text_ == wholeText());
        }
    }

    SchedulerSettings scheduler_;
    VirtualStore store_;
    std::mt19937_64 random_;
    std::map<JobName, std::vector<AcceptOutcome>> outcomes_;
    std::map<SchedulerNote, int> notes_;
    std::map<SpoolNote, int> spoolNotes_;
    std::optional<std::string> service_ = "s";
    std::vector<std::string> starts_; // the item of each run that was started, in order
    std::size_t slots_ = 4; // maximum number of concurrent runs per host
    int pace_ = 4; // number of steps between two events of a run
    std::function<RunEnd(const ItemRun&)> endOf_ = [](const ItemRun&) { return RunEnd::Completed; };
    bool loseTransfers_ = false;
    std::chrono::milliseconds wallShift_ {}; // offset of the wall clock of all hosts

private:
    // A host can only tell that the store is unavailable from missing answers.
    bool storeLooksAway(std::size_t place) { return hosts_[place]->storeCut_ || store_.core().isOut(); }

    void startIntake(std::size_t place, const LedgerStore& send)
    {
        Host& host = *hosts_[place];
        const auto isAway = [this, place] { return storeLooksAway(place); };
        const auto ownerOf = [this, place](const JobName&) { return preferred(place); };
        const auto hand = [this](const JobName& job, const Acceptance& acceptance) {
            if (loseTransfers_)
                return;
            const JobTransfer transfer { job, acceptance.head_, acceptance.headVersion_, acceptance.items_, 0, false, {} };
            const std::size_t owner = placeOf(acceptance.head_.owner_);
            at(owner, [this, owner, transfer] { scheduler(owner).adopt(transfer, now_, wall()); });
        };
        SpoolOutlets spool { send, isAway, ownerOf, hand, [this](SpoolNote note, const JobName&, std::error_code) { ++spoolNotes_[note]; }, [] {} };
        host.spool_ = std::make_unique<JobSpool<MemoryDisk>>(host.disk_, SpoolSettings(), std::move(spool));
        host.spool_->load(now_);
        IntakeOutlets intake;
        intake.store_ = send;
        intake.storeIsAway_ = isAway;
        intake.keepers_ = [this, place](const std::vector<NodeId>& silent) { return keepers(place, silent); };
        intake.keep_ = [this](NodeId to, KeptJob job, std::function<void(KeepOutcome, TimePoint)> done) { keep(to, std::move(job), std::move(done)); };
        intake.forget_ = [this](NodeId to, const JobName& job) { at(placeOf(to), [this, to, job] { hosts_[placeOf(to)]->spool_->forget(job); }); };
        intake.ownerOf_ = ownerOf;
        intake.accepted_ = hand;
        host.intake_ = std::make_unique<JobIntake>(IntakeSettings(), std::move(intake));
    }

    std::size_t placeOf(NodeId node) const { return static_cast<std::size_t>(node.value() - hosts_.front()->id_.value()); }

    std::vector<NodeId> keepers(std::size_t place, const std::vector<NodeId>& silent)
    {
        std::vector<NodeId> found;
        for (const auto& host : hosts_) {
            if (!hosts_[place]->deadTo_.contains(host->id_) && std::find(silent.begin(), silent.end(), host->id_) == silent.end())
                found.push_back(host->id_);
        }
        std::shuffle(found.begin(), found.end(), random_);
        if (found.size() < copies)
            return {};
        found.resize(copies);
        return found;
    }

    // An answer after the timeout is ignored, but the host may have written the copy nevertheless.
    void keep(NodeId to, KeptJob job, std::function<void(KeepOutcome, TimePoint)> done)
    {
        auto open = std::make_shared<std::function<void(KeepOutcome, TimePoint)>>(std::move(done));
        const auto answer = [open](KeepOutcome outcome, TimePoint now) {
            if (*open)
                std::exchange(*open, {})(outcome, now);
        };
        asks_.push_back({ now_ + keepBound, answer });
        at(placeOf(to), [this, to, job = std::move(job), answer] { answer(hosts_[placeOf(to)]->spool_->keep(job, now_), now_); });
    }

    void endAsks()
    {
        while (!asks_.empty() && asks_.front().first <= now_) {
            const auto answer = std::move(asks_.front().second);
            asks_.pop_front();
            answer(KeepOutcome::Unknown, now_);
        }
    }

    // Runs the action on the host's current process. A paused host runs it when it resumes; a host without a process drops it.
    void at(std::size_t place, std::function<void()> action)
    {
        Host& host = *hosts_[place];
        if (!host.alive_)
            return;
        if (host.paused_)
            host.held_.push_back(std::move(action));
        else
            action();
    }

    // Returns the first live host that this host doesn't consider dead and that isn't leaving.
    NodeId preferred(std::size_t place) const
    {
        for (const auto& host : hosts_) {
            if (host->alive_ && !hosts_[place]->deadTo_.contains(host->id_) && !leaving_.contains(host->id_))
                return host->id_;
        }
        return NodeId::none();
    }

    void turn(std::size_t place)
    {
        Host& host = *hosts_[place];
        runEngines(host);
        host.scheduler_->tick(now_, wall());
        host.intake_->tick(now_);
        host.spool_->tick(now_, wall());
        while (host.runs_.size() < slots_) {
            auto run = host.scheduler_->startNext("s", now_);
            if (!run)
                break;
            starts_.push_back(run->item_);
            host.sent_[run->id_] = 0;
            host.runs_.push_back(std::move(*run));
        }
        pump(place);
    }

    void runEngines(Host& host)
    {
        const auto runs = host.runs_;
        for (const ItemRun& run : runs) {
            const std::uint32_t turns = ++host.sent_[run.id_];
            if (turns % static_cast<std::uint32_t>(pace_) != 0)
                continue;
            const std::uint64_t event = run.resumeAfter_.value_or(0) + turns / static_cast<std::uint32_t>(pace_);
            if (event <= eventsPerItem) {
                host.scheduler_->event(run.id_, event, "e" + std::to_string(event));
                continue;
            }
            std::erase_if(host.runs_, [&run](const ItemRun& one) { return one.id_ == run.id_; });
            host.scheduler_->ended(run.id_, endOf_(run), now_);
        }
    }

    void pump(std::size_t place)
    {
        Host& host = *hosts_[place];
        host.queue_->tick(now_);
        for (OutgoingCall& call : host.queue_->take()) {
            if (host.storeCut_)
                continue;
            const CallId id = call.id_;
            store_.call(std::move(call.call_), [this, place, id, life = host.life_](ObjectAnswer answer) {
                at(place, [this, place, id, life, answer = std::move(answer)]() mutable {
                    Host& own = *hosts_[place];
                    if (own.life_ == life)
                        own.queue_->answered(id, std::move(answer), now_);
                });
            });
        }
    }

public:
    std::set<NodeId> leaving_;

private:
    std::vector<std::unique_ptr<Host>> hosts_;
    std::deque<std::pair<TimePoint, std::function<void(KeepOutcome, TimePoint)>>> asks_; // pending ones, ordered by timeout
    TimePoint now_ { 1s };
};

} // namespace jj
