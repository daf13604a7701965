// jj losses: where a fleet lost what its callers asked for, and how much of it a schedule that knows everything would have saved.
#include "Command.h"
#include "losses/LogReader.h"
#include "losses/LossTable.h"
#include "losses/Reference.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

namespace jj::cli {

namespace {

    namespace json = boost::json;

    struct LossesOptions {
        std::int64_t stepMs_ = 0;
        bool byWorkspace_ = false;
        std::vector<std::string> files_;
    };

    json::object jsonOf(const LossGroup& group)
    {
        json::object causes;
        for (const auto& [cause, row] : group.causes_)
            causes[toString(cause)] = json::object { { "lost", row.lost_ }, { "avoidable", row.avoidable_ } };
        return { { "asked", group.asked_ }, { "inTime", group.inTime_ }, { "possible", group.possible_ }, { "causes", std::move(causes) } };
    }

    std::string shareOf(std::size_t part, std::size_t all)
    {
        std::ostringstream text;
        text << std::fixed << std::setprecision(3) << (all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 1.0);
        return text.str();
    }

    void printGroup(const std::string& name, const LossGroup& group)
    {
        std::cout << name << ": asked " << group.asked_ << ", in time " << shareOf(group.inTime_, group.asked_) << ", possible " << shareOf(group.possible_, group.asked_) << ", ratio "
                  << shareOf(group.inTime_, group.possible_) << '\n';
        for (const auto& [cause, row] : group.causes_)
            std::cout << "    " << std::left << std::setw(14) << toString(cause) << " lost " << row.lost_ << ", avoidable " << row.avoidable_ << '\n';
    }

    std::int64_t meanWait(const WaitGroup& group) { return group.waited_ > 0 ? group.waitMs_ / static_cast<std::int64_t>(group.waited_) : 0; }

    json::array jsonOfWaits(const LossTable& table)
    {
        json::array waits;
        for (const auto& [key, group] : table.waits_)
            waits.push_back(json::object { { "workspace", key.first }, { "rank", key.second }, { "waited", group.waited_ }, { "waitMs", group.waitMs_ }, { "longestMs", group.longestMs_ }, { "refused", group.refused_ } });
        return waits;
    }

    void printWaits(const LossTable& table)
    {
        for (const auto& [key, group] : table.waits_)
            std::cout << "workspace " << (key.first.empty() ? "(none)" : key.first) << ", rank " << key.second << ": waited " << group.waited_ << ", mean " << meanWait(group) << " ms, longest " << group.longestMs_ << " ms; refused "
                      << group.refused_ << '\n';
    }

    void print(const Context& context, const LossTable& table, std::size_t badLines, const LossesOptions& options)
    {
        if (context.json_) {
            json::object groups;
            for (const auto& [name, group] : table.groups_)
                groups[name] = jsonOf(group);
            json::object workspaces;
            for (const auto& [name, group] : table.workspaces_)
                workspaces[name] = jsonOf(group);
            json::array moments;
            for (const LossGroup& moment : table.moments_)
                moments.push_back(jsonOf(moment));
            std::cout << json::object { { "groups", std::move(groups) }, { "workspaces", std::move(workspaces) }, { "waits", jsonOfWaits(table) }, { "stepMs", table.stepMs_ }, { "moments", std::move(moments) }, { "badLines", badLines } } << '\n';
            return;
        }
        for (const auto& [name, group] : table.groups_)
            printGroup(name, group);
        if (options.byWorkspace_) {
            for (const auto& [name, group] : table.workspaces_)
                printGroup("workspace " + name, group);
            printWaits(table);
        }
        for (std::size_t moment = 0; options.stepMs_ > 0 && moment < table.moments_.size(); ++moment)
            printGroup("from " + std::to_string(static_cast<std::int64_t>(moment) * table.stepMs_) + " ms", table.moments_[moment]);
        if (badLines > 0)
            std::cout << "lines that are none of a log: " << badLines << '\n';
    }

    void runLosses(Context& context, const LossesOptions& options)
    {
        context.exit_ = Exit::BadInput;
        LogReader reader;
        for (const std::string& path : options.files_) {
            std::ifstream file(path);
            if (!file)
                return complain(context, "jj.CantRead", "can't read '" + path + "'");
            for (std::string line; std::getline(file, line);)
                reader.add(line);
        }
        const DayRecord day = reader.finish();
        if (day.questions_.empty() && day.items_.empty())
            return complain(context, "jj.NoLines", "these files name no question and no item");
        const LossTable table = tableOf(day, scheduleReference(day), options.stepMs_);
        print(context, table, day.badLines_, options);
        context.exit_ = Exit::Done;
    }

} // namespace

void addLosses(CLI::App& app, Context& context)
{
    auto options = std::make_shared<LossesOptions>();
    CLI::App* command = app.add_subcommand("losses", "what wasn't answered in time, by cause, beside what a schedule that knows everything would do");
    command->add_option("--step", options->stepMs_, "also by moment of arrival, in steps of so many milliseconds")->check(CLI::Range(100, 3'600'000));
    command->add_flag("--workspaces", options->byWorkspace_, "also by workspace, with waits for slots and refusals by workspace and rank");
    command->add_option("files", options->files_, "logs of all nodes: JSON lines, also with a collector's words in front")->required();
    command->callback([&context, options] { runLosses(context, *options); });
}

} // namespace jj::cli
