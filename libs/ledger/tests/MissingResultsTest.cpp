// Owners that lack results which are in the store: others listed them while this node loaded, was replaced, left, or waited for an answer.
#include "SingleOwner.h"

using namespace jj;

namespace {

constexpr std::uint32_t items = SingleOwner::items;

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

// Guards against reads that miss results which have been read: the owner knows them from a read of the store only, and the store doesn't
// answer the next read.
TEST_CASE("ledger: an owner that can't learn the outcome of a commit doesn't answer from memory")
{
    SingleOwner owner;
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.heldWriteKind_ = "job-results/";
    owner.rejectOneItem();
    owner.advance(1s);
    REQUIRE(owner.read().results_.size() == 1);
    owner.failingKind_ = "jobs/";
    const ReadAnswer answer = owner.read();
    CHECK((answer.outcome_ == ReadOutcome::Unavailable || answer.results_.size() == 1));
}

// Guards against reads that miss results which have been read: the read waits for a result while the outcome of a commit stays unknown.
TEST_CASE("ledger: a reader whose wait ends after a commit has become late is answered from the store")
{
    SingleOwner owner;
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.heldWriteKind_ = "job-results/";
    owner.rejectOneItem();
    owner.advance(500ms);
    std::optional<ReadAnswer> answer;
    owner.scheduler_.read("j", 0, 1s, false, owner.now_, [&answer](ReadAnswer read) { answer = std::move(read); });
    REQUIRE_FALSE(answer);
    owner.advance(1100ms);
    REQUIRE(answer);
    CHECK(answer->results_.size() == 1);
}

// Guards against reads that miss results which have been read: a former owner's commit has taken effect after the job was cancelled, and the
// store doesn't answer the next read.
TEST_CASE("ledger: an owner of a cancelled job doesn't answer from memory while the store is unavailable")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.scheduler_.end("j", false, owner.now_, [](const CancelAnswer& answer) { CHECK(answer.outcome_ == ReadOutcome::Found); });
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 1), encode(otherPages[0])), owner.now_);
    REQUIRE(owner.read().results_ == otherPages[0]);
    owner.failingKind_ = "jobs/";
    const ReadAnswer answer = owner.read();
    CHECK((answer.outcome_ == ReadOutcome::Unavailable || answer.results_ == otherPages[0]));
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
    // Runs don't start between the recheck and the answer of the store.
    const auto run = owner.scheduler_.startNext("s", owner.now_);
    REQUIRE(run);
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
    SUBCASE("with a finished item in between") { owner.scheduler_.ended(run->id_, RunResult::Unprocessable, owner.now_); }
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
    SUBCASE("after a scan that couldn't read the head")
    {
        owner.failingKind_ = "jobs/j";
        owner.scheduler_.scan(false, owner.now_);
        REQUIRE(owner.scheduler_.loadedJobs() == 0);
    }
    owner.scheduler_.adopt(late, owner.now_, LedgerWorld::wallStart);
    CHECK(owner.read().results_ == otherPages[0]);
}

// Guards against reads that miss results which have been read: a message of an acceptance is repeated to a node whose scan couldn't read the
// job's head.
TEST_CASE("ledger: a repeated message of an acceptance makes its receiver load the results after its scan too")
{
    SingleOwner owner;
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 0), encode(otherPages[0])), owner.now_);
    owner.failingKind_ = "jobs/j";
    owner.scheduler_.scan(false, owner.now_);
    REQUIRE(owner.scheduler_.loadedJobs() == 0);
    const ObjectEntry head = owner.store_.objects().at(headKey("j"));
    owner.scheduler_.adopt({ "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, true, {} }, owner.now_, LedgerWorld::wallStart);
    CHECK(owner.read().results_ == otherPages[0]);
}

// Guards against reads that miss results: the owner was suspended, others have read from the store what its pending commit had listed, and it
// answers with the results that it knows.
TEST_CASE("ledger: an owner that was suspended returns what its pending commit has listed besides what it knows")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.rejectOneItem();
    owner.heldWriteKind_ = "job-results/";
    owner.rejectOneItem();
    REQUIRE(owner.heldAnswer_);
    owner.now_ += 2s;
    CHECK(owner.read().results_.size() == 2);
}

// Guards against reads that miss results of another owner: the cancellation that was read back was written after that owner's results.
TEST_CASE("ledger: an owner whose cancellation was read back returns other owners' results besides its own")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    owner.rejectOneItem();
    owner.replaceForATime(2, otherPages, JobState::Cancelled);
    owner.readBackKind_ = "jobs/";
    owner.scheduler_.end("j", false, owner.now_, [](const CancelAnswer& answer) { CHECK(answer.outcome_ == ReadOutcome::Found); });
    CHECK(owner.read().results_.size() == 1 + otherResults.size());
}
