// jj ask: one question, its answer shown as it comes.
#include "Command.h"

#include <iostream>
#include <memory>

namespace jj::cli {

namespace json = boost::json;

namespace {

    struct AskOptions {
        NodeOptions node_;
        std::string question_;
        std::string service_;
        std::string system_;
        std::string deadline_;
        int maxTokens_ = 64;
        bool whole_ = false;
    };

    // Takes the pieces of an event stream apart and gives the text of each token on.
    class TokenReader {
    public:
        // Returns the text of the tokens completed by this piece.
        std::string feed(std::string_view piece)
        {
            pending_ += piece;
            std::string text;
            std::size_t start = 0;
            for (std::size_t end = pending_.find('\n'); end != std::string::npos; end = pending_.find('\n', start)) {
                line(std::string_view(pending_).substr(start, end - start), text);
                start = end + 1;
            }
            pending_.erase(0, start);
            return text;
        }

        int tokens() const { return tokens_; }
        bool isWhole() const { return isWhole_; }
        const std::string& failure() const { return failure_; }

    private:
        void line(std::string_view text, std::string& out)
        {
            constexpr std::string_view lead = "data: ";
            if (!text.starts_with(lead))
                return;
            text.remove_prefix(lead.size());
            if (text == "[DONE]") {
                isWhole_ = true;
                return;
            }
            boost::system::error_code error;
            const json::value event = json::parse(text, error);
            if (error || !event.is_object())
                return;
            if (event.get_object().contains("error")) {
                failure_ = json::serialize(event.at("error"));
                return;
            }
            const json::value* content = event.find_pointer("/choices/0/delta/content", error);
            if (content == nullptr || !content->is_string())
                return;
            out += std::string_view(content->get_string());
            ++tokens_;
        }

        std::string pending_; // an event's line that isn't complete yet
        std::string failure_;
        int tokens_ = 0;
        bool isWhole_ = false;
    };

    http::Request askRequest(const AskOptions& options, bool streamed)
    {
        json::array messages;
        if (!options.system_.empty())
            messages.push_back(json::object { { "role", "system" }, { "content", options.system_ } });
        messages.push_back(json::object { { "role", "user" }, { "content", options.question_ } });
        const json::object body = { { "model", options.service_ }, { "messages", std::move(messages) }, { "max_tokens", options.maxTokens_ }, { "stream", streamed } };
        http::Request request { "POST", "/v1/chat/completions", { { "Content-Type", "application/json" } }, json::serialize(body) };
        if (!options.node_.workspace_.empty())
            request.headers_.add("Workspace", options.node_.workspace_);
        if (!options.deadline_.empty())
            request.headers_.add("Deadline", options.deadline_);
        return request;
    }

    void askStreamed(Context& context, const AskOptions& options)
    {
        const auto address = readEndpoint(context, options.node_.node_);
        if (!address)
            return;
        TokenReader reader;
        std::string answer;
        http::BlockingClient client;
        const auto response = client.stream(*address, askRequest(options, true), [&](std::string_view piece) {
            const std::string text = reader.feed(piece);
            if (!context.json_)
                std::cout << text << std::flush;
            answer += text;
            return true;
        });
        if (!context.json_)
            std::cout << std::endl;
        if (!response)
            return failWith(context, response.error());
        if (response.value().status_ != 200)
            return failWith(context, response.value());
        if (!reader.isWhole()) {
            context.exit_ = Exit::Failed;
            return complain(context, "jj.AnswerCutOff", "the answer ended before its end: " + reader.failure());
        }
        if (context.json_)
            print(context, { { "answer", answer }, { "tokens", reader.tokens() } });
    }

    void askWhole(Context& context, const AskOptions& options)
    {
        const auto response = call(context, options.node_.node_, askRequest(options, false));
        const auto body = response ? readAnswer(context, *response) : std::nullopt;
        if (!body)
            return;
        if (context.json_)
            return print(context, *body);
        boost::system::error_code error;
        const json::value whole = *body;
        const json::value* content = whole.find_pointer("/choices/0/message/content", error);
        if (content != nullptr && content->is_string())
            std::cout << std::string_view(content->get_string()) << std::endl;
    }

} // namespace

void addAsk(CLI::App& app, Context& context)
{
    auto options = std::make_shared<AskOptions>();
    CLI::App* command = app.add_subcommand("ask", "ask a service one question");
    command->add_option("question", options->question_, "the question")->required();
    command->add_option("--service", options->service_, "the service")->required();
    command->add_option("--system", options->system_, "text that goes before the question, the same for many questions");
    command->add_option("--max-tokens", options->maxTokens_, "length of the answer")->check(CLI::PositiveNumber)->capture_default_str();
    command->add_option("--deadline", options->deadline_, "when the answer has to be whole, such as 3s");
    command->add_flag("--whole", options->whole_, "wait for the whole answer");
    addNodeOptions(*command, options->node_);
    command->callback([&context, options] { options->whole_ ? askWhole(context, *options) : askStreamed(context, *options); });
}

} // namespace jj::cli
