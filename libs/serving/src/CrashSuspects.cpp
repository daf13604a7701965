// Implements the bookkeeping of losses, crash marks and recent answers.
#include "CrashSuspects.h"

#include "base/Hash.h"

namespace jj {

Fingerprint CrashSuspects::fingerprintOf(std::string_view host, std::string_view target, std::string_view body)
{
    return Fingerprint(hash64(body, hash64(target, hash64(host))));
}

Fingerprint CrashSuspects::markOf(Fingerprint content, std::uint32_t crashes) { return Fingerprint(mixHash(content.value(), crashes)); }

bool CrashSuspects::isMarked(Fingerprint mark, TimePoint now) const
{
    const auto found = marks_.find(mark);
    return found != marks_.end() && now < found->second;
}

void CrashSuspects::lost(Fingerprint content, UpstreamId engine, TimePoint now) { losses_.insert({ engine, { content, now } }); }

std::vector<Fingerprint> CrashSuspects::engineDown(UpstreamId engine, TimePoint now)
{
    std::vector<Fingerprint> marks;
    const auto [begin, end] = losses_.equal_range(engine);
    for (auto each = begin; each != end; ++each) {
        const Loss& loss = each->second;
        if (now - loss.at_ > crashEvidenceTime || isRecentlyAnswered(loss.content_, now))
            continue;
        std::uint32_t crashes = 1;
        while (crashes < maxCrashes && isMarked(markOf(loss.content_, crashes), now))
            ++crashes;
        const Fingerprint mark = markOf(loss.content_, crashes);
        marks_[mark] = now + blockDuration;
        marks.push_back(mark);
    }
    losses_.erase(begin, end);
    return marks;
}

void CrashSuspects::clearLosses(UpstreamId engine) { losses_.erase(engine); }

bool CrashSuspects::isRecentlyAnswered(Fingerprint content, TimePoint now) const
{
    const auto found = answerTimes_.find(content);
    return found != answerTimes_.end() && now - found->second <= answerRetention;
}

void CrashSuspects::recordAnswer(Fingerprint content, TimePoint now)
{
    answerTimes_[content] = now;
    answersByTime_.push_back({ now, content });
    expireAnswers(now);
    if (marks_.empty())
        return;
    for (std::uint32_t crashes = 1; crashes <= maxCrashes; ++crashes)
        marks_.erase(markOf(content, crashes));
}

void CrashSuspects::expireAnswers(TimePoint now)
{
    while (!answersByTime_.empty() && (answersByTime_.size() > maxAnswers || now - answersByTime_.front().first > answerRetention)) {
        const auto [at, content] = answersByTime_.front();
        answersByTime_.pop_front();
        if (const auto found = answerTimes_.find(content); found != answerTimes_.end() && found->second == at)
            answerTimes_.erase(found);
    }
}

void CrashSuspects::addPeerMark(Fingerprint mark, Duration remaining, TimePoint now) { marks_[mark] = now + remaining; }

bool CrashSuspects::isBlocked(Fingerprint content, TimePoint now) const { return isMarked(markOf(content, maxCrashes), now) && !isRecentlyAnswered(content, now); }

void CrashSuspects::tick(TimePoint now)
{
    std::erase_if(losses_, [now](const auto& entry) { return now - entry.second.at_ > crashEvidenceTime; });
    expireAnswers(now);
    std::erase_if(marks_, [now](const auto& entry) { return now >= entry.second; });
}

} // namespace jj
