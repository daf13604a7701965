// Counts only; each record stands in its route's group and in its moment.
#include "losses/LossTable.h"

#include <algorithm>

namespace jj {

namespace {

    void count(LossGroup& group, LossCause cause, bool isPossible)
    {
        ++group.asked_;
        group.possible_ += isPossible ? 1 : 0;
        if (cause == LossCause::None) {
            ++group.inTime_;
            return;
        }
        LossRow& row = group.causes_[cause];
        ++row.lost_;
        row.avoidable_ += isPossible ? 1 : 0;
    }

    void countWait(LossTable& table, const QuestionRecord& question)
    {
        const bool isRefused = question.cause_ == LossCause::NoSlot || question.cause_ == LossCause::LineGivenUp;
        if (question.rank_ < 0 || (question.waitedMs_ < 0 && !isRefused))
            return;
        WaitGroup& group = table.waits_[{ question.workspace_, question.rank_ }];
        group.refused_ += isRefused ? 1 : 0;
        if (question.waitedMs_ < 0)
            return;
        ++group.waited_;
        group.waitMs_ += question.waitedMs_;
        group.longestMs_ = std::max(group.longestMs_, question.waitedMs_);
    }

} // namespace

LossTable tableOf(const DayRecord& day, const ReferenceResult& reference, std::int64_t stepMs)
{
    LossTable table;
    table.stepMs_ = stepMs;
    std::int64_t first = INT64_MAX;
    for (const QuestionRecord& question : day.questions_)
        first = std::min(first, question.arrivedMs_);
    for (const ItemRecord& item : day.items_)
        first = std::min(first, item.arrivedMs_);
    const auto countMoment = [&](std::int64_t arrivedMs, LossCause cause, bool isPossible) {
        if (stepMs <= 0)
            return;
        const auto moment = static_cast<std::size_t>((arrivedMs - first) / stepMs);
        if (moment >= table.moments_.size())
            table.moments_.resize(moment + 1);
        count(table.moments_[moment], cause, isPossible);
    };
    for (const QuestionRecord& question : day.questions_) {
        const bool isPossible = reference.questions_.contains(question.id_);
        count(table.groups_[question.route_], question.cause_, isPossible);
        if (!question.workspace_.empty())
            count(table.workspaces_[question.workspace_], question.cause_, isPossible);
        countWait(table, question);
        countMoment(question.arrivedMs_, question.cause_, isPossible);
    }
    for (const ItemRecord& item : day.items_) {
        const bool isPossible = reference.items_.contains(item.id_);
        count(table.groups_["items"], item.cause_, isPossible);
        countMoment(item.arrivedMs_, item.cause_, isPossible);
    }
    return table;
}

} // namespace jj
