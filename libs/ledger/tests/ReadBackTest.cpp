// Writes that count as done because their value was read back after a lost answer, although another host, or an earlier process, wrote
// that value.
#include "LedgerWorld.h"

using namespace jj;

namespace {

constexpr std::uint32_t items = 5;

// A world in which host 0 owns job "j" and has listed some of its results. Results are ready one after the other.
struct PartlyListed {
    LedgerWorld world_;

    explicit PartlyListed(bool isSpooled)
        : world_(51, 3, SchedulerSettings())
    {
        world_.slots_ = 1;
        world_.stepsPerEvent_ = 50; // runs of a second
        world_.store_.core().setOutage(isSpooled);
        isSpooled ? world_.take(1, "j", items) : world_.submit(1, "j", items, 0);
        world_.advance(400ms);
        copies_ = spooledTexts();
        world_.store_.core().setOutage(false);
        while (world_.stored("j").empty())
            world_.advance(100ms);
        REQUIRE(world_.stored("j").size() < items);
    }

    std::vector<std::map<std::string, std::string>> spooledTexts()
    {
        std::vector<std::map<std::string, std::string>> texts;
        for (std::size_t index = 0; index < 3; ++index)
            texts.push_back(*world_.host(index).disk_.texts_);
        return texts;
    }

    // Kills and restarts all hosts. The power loss brings the removed copies of spooled jobs back.
    void losePower()
    {
        for (std::size_t index = 0; index < 3; ++index)
            world_.kill(index);
        for (std::size_t index = 0; index < 3; ++index) {
            *world_.host(index).disk_.texts_ = copies_[index];
            world_.start(index);
        }
    }

    void expectListedResults(const std::vector<JobResult>& listed)
    {
        std::size_t compared = 0;
        for (int reads = 0; reads < 20; ++reads) {
            const ReadAnswer answer = world_.read(0, "j");
            if (answer.outcome_ == ReadOutcome::Found) {
                ++compared;
                REQUIRE(answer.results_.size() >= listed.size());
                CHECK(std::equal(listed.begin(), listed.end(), answer.results_.begin()));
            }
            world_.advance(50ms);
        }
        CHECK(compared > 0);
    }

    std::vector<std::map<std::string, std::string>> copies_; // of each host's disk, while the job was spooled
};

} // namespace

// Guards against reads that miss results which have been read: the copy of a spooled job is uploaded again, and its owner takes the job
// for a new one.
TEST_CASE("ledger: a spooled copy that a power loss brings back doesn't hide the job's results")
{
    PartlyListed job(true);
    const auto listed = job.world_.stored("j");
    job.losePower();
    job.world_.store_.faults().lostAfter_ = 1;
    job.world_.advance(50ms);
    job.world_.store_.faults().lostAfter_ = 0;
    job.world_.advance(1200ms);
    job.world_.scheduler(0).scan(false, job.world_.now());
    job.expectListedResults(listed);
}

