#include "SlowEngineLog.h"

namespace jj {

bool SlowEngineLog::mayWrite(TimePoint now)
{
    if (now - periodBeganAt_ >= linePeriod) {
        periodBeganAt_ = now;
        lines_ = 0;
    }
    return lines_++ < maxLines;
}

void SlowEngineLog::update(std::span<const EngineSpeeds::SlowEngine> slow, const CapacityBoard& board, TimePoint now)
{
    for (auto& [id, logged] : logged_)
        logged.isSlow_ = false;
    for (const EngineSpeeds::SlowEngine& one : slow) {
        const auto found = logged_.find(one.engine_);
        if (found != logged_.end()) {
            found->second.isSlow_ = true;
            continue;
        }
        const EngineEntry* entry = board.find(one.engine_);
        if (!entry || now - one.since_ < minDuration || !mayWrite(now))
            continue;
        logged_[one.engine_] = { one.since_, true };
        log_.line("engineSlow").with("engine", entry->name_).with("factor", one.slowdown_).with("evidence", one.isStated_ ? "stated" : "events").with("forMs", now - one.since_);
    }
    std::erase_if(logged_, [&](const auto& entry) {
        if (entry.second.isSlow_)
            return false;
        const EngineEntry* engine = board.find(entry.first);
        if (engine && mayWrite(now))
            log_.line("engineSlowEnded").with("engine", engine->name_).with("afterMs", now - entry.second.since_);
        return true;
    });
}

} // namespace jj
