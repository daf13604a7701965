// Each suspect has at most one call under way. What a call finds is checked against the state at its end, not at its beginning.
#include "crashes/VerdictStore.h"

#include "base/Hash.h"

#include <utility>
#include <vector>

namespace jj {

namespace {

    constexpr Duration callTime = 5s;
    constexpr Duration retryPeriod = 1s;
    // The request of the trial waits until this call has ended.
    constexpr Duration trialCallTime = 500ms;
    constexpr Duration reconcilePeriod = 1s;
    // Further verdicts of a store that holds more are left out.
    constexpr std::size_t maxRead = 1024;

} // namespace

VerdictStore::VerdictStore(CrashSuspects& suspects, std::uint64_t seed, bool isEmpty, VerdictStoreOutlets outlets)
    : suspects_(suspects)
    , outlets_(std::move(outlets))
    , seed_(seed)
    , isRead_(isEmpty)
{
}

void VerdictStore::onChange(const VerdictChange& change, bool isOwnEvidence, TimePoint now)
{
    Entry& entry = entries_[change.suspect_];
    entry.isOwn_ = isOwnEvidence;
    unusedTrials_.erase(change.suspect_);
    if (isOwnEvidence)
        reconcile(change.suspect_, entry, now);
}

void VerdictStore::tick(TimePoint now)
{
    if (!isRead_ && !isReading_ && now >= nextReadAt_)
        read({}, now);
    if (now < nextReconcileAt_)
        return;
    nextReconcileAt_ = now + reconcilePeriod;
    std::vector<Fingerprint> suspects; // a call that ends at once may remove its entry
    for (const auto& [suspect, entry] : entries_)
        suspects.push_back(suspect);
    for (const Fingerprint suspect : suspects)
        reconcile(suspect, entries_[suspect], now);
    std::erase_if(entries_, [this](const auto& one) { return !suspects_.isBlocked(one.first) && !one.second.isCalling_ && !one.second.isOwn_ && !outlets_.isKeeper_(one.first); });
}

// ---- verdicts of earlier processes

void VerdictStore::read(const std::string& after, TimePoint now)
{
    isReading_ = true;
    outlets_.store_(ObjectCall::list(std::string(verdictKind), true, after), CallClass::Read, now + callTime, [this](const SettledAnswer& answer, TimePoint at) { onRead(answer, at); });
}

void VerdictStore::onRead(const SettledAnswer& answer, TimePoint now)
{
    isReading_ = false;
    if (!answer.ok() && !answer.is(ObjectError::NotFound)) {
        nextReadAt_ = now + retryPeriod;
        return outlets_.note_(VerdictNote::CallFailed, verdictKind, answer.answer_.error_);
    }
    restore(answer.answer_.entries_, now);
    readCount_ += answer.answer_.entries_.size();
    if (!answer.answer_.next_.empty() && readCount_ < maxRead)
        return read(answer.answer_.next_, now);
    isRead_ = true;
}

void VerdictStore::restore(const std::vector<ObjectEntry>& objects, TimePoint now)
{
    std::vector<VerdictRecord> verdicts;
    for (const ObjectEntry& object : objects) {
        auto verdict = decodeVerdict(object.key_, object.value_, outlets_.wallNow_());
        outlets_.note_(verdict ? VerdictNote::Read : VerdictNote::Unreadable, object.key_, verdict ? std::error_code() : verdict.error());
        if (!verdict)
            continue;
        entries_[verdict.value().suspect_.suspect_].version_ = object.version_;
        verdicts.push_back(std::move(verdict.value()));
    }
    suspects_.restore(verdicts, now);
}

// ---- keeping the store in step

void VerdictStore::reconcile(Fingerprint suspect, Entry& entry, TimePoint now)
{
    const bool isWanted = suspects_.isBlocked(suspect);
    const bool isInStep = isWanted && !entry.version_.isNone();
    if (isInStep || entry.isCalling_ || now < entry.nextCallAt_ || !(entry.isOwn_ || outlets_.isKeeper_(suspect)))
        return;
    entry.isCalling_ = true;
    isWanted ? write(suspect, now) : remove(suspect, now);
}

std::string VerdictStore::textOf(Fingerprint suspect, std::uint8_t trials, TimePoint now)
{
    VerdictRecord verdict { suspects_.recordOf(suspect, now), suspects_.blockedAge(suspect, now), mixHash(seed_, ++writes_) };
    verdict.suspect_.trials_ = trials;
    return encode(verdict, outlets_.wallNow_());
}

VerdictStore::Entry* VerdictStore::endCall(Fingerprint suspect)
{
    const auto found = entries_.find(suspect);
    if (found == entries_.end())
        return nullptr;
    found->second.isCalling_ = false;
    return &found->second;
}

void VerdictStore::recordFailure(Fingerprint suspect, const SettledAnswer& answer, TimePoint now)
{
    entries_[suspect].nextCallAt_ = now + retryPeriod;
    outlets_.note_(VerdictNote::CallFailed, verdictKey(suspect), answer.answer_.error_);
}

void VerdictStore::write(Fingerprint suspect, TimePoint now)
{
    ObjectCall call = ObjectCall::create(verdictKey(suspect), textOf(suspect, suspects_.trials(suspect), now));
    outlets_.store_(std::move(call), CallClass::Commit, now + callTime, [this, suspect](const SettledAnswer& answer, TimePoint at) {
        Entry* entry = endCall(suspect);
        if (!entry)
            return;
        if (answer.is(ObjectError::Conflict))
            return readBack(suspect, at);
        if (!answer.ok())
            return recordFailure(suspect, answer, at);
        entry->version_ = answer.answer_.version_;
        outlets_.note_(VerdictNote::Stored, verdictKey(suspect), {});
    });
}

// Another host has written the object. It may know of trials that this one doesn't.
void VerdictStore::readBack(Fingerprint suspect, TimePoint now)
{
    entries_[suspect].isCalling_ = true;
    outlets_.store_(ObjectCall::get(verdictKey(suspect)), CallClass::Read, now + callTime, [this, suspect](const SettledAnswer& answer, TimePoint at) {
        Entry* entry = endCall(suspect);
        if (!entry)
            return;
        if (!answer.ok())
            return recordFailure(suspect, answer, at);
        restore({ { verdictKey(suspect), answer.answer_.version_, answer.answer_.value_.size(), answer.answer_.value_ } }, at);
    });
}

void VerdictStore::remove(Fingerprint suspect, TimePoint now)
{
    outlets_.store_(ObjectCall::remove(verdictKey(suspect)), CallClass::Commit, now + callTime, [this, suspect](const SettledAnswer& answer, TimePoint at) {
        Entry* entry = endCall(suspect);
        if (!entry)
            return;
        if (!answer.ok() && !answer.is(ObjectError::NotFound))
            return recordFailure(suspect, answer, at);
        if (answer.ok())
            outlets_.note_(VerdictNote::Removed, verdictKey(suspect), {});
        entry->version_ = ObjectVersion::none();
        if (!suspects_.isBlocked(suspect)) // it may have been blocked again meanwhile
            entries_.erase(suspect);
    });
}

// ---- trials

bool VerdictStore::mayClaimTrial(Fingerprint suspect, TimePoint now) const
{
    const auto found = entries_.find(suspect);
    return found == entries_.end() || (!found->second.isCalling_ && now >= found->second.nextCallAt_);
}

void VerdictStore::claimTrial(Fingerprint suspect, TimePoint now, std::function<void(bool isGranted)> done)
{
    if (unusedTrials_.erase(suspect) > 0)
        return done(true);
    if (!mayClaimTrial(suspect, now))
        return done(false);
    Entry& entry = entries_[suspect];
    entry.isCalling_ = true;
    std::string text = textOf(suspect, static_cast<std::uint8_t>(suspects_.trials(suspect) + 1), now);
    ObjectCall call = entry.version_.isNone() ? ObjectCall::create(verdictKey(suspect), std::move(text)) : ObjectCall::update(verdictKey(suspect), std::move(text), entry.version_);
    outlets_.store_(std::move(call), CallClass::Commit, now + trialCallTime, [this, suspect, done = std::move(done)](const SettledAnswer& answer, TimePoint at) { onTrialWritten(suspect, answer, at, done); });
}

void VerdictStore::returnTrial(Fingerprint suspect)
{
    if (suspects_.isBlocked(suspect))
        unusedTrials_.insert(suspect);
}

void VerdictStore::onTrialWritten(Fingerprint suspect, const SettledAnswer& answer, TimePoint now, const std::function<void(bool)>& done)
{
    Entry& entry = entries_[suspect];
    entry.isCalling_ = false;
    if (answer.ok()) {
        entry.version_ = answer.answer_.version_;
        suspects_.recordTrial(suspect, now);
        return done(true);
    }
    outlets_.note_(VerdictNote::TrialNotCounted, verdictKey(suspect), answer.answer_.error_);
    // After a conflict another host may have counted a trial; without an answer this one may have.
    entry.version_ = ObjectVersion::none();
    entry.nextCallAt_ = now + retryPeriod;
    if (answer.is(ObjectError::Conflict))
        readBack(suspect, now);
    done(false);
}

} // namespace jj