// Guards against reads that miss results which have been read: the owner has restarted and is notified again of a job that it had run.
TEST_CASE("ledger: a repeated message of an acceptance doesn't hide the job's results")
{
    PartlyListed job(false);
    LedgerWorld& world = job.world_;
    const auto listed = world.stored("j");
    world.kill(0);
    world.start(0);
    const ObjectEntry head = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    world.scheduler(0).adopt({ "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, true, {} }, world.now(), world.wall());
    job.expectListedResults(listed);
}

namespace {

// One scheduler over a store that answers at once. Its next write of a kind of objects can be reported as read back; its next read of a kind
// can fail; the answer of its next read or write can be held back.
class SingleOwner {
public:
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

    void advance(Duration time)
    {
        constexpr Duration tickInterval = 100ms;
        for (const TimePoint end = now_ + time; now_ < end;) {
            now_ += tickInterval;
            scheduler_.tick(now_, LedgerWorld::wallStart);
        }
    }

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

    TimePoint now_ { 1s };
    MemoryStore store_ { MemoryStoreSettings { 0, 0, 1s, 100'000, 50 } };
    // Prefixes of keys; empty: none.
    std::string readBackKind_;
    std::string failingKind_;
    std::string heldKind_;
    std::string heldWriteKind_;
    std::function<void()> heldAnswer_;
    NodeId preferred_ = self;
    std::vector<JobTransfer> transfers_;
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
        outlets.note_ = [this](const SchedulerEvent& event) { ++notes_[event.note_]; };
        outlets.serviceOf_ = [](std::string_view, std::string_view) { return std::string("s"); };
        outlets.mayBeSpooled_ = [] { return false; };
        outlets.mayBeReplaced_ = [] { return false; };
        return outlets;
    }
};

} // namespace

// Guards against results of a former owner that the new owner doesn't know: it takes the former owner's fence for its own, which leaves the
// next page to the former owner.
TEST_CASE("ledger: an owner that finds another owner's fence reserves the page after it")
{
    SingleOwner owner;
    owner.readBackKind_ = "job-results/";
    owner.scheduler_.scan(false, owner.now_);
    REQUIRE(owner.notes_[SchedulerNote::Loaded] == 1);
    CHECK(owner.hasResultPage(0));
    CHECK(owner.hasResultPage(1));
}

// Guards against a former owner that goes on because it takes the new owner's results, which equal its own, for its own commit.
TEST_CASE("ledger: an owner that finds another owner's results in place of its own confirms its ownership")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    JobHead head = owner.storedHead();
    head.owner_ = SingleOwner::other;
    owner.writeHead(head);
    owner.readBackKind_ = "job-results/";
    owner.rejectOneItem();
    CHECK(owner.notes_[SchedulerNote::OwnershipLost] == 1);
}

// Guards against a claim that still succeeds after the owner has stopped querying the store: it expects the version that an earlier process
// of the owner wrote.
TEST_CASE("ledger: an owner that finds an earlier process's confirmation writes its own")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    JobHead head = owner.storedHead();
    ++head.term_;
    SUBCASE("with equal bytes, after a lost answer") { owner.readBackKind_ = "jobs/"; }
    SUBCASE("as a conflict") { owner.writeHead(head); }
    owner.advance(SchedulerSettings().announcedAfter_);
    owner.advance(SchedulerSettings().storeRetryDelay_);
    CHECK(owner.storedHead().term_ == 2);
}

// Guards against reads that miss the results of another owner which has given the job back: the head names this node again.
TEST_CASE("ledger: an owner that was replaced for a time reads what the other owner has listed")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    const JobHead before = owner.storedHead();
    JobHead head = before;
    head.owner_ = SingleOwner::other;
    owner.writeHead(head);
    const std::vector<JobResult> listed { { "j-0", ResultState::Completed, "e1" } };
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 1), encode(std::vector<JobResult>())), owner.now_);
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 2), encode(listed)), owner.now_);
    owner.writeHead(before);
    owner.scheduler_.recheckOwnership(owner.now_);
    std::optional<ReadAnswer> answer;
    owner.scheduler_.read("j", 0, {}, false, owner.now_, [&answer](ReadAnswer read) { answer = std::move(read); });
    REQUIRE(answer);
    CHECK(answer->outcome_ == ReadOutcome::Found);
    CHECK(answer->results_ == listed);
}

// Guards against a new owner that doesn't know its results: the head that hands the job over was read back, so the new owner may have had the
// job for a while, listed results and restarted, and it takes the message for the first one.
TEST_CASE("ledger: a handover that was read back tells the new owner to load the results")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.preferred_ = SingleOwner::other;
    owner.readBackKind_ = "jobs/";
    owner.scheduler_.handOverMisplaced(owner.now_);
    REQUIRE(owner.transfers_.size() == 1);
    CHECK(owner.transfers_.front().mayHaveResults_);
}

