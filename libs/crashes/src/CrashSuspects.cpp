// Verdicts are computed anew from all evidence whenever it changes, so that hosts with the same evidence have the same verdicts.
#include "crashes/CrashSuspects.h"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

namespace jj {

CrashSuspects::CrashSuspects(CrashSettings settings)
    : settings_(settings)
    , partAnswers_(settings.partAnswerLifetime_, settings.maxPartAnswers_)
    , contentAnswers_(settings.contentAnswerLifetime_, settings.maxContentAnswers_)
{
}

// ---- evidence of this host

void CrashSuspects::lost(const RequestFingerprints& request, UpstreamId engine, LossPoint point, TimePoint now)
{
    RequestFingerprints suspected = request;
    if (point == LossPoint::InAnswer)
        suspected.parts_.clear();
    losses_.insert({ engine, { std::move(suspected), now } });
}

std::vector<Fingerprint> CrashSuspects::engineCrashed(UpstreamId engine, TimePoint now)
{
    std::set<Fingerprint> changed;
    const auto [begin, end] = losses_.equal_range(engine);
    const auto record = [&](Fingerprint fingerprint, std::size_t depth, TimePoint at) {
        Suspect& suspect = findOrAdd(fingerprint, static_cast<std::uint8_t>(std::min<std::size_t>(depth, contentDepth)), now);
        if (addCrash(suspect, engine, at) && doesCount(at, suspect.answeredAt_, suspect.depth_))
            changed.insert(fingerprint);
    };
    for (auto each = begin; each != end; ++each) {
        const Loss& loss = each->second;
        if (now - loss.at_ > settings_.confirmationTime_)
            continue;
        for (std::size_t place = 0; place < loss.request_.parts_.size(); ++place)
            record(loss.request_.parts_[place], std::min<std::size_t>(place, contentDepth - 1), loss.at_);
        if (!loss.request_.content_.isNone())
            record(loss.request_.content_, contentDepth, loss.at_);
    }
    losses_.erase(begin, end);
    if (!changed.empty())
        judge(now);
    return { changed.begin(), changed.end() };
}

std::vector<Fingerprint> CrashSuspects::recordBegun(const RequestFingerprints& request, TimePoint now)
{
    std::vector<Fingerprint> cleared;
    for (const Fingerprint part : request.parts_) {
        partAnswers_.record(part, now);
        if (clear(part, now))
            cleared.push_back(part);
    }
    if (!cleared.empty())
        judge(now);
    return cleared;
}

std::vector<Fingerprint> CrashSuspects::recordAnswer(const RequestFingerprints& request, TimePoint now)
{
    std::vector<Fingerprint> cleared = recordBegun(request, now);
    if (request.content_.isNone())
        return cleared;
    contentAnswers_.record(request.content_, now);
    if (clear(request.content_, now)) {
        cleared.push_back(request.content_);
        judge(now);
    }
    return cleared;
}

bool CrashSuspects::clear(Fingerprint fingerprint, TimePoint now)
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end())
        return false;
    Suspect& suspect = found->second;
    const bool wasSuspected = !countedEngines(suspect).empty();
    suspect.answeredAt_ = now;
    return wasSuspected;
}

// ---- decisions

bool CrashSuspects::areAllPartsAnswered(const RequestFingerprints& request, TimePoint now) const
{
    return std::all_of(request.parts_.begin(), request.parts_.end(), [&](Fingerprint part) {
        if (partAnswers_.find(part, now))
            return true;
        const auto found = suspects_.find(part);
        return found != suspects_.end() && found->second.answeredAt_ && now - *found->second.answeredAt_ <= settings_.partAnswerLifetime_;
    });
}

std::optional<Fingerprint> CrashSuspects::findBlocked(const RequestFingerprints& request, TimePoint now)
{
    if (blocked_.empty())
        return std::nullopt;
    const auto isBlocked = [this](Fingerprint fingerprint) { return blocked_.contains(fingerprint); };
    std::optional<Fingerprint> narrowest;
    if (isBlocked(request.content_))
        narrowest = request.content_;
    else if (const auto found = std::find_if(request.parts_.rbegin(), request.parts_.rend(), isBlocked); found != request.parts_.rend())
        narrowest = *found;
    if (narrowest)
        suspects_.at(*narrowest).activeAt_ = now;
    return narrowest;
}

