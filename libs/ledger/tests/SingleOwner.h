// A single scheduler with a scripted store, for orders of events that a world of several hosts meets only by chance.
#pragma once

#include "LedgerWorld.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jj {

// One scheduler over a store that answers at once. Its next write of a kind of objects can be reported as read back; its next read of a kind
// can fail; the answer of its next read or write can be held back.
class SingleOwner {
public:
    static constexpr std::uint32_t items = 5; // of job "j"
    static constexpr Duration tickInterval = 100ms;
    static constexpr NodeId self { 100 };
    static constexpr NodeId other { 200 };

    // Only the first of the item pages is written.
    explicit SingleOwner(std::uint32_t itemPages = 1)
        : scheduler_({}, outlets())
        , itemPages_(itemPages)
    {
        JobHead head = LedgerWorld::submission("j", items).head_;
        head.owner_ = self;
        head.total_ = items;
        head.itemPages_ = itemPages;
        head.acceptedAt_ = LedgerWorld::wallStart;
        store_.apply(ObjectCall::create(headKey("j"), encode(head)), now_);
        writeItemPage(0);
        scheduler_.tick(now_, LedgerWorld::wallStart);
    }

    void writeItemPage(std::uint32_t page)
    {
        const std::vector<JobItem> all = LedgerWorld::submission("j", items).items_;
        const auto pageStart = [&](std::uint32_t index) { return all.begin() + static_cast<std::ptrdiff_t>(all.size() * index / itemPages_); };
        store_.apply(ObjectCall::create(itemPageKey("j", page), encode(std::vector<JobItem>(pageStart(page), pageStart(page + 1)))), now_);
    }

    bool hasResultPage(std::uint32_t page) const { return store_.objects().contains(resultPageKey("j", page)); }

    JobHead storedHead() const { return decodeHead(store_.objects().at(headKey("j")).value_).value(); }

    // Changes the head without notifying the scheduler.
    void writeHead(const JobHead& head)
    {
        store_.apply(ObjectCall::update(headKey("j"), encode(head), store_.objects().at(headKey("j")).version_), now_);
    }

    void writeOwner(NodeId owner)
    {
        JobHead head = storedHead();
        head.owner_ = owner;
        writeHead(head);
    }

    // Makes the scheduler find and load the job.
    void load()
    {
        scheduler_.scan(false, now_);
        advance(tickInterval);
        REQUIRE(scheduler_.loadedJobs() == 1);
    }

    void advance(Duration time)
    {
        for (const TimePoint end = now_ + time; now_ < end;) {
            now_ += tickInterval;
            scheduler_.tick(now_, wall());
        }
    }

    WallTime wall() const { return LedgerWorld::wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now_ - start); }

    // An errored item is committed at once.
    void rejectOneItem()
    {
        const auto run = scheduler_.startNext("s", now_);
        REQUIRE(run);
        scheduler_.ended(run->id_, RunResult::Unprocessable, now_);
    }

    ReadAnswer read(bool force = false)
    {
        std::optional<ReadAnswer> answer;
        scheduler_.read("j", 0, {}, force, now_, [&answer](ReadAnswer read) { answer = std::move(read); });
        REQUIRE(answer);
        return *answer;
    }

    // Gives the job to another owner, which lists results on the pages from `page` on and gives the job back.
    void replaceForATime(std::uint32_t page, const std::vector<std::vector<JobResult>>& pages, JobState state)
    {
        JobHead head = storedHead();
        head.owner_ = other;
        writeHead(head);
        for (const std::vector<JobResult>& results : pages)
            store_.apply(ObjectCall::create(resultPageKey("j", page++), encode(results)), now_);
        head.owner_ = self;
        head.state_ = state;
        writeHead(head);
    }

    static constexpr TimePoint start { 1s };
    TimePoint now_ = start;
    MemoryStore store_ { MemoryStoreSettings { 0, 0, 1s, 100'000, 50 } };
    // Prefixes of keys; empty: none.
    std::string readBackKind_;
    std::string failingKind_;
    std::string heldKind_;
    std::string heldWriteKind_;
    std::string refusedText_; // writes whose value has it are refused for good
    std::function<void()> heldAnswer_;
    NodeId preferred_ = self;
    std::vector<JobTransfer> transfers_;
    std::vector<JobFailures> sharedFailures_;
    bool areHeadReadsLost_ = false;
    std::function<void()> beforeCommit_; // runs once, before the next result page is written
    std::map<SchedulerNote, int> notes_;
    JobScheduler scheduler_;

private:
    std::uint32_t itemPages_;

    SchedulerOutlets outlets()
    {
        SchedulerOutlets outlets;
        outlets.store_ = [this](const ObjectCall& call, CallClass, TimePoint, const SettledCompletion& done) {
            if (beforeCommit_ && call.isWrite() && call.key_.starts_with("job-results/"))
                std::exchange(beforeCommit_, {})();
            const auto isNext = [&call](std::string& kind, bool isWrite) {
                const bool found = call.isWrite() == isWrite && !kind.empty() && call.key_.starts_with(kind);
                if (found)
                    kind.clear();
                return found;
            };
            const bool isLost = areHeadReadsLost_ && !call.isWrite() && call.key_.starts_with("jobs/");
            if (isLost || isNext(failingKind_, false))
                return done({ ObjectAnswer::failed(ObjectError::Unavailable), now_ }, now_);
            if (call.isWrite() && !refusedText_.empty() && call.value_.find(refusedText_) != std::string::npos)
                return done({ ObjectAnswer::failed(ObjectError::BadCall), now_ }, now_);
            SettledAnswer settled { store_.apply(call, now_), now_ };
            if (isNext(readBackKind_, true)) {
                const auto found = store_.objects().find(call.key_);
                if (found != store_.objects().end() && found->second.value_ == call.value_) {
                    settled.answer_ = {};
                    settled.answer_.version_ = found->second.version_;
                }
                settled.isReadBack_ = true;
            }
            if (isNext(heldKind_, false) || isNext(heldWriteKind_, true)) {
                heldAnswer_ = [this, settled, done] { done(settled, now_); };
                return;
            }
            done(settled, now_);
        };
        outlets.self_ = self;
        outlets.isLive_ = [](NodeId) { return true; };
        outlets.preferredOwner_ = [this](std::string_view, NodeId) { return preferred_; };
        outlets.stop_ = [](RunId) {};
        outlets.transfer_ = [this](NodeId, const JobTransfer& transfer) { transfers_.push_back(transfer); };
        outlets.shareFailures_ = [this](const JobFailures& failures) { sharedFailures_.push_back(failures); };
        outlets.note_ = [this](const SchedulerEvent& event) { ++notes_[event.note_]; };
        outlets.serviceOf_ = [](std::string_view, std::string_view) { return std::string("s"); };
        outlets.isVersionServing_ = [](std::string_view, SoftwareVersionId) { return true; };
        outlets.mayBeSpooled_ = [] { return false; };
        outlets.isWriteInDoubt_ = [this](std::string_view) { return static_cast<bool>(heldAnswer_); };
        outlets.mayBeReplaced_ = [] { return false; };
        return outlets;
    }
};

} // namespace jj
