// Runs are looked up by id. Events of a run that is no longer current are ignored.
#include "ItemRunner.h"

#include "Shares.h"
#include "Statuses.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>

namespace jj {

namespace {

    constexpr int statusImpossible = 422;
    constexpr int statusFailed = 500;
    constexpr std::size_t maxEmptyRuns = 1000;
    // Weight of the latest run in the moving average of run times.
    constexpr double smoothingFactor = 0.1;

    // Headers of a single run, which a job's item can't know.
    bool isReplacedForItem(const HeaderNames& names, std::string_view name)
    {
        return boost::beast::iequals(name, names.attemptId_) || boost::beast::iequals(name, names.resumeAfter_) || boost::beast::iequals(name, names.timeLeft_);
    }

} // namespace

ItemRunner::ItemRunner(Context& context, JobScheduler& scheduler, ItemRunnerSettings settings)
    : context_(context)
    , scheduler_(scheduler)
    , settings_(settings)
    , meanRunSeconds_(toSeconds(settings.assumedRunTime_))
{
}

bool ItemRunner::isCurrent(const RunPtr& run) const
{
    const auto found = runs_.find(run->item_.id_);
    return found != runs_.end() && found->second == run;
}

void ItemRunner::pump(TimePoint now)
{
    scheduler_.setRunTime(fromSeconds(meanRunSeconds_));
    // Before waiting items are started: while all slots are taken, those would take each slot that becomes free.
    leaveSilentEngines(now);
    endEndlessAnswers(now);
    yieldOneItem(now);
    std::size_t starts = 0;
    while (starts < settings_.maxStartsPerPump_ && startOne(now))
        ++starts;
    reportWaiting(now);
}

bool ItemRunner::startOne(TimePoint now)
{
    for (const auto& [service, waiting] : scheduler_.waiting(now)) {
        if (service.empty()) {
            scheduler_.startNext(service, now); // finishes the item without a run
            return true;
        }
        if (startOn(service, waiting, SoftwareVersionId::none(), now))
            return true;
        // No waiting item may run at the engine that was picked, or none was picked.
        for (const SoftwareVersionId version : waiting.versions_) {
            if (startOn(service, waiting, version, now))
                return true;
        }
    }
    return false;
}

bool ItemRunner::startOn(const std::string& service, const JobScheduler::Waiting& waiting, SoftwareVersionId version, TimePoint now)
{
    if (startOn(service, waiting.firstDue_, version, false, now))
        return true;
    return waiting.urgency_ == ItemUrgency::Urgent && startOn(service, waiting.firstUrgentDue_, version, true, now);
}

bool ItemRunner::startOn(const std::string& service, TimePoint due, SoftwareVersionId version, bool onlyUrgent, TimePoint now)
{
    const EnginePick pick = context_.board_.pickBatch(service, onlyUrgent, due, {}, now, version);
    if (!pick.isSome())
        return false;
    // The process may have been suspended since the turn began, and the scheduler's confirmations have an age.
    auto item = scheduler_.startNext(service, context_.now(), context_.board_.find(pick.engine_)->softwareVersion_.id(), onlyUrgent);
    if (!item)
        return false;
    auto run = std::make_shared<Run>();
    run->item_ = std::move(*item);
    run->service_ = service;
    run->engine_ = pick.engine_;
    run->sentAt_ = now;
    run->heardAt_ = now;
    run->usefulAt_ = now;
    run->scanner_ = EventScanner(context_.eventLimit());
    run->hold_ = context_.budget_->hold(http::ByteUse::Answers);
    run->fingerprints_ = context_.crashes_->fingerprintsOf(run->item_);
    if (withhold(*run, now))
        return true;
    runs_[run->item_.id_] = run;
    send(run);
    return true;
}

bool ItemRunner::withhold(const Run& run, TimePoint now)
{
    const CrashWatch::Verdict verdict = context_.crashes_->judgeItem(run.fingerprints_);
    if (!verdict.blocked_)
        return false;
    if (verdict.isTrialDue_) {
        context_.crashes_->beginItemTrial(*verdict.blocked_);
        return false;
    }
    context_.log_.line("itemWithheld").with("request", run.item_.item_).with("job", run.item_.job_).with("suspect", suspectName(*verdict.blocked_));
    context_.metrics_.metrics_.add(context_.metrics_.itemsWithheld_);
    scheduler_.ended(run.item_.id_, RunResult::Withheld, now);
    return true;
}

// Reports the items that wait on this node: nodes leave free slots to the items that are due first, whichever node those wait on.
void ItemRunner::reportWaiting(TimePoint now)
{
    std::map<std::string, JobScheduler::Waiting> waiting = scheduler_.waiting(now);
    for (const auto& [service, before] : lastReported_)
        waiting.try_emplace(service);
    for (const auto& [service, items] : waiting) {
        ReportedItems& reported = lastReported_[service];
        const ReportedItems current { items.inTime_, items.firstDue_ };
        if (reported == current)
            continue;
        reported = current;
        context_.board_.setItemsWaiting(service, static_cast<std::uint16_t>(std::min<std::size_t>(items.inTime_, UINT16_MAX)), items.firstDue_);
        context_.fleet_->publishReport();
    }
}

// Preempts the item running here that is due last if items that are due much earlier wait on other nodes and there are too few
// free slots for them. Preempts at most one item per call: by the next call, this node has received the report of which node took
// the slot.
void ItemRunner::yieldOneItem(TimePoint now)
{
    RunPtr last;
    for (const auto& [id, run] : runs_) {
        // Without an event the run would be for nothing, and its engine may be about to answer with an error.
        const bool mayYield = run->firstEventAt_ && scheduler_.urgencyOf(id, now) == ItemUrgency::Relaxed;
        if (mayYield && (!last || run->item_.due_ > last->item_.due_))
            last = run;
    }
    if (!last || !context_.board_.mustYieldItem(last->service_, last->item_.due_, now))
        return;
    finish(last, RunResult::Preempted, "ceded");
}

void ItemRunner::send(const RunPtr& run)
{
    const EngineEntry* entry = context_.board_.find(run->engine_);
    const HeaderNames& names = context_.translation_.headers_;
    context_.board_.started(run->engine_, WorkClass::BatchItem);
    context_.shares_->itemStarted(run->item_.workspace_, run->sentAt_);
    context_.fleet_->publishReport();
    context_.metrics_.metrics_.add(context_.metrics_.itemRuns_);
    const ItemRun& item = run->item_;
    http::Request request { "POST", item.path_, { { "Host", item.host_ } }, item.body_ };
    for (const auto& [name, value] : item.headers_) {
        if (!isReplacedForItem(names, name) && !isWithheldHeader(names, context_.table_.get(), name))
            request.headers_.add(name, value);
    }
    if (!item.workspace_.empty())
        request.headers_.add(names.workspace_, item.workspace_);
    request.headers_.add(names.attemptId_, item.item_);
    request.headers_.add(names.expectInstance_, entry->name_);
    if (item.resumeAfter_)
        request.headers_.add(names.resumeAfter_, std::to_string(*item.resumeAfter_));
    context_.log_.line("itemSent").with("request", item.item_).with("job", item.job_).with("engine", entry->name_).with("software", entry->softwareVersion_.name()).with("resumeAfter", item.resumeAfter_ ? static_cast<std::int64_t>(*item.resumeAfter_) : -1).with("dueInMs", item.due_ - run->sentAt_).with("confirmedAgoMs", item.confirmedAgo_);
    http::CallOptions options;
    options.idle_ = settings_.silenceLimit_;
    options.echoName_ = names.attemptId_;
    options.echoValue_ = item.item_;
    http::CallHandlers handlers;
    handlers.onHead_ = [this, run](const http::ResponseHead& head) { onHead(run, head); };
    handlers.onData_ = [this, run](std::string_view data) { onData(run, data); };
    handlers.onEnd_ = [this, run](http::AnswerEnd end) { onEnd(run, end); };
    handlers.onError_ = [this, run](const http::CallFailure& failure) { onError(run, failure); };
    run->call_ = context_.engines_.send(entry->at_, request, options, std::move(handlers));
}

void ItemRunner::onHead(const RunPtr& run, const http::ResponseHead& head)
{
    run->status_ = head.status_;
    run->usefulAt_ = context_.now();
    run->rejected_ = head.headers_.has(context_.translation_.headers_.notExecuted_) || head.status_ == statusMisdirected;
    if (!isCurrent(run))
        return reportLateRejection(*run);
    recordBytes(*run);
    context_.observe(run->engine_, head.headers_);
    if (!isUnsealedSuccess(context_.translation_.headers_, head))
        return;
    const EngineEntry* engine = context_.board_.find(run->engine_);
    context_.log_.line("sealMissing").with("engine", engine ? engine->name_ : "").with("status", head.status_).with("request", run->item_.item_).with("job", run->item_.job_);
    onEngineLost(run, http::Error::Malformed);
    finish(run, RunResult::Interrupted, "unsealed");
}

void ItemRunner::onData(const RunPtr& run, std::string_view data)
{
    if (!isCurrent(run))
        return;
    recordBytes(*run);
    if (run->status_ != http::statusOk || run->rejected_) {
        run->ignoredBytes_ += data.size();
        if (run->ignoredBytes_ > settings_.maxIgnoredBytes_)
            endWithoutEvents(run, "answerTooLong");
        return;
    }
    bool isDiscontinuous = false;
    bool isVersionUncertain = false;
    bool isSpoilt = false;
    const std::size_t events = run->scanner_.feed(data, [&](const StreamEvent& event) {
        if (isDiscontinuous || isVersionUncertain || isSpoilt)
            return;
        isSpoilt = event.isSpoilt();
        if (isSpoilt || !event.id_)
            return;
        // The engine may have started again, with another version, since it was picked.
        isVersionUncertain = !run->firstEventAt_ && !context_.board_.isCurrent(run->engine_);
        onEvent(run);
        if (isVersionUncertain)
            return;
        // Engines count from 0 or 1. A run without a position begins anew.
        std::optional<std::uint64_t>& lastEvent = run->item_.resumeAfter_;
        isDiscontinuous = lastEvent ? *event.id_ != *lastEvent + 1 : *event.id_ > 1;
        if (isDiscontinuous)
            return;
        lastEvent = event.id_;
        if (!event.data().empty())
            run->usefulAt_ = context_.now();
        run->textBytes_ += event.data().size();
        scheduler_.event(run->item_.id_, *event.id_, event.data());
    });
    context_.recordEvents(run->engine_, run->eventClock_, events);
    run->hold_.resize(run->scanner_.rest().empty() ? 0 : run->scanner_.rest().capacity());
    const bool isTextTooLong = run->item_.textBytes_ + run->textBytes_ > settings_.maxTextBytes_;
    if (run->scanner_.isOverLimit() || isTextTooLong) {
        const std::error_code error = run->scanner_.isOverLimit() ? http::Error::EventTooLarge : http::Error::AnswerTooLarge;
        recordOverLimit(*run, error);
        // The engine has not failed the item: an answer that counts as one would give the item up for nothing.
        return finish(run, RunResult::ResumeMismatch, "overLimit");
    }
    if (isSpoilt) {
        onEngineLost(run, http::Error::Malformed);
        return finish(run, RunResult::Interrupted, "spoilt");
    }
    if (isDiscontinuous || isVersionUncertain)
        finish(run, RunResult::ResumeMismatch, isDiscontinuous ? "outOfStep" : "versionUncertain");
}

void ItemRunner::recordOverLimit(const Run& run, std::error_code error)
{
    const EngineEntry* engine = context_.board_.find(run.engine_);
    context_.log_.line("answerOverLimit").with("engine", engine ? engine->name_ : "").with("error", error.message()).with("request", run.item_.item_).with("job", run.item_.job_).with("textBytes", run.item_.textBytes_ + run.textBytes_);
    context_.recordOverLimit(run.engine_, error);
}

// What is known of the answer counts; the rest of it isn't waited for.
void ItemRunner::endWithoutEvents(const RunPtr& run, std::string_view why)
{
    const bool mayHaveBegun = (run->status_ == 0 || run->status_ == http::statusOk) && !run->rejected_;
    if (mayHaveBegun)
        onEngineLost(run, http::Error::NoProgress);
    else
        recordOverLimit(*run, http::Error::AnswerTooLarge);
    finish(run, run->rejected_ ? RunResult::Released : RunResult::Interrupted, why);
}

void ItemRunner::endEndlessAnswers(TimePoint now)
{
    std::vector<RunPtr> endless;
    for (const auto& [id, run] : runs_) {
        if (now - run->usefulAt_ >= settings_.silenceLimit_)
            endless.push_back(run);
    }
    for (const RunPtr& run : endless)
        endWithoutEvents(run, "noEvent");
}

// ---- engines that fall silent

void ItemRunner::recordBytes(Run& run)
{
    const Duration silence = context_.now() - run.heardAt_;
    run.heardAt_ = context_.now();
    if (!run.isSilent_)
        return;
    run.isSilent_ = false;
    context_.engineGoesOn(run.engine_);
    const EngineEntry* entry = context_.board_.find(run.engine_);
    context_.log_.line("engineGoesOn").with("engine", entry ? entry->name_ : "").with("silentMs", silence).with("request", run.item_.item_).with("job", run.item_.job_);
}

void ItemRunner::leaveSilentEngines(TimePoint now)
{
    std::vector<RunPtr> silent;
    for (const auto& [id, run] : runs_) {
        if (now - run->heardAt_ >= settings_.silenceTimeout_)
            silent.push_back(run);
    }
    // Each free slot counts for one item only.
    std::vector<UpstreamId> promised;
    for (const RunPtr& run : silent) {
        const EnginePick pick = checkSilence(run, now);
        if (!pick.isSome())
            continue;
        context_.board_.started(pick.engine_, WorkClass::BatchItem);
        promised.push_back(pick.engine_);
    }
    for (const UpstreamId engine : promised)
        context_.board_.ended(engine, WorkClass::BatchItem);
}

EnginePick ItemRunner::checkSilence(const RunPtr& run, TimePoint now)
{
    context_.board_.recordSilence(run->engine_, now);
    const EnginePick pick = pickOtherEngine(*run, now);
    const bool isLeft = pick.isSome();
    if (!run->isSilent_) {
        run->isSilent_ = true;
        context_.fleet_->publishReport();
        const EngineEntry* entry = context_.board_.find(run->engine_);
        context_.log_.line("engineSilent").with("engine", entry ? entry->name_ : "").with("silentMs", now - run->heardAt_).with("request", run->item_.item_).with("job", run->item_.job_).with("leaves", isLeft ? "yes" : "no");
    }
    if (!isLeft)
        return pick;
    const bool mustSettle = context_.crashes_->mustSettle(run->fingerprints_, context_.crashes_->lossPoint(run->firstEventAt_));
    onEngineLost(run, http::Error::NoProgress);
    // Without a delay, so that the item takes its slot before the next silent one is looked at.
    finish(run, mustSettle ? RunResult::Interrupted : RunResult::Released, "silent");
    return pick;
}

EnginePick ItemRunner::pickOtherEngine(const Run& run, TimePoint now)
{
    const EngineEntry* entry = context_.board_.find(run.engine_);
    const SoftwareVersionId version = entry && run.item_.resumeAfter_ ? entry->softwareVersion_.id() : SoftwareVersionId::none();
    const bool isUrgent = scheduler_.urgencyOf(run.item_.id_, now) == ItemUrgency::Urgent;
    const std::vector<UpstreamId> tried { run.engine_ };
    const EnginePick pick = context_.board_.pickBatch(run.service_, isUrgent, run.item_.due_, tried, now, version);
    return pick.isSome() && context_.board_.isSilent(pick.engine_, now) ? EnginePick {} : pick;
}

void ItemRunner::onEvent(const RunPtr& run)
{
    if (!run->firstEventAt_)
        run->firstEventAt_ = context_.now();
    if (run->isProven_ || context_.crashes_->lossPoint(run->firstEventAt_) != LossPoint::InAnswer)
        return;
    run->isProven_ = true;
    context_.crashes_->recordBegun(run->fingerprints_);
}

void ItemRunner::onEngineLost(const RunPtr& run, std::error_code error)
{
    if (isOverLimit(error))
        return context_.recordOverLimit(run->engine_, error);
    context_.crashes_->recordLoss(run->fingerprints_, run->engine_, context_.crashes_->lossPoint(run->firstEventAt_));
    context_.failed(run->engine_, EngineFault::Lost, error);
}

StreamBreak ItemRunner::findBreak(const Run& run, http::AnswerEnd answerEnd)
{
    const std::string key = run.item_.job_ + '\n' + run.item_.item_;
    const auto known = emptyRuns_.find(key);
    const bool isEndConfirmed = known != emptyRuns_.end() && run.item_.resumeAfter_ == known->second;
    const StreamBreak streamBreak = findStreamBreak(run.scanner_, answerEnd, run.firstEventAt_.has_value(), isEndConfirmed);
    if (emptyRuns_.size() >= maxEmptyRuns)
        emptyRuns_.clear();
    if (streamBreak == StreamBreak::None)
        emptyRuns_.erase(key);
    else if (streamBreak == StreamBreak::NoEvent && run.item_.resumeAfter_)
        emptyRuns_[key] = *run.item_.resumeAfter_;
    return streamBreak;
}

void ItemRunner::onEnd(const RunPtr& run, http::AnswerEnd answerEnd)
{
    if (!isCurrent(run))
        return;
    run->call_ = nullptr;
    run->end_ = answerEnd;
    if (run->rejected_) {
        if (run->status_ == statusMisdirected)
            context_.failed(run->engine_, EngineFault::NotConnected, {});
        else
            context_.board_.recordFullRefusal(run->engine_, context_.now());
        return finish(run, RunResult::Released, "notExecuted");
    }
    const StreamBreak streamBreak = run->status_ == http::statusOk ? findBreak(*run, answerEnd) : StreamBreak::None;
    if (streamBreak != StreamBreak::None) {
        context_.log_.line("streamBrokenOff").with("request", run->item_.item_).with("job", run->item_.job_).with("why", nameOf(streamBreak)).with("end", nameOf(answerEnd)).with("restBytes", run->scanner_.rest().size());
        onEngineLost(run, http::Error::Truncated);
        return finish(run, RunResult::Interrupted, nameOf(streamBreak));
    }
    context_.crashes_->recordAnswer(run->fingerprints_, run->status_);
    // The item itself may be the cause of an error status, so the failure is not attributed to the engine.
    context_.board_.succeeded(run->engine_, context_.now());
    switch (run->status_) {
    case http::statusOk:
        meanRunSeconds_ += smoothingFactor * (toSeconds(context_.now() - run->sentAt_) - meanRunSeconds_);
        return finish(run, RunResult::Completed, "completed");
    case statusImpossible:
        return finish(run, RunResult::Unprocessable, "impossible");
    case statusFailed:
        return finish(run, RunResult::Failed, "failed");
    default:
        return finish(run, RunResult::Interrupted, "unexpectedStatus");
    }
}

void ItemRunner::onError(const RunPtr& run, const http::CallFailure& failure)
{
    if (!isCurrent(run))
        return;
    run->call_ = nullptr;
    // Its engine isn't at fault, and another one would get no other request.
    if (failure.code_ == http::Error::Unencodable)
        return finish(run, RunResult::Withheld, failure.code_.message());
    if (failure.run_ == RunState::NotRun) {
        context_.failed(run->engine_, EngineFault::NotConnected, failure.code_);
        return finish(run, RunResult::Released, "notConnected");
    }
    onEngineLost(run, failure.code_);
    finish(run, RunResult::Interrupted, failure.code_.message());
}

void ItemRunner::finish(const RunPtr& run, RunResult end, std::string_view why)
{
    runs_.erase(run->item_.id_);
    endCall(*run);
    context_.board_.ended(run->engine_, WorkClass::BatchItem);
    context_.shares_->itemEnded(run->item_.workspace_, context_.now());
    context_.fleet_->publishReport();
    context_.log_.line("itemRunEnded").with("request", run->item_.item_).with("job", run->item_.job_).with("why", why).with("status", run->status_).with("afterMs", context_.now() - run->sentAt_).with("lastEvent", run->item_.resumeAfter_ ? static_cast<std::int64_t>(*run->item_.resumeAfter_) : -1).with("end", run->end_ ? nameOf(*run->end_) : "none").with("inRun", run->firstEventAt_ ? "events" : "noEvent").with("parts", partsForLog(joinedValues(run->item_.headers_, context_.translation_.headers_.promptParts_)));
    scheduler_.ended(run->item_.id_, rejectionOf(*run).value_or(end), context_.now());
}

std::optional<RunResult> ItemRunner::rejectionOf(const Run& run)
{
    if (run.rejected_)
        return std::nullopt;
    if (run.status_ == statusImpossible)
        return RunResult::Unprocessable;
    return run.status_ == statusFailed ? std::optional(RunResult::Failed) : std::nullopt;
}

void ItemRunner::endCall(Run& run)
{
    if (run.call_)
        run.status_ == 0 ? run.call_->cancelAfterReceived() : run.call_->cancel();
    run.call_ = nullptr;
}

void ItemRunner::reportLateRejection(const Run& run)
{
    const auto rejection = rejectionOf(run);
    if (!rejection)
        return;
    context_.log_.line("itemRejectedLate").with("request", run.item_.item_).with("job", run.item_.job_).with("status", run.status_).with("afterMs", context_.now() - run.sentAt_);
    scheduler_.answeredLate(run.item_, *rejection, context_.now());
}

void ItemRunner::updateNonPreemptibleItems(TimePoint now)
{
    std::map<UpstreamId, std::uint16_t> nonPreemptible;
    for (const auto& [id, run] : runs_) {
        std::uint16_t& count = nonPreemptible[run->engine_];
        if (count < context_.board_.nonPreemptibleLimit(run->engine_, settings_.nonPreemptiblePerEngine_) && scheduler_.urgencyOf(id, now) == ItemUrgency::Urgent)
            ++count;
    }
    for (const auto& [engine, count] : nonPreemptible)
        context_.board_.setNonPreemptibleItems(engine, count);
}

bool ItemRunner::preemptItem(UpstreamId engine, TimePoint now)
{
    // Prefers items that are late, since they lose nothing by waiting. Of the others, the item that is due last has the most time
    // to resume on another engine; where workspaces share slots, one of the workspace that has used most goes first. A run that hasn't
    // brought an event comes after these: its engine may be about to answer with an error.
    RunPtr chosen;
    ItemUrgency chosenUrgency = ItemUrgency::Urgent;
    int chosenRank = 0;
    double chosenUsage = 0;
    std::uint16_t urgent = 0;
    const auto rankOf = [](const Run& run, ItemUrgency urgency) {
        if (urgency == ItemUrgency::Urgent)
            return 0;
        if (!run.firstEventAt_)
            return 1;
        return urgency == ItemUrgency::Relaxed ? 2 : 3;
    };
    for (const auto& [id, run] : runs_) {
        if (run->engine_ != engine)
            continue;
        const ItemUrgency urgency = scheduler_.urgencyOf(id, now);
        urgent += urgency == ItemUrgency::Urgent ? 1 : 0;
        const int rank = rankOf(*run, urgency);
        const double usage = context_.shares_->itemUsage(run->item_.workspace_, now);
        const bool isBetterOfRank = chosen && (usage != chosenUsage ? usage > chosenUsage : run->item_.due_ > chosen->item_.due_);
        const bool isBetter = !chosen || rank > chosenRank || (rank == chosenRank && isBetterOfRank);
        if (!isBetter)
            continue;
        chosen = run;
        chosenRank = rank;
        chosenUsage = usage;
        chosenUrgency = urgency;
    }
    const bool isNonPreemptible = chosenUrgency == ItemUrgency::Urgent && urgent <= context_.board_.nonPreemptibleLimit(engine, settings_.nonPreemptiblePerEngine_);
    if (!chosen || isNonPreemptible)
        return chosen != nullptr;
    context_.metrics_.metrics_.add(context_.metrics_.itemsPreempted_);
    finish(chosen, RunResult::Preempted, "gaveWay");
    context_.board_.recordPreemption(engine, now);
    return true;
}

void ItemRunner::stop(RunId id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    const RunPtr run = found->second;
    runs_.erase(found);
    endCall(*run);
    context_.board_.ended(run->engine_, WorkClass::BatchItem);
    context_.shares_->itemEnded(run->item_.workspace_, context_.now());
    context_.fleet_->publishReport();
    context_.log_.line("itemStopped").with("request", run->item_.item_).with("job", run->item_.job_).with("status", run->status_).with("afterMs", context_.now() - run->sentAt_);
    // Not from within the scheduler's call.
    if (rejectionOf(*run))
        boost::asio::post(context_.io_, [this, run] { reportLateRejection(*run); });
}

} // namespace jj
