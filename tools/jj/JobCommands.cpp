// jj submit, status, results and cancel: batch jobs.
#include "Command.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

namespace jj::cli {

namespace json = boost::json;

namespace {

    constexpr auto pollEvery = std::chrono::milliseconds(500);

    struct JobOptions {
        NodeOptions node_;
        std::string job_;
    };

    http::Request jobRequest(const JobOptions& options, std::string method, const std::string& suffix)
    {
        http::Request request { std::move(method), "/v1/jobs/" + options.job_ + suffix, {}, {} };
        if (!options.node_.workspace_.empty())
            request.headers_.add("Workspace", options.node_.workspace_);
        return request;
    }

    std::int64_t integerOf(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        boost::system::error_code error;
        const auto number = value == nullptr ? 0 : value->to_number<std::int64_t>(error);
        return error ? 0 : number;
    }

    std::string textOf(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value != nullptr && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
    }

    bool isEnded(const std::string& state) { return state == "done" || state == "cancelled"; }

    // Shows progress until the job has ended; gives its last status. A node that can't be reached is asked again: the job goes on
    // without it.
    std::optional<json::object> waitForEnd(Context& context, const JobOptions& options)
    {
        constexpr int mostFailures = 60;
        const auto address = readEndpoint(context, options.node_.node_);
        if (!address)
            return std::nullopt;
        Progress progress;
        http::BlockingClient client;
        for (int failures = 0; failures < mostFailures;) {
            const auto response = client.request(*address, jobRequest(options, "GET", ""));
            const bool isAnswer = response && response.value().status_ == 200;
            auto status = isAnswer ? readAnswer(context, response.value()) : std::nullopt;
            failures = status ? 0 : failures + 1;
            if (status) {
                const std::string state = textOf(*status, "state");
                const std::int64_t items = integerOf(*status, "items");
                const std::int64_t done = integerOf(*status, "done");
                const std::int64_t failed = integerOf(*status, "failed");
                progress.show(options.job_ + "  " + state + "  " + std::to_string(done + failed) + " of " + std::to_string(items) + " items, " + std::to_string(failed) + " failed");
                if (isEnded(state))
                    return status;
            }
            std::this_thread::sleep_for(pollEvery);
        }
        context.exit_ = Exit::Unreachable;
        complain(context, "jj.NoStatus", "no status of the job could be read; it goes on without this command");
        return std::nullopt;
    }

    void finish(Context& context, const std::optional<json::object>& status)
    {
        if (!status)
            return;
        print(context, *status);
        if (integerOf(*status, "failed") > 0)
            context.exit_ = Exit::Findings;
    }

    struct SubmitOptions {
        JobOptions job_;
        std::string file_;
        std::string service_;
        std::string key_;
        std::string deadline_;
        bool atMostOnce_ = false;
        bool wait_ = false;
    };

    void runSubmit(Context& context, SubmitOptions& options)
    {
        auto items = readFile(options.file_);
        if (!items) {
            context.exit_ = Exit::BadInput;
            return complain(context, "jj.CantRead", "can't read '" + options.file_ + "'");
        }
        http::Request request { "POST", "/v1/jobs", { { "Content-Type", "application/x-ndjson" }, { "Service", options.service_ } }, std::move(*items) };
        if (!options.key_.empty())
            request.headers_.add("Idempotency-Key", options.key_);
        if (!options.deadline_.empty())
            request.headers_.add("Deadline", options.deadline_);
        if (options.atMostOnce_)
            request.headers_.add("At-Most-Once", "1");
        if (!options.job_.node_.workspace_.empty())
            request.headers_.add("Workspace", options.job_.node_.workspace_);
        const auto response = call(context, options.job_.node_.node_, request);
        const auto body = response ? readAnswer(context, *response) : std::nullopt;
        if (!body)
            return;
        if (!options.wait_)
            return print(context, *body);
        options.job_.job_ = textOf(*body, "id");
        finish(context, waitForEnd(context, options.job_));
    }

