// Writes that count as done because their value was read back after a lost answer, although another host, or an earlier process, wrote
// that value.
#include "SingleOwner.h"

using namespace jj;

namespace {

constexpr std::uint32_t items = SingleOwner::items;

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

// Guards against an owner that begins without a job's results, because an earlier submission's head was taken for this one's.
TEST_CASE("ledger: an acceptance is new only if its head was not read back")
{
    for (const bool isReadBack : { false, true }) {
        CAPTURE(isReadBack);
        Acceptor acceptor([isReadBack](const ObjectCall& call, CallClass, TimePoint, const SettledCompletion& done) {
            SettledAnswer answer;
            answer.isReadBack_ = isReadBack && call.key_ == headKey("j");
            done(answer, TimePoint(1s));
        });
        Acceptance seen;
        acceptor.accept(LedgerWorld::submission("j", items), SingleOwner::self, 2s, TimePoint(1s), LedgerWorld::wallStart, [&seen](const Acceptance& acceptance, TimePoint) { seen = acceptance; });
        CHECK((seen.outcome_ == AcceptOutcome::Accepted));
        CHECK(seen.isNew_ == !isReadBack);
    }
}
