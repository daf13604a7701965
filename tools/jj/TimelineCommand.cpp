// jj timeline: the events of all processes as one time line.
#include "Command.h"
#include "events/Timeline.h"

#include <fstream>
#include <iostream>
#include <memory>

namespace jj::cli {

namespace {

    struct TimelineOptions {
        std::vector<std::string> files_;
        std::string request_;
        std::string job_;
        std::string engine_;
        std::vector<std::string> kinds_;
        std::string trace_;
    };

    // False, after a complaint, when the text is no id.
    template <class IdType>
    bool readId(Context& context, const std::string& text, std::optional<IdType>& id)
    {
        if (text.empty())
            return true;
        const auto value = idFromText(text);
        if (value)
            id = IdType(*value);
        else
            complain(context, "jj.BadId", "'" + text + "' isn't an id of hex digits");
        return value.has_value();
    }

    bool readEngine(Context& context, const std::string& text, std::optional<UpstreamId>& id)
    {
        if (const auto endpoint = parseEndpoint(text); !text.empty() && endpoint) {
            id = upstreamIdOf(endpoint.value());
            return true;
        }
        return readId(context, text, id);
    }

    std::optional<EventFilter> filterOf(Context& context, const TimelineOptions& options)
    {
        EventFilter filter;
        const bool idsAreGood = readId(context, options.request_, filter.request_) && readId(context, options.job_, filter.job_) && readEngine(context, options.engine_, filter.engine_);
        if (!idsAreGood)
            return std::nullopt;
        for (const std::string& name : options.kinds_) {
            const auto kind = eventKindFrom(name);
            if (!kind) {
                complain(context, "jj.BadKind", "'" + name + "' is no kind of event");
                return std::nullopt;
            }
            filter.kinds_.push_back(*kind);
        }
        return filter;
    }

    void runTimeline(Context& context, const TimelineOptions& options)
    {
        context.exit_ = Exit::BadInput;
        const auto filter = filterOf(context, options);
        if (!filter)
            return;
        std::vector<TimelineEvent> events;
        std::size_t badLines = 0;
        Progress progress;
        for (const std::string& path : options.files_) {
            progress.show("reading " + path);
            auto file = readEventFile(path);
            if (!file)
                return complain(context, "jj.CantRead", "can't read '" + path + "'");
            badLines += file.value().badLines_;
            events.insert(events.end(), file.value().events_.begin(), file.value().events_.end());
        }
        const std::vector<TimelineEvent> timeline = mergeTimelines(std::move(events), *filter);
        if (!options.trace_.empty()) {
            std::ofstream out(options.trace_, std::ios::binary | std::ios::trunc);
            writeTimelineTrace(timeline, out);
            if (!out.flush())
                return complain(context, "jj.CantWrite", "can't write '" + options.trace_ + "'");
        }
        context.exit_ = Exit::Done;
        if (badLines > 0)
            complain(context, "jj.BadLines", std::to_string(badLines) + " lines were no events and are left out");
        if (context.json_) {
            for (const TimelineEvent& event : timeline)
                std::cout << toJsonLine(event) << '\n';
        } else if (options.trace_.empty()) {
            writeTimelineText(timeline, std::cout);
        } else {
            print(context, { { "events", timeline.size() }, { "trace", options.trace_ } });
        }
        std::cout.flush();
    }

} // namespace

void addTimeline(CLI::App& app, Context& context)
{
    auto options = std::make_shared<TimelineOptions>();
    CLI::App* command = app.add_subcommand("timeline", "merge the event files of all processes into one time line");
    command->add_option("files", options->files_, "event files")->required();
    command->add_option("--request", options->request_, "only this request's events");
    command->add_option("--job", options->job_, "only this job's events");
    command->add_option("--engine", options->engine_, "only this engine's events, by id or IP:PORT");
    command->add_option("--kind", options->kinds_, "only events of these kinds, such as leaseLost");
    command->add_option("--trace", options->trace_, "file for browser trace viewers");
    command->callback([&context, options] { runTimeline(context, *options); });
}

} // namespace jj::cli
