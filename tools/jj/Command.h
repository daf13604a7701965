// What all commands of jj share: exit codes, output, progress, and calls to a node or to the object API.
//
// A command adds itself to the CLI11 application and sets `exit_` when it ran. Results go to standard output, as text or, with
// --json, as JSON; errors and progress go to standard error.
#pragma once

#include "base/Endpoint.h"
#include "http/BlockingClient.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jj::cli {

// Exit codes are part of the interface: scripts rely on them.
enum class Exit : int {
    Done = 0,
    Failed = 1, // the request ran and failed, or was refused and not run
    BadInput = 2, // options or files that can't be read; nothing was sent
    Unreachable = 3, // no node or store answered; nothing was run
    OutcomeUnknown = 4, // it may have run; ask before trying again
    Findings = 5, // the work ended, and something in it is wrong: failed items, audit findings
};

extern const char* const exitCodesHelp;

struct Context {
    bool json_ = false;
    Exit exit_ = Exit::Done;
};

void addInit(CLI::App& app, Context& context);
void addCheck(CLI::App& app, Context& context);
void addApply(CLI::App& app, Context& context);
void addAsk(CLI::App& app, Context& context);
void addSubmit(CLI::App& app, Context& context);
void addStatus(CLI::App& app, Context& context);
void addResults(CLI::App& app, Context& context);
void addCancel(CLI::App& app, Context& context);
void addDrain(CLI::App& app, Context& context);
void addTimeline(CLI::App& app, Context& context);
void addTrace(CLI::App& app, Context& context);
void addAudit(CLI::App& app, Context& context);
void addLosses(CLI::App& app, Context& context);
void addFleet(CLI::App& app, Context& context);
void addOwner(CLI::App& app, Context& context);

// ---- Output

// With --json the object on one line, else one `name: value` line a field.
void print(const Context& context, const boost::json::object& object);
// Says on standard error what went wrong, as {"error":…} with --json.
void complain(const Context& context, std::string_view code, std::string_view message);

// Shown only when standard error is a terminal; rewrites its one line.
class Progress {
public:
    Progress();
    ~Progress();
    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;
    void show(std::string_view line);

private:
    bool isTerminal_;
    bool isShown_ = false;
};

// ---- Files

std::optional<std::string> readFile(const std::string& path);
bool writeFile(const std::string& path, std::string_view text);

// ---- Calls

struct NodeOptions {
    std::string node_ = "127.0.0.1:7480";
    std::string workspace_;
};
void addNodeOptions(CLI::App& command, NodeOptions& options);

struct OperatorOptions {
    std::string node_ = "127.0.0.1:7481";
    std::string tokenFile_;
};
void addOperatorOptions(CLI::App& command, OperatorOptions& options);
// The Authorization header out of the token file; nothing, after a complaint, when it can't be read.
std::optional<http::Header> authorization(const Context& context, const OperatorOptions& options);

// Sends one request and gives its answer when it is 2xx. Else sets the exit code, complains and gives nothing.
std::optional<http::Response> call(Context& context, const std::string& endpoint, const http::Request& request);
// Sets the exit code for an answer that isn't 2xx, and complains in its own words.
void failWith(Context& context, const http::Response& response);
void failWith(Context& context, std::error_code error);

std::optional<Endpoint> readEndpoint(Context& context, const std::string& text);
// The body as a JSON object; complains when it is none.
std::optional<boost::json::object> readAnswer(Context& context, const http::Response& response);

} // namespace jj::cli
