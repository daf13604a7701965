// Lines are sorted by time, grouped by id, and each group tells one story.
#include "losses/LogReader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

namespace jj {

namespace {

    namespace json = boost::json;

    std::string textOf(const json::object& fields, std::string_view key)
    {
        const json::value* found = fields.if_contains({ key.data(), key.size() });
        return found && found->is_string() ? std::string(found->get_string().data(), found->get_string().size()) : std::string();
    }

    std::int64_t numberOf(const json::object& fields, std::string_view key)
    {
        const json::value* found = fields.if_contains({ key.data(), key.size() });
        if (!found)
            return 0;
        if (found->is_uint64())
            return static_cast<std::int64_t>(found->get_uint64());
        return found->is_int64() ? found->get_int64() : 0;
    }

} // namespace

std::string toString(LossCause cause)
{
    static constexpr std::string_view names[lossCauses] = { "none", "noSlot", "lineGivenUp", "waitedInLine", "slowEngine", "answerLost", "processGone", "begunLate", "cutOften", "restarted", "unfinished", "overQuota" };
    return std::string(names[static_cast<std::size_t>(cause)]);
}

void LogReader::add(std::string_view line)
{
    const std::size_t brace = line.find('{');
    json::error_code error;
    const json::value value = brace == std::string_view::npos ? json::value() : json::parse({ line.data() + brace, line.size() - brace }, error);
    if (error || !value.is_object()) {
        ++badLines_;
        return;
    }
    const json::object& fields = value.get_object();
    Entry entry;
    entry.atMs_ = numberOf(fields, "ts");
    entry.host_ = textOf(fields, "host");
    entry.event_ = textOf(fields, "event");
    entry.id_ = textOf(fields, "request");
    entry.job_ = textOf(fields, "job");
    entry.route_ = textOf(fields, "route");
    entry.workspace_ = textOf(fields, "workspace");
    entry.engine_ = textOf(fields, "engine");
    entry.why_ = textOf(fields, "why");
    entry.reason_ = textOf(fields, "reason");
    entry.draining_ = textOf(fields, "draining");
    entry.afterMs_ = numberOf(fields, "afterMs");
    entry.engineMs_ = numberOf(fields, "engineMs");
    entry.objectiveMs_ = numberOf(fields, "objectiveMs");
    entry.dueInMs_ = numberOf(fields, "dueInMs");
    entry.items_ = numberOf(fields, "items");
    entry.slots_ = numberOf(fields, "slots");
    entry.rank_ = fields.contains("rank") ? numberOf(fields, "rank") : -1;
    entries_.push_back(std::move(entry));
}

void LogReader::recordQuestion(const std::vector<const Entry*>& lines, std::int64_t objectiveMs, DayRecord& day)
{
    QuestionRecord question;
    question.id_ = lines.front()->id_;
    question.route_ = lines.front()->route_;
    question.arrivedMs_ = lines.front()->atMs_;
    question.objectiveMs_ = objectiveMs;
    std::int64_t sentMs = 0;
    std::int64_t linedUpMs = -1;
    bool isAnswered = false;
    question.cause_ = LossCause::ProcessGone;
    for (const Entry* line : lines) {
        if (line->event_ == "sent")
            sentMs = line->atMs_;
        question.rank_ = std::max(question.rank_, line->rank_);
        if (line->event_ == "linedUp")
            linedUpMs = line->atMs_;
        if ((line->event_ == "sent" || line->event_ == "refused") && linedUpMs >= 0) {
            question.waitedMs_ = std::max<std::int64_t>(question.waitedMs_, 0) + line->atMs_ - linedUpMs;
            linedUpMs = -1;
        }
        if (line->event_ == "callerLeft")
            return; // nobody waits for it any more
        if (line->event_ == "callerUnknown" || line->event_ == "keyRemoved")
            return; // its caller may not ask
        if (!line->workspace_.empty())
            question.workspace_ = line->workspace_;
        if (line->event_ == "overQuota")
            question.cause_ = LossCause::OverQuota;
        if (line->event_ == "refused")
            question.cause_ = line->reason_ == "noSlotCame" ? LossCause::LineGivenUp : LossCause::NoSlot;
        if (line->event_ == "answerLost" || line->event_ == "timedOut" || line->event_ == "failed")
            question.cause_ = LossCause::AnswerLost;
        if (line->event_ == "firstEvent") {
            const bool isInTime = line->afterMs_ <= objectiveMs;
            const bool isEngine = line->engineMs_ * 2 > line->afterMs_;
            question.cause_ = isInTime ? LossCause::None : isEngine ? LossCause::SlowEngine
                                                                    : LossCause::WaitedInLine;
        }
        if (line->event_ == "answered") {
            isAnswered = true;
            question.runMs_ = sentMs > 0 ? line->atMs_ - sentMs : 0;
        }
    }
    const bool hasBegun = question.cause_ == LossCause::None || question.cause_ == LossCause::SlowEngine || question.cause_ == LossCause::WaitedInLine;
    if (hasBegun && !isAnswered)
        question.cause_ = LossCause::ProcessGone;
    day.questions_.push_back(std::move(question));
}

ItemRecord LogReader::recordItem(const std::vector<const Entry*>& lines)
{
    constexpr std::uint32_t manyRuns = 3;
    ItemRecord item;
    item.id_ = lines.front()->id_;
    item.job_ = lines.front()->job_;
    std::set<std::string> hosts;
    std::int64_t firstMs = 0;
    std::int64_t doneMs = 0;
    std::int64_t sentMs = 0;
    for (const Entry* line : lines) {
        if (line->event_ == "itemSent") {
            hosts.insert(line->host_);
            ++item.runs_;
            sentMs = line->atMs_;
            firstMs = firstMs == 0 ? sentMs : firstMs;
            item.dueMs_ = sentMs + line->dueInMs_;
        }
        if (line->event_ == "itemRunEnded") {
            item.workMs_ += sentMs > 0 ? line->atMs_ - sentMs : 0;
            sentMs = 0;
            doneMs = line->why_ == "completed" ? line->atMs_ : doneMs;
        }
    }
    item.arrivedMs_ = firstMs;
    const bool isInTime = doneMs > 0 && doneMs <= item.dueMs_;
    if (isInTime)
        return item;
    if (doneMs == 0)
        item.cause_ = LossCause::Unfinished;
    else if (hosts.size() > 1)
        item.cause_ = LossCause::Restarted;
    else
        item.cause_ = item.runs_ > manyRuns ? LossCause::CutOften : LossCause::BegunLate;
    return item;
}

// The union of what the nodes said: an engine counts from when the first node had it until one said that it leaves.
void LogReader::recordSlots(DayRecord& day) const
{
    std::map<std::string, std::int64_t> engines;
    std::int64_t all = 0;
    for (const Entry& entry : entries_) {
        const bool isGone = entry.event_ == "engineRemoved" || (entry.event_ == "engineChanged" && entry.draining_ == "yes");
        const bool isThere = entry.event_ == "engineChanged" && !isGone;
        if (!isGone && !isThere)
            continue;
        std::int64_t& slots = engines[entry.engine_];
        const std::int64_t before = all;
        all += (isThere ? entry.slots_ : 0) - slots;
        slots = isThere ? entry.slots_ : 0;
        if (all != before)
            day.slots_.push_back({ entry.atMs_, static_cast<std::uint32_t>(all) });
    }
}

DayRecord LogReader::finish()
{
    std::stable_sort(entries_.begin(), entries_.end(), [](const Entry& one, const Entry& other) { return one.atMs_ < other.atMs_; });
    DayRecord day;
    day.badLines_ = badLines_;
    std::map<std::string, std::int64_t> objectives; // by route
    std::map<std::string, std::int64_t> submitted; // by job
    std::map<std::string, std::vector<const Entry*>> questions;
    std::map<std::string, std::vector<const Entry*>> items;
    std::set<std::string> ended; // jobs that their callers ended
    for (const Entry& entry : entries_) {
        if (entry.event_ == "jobEnded")
            ended.insert(entry.job_);
        if (entry.objectiveMs_ > 0)
            objectives[entry.route_] = entry.objectiveMs_;
        if (entry.event_ == "jobSubmitted")
            submitted.try_emplace(entry.job_, entry.atMs_ - entry.afterMs_);
        else if (entry.event_ == "itemSent" || entry.event_ == "itemRunEnded")
            items[entry.id_].push_back(&entry);
        else if (!entry.id_.empty() && !entry.route_.empty())
            questions[entry.id_].push_back(&entry);
    }
    for (const auto& [id, lines] : questions) {
        // Routes without an objective carry answers that aren't streams, or none at all.
        if (const auto objective = objectives.find(lines.front()->route_); objective != objectives.end())
            recordQuestion(lines, objective->second, day);
    }
    for (const auto& [id, lines] : items) {
        ItemRecord item = recordItem(lines);
        if (item.cause_ == LossCause::Unfinished && ended.contains(item.job_))
            continue;
        if (const auto job = submitted.find(item.job_); job != submitted.end())
            item.arrivedMs_ = std::min(item.arrivedMs_, job->second);
        if (item.cause_ == LossCause::BegunLate && item.dueMs_ > item.arrivedMs_) {
            const bool beganLate = lines.front()->atMs_ - item.arrivedMs_ > (item.dueMs_ - item.arrivedMs_) / 2;
            item.cause_ = beganLate ? LossCause::BegunLate : LossCause::CutOften;
        }
        day.items_.push_back(std::move(item));
    }
    recordSlots(day);
    std::sort(day.questions_.begin(), day.questions_.end(), [](const auto& one, const auto& other) { return one.arrivedMs_ < other.arrivedMs_; });
    std::sort(day.items_.begin(), day.items_.end(), [](const auto& one, const auto& other) { return one.dueMs_ < other.dueMs_; });
    return day;
}

} // namespace jj
