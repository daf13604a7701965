// Parses the command line, checks the settings, runs the node.
#include "node/Node.h"
#include "process/CrashReport.h"
#include "process/FinalLine.h"
#include "process/StandardStreams.h"
#include "settings/NodeSettings.h"
#include "telemetry/Log.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

int runNode(const jj::NodeSettings& settings)
{
    auto node = jj::Node::create(settings);
    if (!node) {
        std::cerr << node.error().message() << std::endl;
        return exitFailed;
    }
    const jj::NodeAddresses at = node.value()->addresses();
    std::cout << "listening callers=" << toString(at.callers_) << " operators=" << toString(at.operators_) << " peers=" << toString(at.peers_) << std::endl;
    jj::Log("node").info("listening", { { "callers", toString(at.callers_) }, { "operators", toString(at.operators_) }, { "peers", toString(at.peers_) } });
    node.value()->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    jj::prepareStandardStreams();
    CLI::App app("jayjunction's daemon: one node of the fleet");
    std::string config;
    bool checkOnly = false;
    app.add_option("--config", config, "settings in INI")->required();
    app.add_flag("--check", checkOnly, "only check the settings");
    app.footer("Exit codes: 0 after a drain, 1 when the node can't start, 2 when the settings are refused.");
    CLI11_PARSE(app, argc, argv);
    jj::reportCrashes();
    std::ifstream file(config);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) {
        std::cerr << "can't read " << config << std::endl;
        return exitBadSettings;
    }
    const auto settings = jj::parseNodeSettings(text.str());
    if (!settings) {
        std::cerr << jj::describe(settings.error());
        return exitBadSettings;
    }
    if (checkOnly)
        return 0;
    const std::string host = settings.value().peersListen_.toString();
    jj::setFinalLineHost(host);
    jj::startLogs(settings.value().log_, host);
    const int code = runNode(settings.value());
    jj::stopLogs();
    return code;
}
