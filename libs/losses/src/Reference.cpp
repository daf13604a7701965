// Questions first, in steps of ten milliseconds; then items into what is left.
#include "losses/Reference.h"

#include <algorithm>
#include <deque>
#include <queue>

namespace jj {

namespace {

    constexpr std::int64_t stepMs = 10;

    // Free slots of each step of the day.
    class FreeSlots {
    public:
        FreeSlots(const DayRecord& day, std::int64_t beginMs, std::int64_t endMs)
            : beginMs_(beginMs)
            , free_(static_cast<std::size_t>(std::max<std::int64_t>(0, endMs - beginMs) / stepMs + 1))
        {
            for (const SlotsAt& slots : day.slots_)
                std::fill(free_.begin() + static_cast<std::ptrdiff_t>(stepOf(slots.atMs_)), free_.end(), static_cast<std::int32_t>(slots.slots_));
        }

        std::size_t stepOf(std::int64_t atMs) const { return static_cast<std::size_t>(std::clamp<std::int64_t>((atMs - beginMs_) / stepMs, 0, static_cast<std::int64_t>(free_.size()) - 1)); }
        std::size_t steps() const { return free_.size(); }
        std::int64_t timeOf(std::size_t step) const { return beginMs_ + static_cast<std::int64_t>(step) * stepMs; }
        std::int32_t& operator[](std::size_t step) { return free_[step]; }

    private:
        std::int64_t beginMs_;
        std::vector<std::int32_t> free_;
    };

    std::size_t stepsFor(std::int64_t workMs) { return static_cast<std::size_t>((workMs + stepMs - 1) / stepMs); }

    template <class Record>
    std::int64_t meanOf(const std::vector<Record>& records, std::int64_t Record::*member)
    {
        std::int64_t sum = 0;
        std::int64_t count = 0;
        for (const Record& record : records) {
            sum += record.*member;
            count += record.*member > 0 ? 1 : 0;
        }
        return count > 0 ? sum / count : 0;
    }

    void placeQuestions(const DayRecord& day, FreeSlots& free, std::set<std::string>& inTime)
    {
        const std::int64_t meanRun = meanOf(day.questions_, &QuestionRecord::runMs_);
        std::deque<const QuestionRecord*> waiting;
        auto next = day.questions_.begin();
        for (std::size_t step = 0; step < free.steps(); ++step) {
            const std::int64_t now = free.timeOf(step);
            for (; next != day.questions_.end() && next->arrivedMs_ < now + stepMs; ++next)
                waiting.push_back(&*next);
            while (!waiting.empty() && (free[step] > 0 || waiting.front()->arrivedMs_ + waiting.front()->objectiveMs_ < now)) {
                const QuestionRecord& question = *waiting.front();
                waiting.pop_front();
                if (question.arrivedMs_ + question.objectiveMs_ < now)
                    continue;
                inTime.insert(question.id_);
                const std::size_t end = std::min(free.steps(), step + stepsFor(question.runMs_ > 0 ? question.runMs_ : meanRun));
                for (std::size_t held = step; held < end; ++held)
                    --free[held];
            }
        }
    }

    void placeItems(const DayRecord& day, FreeSlots& free, std::set<std::string>& inTime)
    {
        const std::int64_t meanWork = meanOf(day.items_, &ItemRecord::workMs_);
        for (const ItemRecord& item : day.items_) {
            const std::size_t wanted = stepsFor(item.cause_ == LossCause::Unfinished || item.workMs_ == 0 ? std::max(meanWork, item.workMs_) : item.workMs_);
            std::vector<std::size_t> taken;
            for (std::size_t step = free.stepOf(item.arrivedMs_); step < free.stepOf(item.dueMs_) && taken.size() < wanted; ++step) {
                if (free[step] > 0)
                    taken.push_back(step);
            }
            if (taken.size() < wanted)
                continue;
            inTime.insert(item.id_);
            for (const std::size_t step : taken)
                --free[step];
        }
    }

} // namespace

ReferenceResult scheduleReference(const DayRecord& day)
{
    ReferenceResult result;
    std::int64_t begin = INT64_MAX;
    std::int64_t end = 0;
    for (const QuestionRecord& question : day.questions_) {
        begin = std::min(begin, question.arrivedMs_);
        end = std::max(end, question.arrivedMs_ + question.objectiveMs_);
    }
    for (const ItemRecord& item : day.items_) {
        begin = std::min(begin, item.arrivedMs_);
        end = std::max(end, item.dueMs_);
    }
    if (begin > end)
        return result;
    FreeSlots free(day, begin, end);
    placeQuestions(day, free, result.questions_);
    placeItems(day, free, result.items_);
    return result;
}

} // namespace jj
