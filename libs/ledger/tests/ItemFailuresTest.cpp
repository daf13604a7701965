// Records of failed runs that several hosts hold and merge.
#include "ledger/ItemFailures.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

const JobKey job { "j", WallTime(std::chrono::milliseconds(1000)) };

ItemFailures failuresOf(std::vector<FailedRunId> runs, bool isUnprocessable = false) { return { "j-0", std::move(runs), isUnprocessable }; }

std::size_t countOf(const FailureTable& table, const JobKey& key = job)
{
    const ItemFailures* found = table.find(key, "j-0");
    return found ? found->runs_.size() : 0;
}

} // namespace

TEST_CASE("ledger: records of failed runs merge in any order and any number of times to the same state")
{
    const std::vector<ItemFailures> records { failuresOf({ FailedRunId(3) }), failuresOf({ FailedRunId(1), FailedRunId(3) }), failuresOf({ FailedRunId(2) }, true) };
    FailureTable forwards { {} };
    FailureTable backwards { {} };
    for (const ItemFailures& record : records)
        forwards.add(job, record, TimePoint(1s));
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        backwards.add(job, *record, TimePoint(1s));
        CHECK_FALSE(backwards.add(job, *record, TimePoint(2s)));
    }
    REQUIRE(forwards.find(job, "j-0"));
    REQUIRE(backwards.find(job, "j-0"));
    CHECK(*forwards.find(job, "j-0") == *backwards.find(job, "j-0"));
    CHECK(countOf(forwards) == 3);
    CHECK(forwards.find(job, "j-0")->isUnprocessable_);
}

// Guards against items of a new job that are given up for the failures of an older job of the same name.
TEST_CASE("ledger: jobs of the same name that were accepted at different times have records of their own")
{
    FailureTable table { {} };
    table.add(job, failuresOf({ FailedRunId(1) }), TimePoint(1s));
    const JobKey later { "j", WallTime(std::chrono::milliseconds(2000)) };
    CHECK(countOf(table, later) == 0);
    CHECK(table.failuresOf(later).items_.empty());
    CHECK(table.failuresOf(job).items_.size() == 1);
}

TEST_CASE("ledger: records of failed runs are bounded in age and number")
{
    FailureTableSettings settings;
    settings.maxJobs_ = 2;
    FailureTable table(settings);
    const auto keyOf = [](int number) { return JobKey { "j" + std::to_string(number), {} }; };
    for (int number = 0; number < 3; ++number)
        table.add(keyOf(number), failuresOf({ FailedRunId(1) }), TimePoint(std::chrono::seconds(number)));
    CHECK(table.size() == 2);
    CHECK(countOf(table, keyOf(0)) == 0);
    // A change renews the record.
    table.add(keyOf(1), failuresOf({ FailedRunId(2) }), TimePoint(10s));
    table.expire(TimePoint(5s) + settings.lifetime_);
    CHECK(countOf(table, keyOf(1)) == 2);
    CHECK(countOf(table, keyOf(2)) == 0);
    table.expire(TimePoint(11s) + settings.lifetime_);
    CHECK(table.size() == 0);
}

TEST_CASE("ledger: a record without a failure changes nothing")
{
    FailureTable table { {} };
    CHECK_FALSE(table.add(job, failuresOf({}), TimePoint(1s)));
    CHECK_FALSE(table.merge({ job, {} }, TimePoint(1s)));
    CHECK(table.size() == 0);
}

// Guards against answers that grow with the square of the number of items that fail.
TEST_CASE("ledger: a record is answered with what is known of its items, and a question with all of the job")
{
    FailureTable table { {} };
    table.add(job, failuresOf({ FailedRunId(1) }), TimePoint(1s));
    table.add(job, { "j-1", { FailedRunId(2) }, false }, TimePoint(1s));
    const JobFailures answer = table.answerTo({ job, { failuresOf({ FailedRunId(3) }) } });
    REQUIRE(answer.items_.size() == 1);
    CHECK(answer.items_.front().item_ == "j-0");
    CHECK(table.answerTo({ job, {} }).items_.size() == 2);
}
