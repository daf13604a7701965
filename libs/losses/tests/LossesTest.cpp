// Logs of small days, and the reference schedule against cases worked out by hand.
#include "losses/LogReader.h"
#include "losses/LossTable.h"
#include "losses/Reference.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

QuestionRecord question(const std::string& id, std::int64_t arrivedMs, std::int64_t runMs) { return { id, "r", {}, -1, -1, arrivedMs, 300, runMs, LossCause::None }; }
ItemRecord item(const std::string& id, std::int64_t arrivedMs, std::int64_t dueMs, std::int64_t workMs) { return { id, "j", arrivedMs, dueMs, workMs, 1, LossCause::None }; }

} // namespace

// Two slots. At 0 two questions take them for a second; a third one waits 300 ms at most and finds none; a fourth comes at 900 and begins at 1000.
// Then one slot is left until 2000: of two items of 700 ms that are due at 2000 the first has from 1000 on, the second one gets what
// the first leaves on its slot and the fourth question's, 300 and 0: not enough. A third one, due at 3000, has room.
TEST_CASE("losses: the reference schedule does what two slots can do")
{
    DayRecord day;
    day.slots_ = { { 0, 2 } };
    day.questions_ = { question("a", 0, 1000), question("b", 0, 1000), question("c", 10, 1000), question("d", 900, 1000) };
    day.items_ = { item("x", 0, 2000, 700), item("y", 0, 2000, 700), item("z", 500, 3000, 700) };
    const ReferenceResult result = scheduleReference(day);
    CHECK(result.questions_ == std::set<std::string> { "a", "b", "d" });
    CHECK(result.items_ == std::set<std::string> { "x", "z" });
}

TEST_CASE("losses: slots that come and go count from when they are known")
{
    DayRecord day;
    day.slots_ = { { 0, 1 }, { 1000, 0 }, { 2000, 1 } };
    day.questions_ = { question("a", 0, 100), question("b", 1000, 100), question("c", 2000, 100) };
    CHECK(scheduleReference(day).questions_ == std::set<std::string> { "a", "c" });
}

TEST_CASE("losses: a day without any work has no reference")
{
    CHECK(scheduleReference({}).questions_.empty());
    CHECK(tableOf({}, {}).groups_.empty());
}

TEST_CASE("losses: questions are classified by what became of them")
{
    LogReader reader;
    reader.add(R"({"ts":0,"host":"n","event":"engineChanged","engine":"e","draining":"no","slots":4})");
    reader.add(R"(12.5 n1 {"ts":100,"host":"n","event":"sent","request":"fine","route":"r"})");
    reader.add(R"({"ts":130,"host":"n","event":"firstEvent","request":"fine","route":"r","afterMs":30,"engineMs":30,"objectiveMs":300})");
    reader.add(R"({"ts":900,"host":"n","event":"answered","request":"fine","route":"r","afterMs":800})");
    reader.add(R"({"ts":100,"host":"n","event":"linedUp","request":"late","route":"r"})");
    reader.add(R"({"ts":600,"host":"n","event":"sent","request":"late","route":"r"})");
    reader.add(R"({"ts":640,"host":"n","event":"firstEvent","request":"late","route":"r","afterMs":540,"engineMs":40,"objectiveMs":300})");
    reader.add(R"({"ts":900,"host":"n","event":"answered","request":"late","route":"r","afterMs":800})");
    reader.add(R"({"ts":100,"host":"n","event":"refused","request":"no","route":"r","reason":"noSlotInTime"})");
    reader.add(R"({"ts":100,"host":"n","event":"sent","request":"gone","route":"r"})");
    reader.add(R"({"ts":100,"host":"n","event":"callerLeft","request":"left","route":"r"})");
    reader.add(R"({"ts":100,"host":"n","event":"callerUnknown","request":"unknown","route":"r"})");
    reader.add(R"({"ts":100,"host":"n","event":"overQuota","request":"over","route":"r","workspace":"w"})");
    reader.add("no line of a log");
    const DayRecord day = reader.finish();
    CHECK(day.badLines_ == 1);
    CHECK(day.questions_.size() == 5);
    const LossTable table = tableOf(day, scheduleReference(day));
    const LossGroup& group = table.groups_.at("r");
    CHECK(group.asked_ == 5);
    CHECK(group.inTime_ == 1);
    CHECK(group.possible_ == 5);
    CHECK(group.causes_.at(LossCause::WaitedInLine).lost_ == 1);
    CHECK(group.causes_.at(LossCause::NoSlot).avoidable_ == 1);
    CHECK(group.causes_.at(LossCause::ProcessGone).lost_ == 1);
    CHECK(group.causes_.at(LossCause::OverQuota).lost_ == 1);
    CHECK(table.workspaces_.at("w").asked_ == 1);
}