// Guards against reads that miss results: the message of an acceptance was held up by a cut and arrives after its receiver has found the job
// by itself, listed results and handed the job over.
TEST_CASE("ledger: a late message of an acceptance doesn't hide the results of a job that was handed over")
{
    SingleOwner owner;
    const ObjectEntry head = owner.store_.objects().at(headKey("j"));
    // A node that was available throughout doesn't confirm its ownership by itself.
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.rejectOneItem();
    owner.preferred_ = SingleOwner::other;
    owner.scheduler_.handOverMisplaced(owner.now_);
    REQUIRE(owner.transfers_.size() == 1);
    owner.scheduler_.adopt({ "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, false, {} }, owner.now_, LedgerWorld::wallStart);
    const ReadAnswer answer = owner.read();
    CHECK((answer.outcome_ == ReadOutcome::OtherOwner || answer.results_.size() == 1));
    CHECK(owner.notes_[SchedulerNote::OwnershipLost] == 1);
}

namespace {

const std::vector<std::vector<JobResult>> otherPages { { { "j-3", ResultState::Completed, "e1" } }, { { "j-4", ResultState::Completed, "e1" } } };
const std::vector<JobResult> otherResults { otherPages[0][0], otherPages[1][0] };

} // namespace

// Guards against reads that miss results: another process has written several pages in this owner's name, and the owner has read only the one
// that its commit met.
TEST_CASE("ledger: an owner that meets another one's page reads the pages after it too")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    for (std::uint32_t page = 0; page < otherPages.size(); ++page)
        owner.store_.apply(ObjectCall::create(resultPageKey("j", page + 1), encode(otherPages[page])), owner.now_);
    SUBCASE("at once") { owner.heldKind_ = "job-results/"; }
    SUBCASE("after reading the page") { }
    owner.rejectOneItem();
    REQUIRE(owner.notes_[SchedulerNote::PageConflict] == 1);
    CHECK(owner.read().results_ == otherResults);
}

// Guards against reads that miss results of another owner: the read of its pages failed, and the job has been cancelled, so that its owner no
// longer confirms its ownership.
TEST_CASE("ledger: an owner reads the pages that it lacks of a cancelled job too")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.replaceForATime(1, otherPages, JobState::Cancelled);
    SUBCASE("after a failed read")
    {
        owner.failingKind_ = "job-results/";
        owner.scheduler_.scan(false, owner.now_);
    }
    SUBCASE("after a cancellation that was read back")
    {
        owner.readBackKind_ = "jobs/";
        owner.scheduler_.end("j", false, owner.now_, [](const CancelAnswer& answer) { CHECK(answer.outcome_ == ReadOutcome::Found); });
    }
    CHECK(owner.read().results_ == otherResults);
}

// Guards against items that start after the acknowledgement of their job's cancellation: the owner couldn't read the head when it found the
// mark, and removed the mark.
TEST_CASE("ledger: an owner that can't read the head of a marked job reads it again")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    JobHead head = owner.storedHead();
    head.state_ = JobState::Cancelled;
    owner.writeHead(head);
    owner.failingKind_ = "jobs/";
    owner.scheduler_.handleCancelMark("j", owner.now_);
    owner.advance(SchedulerSettings().storeRetryDelay_ * 2);
    CHECK(!owner.scheduler_.startNext("s", owner.now_));
}

// Guards against items that never run: the head of a job that lacked items couldn't be marked void, the missing items have arrived since, and
// only those that were there before are known.
TEST_CASE("ledger: a job that couldn't be marked void is loaded with all its items")
{
    SingleOwner owner(2);
    owner.scheduler_.scan(false, owner.now_);
    // The head changes, as by the confirmation of an earlier process.
    JobHead head = owner.storedHead();
    ++head.term_;
    owner.writeHead(head);
    owner.advance(SchedulerSettings().itemsTimeout_ + SchedulerSettings().storeRetryDelay_);
    owner.writeItemPage(1);
    owner.advance(2s);
    REQUIRE((owner.storedHead().state_ == JobState::Open));
    std::set<std::string> started;
    while (const auto run = owner.scheduler_.startNext("s", owner.now_))
        started.insert(run->item_);
    CHECK(started.size() == items);
}

// Guards against reads that miss results: the store has listed them, their owner hasn't had its answer, and another node has read them from
// the store.
TEST_CASE("ledger: an owner that doesn't know the outcome of a commit for a second answers from the store")
{
    SingleOwner owner;
    // A node that was available throughout doesn't confirm its ownership by itself.
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.heldWriteKind_ = "job-results/";
    owner.rejectOneItem();
    REQUIRE(owner.heldAnswer_);
    REQUIRE(owner.read(true).results_.size() == 1);
    owner.advance(1s);
    CHECK(owner.read().results_.size() == 1);
}