    void runStatus(Context& context, const JobOptions& options, bool wait)
    {
        if (wait)
            return finish(context, waitForEnd(context, options));
        const auto response = call(context, options.node_.node_, jobRequest(options, "GET", ""));
        const auto body = response ? readAnswer(context, *response) : std::nullopt;
        if (body)
            print(context, *body);
    }

    void runResults(Context& context, const JobOptions& options, const std::string& out)
    {
        const auto address = readEndpoint(context, options.node_.node_);
        if (!address)
            return;
        std::ofstream file;
        if (!out.empty()) {
            file.open(out, std::ios::binary | std::ios::trunc);
            if (!file) {
                context.exit_ = Exit::BadInput;
                return complain(context, "jj.CantWrite", "can't write '" + out + "'");
            }
        }
        std::ostream& target = out.empty() ? std::cout : file;
        Progress progress;
        std::size_t bytes = 0;
        http::BlockingClient client;
        const auto response = client.stream(*address, jobRequest(options, "GET", "/results"), [&](std::string_view piece) {
            target << piece;
            bytes += piece.size();
            if (!out.empty())
                progress.show(std::to_string(bytes) + " bytes of results");
            return static_cast<bool>(target);
        });
        target.flush();
        if (!response)
            return failWith(context, response.error());
        if (response.value().status_ != 200)
            failWith(context, response.value());
    }

    void runCancel(Context& context, const JobOptions& options)
    {
        const auto response = call(context, options.node_.node_, jobRequest(options, "POST", "/cancel"));
        const auto body = response ? readAnswer(context, *response) : std::nullopt;
        if (body)
            print(context, *body);
    }

} // namespace

void addSubmit(CLI::App& app, Context& context)
{
    auto options = std::make_shared<SubmitOptions>();
    CLI::App* command = app.add_subcommand("submit", "submit a batch job: JSON lines with custom_id and body");
    command->add_option("file", options->file_, "the items, one a line")->required();
    command->add_option("--service", options->service_, "the service")->required();
    command->add_option("--key", options->key_, "idempotency key; without it the content's digest");
    command->add_option("--deadline", options->deadline_, "when the job is due, such as 2h, or a time in UTC");
    command->add_flag("--at-most-once", options->atMostOnce_, "items may not be repeated");
    command->add_flag("--wait", options->wait_, "wait for the end; exit code 5 when items failed");
    addNodeOptions(*command, options->job_.node_);
    command->callback([&context, options] { runSubmit(context, *options); });
}

void addStatus(CLI::App& app, Context& context)
{
    auto options = std::make_shared<JobOptions>();
    auto wait = std::make_shared<bool>(false);
    CLI::App* command = app.add_subcommand("status", "show how far a job is");
    command->add_option("job", options->job_, "the job's id")->required();
    command->add_flag("--wait", *wait, "wait for the end; exit code 5 when items failed");
    addNodeOptions(*command, options->node_);
    command->callback([&context, options, wait] { runStatus(context, *options, *wait); });
}

void addResults(CLI::App& app, Context& context)
{
    auto options = std::make_shared<JobOptions>();
    auto out = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("results", "read a job's results, JSON lines");
    command->add_option("job", options->job_, "the job's id")->required();
    command->add_option("--out", *out, "file for the results");
    addNodeOptions(*command, options->node_);
    command->callback([&context, options, out] { runResults(context, *options, *out); });
}

void addCancel(CLI::App& app, Context& context)
{
    auto options = std::make_shared<JobOptions>();
    CLI::App* command = app.add_subcommand("cancel", "stop a job; when this returns, no item of it starts any more");
    command->add_option("job", options->job_, "the job's id")->required();
    addNodeOptions(*command, options->node_);
    command->callback([&context, options] { runCancel(context, *options); });
}

} // namespace jj::cli