Duration CrashSuspects::blockedFor(Fingerprint suspect, TimePoint now) const
{
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end() || !blocked_.contains(suspect))
        return Duration::zero();
    return std::max(Duration::zero(), found->second.activeAt_ + settings_.suspectLifetime_ - now);
}

Duration CrashSuspects::blockedAge(Fingerprint suspect, TimePoint now) const { return isBlocked(suspect) ? now - suspects_.at(suspect).blockedAt_ : Duration::zero(); }

bool CrashSuspects::isTrialDue(Fingerprint suspect, std::size_t turn, TimePoint now) const
{
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end() || !blocked_.contains(suspect))
        return false;
    const auto& delays = found->second.depth_ == contentDepth ? settings_.contentTrialDelays_ : settings_.trialDelays_;
    if (found->second.trials_ >= delays.size())
        return false;
    const Duration delay = delays[found->second.trials_] + settings_.trialTurn_ * turn;
    return now - found->second.blockedAt_ >= delay;
}

std::uint8_t CrashSuspects::trials(Fingerprint suspect) const
{
    const auto found = suspects_.find(suspect);
    return found == suspects_.end() ? std::uint8_t { 0 } : found->second.trials_;
}

void CrashSuspects::recordTrial(Fingerprint suspect, TimePoint now)
{
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end())
        return;
    ++found->second.trials_;
    found->second.activeAt_ = now;
}

bool CrashSuspects::isItemTrialDue(Fingerprint suspect, TimePoint now) const
{
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end() || !blocked_.contains(suspect))
        return false;
    const Suspect& blocked = found->second;
    const TimePoint crashedAt = blocked.crashes_.empty() ? TimePoint() : blocked.crashes_.back().at_;
    const auto& delays = settings_.itemTrialDelays_;
    return now - std::max({ blocked.blockedAt_, blocked.itemTriedAt_, crashedAt }) >= delays[std::min(blocked.itemTrials_, delays.size() - 1)];
}

void CrashSuspects::recordItemTrial(Fingerprint suspect, TimePoint now)
{
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end())
        return;
    ++found->second.itemTrials_;
    found->second.itemTriedAt_ = now;
}

// ---- verdicts

std::vector<UpstreamId> CrashSuspects::countedEngines(const Suspect& suspect) const
{
    std::vector<UpstreamId> engines;
    for (const Crash& crash : suspect.crashes_) {
        if (doesCount(crash.at_, suspect.answeredAt_, suspect.depth_))
            engines.push_back(crash.engine_);
    }
    return engines;
}

// Next is always the suspect of most crashes that none of the blocked ones explains; a first part comes after all others, since it is in all
// requests that they are in. Ranks only fall as more is explained, so that one which is still right at the top needs no look at the others.
std::set<Fingerprint> CrashSuspects::findGuilty() const
{
    using Rank = std::tuple<bool, std::size_t, std::uint8_t>; // of later candidates of the same rank, the one with the lowest fingerprint
    struct Candidate {
        Rank rank_;
        Fingerprint suspect_;
        std::vector<UpstreamId> engines_;
        bool operator<(const Candidate& other) const { return std::tie(rank_, other.suspect_) < std::tie(other.rank_, suspect_); }
    };
    const auto isEnough = [this](const Rank& rank) { return std::get<1>(rank) >= (std::get<0>(rank) ? settings_.crashesToBlock_ : settings_.crashesToBlockFirstPart_); };
    std::priority_queue<Candidate> candidates;
    for (const auto& [fingerprint, suspect] : suspects_) {
        std::vector<UpstreamId> engines = countedEngines(suspect);
        const Rank rank { suspect.depth_ != 0, engines.size(), suspect.depth_ };
        if (isEnough(rank))
            candidates.push({ rank, fingerprint, std::move(engines) });
    }
    std::set<Fingerprint> guilty;
    std::set<UpstreamId> explained;
    while (!candidates.empty()) {
        Candidate candidate = candidates.top();
        candidates.pop();
        auto& [isLater, unexplained, depth] = candidate.rank_;
        const auto before = unexplained;
        unexplained = static_cast<std::size_t>(std::count_if(candidate.engines_.begin(), candidate.engines_.end(), [&](UpstreamId engine) { return !explained.contains(engine); }));
        if (unexplained == before) {
            guilty.insert(candidate.suspect_);
            explained.insert(candidate.engines_.begin(), candidate.engines_.end());
        } else if (isEnough(candidate.rank_)) {
            candidates.push(std::move(candidate));
        }
    }
    return guilty;
}

