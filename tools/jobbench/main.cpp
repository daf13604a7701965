// jobbench: what the jobs cost, as JSON lines. Times and calls are of virtual nodes; memory and processor time are this process's own.
#include "AcceptBench.h"
#include "RunBench.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace {

void printCalls(const jj::CallFigures& figures, const char* name)
{
    const double thousands = figures.items_ / 1000.0;
    std::cout << "{\"measure\":\"" << name << "\",\"items\":" << figures.items_ << ",\"chunks\":" << figures.chunks_ << ",\"callsPer1000Items\":" << static_cast<double>(figures.acceptCalls_ + figures.runCalls_) / thousands
              << ",\"acceptCalls\":" << figures.acceptCalls_ << ",\"runCalls\":" << figures.runCalls_ << ",\"runCallsPerChunk\":" << static_cast<double>(figures.runCalls_) / figures.chunks_
              << ",\"backgroundCallsPerSecond\":" << static_cast<double>(figures.backgroundCalls_) / figures.seconds_ << ",\"largestLedgerBytes\":" << figures.largestLedger_ << ",\"virtualSeconds\":" << figures.seconds_ << "}\n";
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures of batch jobs");
    std::string measure = "all";
    std::uint32_t kills = 100;
    std::uint32_t items = 620'000;
    std::size_t lineBytes = 600;
    app.add_option("--measure", measure, "accept, calls, recovery, slopes, return or all")->capture_default_str();
    app.add_option("--kills", kills, "kills of the recovery measure")->capture_default_str();
    app.add_option("--items", items, "items of the accept measure")->capture_default_str();
    app.add_option("--line-bytes", lineBytes, "bytes of each of its lines")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto wanted = [&measure](const char* name) { return measure == "all" || measure == name; };

    if (wanted("accept")) {
        const jj::AcceptFigures figures = jj::measureAccept(items, lineBytes);
        std::cout << "{\"measure\":\"accept\",\"items\":" << items << ",\"lineBytes\":" << lineBytes << ",\"accepted\":" << (figures.accepted_ ? "true" : "false") << ",\"residentGrowthMb\":" << figures.residentGrowthMb_
                  << ",\"itemsPerCpuSecond\":" << figures.itemsPerSecond_ << ",\"storeWrites\":" << figures.storeWrites_ << ",\"storedMb\":" << static_cast<double>(figures.storedBytes_) / 1e6 << "}\n";
    }
    if (wanted("calls")) {
        printCalls(jj::measureCalls(1'000, 192, false), "calls");
        printCalls(jj::measureCalls(20'000, 192, false), "calls");
        printCalls(jj::measureCalls(100'000, 192, false), "calls");
        printCalls(jj::measureCalls(20'000, 128, false), "callsChunk128");
        printCalls(jj::measureCalls(20'000, 192, true), "callsAtMostOnce");
    }
    if (wanted("recovery")) {
        const jj::RecoveryFigures figures = jj::measureRecovery(kills);
        std::cout << "{\"measure\":\"recovery\",\"kills\":" << kills << ",\"leaseSeconds\":" << figures.leaseTime_ << ",\"p50\":" << figures.p50_ << ",\"p99\":" << figures.p99_ << ",\"worst\":" << figures.worst_
                  << ",\"itemsAgainMean\":" << figures.itemsAgain_ << ",\"itemsAgainWorst\":" << figures.itemsAgainWorst_ << "}\n";
    }
    if (wanted("slopes")) {
        const double few = jj::measureBytesForJobs(200);
        const double many = jj::measureBytesForJobs(1200);
        std::cout << "{\"measure\":\"bytesPerOpenJob\",\"slope\":" << (many - few) / 1000 << "}\n";
        const double small = jj::measureBytesForItems(500);
        const double large = jj::measureBytesForItems(2500);
        std::cout << "{\"measure\":\"bytesPerLoadedItem\",\"slope\":" << (large - small) / 2000 << "}\n";
        std::cout << "{\"measure\":\"tickMicroseconds\",\"jobs100\":" << jj::measureTick(100) << ",\"jobs1000\":" << jj::measureTick(1000) << "}\n";
        const jj::CallFigures one = jj::measureCalls(1, 192, false);
        std::cout << "{\"measure\":\"callsPerJobOfOneItem\",\"accept\":" << one.acceptCalls_ << ",\"run\":" << one.runCalls_ << "}\n";
    }
    if (wanted("return")) {
        std::cout << "{\"measure\":\"callsEachSecondAfterOutage\",\"calls\":[";
        const char* separator = "";
        for (const std::uint64_t calls : jj::measureReturn()) {
            std::cout << separator << calls;
            separator = ",";
        }
        std::cout << "]}\n";
    }
    return 0;
}
