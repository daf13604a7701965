// Carries calls to the object API through refusals, outages and lost answers, without a socket or clock of its own.
//
// send() takes a call and a completion. take() gives the calls that may go out now; answered() brings their answers. The completion
// runs once, with an answer that is settled: success, Conflict, NotFound, TooLarge, BadCall, or, when `until_` passed first,
// Unavailable (no write of this call took effect or ever will) or OutcomeUnknown (one may have, or may still).
//
// Failure met: a conditional write takes effect and its answer is lost. Sent again, it is refused by its own effect, and the writer
// believes that somebody else won. The guard: after a lost answer the object is read back; if it holds exactly the bytes that this
// call writes, the call has succeeded. So a value must differ between writers where that matters: values carry a writer's mark, or the
// caller checks SettledAnswer::isReadBack_.
// A write that lands late is harmless, because the same conditional write is sent again, never a different one in its place; except a
// create whose object was removed meanwhile (SettledAnswer::mayLandLate_).
//
// Failure met: an answer is lost, and its caller waits for the bound of a slow day, hundreds of times the usual answer. The guard: a
// try that takes far longer than answers lately took is followed by another one of the same call, and the first answer settles it.
// How long that is follows from the answers (mean and four times their spread), so a store that is slow as a whole isn't asked twice for
// long. A hedged write counts as one whose answer was lost, so its conflict is read back.
#pragma once

#include "objects/CallBudget.h"
#include "objects/ObjectApi.h"

#include <functional>
#include <map>
#include <random>
#include <string_view>
#include <vector>

namespace jj {

// One try of a call; a repeated call gets a new id, so that answers to older tries are known as such and dropped.
using CallId = Id<struct CallTag>;

struct OutgoingCall {
    CallId id_;
    ObjectCall call_;
};

struct SettledAnswer {
    ObjectAnswer answer_; // Conflict after a lost answer also carries the value that stands
    TimePoint firstSentAt_ {}; // when the first try went out; neverTime when none did
    // Success of a write that was concluded from reading back its value after a lost answer. Another writer of the same value may have
    // written it.
    bool isReadBack_ = false;
    // A try of this write went without an answer and may still reach the store. A create may then write an object again that was removed
    // meanwhile.
    bool mayLandLate_ = false;

    bool ok() const { return answer_.ok(); }
    bool is(ObjectError error) const { return answer_.error_ == error; }
};

using SettledCompletion = std::function<void(const SettledAnswer&, TimePoint now)>;

struct CallQueueSettings {
    CallBudgetSettings budget_;
    Duration firstBackoff_ = 50ms;
    Duration longestBackoff_ = 2s;
    Duration answerBound_ = 5s; // a try without an answer for so long counts as lost
    std::uint32_t inFlight_ = 64; // tries waiting for an answer
    std::uint32_t hedges_ = 0; // further tries of a call while earlier ones have no answer
    Duration leastHedge_ = 60ms; // answers come in some milliseconds, and from another region in thirty
};

class CallQueue {
public:
    CallQueue(CallQueueSettings settings, std::uint64_t seed);

    void send(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done);
    void answered(CallId id, ObjectAnswer answer, TimePoint now);
    // Gives up on calls past their time, counts silent tries as lost and lets due calls go.
    void tick(TimePoint now);
    // The calls to send now.
    std::vector<OutgoingCall> take();

    CallBudget& budget() { return budget_; }
    const CallBudget& budget() const { return budget_; }
    std::size_t waiting() const { return calls_.size(); }
    // Returns whether a waiting write of this object may have taken effect: a try of it hasn't been answered.
    bool isWriteInDoubt(std::string_view key) const;
    std::uint64_t sent() const { return sent_; }

private:
    enum class Step : std::uint8_t {
        Send,
        ReadBack, // an answer was lost: what stands?
    };

    // Invariant: inFlight_ is none, or tries_[inFlight_] is this call.
    struct Call {
        ObjectCall call_;
        CallClass class_ = CallClass::Commit;
        TimePoint until_ {};
        SettledCompletion done_;
        Step step_ = Step::Send;
        bool answerLost_ = false; // a write of this call may have taken effect unseen
        TimePoint notBefore_ {};
        std::uint32_t backoffs_ = 0;
        TimePoint firstSentAt_ = neverTime;
        CallId inFlight_; // the latest try
        TimePoint sentAt_ {};
        std::uint32_t hedged_ = 0; // further tries since the last one that was given up
    };
    struct Try {
        std::pair<CallClass, std::uint64_t> call_;
        TimePoint sentAt_ {};
    };
    using Place = std::uint64_t; // order of entry
    using Queue = std::map<std::pair<CallClass, Place>, Call>;

    void release(Queue::iterator place, TimePoint now);
    void finish(Queue::iterator place, ObjectAnswer answer, TimePoint now, bool isReadBack = false);
    void backOff(Call& call, Duration atLeast, TimePoint now);
    void answerLost(Call& call, TimePoint now);
    static bool mayHedge(const Call& call);
    void hedge(Queue::iterator place, TimePoint now);
    Duration hedgeAfter() const;
    void learnDelay(Duration delay);
    void dropTries(const std::pair<CallClass, Place>& call);
    void sendAnswered(Queue::iterator place, ObjectAnswer answer, TimePoint now);
    void readBackAnswered(Queue::iterator place, ObjectAnswer answer, TimePoint now);

    CallQueueSettings settings_;
    CallBudget budget_;
    std::mt19937_64 random_;
    Queue calls_;
    std::map<CallId, Try> tries_;
    double meanSeconds_ = 0; // of answers
    double spreadSeconds_ = 0;
    std::vector<OutgoingCall> outgoing_;
    Place nextPlace_ = 0;
    std::uint64_t sent_ = 0;
};

} // namespace jj
