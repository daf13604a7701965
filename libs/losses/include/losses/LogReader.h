// Makes a record of a day from the log lines of all nodes, which may come in any order.
//
//     LogReader reader;
//     for (line of all files) reader.add(line);
//     const DayRecord day = reader.finish();
//
// Only what the nodes logged is known: a request that never reached one isn't counted, and each attempt of a caller is a request of its own.
#pragma once

#include "losses/DayRecord.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

class LogReader {
public:
    // A line of JSON, also with a collector's words in front of it. Lines that can't be read are counted and passed over.
    void add(std::string_view line);
    DayRecord finish();

private:
    // What the reader needs of a line, whatever its event.
    struct Entry {
        std::int64_t atMs_ = 0;
        std::string host_;
        std::string event_;
        std::string id_; // of the request or item
        std::string job_;
        std::string route_;
        std::string workspace_;
        std::string engine_;
        std::string why_; // of an ended run
        std::string reason_; // of a refusal
        std::string draining_;
        std::int64_t afterMs_ = 0;
        std::int64_t engineMs_ = 0;
        std::int64_t objectiveMs_ = 0;
        std::int64_t dueInMs_ = 0;
        std::int64_t items_ = 0;
        std::int64_t slots_ = 0;
        std::int64_t rank_ = -1;
    };

    static void recordQuestion(const std::vector<const Entry*>& lines, std::int64_t objectiveMs, DayRecord& day);
    static ItemRecord recordItem(const std::vector<const Entry*>& lines);
    void recordSlots(DayRecord& day) const;

    std::vector<Entry> entries_;
    std::size_t badLines_ = 0;
};

} // namespace jj