void CrashSuspects::judge(TimePoint now)
{
    std::set<Fingerprint> blocked = findGuilty();
    for (const Fingerprint one : blocked) {
        if (blocked_.contains(one))
            continue;
        Suspect& suspect = suspects_.at(one);
        suspect.blockedAt_ = now;
        suspect.itemTrials_ = 0;
        changes_.push_back({ one, true, suspect.depth_ == contentDepth, countedEngines(suspect) });
    }
    for (const Fingerprint one : blocked_) {
        if (blocked.contains(one))
            continue;
        const auto found = suspects_.find(one);
        changes_.push_back({ one, false, found != suspects_.end() && found->second.depth_ == contentDepth, {} });
        if (found != suspects_.end())
            found->second.trials_ = 0;
    }
    blocked_ = std::move(blocked);
}

// ---- suspects

CrashSuspects::Suspect& CrashSuspects::findOrAdd(Fingerprint fingerprint, std::uint8_t depth, TimePoint now)
{
    if (!suspects_.contains(fingerprint))
        makeRoom();
    const auto [place, isNew] = suspects_.try_emplace(fingerprint);
    Suspect& suspect = place->second;
    suspect.depth_ = std::max(suspect.depth_, depth);
    if (isNew) {
        suspect.activeAt_ = now;
        suspect.answeredAt_ = depth == contentDepth ? contentAnswers_.find(fingerprint, now) : partAnswers_.find(fingerprint, now);
    }
    return suspect;
}

void CrashSuspects::makeRoom()
{
    if (suspects_.size() < settings_.maxSuspects_)
        return;
    auto oldest = suspects_.end();
    for (auto each = suspects_.begin(); each != suspects_.end(); ++each) {
        if (!blocked_.contains(each->first) && (oldest == suspects_.end() || each->second.activeAt_ < oldest->second.activeAt_))
            oldest = each;
    }
    if (oldest != suspects_.end())
        suspects_.erase(oldest);
}

bool CrashSuspects::addCrash(Suspect& suspect, UpstreamId engine, TimePoint at)
{
    auto& crashes = suspect.crashes_;
    if (std::any_of(crashes.begin(), crashes.end(), [engine](const Crash& one) { return one.engine_ == engine; }))
        return false;
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), at, [](TimePoint time, const Crash& one) { return time < one.at_; }), { engine, at });
    if (crashes.size() > maxCrashesPerSuspect)
        crashes.erase(crashes.begin());
    suspect.activeAt_ = std::max(suspect.activeAt_, at);
    return true;
}

void CrashSuspects::tick(TimePoint now)
{
    std::erase_if(losses_, [&](const auto& entry) { return now - entry.second.at_ > settings_.confirmationTime_; });
    partAnswers_.expire(now);
    contentAnswers_.expire(now);
    const std::size_t expired = std::erase_if(suspects_, [&](const auto& entry) { return now - entry.second.activeAt_ > settings_.suspectLifetime_; });
    if (expired > 0)
        judge(now);
}

// ---- other hosts

