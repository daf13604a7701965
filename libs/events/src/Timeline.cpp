// Reading, merging and filtering of event files.
#include "events/Timeline.h"

#include <algorithm>
#include <fstream>
#include <numeric>

namespace jj {

namespace {

    bool sameSource(const TimelineEvent& left, const TimelineEvent& right) { return left.host_ == right.host_ && left.incarnation_ == right.incarnation_; }

    bool sourceOrder(const TimelineEvent& left, const TimelineEvent& right)
    {
        if (left.host_ != right.host_)
            return left.host_ < right.host_;
        if (left.incarnation_ != right.incarnation_)
            return left.incarnation_ < right.incarnation_;
        return left.sequence_ < right.sequence_;
    }

} // namespace

EventFile readEvents(std::istream& in)
{
    EventFile file;
    std::string line;
    while (std::getline(in, line)) {
        if (auto event = eventFromJsonLine(line))
            file.events_.push_back(std::move(*event));
        else
            ++file.badLines_;
    }
    return file;
}

Result<EventFile> readEventFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::make_error_code(std::errc::no_such_file_or_directory);
    return readEvents(in);
}

bool EventFilter::keeps(const TimelineEvent& event) const
{
    if (request_ && event.request_ != *request_)
        return false;
    if (job_ && event.job_ != *job_)
        return false;
    if (engine_ && event.engine_ != *engine_)
        return false;
    return kinds_.empty() || std::find(kinds_.begin(), kinds_.end(), event.kind_) != kinds_.end();
}

std::vector<TimelineEvent> mergeTimelines(std::vector<TimelineEvent> events, const EventFilter& filter)
{
    std::sort(events.begin(), events.end(), sourceOrder);
    // A clock that was set back must not put an effect before its cause: an event counts as no earlier than the one before it
    // in its own process.
    std::vector<WallTime> places(events.size());
    for (std::size_t i = 0; i < events.size(); ++i) {
        places[i] = events[i].at_;
        if (i > 0 && sameSource(events[i - 1], events[i]))
            places[i] = std::max(places[i], places[i - 1]);
    }
    std::vector<std::size_t> order(events.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return places[left] < places[right]; });
    std::vector<TimelineEvent> timeline;
    timeline.reserve(events.size());
    for (const std::size_t index : order) {
        if (filter.keeps(events[index]))
            timeline.push_back(std::move(events[index]));
    }
    return timeline;
}

} // namespace jj