// Guards against reads that miss another owner's results: the owner has seen the newer head, but couldn't read the pages then.
TEST_CASE("ledger: an owner that couldn't read another owner's pages doesn't answer from memory")
{
    SingleOwner owner;
    // A node that was available throughout doesn't confirm its ownership by itself.
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.replaceForATime(1, otherPages, JobState::Open);
    SUBCASE("the store doesn't answer")
    {
        owner.failingKind_ = "job-results/";
        owner.scheduler_.scan(false, owner.now_);
    }
    SUBCASE("a commit is pending")
    {
        owner.heldWriteKind_ = "job-results/";
        owner.rejectOneItem();
        owner.scheduler_.scan(false, owner.now_);
    }
    CHECK(owner.read().results_ == otherResults);
}

// Guards against reads that miss another owner's results: the owner rewrites the head to confirm its ownership while it lacks pages.
TEST_CASE("ledger: an owner that lacks pages reads them although it has confirmed its ownership")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.advance(SchedulerSettings().announcedAfter_ - 500ms);
    owner.replaceForATime(1, otherPages, JobState::Open);
    owner.failingKind_ = "job-results/";
    owner.scheduler_.scan(false, owner.now_);
    owner.advance(2s);
    REQUIRE(owner.storedHead().term_ == 1);
    CHECK(owner.read().results_ == otherResults);
}

// Guards against reads that miss another owner's results: the answer to an earlier question ends the search for pages.
TEST_CASE("ledger: an answer of before a change of the head doesn't end the search for another owner's results")
{
    SingleOwner owner;
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.writeHead(owner.storedHead());
    owner.heldKind_ = "job-results/";
    owner.scheduler_.scan(false, owner.now_);
    const auto earlierAnswer = owner.heldAnswer_;
    REQUIRE(earlierAnswer);
    owner.replaceForATime(1, otherPages, JobState::Open);
    owner.heldKind_ = "job-results/";
    owner.scheduler_.scan(false, owner.now_);
    earlierAnswer();
    CHECK(owner.read().results_ == otherResults);
}

// Guards against results at two positions: several reads find the newer head at the same time.
TEST_CASE("ledger: several readers that find another owner's results list them once")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.replaceForATime(1, otherPages, JobState::Open);
    owner.scheduler_.recheckOwnership(owner.now_);
    std::vector<std::function<void()>> answers;
    for (int readers = 0; readers < 3; ++readers) {
        owner.heldKind_ = "job-results/";
        owner.scheduler_.read("j", 0, {}, false, owner.now_, [](const ReadAnswer&) {});
        answers.push_back(owner.heldAnswer_);
    }
    SUBCASE("at once") { }
    SUBCASE("with a cancellation in between")
    {
        owner.scheduler_.end("j", false, owner.now_, [](const CancelAnswer&) {});
    }
    SUBCASE("with a finished item in between") { owner.rejectOneItem(); }
    for (const auto& answer : answers)
        answer();
    owner.advance(2s);
    const std::vector<JobResult> results = owner.read().results_;
    REQUIRE(results.size() >= otherResults.size());
    CHECK(std::equal(otherResults.begin(), otherResults.end(), results.begin()));
    CHECK(results == owner.read(true).results_);
}

// Guards against reads that miss results: a former owner's commit was in flight when the job was cancelled, and the present owner, which
// writes no further page, doesn't meet it.
TEST_CASE("ledger: an owner returns results that another owner lists after the job was cancelled")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.scheduler_.end("j", false, owner.now_, [](const CancelAnswer& answer) { CHECK(answer.outcome_ == ReadOutcome::Found); });
    REQUIRE(owner.read().outcome_ == ReadOutcome::Found);
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 1), encode(otherPages[0])), owner.now_);
    CHECK(owner.read().results_ == otherPages[0]);
}

