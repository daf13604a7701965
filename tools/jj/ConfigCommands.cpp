// jj init, check and apply: from the questionnaire to the configuration in force.
#include "Command.h"
#include "settings/FleetConfig.h"
#include "settings/Questionnaire.h"

#include <iostream>
#include <memory>

namespace jj::cli {

namespace json = boost::json;

namespace {

    void complainAll(Context& context, const Failures& failures)
    {
        context.exit_ = Exit::BadInput;
        for (const Failure& failure : failures)
            complain(context, failure.code_.category().name() + std::string(".") + std::to_string(failure.code_.value()), failure.message());
    }

    // ---- init

    std::optional<std::string> askLine(std::string_view text, std::string_view fallback)
    {
        std::cerr << text;
        if (!fallback.empty())
            std::cerr << " [" << fallback << ']';
        std::cerr << ": " << std::flush;
        std::string line;
        if (!std::getline(std::cin, line))
            return std::nullopt;
        return line.empty() ? std::string(fallback) : line;
    }

    // Asks the questions of one section; false at the end of the input.
    bool askSection(std::string_view kind, const std::string& name, std::string& answers)
    {
        answers += '[' + std::string(kind) + (name.empty() ? "" : " " + name) + "]\n";
        for (const Question& question : questions()) {
            if (question.section_ != kind)
                continue;
            const auto answer = askLine(question.text_, question.fallback_);
            if (!answer)
                return false;
            if (!answer->empty())
                answers += std::string(question.key_) + " = " + *answer + '\n';
        }
        answers += '\n';
        return true;
    }

    // Walks the questionnaire with a person; nothing when the input ended early.
    std::optional<std::string> askPerson()
    {
        std::string answers;
        std::string_view last;
        for (const Question& question : questions()) {
            const std::string_view kind = question.section_;
            if (kind == last)
                continue;
            last = kind;
            if (!sectionRepeats(kind)) {
                if (!askSection(kind, "", answers))
                    return std::nullopt;
                continue;
            }
            for (;;) {
                const auto name = askLine("name of a " + std::string(kind) + " (empty: no more)", "");
                if (!name)
                    return std::nullopt;
                if (name->empty())
                    break;
                if (!askSection(kind, *name, answers))
                    return std::nullopt;
            }
        }
        return answers;
    }

    struct InitOptions {
        std::string answers_;
        std::string out_ = "fleet.ini";
        std::string saveAnswers_;
    };

    void runInit(Context& context, const InitOptions& options)
    {
        const auto answers = options.answers_.empty() ? askPerson() : readFile(options.answers_);
        if (!answers) {
            context.exit_ = Exit::BadInput;
            return complain(context, "jj.NoAnswers", options.answers_.empty() ? "the answers ended early" : "can't read '" + options.answers_ + "'");
        }
        if (!options.saveAnswers_.empty() && !writeFile(options.saveAnswers_, *answers))
            complain(context, "jj.CantWrite", "can't write '" + options.saveAnswers_ + "'");
        const auto config = configurationFromAnswers(*answers);
        if (!config)
            return complainAll(context, config.error());
        if (!writeFile(options.out_, toIni(config.value()))) {
            context.exit_ = Exit::BadInput;
            return complain(context, "jj.CantWrite", "can't write '" + options.out_ + "'");
        }
        print(context, { { "written", options.out_ }, { "deployment", config.value().deployment_ }, { "regions", config.value().regions_.size() }, { "services", config.value().services_.size() } });
    }

    // ---- check

    // The file's text when its configuration has no fault.
    std::optional<std::string> readChecked(Context& context, const std::string& path)
    {
        auto text = readFile(path);
        if (!text) {
            context.exit_ = Exit::BadInput;
            complain(context, "jj.CantRead", "can't read '" + path + "'");
            return std::nullopt;
        }
        const auto config = parseFleetConfig(*text);
        if (!config) {
            complainAll(context, config.error());
            return std::nullopt;
        }
        return text;
    }

