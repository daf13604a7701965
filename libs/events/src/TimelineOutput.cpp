// The time line as text and as a trace file.
#include "events/Timeline.h"

#include <boost/json.hpp>
#include <ctime>
#include <iomanip>
#include <map>
#include <ostream>
#include <string>

namespace jj {

namespace json = boost::json;

namespace {

    constexpr std::int64_t microsecondsPerMillisecond = 1000;

    std::string utcText(WallTime at)
    {
        const std::int64_t milliseconds = at.time_since_epoch().count();
        const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char date[32];
        std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
        const std::string fraction = std::to_string(1000 + milliseconds % 1000);
        return std::string(date) + '.' + fraction.substr(1) + 'Z';
    }

    std::string processName(const TimelineEvent& event)
    {
        return event.incarnation_.isNone() ? event.host_ : event.host_ + '#' + std::to_string(event.incarnation_.value());
    }

    // The event's own fields, without those that every line shows anyway.
    json::object fieldsOf(const TimelineEvent& event)
    {
        json::object fields = json::parse(toJsonLine(event)).as_object();
        for (const std::string_view shown : { "at", "host", "incarnation", "seq", "kind" })
            fields.erase(shown);
        return fields;
    }

    struct Span {
        std::string_view category_;
        std::string id_;
        char phase_ = 'b'; // of the trace format: b begins, e ends
    };

    std::optional<Span> spanOf(const TimelineEvent& event)
    {
        const auto request = [&](char phase) { return Span { "request", idText(event.request_.value()), phase }; };
        const auto job = [&](char phase) { return Span { "job", idText(event.job_.value()), phase }; };
        switch (event.kind_) {
        case EventKind::RequestAccepted:
            return request('b');
        case EventKind::RequestFinished:
        case EventKind::RequestRefused:
        case EventKind::RequestCancelled:
            return request('e');
        case EventKind::JobAccepted:
            return job('b');
        case EventKind::JobCompleted:
        case EventKind::JobCancelled:
            return job('e');
        default:
            return std::nullopt;
        }
    }

    json::object traceEvent(const TimelineEvent& event, int process, std::string_view name, std::string_view phase)
    {
        json::object entry;
        entry["name"] = name;
        entry["ph"] = phase;
        entry["pid"] = process;
        entry["tid"] = 0;
        entry["ts"] = event.at_.time_since_epoch().count() * microsecondsPerMillisecond;
        entry["args"] = fieldsOf(event);
        return entry;
    }

    json::object processEntry(int process, const std::string& name)
    {
        return { { "name", "process_name" }, { "ph", "M" }, { "pid", process }, { "args", { { "name", name } } } };
    }

} // namespace

void writeTimelineText(const std::vector<TimelineEvent>& timeline, std::ostream& out)
{
    for (const TimelineEvent& event : timeline) {
        out << utcText(event.at_) << "  " << std::left << std::setw(24) << processName(event) << ' ' << std::setw(22) << toString(event.kind_);
        for (const auto& [name, value] : fieldsOf(event)) {
            out << ' ' << std::string_view(name) << '=';
            if (value.is_string())
                out << std::string_view(value.get_string());
            else
                out << json::serialize(value);
        }
        out << '\n';
    }
}

void writeTimelineTrace(const std::vector<TimelineEvent>& timeline, std::ostream& out)
{
    std::map<std::string, int> processes;
    bool first = true;
    const auto put = [&](const json::object& entry) {
        out << (first ? "" : ",\n") << json::serialize(entry);
        first = false;
    };
    out << "{\"traceEvents\":[\n";
    for (const TimelineEvent& event : timeline) {
        const std::string name = processName(event);
        const auto [place, added] = processes.try_emplace(name, static_cast<int>(processes.size()) + 1);
        const int process = place->second;
        if (added)
            put(processEntry(process, name));
        if (const auto span = spanOf(event)) {
            json::object entry = traceEvent(event, process, span->category_, std::string_view(&span->phase_, 1));
            entry["cat"] = span->category_;
            entry["id"] = span->id_;
            put(entry);
        }
        json::object instant = traceEvent(event, process, toString(event.kind_), "i");
        instant["s"] = "t";
        put(instant);
    }
    out << "\n]}\n";
}

} // namespace jj
