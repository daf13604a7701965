// quotaexplore: plays random faults and loads on the simulated fleet of the quota tests, a seed each, and reports the seeds whose runs
// exceeded the bound of a workspace in some window.
#include "QuotaFleet.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

using namespace jj;

namespace {

struct Options {
    std::uint64_t first_ = 1;
    std::uint64_t count_ = 300;
    std::size_t hosts_ = 64;
    std::size_t workspaces_ = 80;
    std::size_t faults_ = 12;
};

// Plays one fault or change of load of random kind. Hosts that it takes away come back within `longest`.
class Faults {
public:
    Faults(QuotaFleet& fleet, const Options& options, std::uint64_t seed)
        : fleet_(fleet)
        , options_(options)
        , random_(seed)
    {
    }

    void playOne()
    {
        switch (draw(7)) {
        case 0:
            return playOn(
                1 + draw(fleet_.hosts() / 4), [this](std::size_t host) { fleet_.kill(host); }, [this](std::size_t host) { fleet_.restart(host); });
        case 1:
            return playOn(
                fleet_.hosts(), [this](std::size_t host) { fleet_.kill(host); }, [this](std::size_t host) { fleet_.restart(host); });
        case 2:
            return playOn(
                1 + draw(3), [this](std::size_t host) { fleet_.freeze(host, true); }, [this](std::size_t host) { fleet_.freeze(host, false); });
        case 3:
            return playOn(
                1 + draw(fleet_.hosts() / 12), [this](std::size_t host) { fleet_.cut(host, true); }, [this](std::size_t host) { fleet_.cut(host, false); });
        case 4:
            fleet_.setLoad(draw(options_.workspaces_), 1 + static_cast<double>(draw(9)));
            break;
        case 5:
            fleet_.setLoad(draw(2) == 0 ? 0.38 : 1.84);
            break;
        default:
            fleet_.setReturned(static_cast<double>(draw(4)) / 10);
            break;
        }
        wait();
    }

private:
    std::size_t draw(std::size_t choices) { return std::uniform_int_distribution<std::size_t>(0, choices - 1)(random_); }
    void wait() { fleet_.advance(std::chrono::milliseconds(200 + draw(2500))); }

    template <class Begin, class End>
    void playOn(std::size_t count, Begin begin, End end)
    {
        std::vector<std::size_t> hosts(fleet_.hosts());
        for (std::size_t host = 0; host < hosts.size(); ++host)
            hosts[host] = host;
        std::shuffle(hosts.begin(), hosts.end(), random_);
        hosts.resize(count);
        std::for_each(hosts.begin(), hosts.end(), begin);
        wait();
        std::for_each(hosts.begin(), hosts.end(), end);
        wait();
    }

    QuotaFleet& fleet_;
    const Options& options_;
    std::mt19937_64 random_;
};

QuotaFleet::Report play(const Options& options, std::uint64_t seed)
{
    constexpr double requestsPerSecond = 380;
    constexpr double headroom = 1.6;
    QuotaFleetShape shape;
    shape.hosts_ = options.hosts_;
    QuotaFleet fleet(shape, {}, seed);
    fleet.advance(2s);
    fleet.addWorkspaces(options.workspaces_, requestsPerSecond, headroom);
    fleet.advance(1s);
    Faults faults(fleet, options, seed);
    for (std::size_t fault = 0; fault < options.faults_; ++fault)
        faults.playOne();
    fleet.advance(2s);
    return fleet.report();
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int exitFindings = 5;
    Options options;
    CLI::App app("random faults on the simulated fleet of the quota tests");
    app.add_option("--first", options.first_, "first seed");
    app.add_option("--seeds", options.count_, "number of seeds")->check(CLI::Range(1, 1'000'000));
    app.add_option("--hosts", options.hosts_, "hosts of the fleet")->check(CLI::Range(12, 1000));
    app.add_option("--workspaces", options.workspaces_, "workspaces")->check(CLI::Range(1, 10'000));
    app.add_option("--faults", options.faults_, "faults of each seed")->check(CLI::Range(1, 1000));
    app.footer("Exit codes: 0 the bound held, 5 it was exceeded with a seed that is named.");
    CLI11_PARSE(app, argc, argv);
    std::size_t findings = 0;
    double worst = 0;
    double refused = 0;
    for (std::uint64_t seed = options.first_; seed < options.first_ + options.count_; ++seed) {
        const QuotaFleet::Report report = play(options, seed);
        worst = std::max(worst, report.worstWindow_);
        refused = std::max(refused, report.refusedShare_);
        if (report.worstWindow_ <= 1)
            continue;
        ++findings;
        std::cout << "seed " << seed << ": " << report.worstWindow_ << " of the bound, " << report.worstWorkspace_ << '\n';
    }
    std::cout << options.count_ << " seeds, " << findings << " over the bound; worst window " << worst << " of the bound, most refused of what was owed " << refused << '\n';
    return findings > 0 ? exitFindings : 0;
}
