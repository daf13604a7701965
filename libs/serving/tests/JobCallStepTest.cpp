// Tests what a node does with answers about a job.
#include "JobCallStep.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr JobCallState remote { .wasLocal_ = false, .mayContinue_ = true };
constexpr JobCallState local { .wasLocal_ = true, .mayContinue_ = true };
constexpr JobCallState remoteAtEnd { .wasLocal_ = false, .mayContinue_ = false };
const NodeId self(1);
const NodeId other(2);

} // namespace

// Guards against a read that fails, or shows no results, because the job's owner can't be sure of them.
TEST_CASE("serving: the entry reads the store itself if the job's owner can't be sure")
{
    CHECK(nextStep(ReadOutcome::Unavailable, {}, self, remote) == JobCallStep::ReadStore);
}

// Guards against an empty list, or 404, for a job whose results a caller has read.
TEST_CASE("serving: a caller gets 503 if neither the owner nor the store can be asked")
{
    for (const JobCallState& state : { local, remoteAtEnd }) {
        CHECK(nextStep(ReadOutcome::Unavailable, {}, self, state) == JobCallStep::Respond);
        CHECK(nextStep(ReadOutcome::Unavailable, {}, self, { state.wasLocal_, state.mayContinue_, true }) == JobCallStep::Respond);
    }
    CHECK(nextStep(ReadOutcome::OtherOwner, other, self, remoteAtEnd) == JobCallStep::Respond);
    CHECK(statusOf(ReadOutcome::Unavailable) == 503);
    CHECK(statusOf(ReadOutcome::OtherOwner) == 503);
    CHECK(statusOf(ReadOutcome::Missing) == 404);
    CHECK(statusOf(ReadOutcome::Found) == 200);
}

// Guards against calls that go in circles between a node and the job's former owners.
TEST_CASE("serving: the owner that an answer names is asked next, and the store if that is this node, which doesn't know it")
{
    CHECK(nextStep(ReadOutcome::OtherOwner, other, self, remote) == JobCallStep::AskOwner);
    CHECK(nextStep(ReadOutcome::OtherOwner, other, self, local) == JobCallStep::AskOwner);
    CHECK(nextStep(ReadOutcome::OtherOwner, self, self, remote) == JobCallStep::AskOwner);
    CHECK(nextStep(ReadOutcome::OtherOwner, self, self, local) == JobCallStep::ReadStore);
}

// Guards against 404 for a job that was accepted before the configuration had workspaces.
TEST_CASE("serving: a missing job is asked for once more under its caller's id if older jobs are stored so")
{
    CHECK(nextStep(ReadOutcome::Missing, {}, self, { false, true, true }) == JobCallStep::AskByCallersId);
    CHECK(nextStep(ReadOutcome::Missing, {}, self, remote) == JobCallStep::Respond);
    CHECK(nextStep(ReadOutcome::Found, other, self, { false, true, true }) == JobCallStep::Respond);
}
