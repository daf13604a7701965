// jj fleet, jj owner: questions about a whole fleet of jjserve that one of its hosts answers, at its metrics address.
#include "Command.h"

#include <iostream>
#include <memory>

namespace jj::cli {

namespace {

    namespace json = boost::json;

    constexpr std::int64_t silentMs = 3000; // a cell sums itself up each half second at the latest

    struct FleetOptions {
        std::string node_;
    };
    struct OwnerOptions {
        std::string node_;
        std::string job_;
    };

    void addMetricsAddress(CLI::App& command, std::string& node)
    {
        command.add_option("--node", node, "metrics address of any host, IP:PORT")->required();
    }

    // What an operator has to look at, one line each.
    std::vector<std::string> findingsOf(const json::object& fleet)
    {
        std::vector<std::string> findings;
        const std::int64_t config = fleet.at("config").to_number<std::int64_t>();
        for (const json::value& each : fleet.at("cells").as_array()) {
            const json::object& cell = each.as_object();
            const std::string delegate(cell.at("delegate").as_string());
            if (cell.at("ageMs").to_number<std::int64_t>() > silentMs)
                findings.push_back("the cell of " + delegate + " is silent");
            if (cell.at("config").to_number<std::int64_t>() != config)
                findings.push_back(delegate + " applies configuration " + json::serialize(cell.at("config")));
            for (const json::value& one : cell.at("hosts").as_array()) {
                const json::object& host = one.as_object();
                const std::string name(host.at("host").as_string());
                if (host.at("behind").as_bool())
                    findings.push_back(name + " applies an older configuration than its cell");
                if (host.at("lostStore").as_bool())
                    findings.push_back(name + " has lost the store");
                if (host.at("keptJobs").to_number<std::int64_t>() > 0)
                    findings.push_back(name + " keeps " + json::serialize(host.at("keptJobs")) + " jobs that the store doesn't have");
            }
        }
        return findings;
    }

    void printFleet(const json::object& fleet, const std::vector<std::string>& findings)
    {
        std::cout << "hosts " << fleet.at("nodes") << ", configuration " << fleet.at("config") << ", engines as of " << fleet.at("engines") << '\n';
        for (const json::value& each : fleet.at("cells").as_array()) {
            const json::object& cell = each.as_object();
            std::size_t workers = 0;
            std::string watchers;
            for (const json::value& one : cell.at("hosts").as_array()) {
                const json::object& host = one.as_object();
                workers += host.at("runsJobs").as_bool() ? 1 : 0;
                if (host.at("watches").as_bool())
                    watchers.append(" ").append(host.at("host").as_string());
            }
            std::cout << "cell of " << std::string_view(cell.at("delegate").as_string()) << ": hosts " << cell.at("nodes") << ", run jobs " << workers << ", configuration " << cell.at("config") << ", " << cell.at("ageMs") << " ms old, watch the store:" << (watchers.empty() ? " none" : watchers) << '\n';
        }
        for (const std::string& finding : findings)
            std::cout << finding << '\n';
    }

    void runFleet(Context& context, const FleetOptions& options)
    {
        const auto response = call(context, options.node_, { "GET", "/fleet", {}, {} });
        if (!response)
            return;
        const auto fleet = readAnswer(context, *response);
        if (!fleet)
            return;
        try {
            const std::vector<std::string> findings = findingsOf(*fleet);
            context.exit_ = findings.empty() ? Exit::Done : Exit::Findings;
            if (context.json_)
                std::cout << json::serialize(*fleet) << '\n';
            else
                printFleet(*fleet, findings);
        } catch (const std::exception&) {
            context.exit_ = Exit::Failed;
            complain(context, "jj.BadAnswer", "the host's answer isn't that of a fleet");
        }
    }

    void runOwner(Context& context, const OwnerOptions& options)
    {
        const auto response = call(context, options.node_, { "GET", "/jobs/" + options.job_, {}, {} });
        if (!response)
            return;
        if (const auto place = readAnswer(context, *response))
            print(context, *place);
    }

} // namespace

void addFleet(CLI::App& app, Context& context)
{
    auto options = std::make_shared<FleetOptions>();
    CLI::App* command = app.add_subcommand("fleet", "jjserve: hosts, versions in force, and who is behind, has lost the store or keeps jobs");
    addMetricsAddress(*command, options->node_);
    command->callback([&context, options] { runFleet(context, *options); });
}

void addOwner(CLI::App& app, Context& context)
{
    auto options = std::make_shared<OwnerOptions>();
    CLI::App* command = app.add_subcommand("owner", "jjserve: which host owns a job, whether it lives, and how the job stands");
    command->add_option("job", options->job_, "id of the job")->required();
    addMetricsAddress(*command, options->node_);
    command->callback([&context, options] { runOwner(context, *options); });
}

} // namespace jj::cli
