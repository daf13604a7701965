// The settings of one `jjnode` process: its addresses, where it stands, whom it knows, its limits.
//
// They come from one INI file that is read at start. Everything that operators change while the fleet runs is in the fleet
// configuration (FleetConfig.h) instead. Each key, its default and what is allowed stands in docs/OPERATING.md.
//
//     [node]      failure-domain, region, callers, operators, peers-listen, peers, data-folder, key-file, token-file, events-file
//     [platform]  store
//     [limits]    header-bytes, body-bytes, line-bytes, job-bytes, connections, idle-ms, drain-ms
//     [times]     tick-ms, probe-ms, suspect-ms, heartbeat-ms, peer-silent-ms, lease-ms, load-report-ms
//     [threads]   io, actors
//     [log]       file, level, and a level for each part: gateway, decisions, jobs, membership, settings, orders, node
#pragma once

#include "settings/Ini.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

enum class LogLevel : std::uint8_t {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
    Off,
};

// Parts of the daemon that have a log level of their own.
inline constexpr std::string_view logParts[] = { "gateway", "decisions", "jobs", "membership", "settings", "orders", "node" };

struct LogSettings {
    std::string file_; // empty: standard error
    LogLevel level_ = LogLevel::Info;
    std::map<std::string, LogLevel, std::less<>> parts_;

    LogLevel levelOf(std::string_view part) const;
};

struct InputLimits {
    std::int64_t headerBytes_ = 16 * 1024;
    std::int64_t bodyBytes_ = 1024 * 1024; // of one question or plain call
    std::int64_t lineBytes_ = 256 * 1024; // of one item of a job
    std::int64_t jobBytes_ = 4LL * 1024 * 1024 * 1024;
    std::int64_t connections_ = 10'000; // of callers, open at once
    Duration idle_ = 30s; // a connection without a byte for so long is closed
};

struct NodeTimes {
    Duration tick_ = 10ms; // how often the decision core's systems run
    Duration probe_ = 250ms; // membership: one probe in each
    Duration suspect_ = 800ms; // a suspect that doesn't refute for so long is gone
    Duration heartbeat_ = 250ms; // on links between nodes
    Duration peerSilent_ = 1s; // a link without a heartbeat for so long is probed afresh and dropped
    Duration lease_ = 10s; // of job partitions
    Duration loadReport_ = 250ms; // how often a home asks its engines for their load
    Duration drain_ = 30s; // streams get so long to end after SIGTERM
};

struct NodeSettings {
    std::string failureDomain_;
    std::string region_;
    Address callers_; // callers' HTTP; port 0: chosen by the system
    Address operators_; // operators' HTTP, a listener of its own
    Address peersListen_; // TCP and UDP between nodes, one port number for both
    std::vector<Address> peers_; // seeds; one that answers is enough
    std::string dataFolder_; // empty: this host keeps nothing
    std::string keyFile_; // 64 hex digits: authenticates traffic between nodes
    std::string tokenFile_; // operators' token; empty: operators' changing calls are refused
    std::string eventsFile_; // empty: no time line
    Address store_; // the platform's object API
    InputLimits limits_;
    NodeTimes times_;
    int ioThreads_ = 2;
    int actorThreads_ = 2;
    LogSettings log_;
};

Audited<NodeSettings> parseNodeSettings(std::string_view ini);

} // namespace jj