// Guards against two owners that both list results: the job is claimed while its former owner loads it after a restart, and this one's page
// comes after the new owner's fence.
TEST_CASE("ledger: an owner that is replaced while it loads a job gives it up")
{
    SingleOwner owner;
    owner.beforeCommit_ = [&owner] {
        JobHead head = owner.storedHead();
        head.owner_ = SingleOwner::other;
        owner.writeHead(head);
        owner.store_.apply(ObjectCall::create(resultPageKey("j", 0), encode(std::vector<JobResult>())), owner.now_);
    };
    owner.scheduler_.scan(false, owner.now_);
    CHECK(owner.notes_[SchedulerNote::OwnershipLost] == 1);
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
}

// Guards against results of a former owner that are read and then missing at the new one: the job was cancelled before the new owner had
// loaded it, and a page of the former owner is still under way.
TEST_CASE("ledger: an owner that loads a cancelled job reserves the next page")
{
    SingleOwner owner;
    JobHead head = owner.storedHead();
    head.state_ = JobState::Cancelled;
    owner.writeHead(head);
    std::optional<ReadAnswer> answer;
    owner.scheduler_.read("j", 0, {}, false, owner.now_, [&answer](ReadAnswer read) { answer = std::move(read); });
    REQUIRE(answer);
    CHECK(answer->outcome_ == ReadOutcome::Found);
    CHECK(owner.hasResultPage(0));
}

// Guards against results of a former owner that are read and then missing at the new one: a node that leaves lists its last results after
// the new owner's fence.
TEST_CASE("ledger: a leaving owner that finds another owner's fence confirms its ownership before it lists results")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.beforeCommit_ = [&owner] {
        JobHead head = owner.storedHead();
        head.owner_ = SingleOwner::other;
        owner.writeHead(head);
        owner.store_.apply(ObjectCall::create(resultPageKey("j", 1), encode(std::vector<JobResult>())), owner.now_);
    };
    owner.areHeadReadsLost_ = true;
    owner.rejectOneItem();
    owner.preferred_ = SingleOwner::other;
    owner.scheduler_.beginLeaving(owner.now_);
    owner.advance(SchedulerSettings().storeRetryDelay_);
    CHECK_FALSE(owner.hasResultPage(2));
    owner.areHeadReadsLost_ = false;
    owner.advance(SchedulerSettings().storeRetryDelay_);
    CHECK(owner.notes_[SchedulerNote::OwnershipLost] == 1);
    CHECK_FALSE(owner.hasResultPage(2));
}

// Guards against results that stand twice in an answer: the job's loading was started a second time while the first one was waiting for the
// store, because a cancellation had failed meanwhile.
TEST_CASE("ledger: a cancellation that fails while the job is loaded doesn't load it twice")
{
    PartlyListed job(false);
    LedgerWorld& world = job.world_;
    const auto listed = world.stored("j");
    const ObjectEntry head = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    world.kill(0);
    world.start(0);
    world.store_.core().setOutage(true);
    world.scheduler(0).adopt({ "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, true, {} }, world.now(), world.wall());
    world.scheduler(0).end("j", false, world.now(), [](const CancelAnswer&) {});
    world.advance(SchedulerSettings().itemsTimeout_ + 2s);
    world.store_.core().setOutage(false);
    world.advance(1s);
    const ReadAnswer answer = world.read(0, "j");
    REQUIRE(answer.outcome_ == ReadOutcome::Found);
    CHECK(answer.results_ == listed);
}

// Guards against reads that miss results which have been read: the first message of an acceptance comes late, after its receiver has found the
// job in the store, listed results and restarted.
TEST_CASE("ledger: a late message of an acceptance doesn't hide the results of an earlier process")
{
    SingleOwner owner;
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 0), encode(otherPages[0])), owner.now_);
    const ObjectEntry head = owner.store_.objects().at(headKey("j"));
    const JobTransfer late { "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, false, {} };
    SUBCASE("before the first scan") { }
    SUBCASE("during the first scan")
    {
        owner.heldKind_ = "jobs/j";
        owner.scheduler_.scan(false, owner.now_);
    }
    owner.scheduler_.adopt(late, owner.now_, LedgerWorld::wallStart);
    CHECK(owner.read().results_ == otherPages[0]);
}
