// Output, files and calls that commands share.
#include "Command.h"

#include "http/Message.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace jj::cli {

namespace json = boost::json;

const char* const exitCodesHelp = R"(Exit codes: 0 done; 1 failed or refused; 2 bad options or files, nothing was sent;
3 nobody answered, nothing was run; 4 outcome unknown, ask before trying again; 5 done, with findings or failed items.)";

void print(const Context& context, const json::object& object)
{
    if (context.json_) {
        std::cout << json::serialize(object) << std::endl;
        return;
    }
    for (const auto& [name, value] : object) {
        std::cout << std::string_view(name) << ": ";
        if (value.is_string())
            std::cout << std::string_view(value.get_string()) << '\n';
        else
            std::cout << json::serialize(value) << '\n';
    }
    std::cout.flush();
}

void complain(const Context& context, std::string_view code, std::string_view message)
{
    if (context.json_)
        std::cerr << json::serialize(json::object { { "error", json::object { { "code", code }, { "message", message } } } }) << std::endl;
    else
        std::cerr << "jj: " << message << " (" << code << ')' << std::endl;
}

Progress::Progress()
    : isTerminal_(isatty(STDERR_FILENO) != 0)
{
}

Progress::~Progress()
{
    if (isShown_)
        std::cerr << std::endl;
}

void Progress::show(std::string_view line)
{
    if (!isTerminal_)
        return;
    isShown_ = true;
    std::cerr << "\r\033[K" << line << std::flush;
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return std::move(text).str();
}

bool writeFile(const std::string& path, std::string_view text)
{
    std::ofstream out(path, std::ios::binary | std::ios::trunc);
    out.write(text.data(), static_cast<std::streamsize>(text.size()));
    return static_cast<bool>(out.flush());
}

void addNodeOptions(CLI::App& command, NodeOptions& options)
{
    command.add_option("--node", options.node_, "a node's address for callers, IP:PORT")->envname("JJ_NODE")->capture_default_str();
    command.add_option("--workspace", options.workspace_, "the caller's workspace");
}

void addOperatorOptions(CLI::App& command, OperatorOptions& options)
{
    command.add_option("--node", options.node_, "a node's address for operators, IP:PORT")->envname("JJ_OPERATOR_NODE")->capture_default_str();
    command.add_option("--token-file", options.tokenFile_, "file that holds the operators' token")->envname("JJ_TOKEN_FILE");
}

std::optional<http::Header> authorization(const Context& context, const OperatorOptions& options)
{
    auto token = readFile(options.tokenFile_);
    if (!token) {
        complain(context, "jj.NoToken", "can't read the token file '" + options.tokenFile_ + "'");
        return std::nullopt;
    }
    while (!token->empty() && std::isspace(static_cast<unsigned char>(token->back())) != 0)
        token->pop_back();
    return http::Header { "Authorization", "Bearer " + *token };
}

std::optional<Endpoint> readEndpoint(Context& context, const std::string& text)
{
    const auto endpoint = parseEndpoint(text);
    if (endpoint)
        return endpoint.value();
    context.exit_ = Exit::BadInput;
    complain(context, "jj.BadAddress", "'" + text + "' isn't IP:PORT");
    return std::nullopt;
}

std::optional<http::Response> call(Context& context, const std::string& endpoint, const http::Request& request)
{
    const auto address = readEndpoint(context, endpoint);
    if (!address)
        return std::nullopt;
    http::BlockingClient client;
    auto response = client.request(*address, request);
    if (!response) {
        failWith(context, response.error());
        return std::nullopt;
    }
    if (response.value().status_ / 100 != 2) {
        failWith(context, response.value());
        return std::nullopt;
    }
    return std::move(response.value());
}

void failWith(Context& context, const http::Response& response)
{
    std::string code = "http." + std::to_string(response.status_);
    std::string message = response.body_;
    context.exit_ = Exit::Failed;
    boost::system::error_code error;
    const json::value body = json::parse(response.body_, error);
    if (!error && body.is_object() && body.get_object().contains("error") && body.at("error").is_object()) {
        const json::object& fields = body.at("error").get_object();
        const auto text = [&](std::string_view key) {
            const json::value* value = fields.if_contains(key);
            return value != nullptr && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
        };
        code = text("code");
        message = text("message") + ", " + text("run");
        if (text("run") == toString(RunState::OutcomeUnknown))
            context.exit_ = Exit::OutcomeUnknown;
    }
    if (const auto retryAfter = response.headers_.find("Retry-After"); !retryAfter.empty())
        message += ", try again in " + std::string(retryAfter) + " s";
    complain(context, code, message);
}

void failWith(Context& context, std::error_code error)
{
    const bool neverSent = error == http::Error::ConnectFailed || error == http::Error::ConnectTimedOut;
    context.exit_ = neverSent ? Exit::Unreachable : Exit::OutcomeUnknown;
    complain(context, std::string(error.category().name()) + '.' + std::to_string(error.value()), error.message());
}

std::optional<json::object> readAnswer(Context& context, const http::Response& response)
{
    boost::system::error_code error;
    json::value body = json::parse(response.body_, error);
    if (!error && body.is_object())
        return std::move(body.get_object());
    context.exit_ = Exit::Failed;
    complain(context, "jj.BadAnswer", "the answer isn't a JSON object");
    return std::nullopt;
}

} // namespace jj::cli
