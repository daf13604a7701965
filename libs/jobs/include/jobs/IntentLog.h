// At-most-once calls (D6): a durable intent before the first byte, the outcome after.
//
// Failure met: a caller sends a booking, the node dies after passing it on, the caller sends it again to another host, and the
// deposit is taken twice. The guard: the intent is an object named by the call's key and created if absent before the call is
// begun; only its creator ever begins the call. Whoever finds the intent standing reads the outcome recorded for it, and where there
// is none says OutcomeUnknown, never a second run. A call that was not run leaves a record that says so, and whoever replaces that
// record, on its version, begins the next call.
//
// Cost: one write for each call's intent, since a key must be unique over all nodes and only one object can be conditional on
// itself. Outcomes aren't unique names, so they share writes: the intent names a group object of its node, and the outcomes that
// come within outcomeFlush_ go into one write of each group. Reading costs two calls, for resends only; a resend of a call that was not
// run costs a read and a write more.
#pragma once

#include "jobs/JobContext.h"

#include <map>

namespace jj {

class IntentLog {
public:
    explicit IntentLog(JobContext& context);

    void ask(const CallAsked& event);
    void finished(const CallFinished& event);
    void tick();

    bool isIdle() const { return calls_.empty(); }

private:
    enum class Phase : std::uint8_t {
        Creating, // the intent is on its way
        Reading, // an earlier call's intent stands: what became of it?
        Abandoned, // the caller was refused while the intent was on its way; it must not stay
        Begun,
        Finished, // the outcome waits to be recorded
        Freeing, // never sent: the key is being given back
    };

    struct Call {
        CallAsked asked_;
        Phase phase_ = Phase::Creating;
        TimePoint refuseAt_ {};
        CallIntent intent_;
        ObjectVersion version_;
        CallOutcome outcome_;
        std::vector<AskId> joined_; // the same call, sent again while the first runs here
    };

    struct Group {
        OutcomeGroup record_;
        ObjectVersion version_;
        std::uint32_t calls_ = 0; // intents that name this group and have no recorded outcome
        std::vector<std::string> fresh_; // keys whose outcomes aren't written yet
        bool writing_ = false;
    };

    void write(const std::string& key, Call& call, ObjectVersion freed);
    void written(const std::string& key, const SettledAnswer& answer);
    void join(const CallAsked& event, Call& call);
    void free(const std::string& key, Call& call);
    void readIntent(const std::string& key, Call& call);
    void intentRead(const std::string& key, const SettledAnswer& answer);
    void readOutcome(const std::string& key, const CallIntent& intent);
    // The asks that wait for this call, which is forgotten.
    std::vector<AskId> takeAsks(const std::string& key);
    void refuseAll(const std::string& key, JobError error, RunState ran);
    void answer(AskId ask, const CallOutcome& outcome);
    void refuse(AskId ask, JobError error, RunState ran);
    std::uint64_t assignGroup();
    void flush();
    void writeGroup(std::uint64_t number, Group& group);
    void groupWritten(std::uint64_t number, const SettledAnswer& answer, const std::vector<std::string>& keys);
    TimePoint patience() const { return context_.now_ + context_.settings_.callPatience_; }

    JobContext& context_;
    std::map<std::string, Call> calls_; // by callKey
    std::map<AskId, std::string> keys_; // of the calls begun here
    std::map<std::uint64_t, Group> groups_;
    std::uint64_t group_ = 0; // the one that new calls are assigned to
    std::uint32_t assigned_ = 0;
    TimePoint flushAt_ {};
};

} // namespace jj
