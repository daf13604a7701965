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

// One scheduler over a store that answers at once. Its next write of a kind of objects can be reported as read back.
class SingleOwner {
public:
    static constexpr NodeId self { 100 };
    static constexpr NodeId other { 200 };

    SingleOwner()
        : scheduler_({}, outlets())
    {
        JobSubmission submission = LedgerWorld::submission("j", items);
        JobHead head = submission.head_;
        head.owner_ = self;
        head.total_ = items;
        head.itemPages_ = 1;
        head.acceptedAt_ = LedgerWorld::wallStart;
        store_.apply(ObjectCall::create(headKey("j"), encode(head)), now_);
        store_.apply(ObjectCall::create(itemPageKey("j", 0), encode(submission.items_)), now_);
        scheduler_.tick(now_, LedgerWorld::wallStart);
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

    TimePoint now_ { 1s };
    MemoryStore store_ { MemoryStoreSettings { 0, 0, 1s, 100'000, 50 } };
    std::string readBackKind_; // prefix of the keys; empty: none
    NodeId preferredOwner_ = self;
    bool areHeadReadsLost_ = false;
    std::function<void()> beforeCommit_; // runs once, before the next result page is written
    std::map<SchedulerNote, int> notes_;
    JobScheduler scheduler_;

private:
    SchedulerOutlets outlets()
    {
        SchedulerOutlets outlets;
        outlets.store_ = [this](const ObjectCall& call, CallClass, TimePoint, const SettledCompletion& done) {
            if (beforeCommit_ && call.isWrite() && call.key_.starts_with("job-results/"))
                std::exchange(beforeCommit_, {})();
            if (areHeadReadsLost_ && !call.isWrite() && call.key_.starts_with("jobs/"))
                return done({ ObjectAnswer::failed(ObjectError::Unavailable), now_ }, now_);
            SettledAnswer settled { store_.apply(call, now_), now_ };
            if (call.isWrite() && !readBackKind_.empty() && call.key_.starts_with(readBackKind_)) {
                settled.isReadBack_ = true;
                readBackKind_.clear();
            }
            done(settled, now_);
        };
        outlets.self_ = self;
        outlets.isLive_ = [](NodeId) { return true; };
        outlets.preferredOwner_ = [this](std::string_view, NodeId) { return preferredOwner_; };
        outlets.stop_ = [](RunId) {};
        outlets.transfer_ = [](NodeId, const JobTransfer&) {};
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
    owner.preferredOwner_ = SingleOwner::other;
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