    void runCheck(Context& context, const std::string& path)
    {
        if (readChecked(context, path))
            print(context, { { "file", path }, { "faults", 0 } });
    }

    // ---- apply

    struct ApplyOptions {
        std::string file_;
        std::string store_;
        std::string ifVersion_;
        OperatorOptions operator_;
    };

    // The version that the node has in force now, or "none": what an operator who names no version means to replace. Nothing, after a
    // complaint, when the node doesn't say.
    std::optional<std::string> versionInForce(Context& context, const ApplyOptions& options)
    {
        const auto response = call(context, options.operator_.node_, { "GET", "/v1/status", {}, {} });
        const auto status = response ? readAnswer(context, *response) : std::nullopt;
        if (!status)
            return std::nullopt;
        boost::system::error_code error;
        const json::value whole = *status;
        const json::value* applied = whole.find_pointer("/config/applied", error);
        return applied == nullptr || applied->is_null() ? "none" : json::serialize(*applied);
    }

    std::optional<http::Request> applyRequest(Context& context, const ApplyOptions& options, std::string text)
    {
        const bool toStore = !options.store_.empty();
        http::Request request { "PUT", toStore ? "/v1/objects/" + std::string(configKey) : "/v1/config", { { "Content-Type", "text/plain" } }, std::move(text) };
        std::string version = options.ifVersion_;
        if (version.empty() && !toStore) {
            const auto inForce = versionInForce(context, options);
            if (!inForce)
                return std::nullopt;
            version = *inForce;
        }
        if (version == "none")
            request.headers_.add("If-None-Match", "*");
        else if (!version.empty())
            request.headers_.add("If-Match", '"' + version + '"');
        if (toStore)
            return request;
        auto token = authorization(context, options.operator_);
        if (!token) {
            context.exit_ = Exit::BadInput;
            return std::nullopt;
        }
        request.headers_.add(token->name_, token->value_);
        return request;
    }

    void runApply(Context& context, const ApplyOptions& options)
    {
        auto text = readChecked(context, options.file_);
        if (!text)
            return;
        const auto request = applyRequest(context, options, std::move(*text));
        if (!request)
            return;
        const auto response = call(context, options.store_.empty() ? options.operator_.node_ : options.store_, *request);
        if (!response)
            return;
        std::string version(response->headers_.find("ETag"));
        std::erase(version, '"');
        print(context, { { "accepted", true }, { "version", version } });
    }

} // namespace

void addInit(CLI::App& app, Context& context)
{
    auto options = std::make_shared<InitOptions>();
    CLI::App* command = app.add_subcommand("init", "make a configuration from the questionnaire");
    command->add_option("--answers", options->answers_, "answers file; without it the questions are asked");
    command->add_option("--out", options->out_, "file for the configuration")->capture_default_str();
    command->add_option("--save-answers", options->saveAnswers_, "file that keeps the answers given");
    command->callback([&context, options] { runInit(context, *options); });
}

void addCheck(CLI::App& app, Context& context)
{
    auto path = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("check", "name every fault of a configuration");
    command->add_option("file", *path, "the configuration")->required();
    command->callback([&context, path] { runCheck(context, *path); });
}

void addApply(CLI::App& app, Context& context)
{
    auto options = std::make_shared<ApplyOptions>();
    CLI::App* command = app.add_subcommand("apply", "put a configuration in force everywhere");
    command->add_option("file", options->file_, "the configuration")->required();
    command->add_option("--store", options->store_, "write to the object API at IP:PORT instead of through a node: the first configuration");
    command->add_option("--if-version", options->ifVersion_, "only over this version; 'none': only when there is no configuration yet; through a node the default is the version it has in force");
    addOperatorOptions(*command, options->operator_);
    command->callback([&context, options] { runApply(context, *options); });
}

} // namespace jj::cli
