// The time line of all processes: their event files merged into one order, filtered, and written for people and trace viewers.
//
// Events of one incarnation of a process stay in the order of their sequence numbers, also when its wall clock was set back;
// between processes the wall time decides, so the order of events closer together than the hosts' clocks means nothing.
#pragma once

#include "base/Result.h"
#include "events/TimelineEvent.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace jj {

struct EventFile {
    std::vector<TimelineEvent> events_;
    std::size_t badLines_ = 0; // lines that are no events, such as a torn last one
};

// Errors: std::errc::no_such_file_or_directory.
Result<EventFile> readEventFile(const std::string& path);
EventFile readEvents(std::istream& in);

// What to keep; an unset field keeps all.
struct EventFilter {
    std::optional<RequestId> request_;
    std::optional<JobId> job_;
    std::optional<UpstreamId> engine_;
    std::vector<EventKind> kinds_; // empty: all

    bool keeps(const TimelineEvent& event) const;
};

std::vector<TimelineEvent> mergeTimelines(std::vector<TimelineEvent> events, const EventFilter& filter = {});

// One line an event: UTC time, process, kind, then the fields that are set as name=value.
void writeTimelineText(const std::vector<TimelineEvent>& timeline, std::ostream& out);
// Trace-event JSON: one track a process; requests and jobs as spans from accepted to their end, all else as instants.
void writeTimelineTrace(const std::vector<TimelineEvent>& timeline, std::ostream& out);

} // namespace jj
