// Messages and updates of a job's head that take effect, or are delivered, long after they were sent.
#include "SingleOwner.h"

using namespace jj;

namespace {

constexpr std::uint32_t items = SingleOwner::items;

const std::vector<JobResult> listed { { "j-3", ResultState::Completed, "e1" } };

} // namespace

// Guards against reads that miss results: an owner's handover has taken effect without its knowledge, and the next owner lists results.
TEST_CASE("ledger: an owner whose handover has no answer yet doesn't answer from memory")
{
    SingleOwner owner;
    // A node that was available throughout doesn't confirm its ownership by itself.
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.preferred_ = SingleOwner::other;
    owner.heldWriteKind_ = "jobs/";
    owner.scheduler_.handOverMisplaced(owner.now_);
    REQUIRE(owner.storedHead().owner_ == SingleOwner::other);
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 1), encode(std::vector<JobResult>())), owner.now_);
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 2), encode(listed)), owner.now_);
    REQUIRE(owner.read(true).results_ == listed);
    owner.advance(2s);
    SUBCASE("a read without a wait") { }
    SUBCASE("after a scan") { owner.scheduler_.scan(false, owner.now_); }
    const ReadAnswer answer = owner.read();
    CHECK((answer.outcome_ != ReadOutcome::Found || answer.results_ == listed));
}