// Guards against waits that count for another workspace or rank, and against refusals over a quota that count as refusals of a slot.
TEST_CASE("losses: waits for slots and refusals are summed by workspace and rank")
{
    LogReader reader;
    reader.add(R"({"ts":1,"event":"firstEvent","request":"at once","route":"r","workspace":"w","afterMs":1,"engineMs":1,"objectiveMs":300})");
    reader.add(R"({"ts":100,"event":"linedUp","request":"short","route":"r","workspace":"w","rank":0})");
    reader.add(R"({"ts":150,"event":"sent","request":"short","route":"r","workspace":"w"})");
    reader.add(R"({"ts":100,"event":"linedUp","request":"twice","route":"r","workspace":"w","rank":0})");
    reader.add(R"({"ts":200,"event":"sent","request":"twice","route":"r","workspace":"w"})");
    reader.add(R"({"ts":300,"event":"linedUp","request":"twice","route":"r","workspace":"w","rank":0})");
    reader.add(R"({"ts":350,"event":"sent","request":"twice","route":"r","workspace":"w"})");
    reader.add(R"({"ts":100,"event":"linedUp","request":"given up","route":"r","workspace":"w","rank":3})");
    reader.add(R"({"ts":900,"event":"refused","request":"given up","route":"r","workspace":"w","rank":3,"reason":"noSlotCame"})");
    reader.add(R"({"ts":100,"event":"refused","request":"no","route":"r","workspace":"v","rank":3,"reason":"noSlotInTime"})");
    reader.add(R"({"ts":100,"event":"refused","request":"public","route":"r","rank":0,"reason":"noSlotInTime"})");
    reader.add(R"({"ts":100,"event":"overQuota","request":"over","route":"r","workspace":"w"})");
    const LossTable table = tableOf(reader.finish(), {});
    REQUIRE(table.waits_.size() == 4);
    const WaitGroup& first = table.waits_.at({ "w", 0 });
    CHECK((first.waited_ == 2 && first.waitMs_ == 200 && first.longestMs_ == 150 && first.refused_ == 0));
    const WaitGroup& second = table.waits_.at({ "w", 3 });
    CHECK((second.waited_ == 1 && second.waitMs_ == 800 && second.longestMs_ == 800 && second.refused_ == 1));
    CHECK((table.waits_.at({ "v", 3 }).waited_ == 0 && table.waits_.at({ "v", 3 }).refused_ == 1));
    CHECK(table.waits_.at({ "", 0 }).refused_ == 1);
}

TEST_CASE("losses: items are classified by what made them late")
{
    LogReader reader;
    reader.add(R"({"ts":0,"host":"n","event":"jobSubmitted","request":"j","job":"j","items":3,"afterMs":0})");
    reader.add(R"({"ts":1000,"host":"w","event":"itemSent","request":"fine","job":"j","dueInMs":17000})");
    reader.add(R"({"ts":6000,"host":"w","event":"itemRunEnded","request":"fine","job":"j","why":"completed"})");
    reader.add(R"({"ts":12000,"host":"w","event":"itemSent","request":"begunLate","job":"j","dueInMs":6000})");
    reader.add(R"({"ts":19000,"host":"w","event":"itemRunEnded","request":"begunLate","job":"j","why":"completed"})");
    reader.add(R"({"ts":1000,"host":"w","event":"itemSent","request":"never","job":"j","dueInMs":17000})");
    reader.add(R"({"ts":2000,"host":"w","event":"itemSent","request":"moved","job":"j","dueInMs":16000})");
    reader.add(R"({"ts":15000,"host":"v","event":"itemSent","request":"moved","job":"j","dueInMs":3000})");
    reader.add(R"({"ts":20000,"host":"v","event":"itemRunEnded","request":"moved","job":"j","why":"completed"})");
    const DayRecord day = reader.finish();
    const LossTable table = tableOf(day, scheduleReference(day));
    const LossGroup& group = table.groups_.at("items");
    CHECK(group.asked_ == 4);
    CHECK(group.inTime_ == 1);
    CHECK(group.causes_.at(LossCause::BegunLate).lost_ == 1);
    CHECK(group.causes_.at(LossCause::Unfinished).lost_ == 1);
    CHECK(group.causes_.at(LossCause::Restarted).lost_ == 1);
}
