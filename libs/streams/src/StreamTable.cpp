// Records expire in the order in which they were put.
#include "streams/StreamTable.h"

#include "base/Hash.h"

#include <string>

namespace jj {

StreamId streamIdOf(std::string_view workspace, std::string_view attempt)
{
    return attempt.empty() ? StreamId::none() : idFromName<StreamId>(std::string(workspace).append("\n").append(attempt));
}

void StreamTable::put(const StreamRecord& record, TimePoint now)
{
    expire(now);
    if (record.stream_.isNone())
        return;
    const auto [position, isNew] = records_.try_emplace(record.stream_, Held { record, now });
    Held& held = position->second;
    const bool isContradicted = held.record_.service_ != record.service_ || held.record_.version_ != record.version_;
    if (isContradicted)
        held.record_.version_ = SoftwareVersionId::none();
    if (!isNew && held.putAt_ == now)
        return;
    held.putAt_ = now;
    puts_.push_back({ record.stream_, now });
    // Renewals leave entries that are out of date behind, so both are bounded.
    while (records_.size() > maxRecords_ || puts_.size() > 2 * maxRecords_)
        dropOldest();
}

const StreamRecord* StreamTable::find(StreamId stream, TimePoint now) const
{
    const auto found = records_.find(stream);
    const bool isHeld = found != records_.end() && now - found->second.putAt_ < lifetime_;
    return isHeld ? &found->second.record_ : nullptr;
}

void StreamTable::expire(TimePoint now)
{
    while (!puts_.empty() && now - puts_.front().at_ >= lifetime_)
        dropOldest();
}

void StreamTable::dropOldest()
{
    const Put oldest = puts_.front();
    puts_.pop_front();
    const auto found = records_.find(oldest.stream_);
    if (found != records_.end() && found->second.putAt_ == oldest.at_)
        records_.erase(found);
}

} // namespace jj
