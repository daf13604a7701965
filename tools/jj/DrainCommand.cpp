// jj drain: a node leaves without cutting off a request.
#include "Command.h"

#include <memory>

namespace jj::cli {

namespace {

    void runDrain(Context& context, const OperatorOptions& options)
    {
        const auto token = authorization(context, options);
        if (!token) {
            context.exit_ = Exit::BadInput;
            return;
        }
        const auto response = call(context, options.node_, { "POST", "/v1/drain", { *token }, {} });
        if (response)
            print(context, { { "node", options.node_ }, { "draining", true } });
    }

} // namespace

void addDrain(CLI::App& app, Context& context)
{
    auto options = std::make_shared<OperatorOptions>();
    CLI::App* command = app.add_subcommand("drain", "let a node leave: it takes nothing new and ends what it has");
    addOperatorOptions(*command, *options);
    command->callback([&context, options] { runDrain(context, *options); });
}

} // namespace jj::cli
