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
        if (now - loss.at_ > evidenceTime || isAnsweredLately(loss.content_, now))
            continue;
        std::uint32_t crashes = 1;
        while (crashes < mostCrashes && isMarked(markOf(loss.content_, crashes), now))
            ++crashes;
        const Fingerprint mark = markOf(loss.content_, crashes);
        marks_[mark] = now + blockTime;
        marks.push_back(mark);
    }
    losses_.erase(begin, end);
    return marks;
}

void CrashSuspects::engineLives(UpstreamId engine) { losses_.erase(engine); }

bool CrashSuspects::isAnsweredLately(Fingerprint content, TimePoint now) const
{
    const auto found = answered_.find(content);
    return found != answered_.end() && now - found->second <= answeredTime;
}

void CrashSuspects::answered(Fingerprint content, TimePoint now)
{
    answered_[content] = now;
    answeredOrder_.push_back({ now, content });
    forgetAnswered(now);
    if (marks_.empty())
        return;
    for (std::uint32_t crashes = 1; crashes <= mostCrashes; ++crashes)
        marks_.erase(markOf(content, crashes));
}

void CrashSuspects::forgetAnswered(TimePoint now)
{
    while (!answeredOrder_.empty() && (answeredOrder_.size() > mostAnswered || now - answeredOrder_.front().first > answeredTime)) {
        const auto [at, content] = answeredOrder_.front();
        answeredOrder_.pop_front();
        if (const auto found = answered_.find(content); found != answered_.end() && found->second == at)
            answered_.erase(found);
    }
}

void CrashSuspects::learned(Fingerprint mark, Duration remaining, TimePoint now) { marks_[mark] = now + remaining; }

bool CrashSuspects::isBlocked(Fingerprint content, TimePoint now) const { return isMarked(markOf(content, mostCrashes), now) && !isAnsweredLately(content, now); }

void CrashSuspects::tick(TimePoint now)
{
    std::erase_if(losses_, [now](const auto& entry) { return now - entry.second.at_ > evidenceTime; });
    forgetAnswered(now);
    std::erase_if(marks_, [now](const auto& entry) { return now >= entry.second; });
}

} // namespace jj
