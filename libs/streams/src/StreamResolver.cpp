// A query ends with the first record, with the last answer, or at its timeout.
#include "streams/StreamResolver.h"

#include <algorithm>

namespace jj {

std::string_view nameOf(ResolutionKind kind)
{
    static constexpr std::string_view names[] = { "recorded", "soleVersion", "unknown", "unreachable", "contradicted" };
    return names[static_cast<std::size_t>(kind)];
}

StreamResolution StreamResolver::fromRecord(const StreamRecord& record)
{
    if (record.version_.isNone())
        return { ResolutionKind::Contradicted, record.service_, {} };
    return { ResolutionKind::Recorded, record.service_, record.version_ };
}

void StreamResolver::resolve(StreamId stream, ServiceId service, TimePoint now, Done done)
{
    const StreamQuery query { outlets_.self_, nextNumber_++, stream, service };
    const StreamAnswer own = outlets_.ownAnswer_(query);
    if (own.isRecorded_)
        return done(fromRecord(own.record_));
    std::vector<NodeId> hosts = outlets_.replicasOf_(stream);
    std::erase(hosts, outlets_.self_);
    const auto firstOther = hosts.begin() + static_cast<std::ptrdiff_t>(std::min(hosts.size(), settings_.askedAtFirst_));
    Pending pending { query, { hosts.begin(), firstOther }, { firstOther, hosts.end() }, false, {}, false, now, now + settings_.timeout_, std::move(done) };
    noteSoleVersion(pending, own);
    if (pending.unanswered_.empty())
        return pending.done_(withoutRecord(pending));
    pending_.emplace(query.number_, std::move(pending));
    ask(query.number_, true);
}

// An answer may arrive within a call, and end the query.
void StreamResolver::ask(std::uint32_t number, bool isFirstTry)
{
    const Pending& pending = pending_.at(number);
    const StreamQuery query = pending.query_;
    std::vector<NodeId> hosts = pending.unanswered_;
    if (!isFirstTry)
        hosts.insert(hosts.end(), pending.others_.begin(), pending.others_.end());
    for (const NodeId host : hosts)
        outlets_.send_(host, query);
}

void StreamResolver::noteSoleVersion(Pending& pending, const StreamAnswer& answer)
{
    const bool isDifferent = !answer.soleVersion_.isNone() && !pending.soleVersion_.isNone() && pending.soleVersion_ != answer.soleVersion_;
    pending.isSoleVersionRefuted_ = pending.isSoleVersionRefuted_ || answer.hasSeveralVersions_ || isDifferent;
    if (!answer.soleVersion_.isNone())
        pending.soleVersion_ = answer.soleVersion_;
}

StreamResolution StreamResolver::withoutRecord(const Pending& pending) const
{
    if (!pending.isAnswered_ && outlets_.areThereOthers_())
        return { ResolutionKind::Unreachable, {}, {} };
    if (pending.soleVersion_.isNone() || pending.isSoleVersionRefuted_)
        return { ResolutionKind::Unknown, {}, {} };
    return { ResolutionKind::SoleVersion, pending.query_.service_, pending.soleVersion_ };
}

void StreamResolver::handle(const StreamAnswer& answer)
{
    const auto found = pending_.find(answer.number_);
    if (found == pending_.end() || found->second.query_.stream_ != answer.record_.stream_)
        return;
    Pending& pending = found->second;
    if (std::erase(pending.unanswered_, answer.from_) + std::erase(pending.others_, answer.from_) == 0)
        return;
    pending.isAnswered_ = true;
    if (answer.isRecorded_)
        return finish(answer.number_, fromRecord(answer.record_));
    noteSoleVersion(pending, answer);
    if (pending.unanswered_.empty())
        finish(answer.number_, withoutRecord(pending));
}

void StreamResolver::tick(TimePoint now)
{
    std::vector<std::uint32_t> expired;
    std::vector<std::uint32_t> askedAgain;
    for (auto& [number, pending] : pending_) {
        if (now >= pending.until_) {
            expired.push_back(number);
        } else if (now - pending.askedAt_ >= settings_.retryAfter_) {
            pending.askedAt_ = now;
            askedAgain.push_back(number);
        }
    }
    for (const std::uint32_t number : askedAgain)
        ask(number, false);
    for (const std::uint32_t number : expired)
        finish(number, withoutRecord(pending_.at(number)));
}

void StreamResolver::finish(std::uint32_t number, const StreamResolution& resolution)
{
    const Done done = std::move(pending_.at(number).done_);
    pending_.erase(number);
    done(resolution);
}

} // namespace jj
