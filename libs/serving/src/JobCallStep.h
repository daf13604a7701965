// What a node does with an answer about a job, which came from the job's owner or from this node.
//
// An owner that can't be sure must not make this node answer as if there were no results, or no such job: this node then reads the store
// itself, and if it can't, the caller gets 503 and comes again.
#pragma once

#include "base/Id.h"
#include "ledger/JobScheduler.h"

namespace jj {

enum class JobCallStep : std::uint8_t {
    AskOwner, // ask the owner that the answer names
    ReadStore, // answer from the store, whichever node owns the job
    AskByCallersId, // start again with the name under which older jobs are stored
    Respond,
};

struct JobCallState {
    bool wasLocal_ = false; // the answer is this node's own
    bool mayContinue_ = false; // hops and time are left
    bool mayBeStoredUnderId_ = false;
};

// `owner`: the owner that the answer names.
inline JobCallStep nextStep(ReadOutcome outcome, NodeId owner, NodeId self, const JobCallState& state)
{
    if (outcome == ReadOutcome::OtherOwner && state.mayContinue_)
        return owner == self && state.wasLocal_ ? JobCallStep::ReadStore : JobCallStep::AskOwner;
    if (outcome == ReadOutcome::Unavailable && !state.wasLocal_ && state.mayContinue_)
        return JobCallStep::ReadStore;
    if (outcome == ReadOutcome::Missing && state.mayBeStoredUnderId_)
        return JobCallStep::AskByCallersId;
    return JobCallStep::Respond;
}

// The status of the response.
inline int statusOf(ReadOutcome outcome)
{
    if (outcome == ReadOutcome::Found)
        return 200;
    return outcome == ReadOutcome::Missing ? 404 : 503;
}

} // namespace jj
