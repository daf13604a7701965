// jj: the command line of operators and callers.
#include "Command.h"

int main(int argc, char** argv)
{
    using namespace jj::cli;
    Context context;
    CLI::App app("Asks, submits, configures and inspects a fleet of jjnode or jjserve processes");
    app.footer(exitCodesHelp);
    app.add_flag("--json", context.json_, "print JSON");
    app.require_subcommand(1);
    app.fallthrough();
    addInit(app, context);
    addCheck(app, context);
    addApply(app, context);
    addAsk(app, context);
    addSubmit(app, context);
    addStatus(app, context);
    addResults(app, context);
    addCancel(app, context);
    addDrain(app, context);
    addTimeline(app, context);
    addTrace(app, context);
    addAudit(app, context);
    addLosses(app, context);
    addFleet(app, context);
    addOwner(app, context);
    for (CLI::App* command : app.get_subcommands({}))
        command->footer(exitCodesHelp);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const bool isHelp = error.get_exit_code() == 0;
        app.exit(error);
        return isHelp ? 0 : static_cast<int>(Exit::BadInput);
    }
    return static_cast<int>(context.exit_);
}
