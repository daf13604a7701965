// jj trace: what all processes logged about one request, job or engine, in order of time.
#include "Command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

namespace jj::cli {

namespace {

    namespace json = boost::json;

    struct TraceOptions {
        std::string id_;
        std::string engine_;
        std::vector<std::string> files_;
    };

    struct TraceLine {
        std::int64_t at_ = 0; // milliseconds since 1970, by the clock of the process
        std::string host_;
        std::string event_;
        json::object fields_;
    };

    bool hasText(const json::object& fields, std::string_view key, std::string_view value)
    {
        const json::value* found = fields.if_contains({ key.data(), key.size() });
        const json::string* text = found ? found->if_string() : nullptr;
        return text && std::string_view(text->data(), text->size()) == value;
    }

    bool isAbout(const json::object& fields, const TraceOptions& options)
    {
        if (!options.engine_.empty())
            return hasText(fields, "engine", options.engine_) || hasText(fields, "at", options.engine_);
        return hasText(fields, "request", options.id_) || hasText(fields, "job", options.id_);
    }

    std::string takeText(json::object& fields, json::string_view key)
    {
        const json::value* found = fields.if_contains(key);
        std::string text = found && found->is_string() ? std::string(found->get_string().data(), found->get_string().size()) : std::string();
        fields.erase(key);
        return text;
    }

    // Collectors put words of their own in front of a line, so it begins at its brace.
    std::optional<TraceLine> parse(std::string_view text)
    {
        const std::size_t brace = text.find('{');
        if (brace == std::string_view::npos)
            return std::nullopt;
        json::error_code error;
        json::value value = json::parse({ text.data() + brace, text.size() - brace }, error);
        if (error || !value.is_object())
            return std::nullopt;
        TraceLine line;
        line.fields_ = std::move(value.get_object());
        const json::value* at = line.fields_.if_contains("ts");
        if (!at || !at->is_int64())
            return std::nullopt;
        line.at_ = at->get_int64();
        return line;
    }

    void print(const Context& context, TraceLine line)
    {
        if (context.json_) {
            std::cout << json::serialize(line.fields_) << '\n';
            return;
        }
        line.fields_.erase("ts");
        std::cout << line.at_ << ' ' << takeText(line.fields_, "host") << ' ' << takeText(line.fields_, "event");
        for (const auto& [key, field] : line.fields_)
            std::cout << ' ' << std::string_view(key.data(), key.size()) << '=' << json::serialize(field);
        std::cout << '\n';
    }

    void runTrace(Context& context, const TraceOptions& options)
    {
        context.exit_ = Exit::BadInput;
        if (options.id_.empty() == options.engine_.empty())
            return complain(context, "jj.WhichId", "name either a request or job, or an engine");
        std::vector<TraceLine> lines;
        for (const std::string& path : options.files_) {
            std::ifstream file(path);
            if (!file)
                return complain(context, "jj.CantRead", "can't read '" + path + "'");
            std::string text;
            while (std::getline(file, text)) {
                auto line = parse(text);
                if (line && isAbout(line->fields_, options))
                    lines.push_back(std::move(*line));
            }
        }
        std::stable_sort(lines.begin(), lines.end(), [](const TraceLine& left, const TraceLine& right) { return left.at_ < right.at_; });
        for (TraceLine& line : lines)
            print(context, std::move(line));
        std::cout.flush();
        context.exit_ = lines.empty() ? Exit::Findings : Exit::Done;
        if (lines.empty())
            complain(context, "jj.NoLines", "no line of these files is about it");
    }

} // namespace

void addTrace(CLI::App& app, Context& context)
{
    auto options = std::make_shared<TraceOptions>();
    CLI::App* command = app.add_subcommand("trace", "what all processes logged about one request, job or engine");
    command->add_option("--id", options->id_, "the request's attempt id, an item's or a job's id");
    command->add_option("--engine", options->engine_, "an engine's instance id or IP:PORT");
    command->add_option("files", options->files_, "logs: JSON lines, also with a collector's words in front")->required();
    command->callback([&context, options] { runTrace(context, *options); });
}

} // namespace jj::cli
