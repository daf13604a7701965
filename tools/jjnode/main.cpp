// Parses the command line, checks the settings, runs the node.
#include "node/NodeStart.h"
#include "process/CrashReport.h"
#include "process/DaemonEntry.h"
#include "process/Signals.h"
#include "process/StandardStreams.h"
#include "process/TextFile.h"
#include "settings/NodeSettings.h"
#include "telemetry/Log.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <unistd.h>

namespace {

constexpr int exitBadSettings = 2;

int checkSettings(const std::string& path)
{
    const auto text = jj::readTextFile(path);
    if (!text) {
        std::cerr << path << ": " << text.error().message() << std::endl;
        return exitBadSettings;
    }
    const auto settings = jj::parseNodeSettings(text.value());
    if (settings)
        return 0;
    std::cerr << jj::describe(settings.error());
    return exitBadSettings;
}

int runNode(const std::string& path)
{
    auto node = jj::startNode([path] { return jj::readTextFile(path); });
    if (!node) {
        if (node.error().code_ == jj::NodeError::StopRequested)
            return 0;
        jj::writeAtOnce(STDERR_FILENO, node.error().message() + "\n");
        return exitBadSettings;
    }
    const jj::NodeAddresses at = node.value()->addresses();
    jj::writeAtOnce(STDOUT_FILENO, "listening callers=" + toString(at.callers_) + " operators=" + toString(at.operators_) + " peers=" + toString(at.peers_) + "\n");
    jj::Log("node").info("listening", { { "callers", toString(at.callers_) }, { "operators", toString(at.operators_) }, { "peers", toString(at.peers_) } });
    node.value()->run();
    return 0;
}

} // namespace

JJ_DAEMON_ENTRY(int argc, char** argv)
{
    jj::takeSignals();
    jj::prepareStandardStreams();
    CLI::App app("jayjunction's daemon: one node of the fleet");
    std::string config;
    bool checkOnly = false;
    app.add_option("--config", config, "settings in INI")->required();
    app.add_flag("--check", checkOnly, "only check the settings");
    app.footer("Exit codes: 0 after a drain or a stop before the start, 2 when the settings are refused. A start that fails for another reason is tried again.");
    CLI11_PARSE(app, argc, argv);
    if (checkOnly)
        return checkSettings(config);
    jj::reportCrashes();
    const int code = runNode(config);
    jj::stopLogs();
    return code;
}
