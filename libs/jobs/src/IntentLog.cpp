// Intents one by one, outcomes in groups.
#include "jobs/IntentLog.h"

namespace jj {

namespace {

    std::string lastPart(std::string_view key) { return std::string(key.substr(key.rfind('/') + 1)); }

} // namespace

IntentLog::IntentLog(JobContext& context)
    : context_(context)
{
}

void IntentLog::ask(const CallAsked& event)
{
    if (context_.draining_)
        return refuse(event.ask_, JobError::Draining, RunState::NotRun);
    const std::string key = callKey(event.workspace_, event.service_, event.key_);
    const auto known = calls_.find(key);
    if (known != calls_.end())
        return join(event, known->second);
    // Said at once: the caller may have another way.
    if (context_.queue_.budget().isOut())
        return refuse(event.ask_, JobError::StoreUnavailable, RunState::NotRun);
    Call& call = calls_[key];
    call.asked_ = event;
    write(key, call, ObjectVersion::none());
}

void IntentLog::join(const CallAsked& event, Call& call)
{
    if (event.fingerprint_ != call.asked_.fingerprint_)
        return refuse(event.ask_, JobError::KeyReused, RunState::NotRun);
    switch (call.phase_) {
    case Phase::Creating:
    case Phase::Reading:
    case Phase::Begun:
        call.joined_.push_back(event.ask_);
        return;
    case Phase::Finished:
        return answer(event.ask_, call.outcome_);
    case Phase::Abandoned:
    case Phase::Freeing:
        // The key may be another node's at any moment.
        return refuse(event.ask_, JobError::StoreUnavailable, RunState::NotRun);
    }
}

// `freed`: the version of the record that an earlier call left when it gave the key back.
void IntentLog::write(const std::string& key, Call& call, ObjectVersion freed)
{
    call.phase_ = Phase::Creating;
    call.refuseAt_ = patience();
    call.intent_ = { context_.node_, context_.incarnation_, assignGroup(), call.asked_.fingerprint_, context_.wall_, context_.mark() };
    ++groups_[call.intent_.group_].calls_;
    ObjectCall request = freed.isNone() ? ObjectCall::create(key, call.intent_.encode()) : ObjectCall::update(key, call.intent_.encode(), freed);
    context_.call(std::move(request), CallClass::Commit, neverTime, [this, key](const SettledAnswer& answer) { written(key, answer); });
}

void IntentLog::written(const std::string& key, const SettledAnswer& answer)
{
    Call& call = calls_.at(key);
    call.version_ = answer.answer_.version_;
    if (answer.ok()) {
        if (call.phase_ == Phase::Abandoned)
            return free(key, call);
        call.phase_ = Phase::Begun;
        keys_[call.asked_.ask_] = key;
        context_.emit(BeginCall { call.asked_.ask_ });
        return;
    }
    --groups_[call.intent_.group_].calls_;
    if (call.phase_ == Phase::Abandoned)
        calls_.erase(key);
    else if (answer.is(ObjectError::Conflict) || answer.is(ObjectError::NotFound))
        readIntent(key, call);
    else
        refuseAll(key, JobError::StoreUnavailable, RunState::NotRun);
}

// Nothing was sent under this intent, so the key may be used again.
//
// Failure met: a try of the intent's creation lands after the intent was removed, and the key stays closed as if its call had begun. The
// guard: the intent is replaced, not removed, so that whatever creation lands late meets an object in its place.
void IntentLog::free(const std::string& key, Call& call)
{
    call.phase_ = Phase::Freeing;
    --groups_[call.intent_.group_].calls_;
    CallIntent freed;
    freed.at_ = context_.wall_;
    freed.mark_ = context_.mark();
    context_.call(ObjectCall::update(key, freed.encode(), call.version_), CallClass::Commit, neverTime, [this, key](const SettledAnswer&) { calls_.erase(key); });
}

void IntentLog::finished(const CallFinished& event)
{
    const auto named = keys_.find(event.ask_);
    if (named == keys_.end())
        return;
    const std::string key = named->second;
    keys_.erase(named);
    Call& call = calls_.at(key);
    const std::vector<AskId> joined = std::exchange(call.joined_, {});
    if (event.ran_ == RunState::NotRun) {
        for (const AskId ask : joined)
            refuse(ask, JobError::TooBusy, RunState::NotRun);
        return free(key, call);
    }
    const bool keepBody = event.body_.size() <= context_.settings_.maxOutcomeBytes_;
    call.phase_ = Phase::Finished;
    call.outcome_ = { event.ran_, event.status_, event.body_, true };
    for (const AskId ask : joined)
        answer(ask, call.outcome_);
    if (!keepBody) {
        call.outcome_.body_.clear();
        call.outcome_.bodyKept_ = false;
    }
    Group& group = groups_[call.intent_.group_];
    group.record_.outcomes_[lastPart(key)] = call.outcome_;
    group.fresh_.push_back(key);
}

void IntentLog::answer(AskId ask, const CallOutcome& outcome)
{
    if (outcome.ran_ == RunState::Ran)
        context_.emit(CallKnown { ask, outcome.status_, outcome.body_, outcome.bodyKept_ });
    else
        refuse(ask, JobError::EarlierCallBegan, RunState::OutcomeUnknown);
}

void IntentLog::refuse(AskId ask, JobError error, RunState ran)
{
    const bool later = error == JobError::StoreUnavailable || error == JobError::TooBusy || error == JobError::Draining;
    context_.emit(CallRefused { ask, error, ran, later ? std::max<Duration>(1s, context_.queue_.budget().comeBackAfter(context_.now_)) : Duration::zero() });
}

std::vector<AskId> IntentLog::takeAsks(const std::string& key)
{
    Call& call = calls_.at(key);
    std::vector<AskId> asks = std::move(call.joined_);
    asks.push_back(call.asked_.ask_);
    calls_.erase(key);
    return asks;
}

void IntentLog::refuseAll(const std::string& key, JobError error, RunState ran)
{
    for (const AskId ask : takeAsks(key))
        refuse(ask, error, ran);
}

void IntentLog::readIntent(const std::string& key, Call& call)
{
    call.phase_ = Phase::Reading;
    context_.call(ObjectCall::get(key), CallClass::Commit, patience(), [this, key](const SettledAnswer& answer) { intentRead(key, answer); });
}

void IntentLog::intentRead(const std::string& key, const SettledAnswer& answer)
{
    // Collected since, by its age. The caller may try again.
    if (answer.is(ObjectError::NotFound))
        return refuseAll(key, JobError::TooBusy, RunState::NotRun);
    const Result<CallIntent> intent = answer.ok() ? CallIntent::decode(answer.answer_.value_) : Result<CallIntent>(JobError::StoreUnavailable);
    if (!intent)
        return refuseAll(key, JobError::EarlierCallBegan, RunState::OutcomeUnknown);
    Call& call = calls_.at(key);
    if (intent.value().isFree())
        return write(key, call, answer.answer_.version_);
    if (intent.value().fingerprint_ != call.asked_.fingerprint_)
        return refuseAll(key, JobError::KeyReused, RunState::NotRun);
    readOutcome(key, intent.value());
}

void IntentLog::readOutcome(const std::string& key, const CallIntent& intent)
{
    const std::string group = outcomeKey(intent.node_, intent.incarnation_, intent.group_);
    context_.call(ObjectCall::get(group), CallClass::Commit, patience(), [this, key](const SettledAnswer& answer) {
        const Result<OutcomeGroup> record = answer.ok() ? OutcomeGroup::decode(answer.answer_.value_) : Result<OutcomeGroup>(JobError::StoreUnavailable);
        const auto found = record ? record.value().outcomes_.find(lastPart(key)) : std::map<std::string, CallOutcome>::const_iterator {};
        if (!record || found == record.value().outcomes_.end())
            return refuseAll(key, JobError::EarlierCallBegan, RunState::OutcomeUnknown);
        for (const AskId ask : takeAsks(key))
            this->answer(ask, found->second);
    });
}

std::uint64_t IntentLog::assignGroup()
{
    if (assigned_ == context_.settings_.outcomeGroup_) {
        ++group_;
        assigned_ = 0;
    }
    ++assigned_;
    return group_;
}

void IntentLog::tick()
{
    std::vector<std::string> late;
    for (auto& [key, call] : calls_) {
        if (call.phase_ == Phase::Creating && context_.now_ >= call.refuseAt_)
            late.push_back(key);
    }
    for (const std::string& key : late) {
        Call& call = calls_.at(key);
        call.phase_ = Phase::Abandoned;
        refuse(call.asked_.ask_, JobError::StoreUnavailable, RunState::NotRun);
        for (const AskId ask : std::exchange(call.joined_, {}))
            refuse(ask, JobError::StoreUnavailable, RunState::NotRun);
    }
    if (context_.now_ >= flushAt_) {
        flushAt_ = context_.now_ + context_.settings_.outcomeFlush_;
        flush();
    }
}

void IntentLog::flush()
{
    for (auto place = groups_.begin(); place != groups_.end();) {
        auto& [number, group] = *place;
        const bool closed = number < group_;
        if (closed && group.calls_ == 0 && group.fresh_.empty() && !group.writing_) {
            place = groups_.erase(place);
            continue;
        }
        if (!group.fresh_.empty() && !group.writing_)
            writeGroup(number, group);
        ++place;
    }
}

void IntentLog::writeGroup(std::uint64_t number, Group& group)
{
    group.writing_ = true;
    group.record_.at_ = context_.wall_;
    group.record_.mark_ = context_.mark();
    const std::string key = outcomeKey(context_.node_, context_.incarnation_, number);
    const std::string value = group.record_.encode();
    ObjectCall call = group.version_.isNone() ? ObjectCall::create(key, value) : ObjectCall::update(key, value, group.version_);
    context_.call(std::move(call), CallClass::Commit, neverTime,
        [this, number, keys = std::exchange(group.fresh_, {})](const SettledAnswer& answer) { groupWritten(number, answer, keys); });
}

// Until its outcome stands in the store, a call is answered from memory here.
void IntentLog::groupWritten(std::uint64_t number, const SettledAnswer& answer, const std::vector<std::string>& keys)
{
    Group& group = groups_.at(number);
    group.writing_ = false;
    if (answer.is(ObjectError::TooLarge)) {
        for (auto& [name, outcome] : group.record_.outcomes_) {
            outcome.body_.clear();
            outcome.bodyKept_ = false;
        }
        group.fresh_.insert(group.fresh_.end(), keys.begin(), keys.end());
        return;
    }
    group.version_ = answer.answer_.version_;
    // Collected since, by the age of its earlier outcomes, or an old creation of it landed after that: the next flush writes it, whatever stands.
    if (answer.is(ObjectError::Conflict) || answer.is(ObjectError::NotFound)) {
        group.fresh_.insert(group.fresh_.end(), keys.begin(), keys.end());
        return;
    }
    for (const std::string& key : keys) {
        --group.calls_;
        calls_.erase(key);
    }
}

} // namespace jj