SuspectRecord CrashSuspects::recordOf(Fingerprint fingerprint, TimePoint now) const
{
    SuspectRecord record;
    record.suspect_ = fingerprint;
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end())
        return record;
    const Suspect& suspect = found->second;
    record.depth_ = suspect.depth_;
    record.trials_ = suspect.trials_;
    record.idleAge_ = now - suspect.activeAt_;
    if (suspect.answeredAt_)
        record.answeredAge_ = now - *suspect.answeredAt_;
    for (const Crash& crash : suspect.crashes_)
        record.crashes_.push_back({ crash.engine_, now - crash.at_ });
    return record;
}

CrashSuspects::MergeResult CrashSuspects::merge(const SuspectRecord& record, TimePoint now)
{
    MergeResult result;
    if (addEvidence(record, now, result))
        judge(now);
    return result;
}

bool CrashSuspects::addEvidence(const SuspectRecord& record, TimePoint now, MergeResult& result)
{
    const bool isNew = !suspects_.contains(record.suspect_);
    // An answer matters only for a suspect with crashes. What this host has forgotten is not revived by a host that forgets it later.
    if (isNew && (record.crashes_.empty() || record.idleAge_ > settings_.suspectLifetime_))
        return false;
    Suspect& suspect = findOrAdd(record.suspect_, record.depth_, now);
    if (isNew)
        suspect.activeAt_ = now - record.idleAge_;
    const bool wasSuspected = !countedEngines(suspect).empty();
    std::optional<TimePoint> answeredAt;
    if (record.answeredAge_)
        answeredAt = now - *record.answeredAge_;
    const auto countsWith = [&](const std::optional<TimePoint>& answer) {
        return std::any_of(record.crashes_.begin(), record.crashes_.end(), [&](const CrashObservation& crash) { return doesCount(now - crash.age_, answer, suspect.depth_); });
    };
    bool isChanged = false;
    result.contradicts_ = countsWith(answeredAt) && !countsWith(suspect.answeredAt_);
    if (answeredAt && (!suspect.answeredAt_ || *answeredAt > *suspect.answeredAt_)) {
        suspect.answeredAt_ = answeredAt;
        isChanged = true;
    }
    for (const CrashObservation& crash : record.crashes_)
        isChanged = addCrash(suspect, crash.engine_, now - crash.age_) || isChanged;
    suspect.trials_ = std::max(suspect.trials_, record.trials_);
    suspect.activeAt_ = std::max(suspect.activeAt_, now - record.idleAge_);
    result.isCleared_ = wasSuspected && countedEngines(suspect).empty();
    return isChanged;
}

void CrashSuspects::restore(const std::vector<VerdictRecord>& verdicts, TimePoint now)
{
    bool isChanged = false;
    for (const VerdictRecord& verdict : verdicts) {
        MergeResult ignored;
        isChanged = addEvidence(verdict.suspect_, now, ignored) || isChanged;
    }
    if (isChanged)
        judge(now);
    for (const VerdictRecord& verdict : verdicts) {
        if (!isBlocked(verdict.suspect_.suspect_))
            continue;
        Suspect& suspect = suspects_.at(verdict.suspect_.suspect_);
        suspect.blockedAt_ = std::min(suspect.blockedAt_, now - verdict.blockedAge_);
    }
}

std::vector<SuspectRecord> CrashSuspects::recordsToRepeat(TimePoint now)
{
    std::vector<SuspectRecord> records;
    const auto add = [&](const auto& entry) {
        const auto& [fingerprint, suspect] = entry;
        const bool isRecent = !suspect.crashes_.empty() && now - suspect.crashes_.back().at_ <= settings_.repeatTime_;
        const bool isDue = blocked_.contains(fingerprint) || (isRecent && suspect.depth_ != contentDepth && !countedEngines(suspect).empty());
        if (isDue && records.size() < maxRecordsPerMessage)
            records.push_back(recordOf(fingerprint, now));
    };
    const auto next = repeated_.isNone() ? suspects_.begin() : suspects_.upper_bound(repeated_);
    std::for_each(next, suspects_.end(), add);
    std::for_each(suspects_.begin(), next, add);
    repeated_ = records.empty() ? Fingerprint::none() : records.back().suspect_;
    return records;
}

} // namespace jj
