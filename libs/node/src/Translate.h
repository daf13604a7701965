// Between the decisions' own terms and the messages that nodes send each other.
#pragma once

#include "decisions/Commands.h"
#include "gateway/ChatAnswer.h"
#include "gateway/EngineStream.h"
#include "jobs/JobTypes.h"
#include "wire/DatagramMessages.h"
#include "wire/LinkMessages.h"

namespace jj {

StreamEnd toWire(const HandedBack& handedBack, const AttemptKey& key);
HandedBack fromWire(const StreamEnd& end);

UpstreamLoad toWire(const HomeLoad& load);
HomeLoad fromWire(const UpstreamLoad& load);

FailureClass failureOf(EngineFailure failure);

// What the caller receives: a status, a typed code and whether the request ran.
CallerRefusal refusalOf(const Refuse& refuse);

// What the run of a batch item came to.
RunOutcome outcomeOf(const Refuse& refuse);

} // namespace jj
