// Sustained batch of up to six times what the slots do, beside questions in bursts: who is refused, and what becomes of who isn't.
//
// The load: 96 slots. Questions take 30 of them on the mean, in bursts of 1.9 times that for 2.4 s of each 6 s and 0.4 times it between them. Jobs
// of ten items, due 18 s after they came; an item takes a slot for 4.6 s and gives way to questions. Entries hear of the load 200 ms late.
#include "capacity/BatchAdmission.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace jj;

namespace {

constexpr std::uint32_t slots = 96;
constexpr double meanQuestions = 30;
constexpr double itemSeconds = 4.6;
constexpr std::uint32_t itemsOfJob = 10;
constexpr Duration runTarget = 18s;
constexpr Duration step = 50ms;
constexpr Duration reportDelay = 200ms;

struct Outcome {
    int asked_ = 0; // items of jobs that came
    int accepted_ = 0;
    int inTime_ = 0;

    double keptPromises() const { return accepted_ > 0 ? static_cast<double>(inTime_) / accepted_ : 1; }
};

class BatchDay {
public:
    BatchDay(bool admits, double demand, std::uint64_t seed)
        : admits_(admits)
        , random_(seed)
        , jobsPerSecond_(demand * (slots - meanQuestions) / itemSeconds / itemsOfJob)
    {
    }

    // Jobs that come within the last 20 s can't be judged and don't count.
    Outcome run(Duration length)
    {
        for (const TimePoint end = now_ + length; now_ < end; now_ += step) {
            countsJobs_ = now_ + 20s < end;
            takeJobs();
            work();
            hear();
        }
        return outcome_;
    }

private:
    struct Item {
        TimePoint due_;
        double left_ = itemSeconds;
        bool counts_ = true;
    };

    std::uint32_t questionsNow()
    {
        const bool isBurst = (now_ - TimePoint()) % 6s < 2400ms;
        return static_cast<std::uint32_t>(std::poisson_distribution<int>(meanQuestions * (isBurst ? 1.9 : 0.4))(random_));
    }

    void takeJobs()
    {
        const int jobs = std::poisson_distribution<int>(jobsPerSecond_ * toSeconds(step))(random_);
        for (int job = 0; job < jobs; ++job) {
            const bool isTaken = !admits_ || admission_.judge(itemsOfJob, runTarget).fits_;
            outcome_.asked_ += countsJobs_ ? static_cast<int>(itemsOfJob) : 0;
            if (!isTaken)
                continue;
            admission_.accepted(itemsOfJob, now_);
            outcome_.accepted_ += countsJobs_ ? static_cast<int>(itemsOfJob) : 0;
            for (std::uint32_t item = 0; item < itemsOfJob; ++item)
                items_.push_back({ now_ + runTarget, itemSeconds, countsJobs_ });
        }
    }

    // The items that are due first have the slots that questions leave; those that can't be in time come last.
    void work()
    {
        const std::uint32_t questions = std::min(questionsNow(), slots);
        std::sort(items_.begin(), items_.end(), [this](const Item& left, const Item& right) { return std::pair(isLate(left), left.due_) < std::pair(isLate(right), right.due_); });
        running_ = std::min<std::size_t>(slots - questions, items_.size());
        questions_ = questions;
        for (std::size_t place = 0; place < running_; ++place)
            items_[place].left_ -= toSeconds(step);
        for (const Item& item : items_)
            outcome_.inTime_ += item.left_ <= 0 && now_ <= item.due_ && item.counts_ ? 1 : 0;
        std::erase_if(items_, [](const Item& item) { return item.left_ <= 0; });
    }

    bool isLate(const Item& item) const { return now_ + fromSeconds(item.left_) > item.due_; }

    void hear()
    {
        const auto waiting = std::count_if(items_.begin() + static_cast<std::ptrdiff_t>(std::min(running_, items_.size())), items_.end(), [this](const Item& item) { return !isLate(item); });
        reports_.push_back({ now_ + reportDelay, { slots, questions_, static_cast<std::uint32_t>(running_), static_cast<std::uint32_t>(waiting), fromSeconds(itemSeconds) } });
        while (!reports_.empty() && reports_.front().first <= now_) {
            admission_.observe(reports_.front().second, now_);
            reports_.pop_front();
        }
    }

    bool admits_;
    std::mt19937_64 random_;
    double jobsPerSecond_;
    BatchAdmission admission_;
    TimePoint now_ { 100s };
    bool countsJobs_ = true;
    std::vector<Item> items_;
    std::size_t running_ = 0;
    std::uint32_t questions_ = 0;
    std::deque<std::pair<TimePoint, BatchLoad>> reports_;
    Outcome outcome_;
};

Outcome played(bool admits, double demand)
{
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome one = BatchDay(admits, demand, seed).run(120s);
        sum.asked_ += one.asked_;
        sum.accepted_ += one.accepted_;
        sum.inTime_ += one.inTime_;
    }
    return sum;
}

} // namespace

// Guards against callers who are promised what can't be done.
TEST_CASE("admission: of more than the slots do, what is accepted is done in time, and no less than without a bound")
{
    for (const double demand : { 1.3, 2.0, 3.0, 6.0 }) {
        CAPTURE(demand);
        const Outcome before = played(false, demand);
        const Outcome after = played(true, demand);
        MESSAGE("demand ", demand, ": kept ", before.keptPromises(), ", ", after.keptPromises(), "; in time ", before.inTime_, ", ", after.inTime_);
        CHECK(after.keptPromises() > 0.9);
        CHECK(after.inTime_ > 0.95 * before.inTime_);
    }
}

// Guards against refusals of what would fit.
TEST_CASE("admission: while the slots do for all nearly nothing is refused")
{
    for (const double demand : { 0.5, 0.8 }) {
        CAPTURE(demand);
        const Outcome outcome = played(true, demand);
        CHECK(outcome.accepted_ > 0.99 * outcome.asked_);
        CHECK(outcome.keptPromises() > 0.98);
    }
}

TEST_CASE("admission: a job that doesn't fit is told when one of its size would, and nothing is refused before the load is known")
{
    BatchAdmission admission;
    const BatchLoad full { 40, 0, 40, 200, 5s };
    admission.observe(full, TimePoint(10s));
    CHECK(admission.judge(100, 18s).fits_);
    admission.observe(full, TimePoint(20s));
    const AdmissionAnswer answer = admission.judge(100, 18s);
    CHECK_FALSE(answer.fits_);
    CHECK(answer.comeBackIn_ > 10s);
    CHECK(answer.comeBackIn_ < 30s);
    BatchLoad unknown = full;
    unknown.slotTime_ = {};
    admission.observe(unknown, TimePoint(21s));
    CHECK(admission.judge(100, 18s).fits_);
}
