// What became of each question and each item of a day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jj {

// Why something wasn't answered within its objective.
enum class LossCause : std::uint8_t {
    None, // it was
    NoSlot, // refused at once: no slot would have come in time
    LineGivenUp, // refused after it had waited in line
    WaitedInLine, // answered late; most of the time went by in line
    SlowEngine, // answered late; most of the time went by at the engine
    AnswerLost, // the engine or the connection was lost
    ProcessGone, // nothing more was logged of it: its process ended
    BegunLate, // an item whose first run began after half of its time
    CutOften, // an item that gave way or lost its engine so often that it was late
    Restarted, // an item that began anew with another process or owner
    Unfinished, // an item that was never done
    OverQuota, // refused because its workspace was over its quota
};
constexpr std::size_t lossCauses = 12;
std::string toString(LossCause cause);

struct QuestionRecord {
    std::string id_;
    std::string route_;
    std::string workspace_; // empty: none, or not logged
    std::int64_t rank_ = -1; // its priority; -1: not logged, since it neither waited for a slot nor was refused one
    std::int64_t waitedMs_ = -1; // from when it waited for a slot until it was sent or refused; -1: it didn't wait, or its end isn't known
    std::int64_t arrivedMs_ = 0; // by the clock of its process, since 1970
    std::int64_t objectiveMs_ = 0; // until its first event
    std::int64_t runMs_ = 0; // that it held its slot; 0: it had none, or its end isn't known
    LossCause cause_ = LossCause::None;
};

struct ItemRecord {
    std::string id_;
    std::string job_;
    std::int64_t arrivedMs_ = 0; // of its job
    std::int64_t dueMs_ = 0;
    std::int64_t workMs_ = 0; // of all its runs; 0: it never ran
    std::uint32_t runs_ = 0;
    LossCause cause_ = LossCause::None;
};

// Slots of all engines from a moment on.
struct SlotsAt {
    std::int64_t atMs_ = 0;
    std::uint32_t slots_ = 0;
};

struct DayRecord {
    std::vector<QuestionRecord> questions_; // by arrival
    std::vector<ItemRecord> items_; // by due time
    std::vector<SlotsAt> slots_; // by time
    std::size_t badLines_ = 0; // that could not be read
};

} // namespace jj
