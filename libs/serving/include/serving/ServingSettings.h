// Settings of a serving node, read from one INI file. An invalid file is rejected with a list of all its errors.
//
//     [node]      name, failure-domain, region, regions, callers, ready, peers, seeds, runs-jobs, first-start, metrics, key-file
//     [platform]  store, value-bytes, reads-per-second, writes-per-second
//     [bounds]    grace-ms, engine-grace-ms, accept-ms, lost-hosts, lost-domains, lost-regions
//     [quotas]    window-s, over, slack
//     [disk]      folder, size-mb
//     [limits]    descriptors, memory-mb, buffers-percent
//     [log]       lines-per-second
//
// `seeds` lists hosts of the fleet, at least one of which should be alive. Ports in it are ignored, since all nodes use the same
// `peers` port. `regions` maps each failure domain to its region, as domain:region pairs.
#pragma once

#include "base/Endpoint.h"
#include "objects/ObjectApi.h"
#include "settings/Ini.h"
#include "workspaces/QuotaSettings.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

struct ServingSettings {
    std::string name_; // host name that operators use
    std::string domain_;
    std::string region_;
    std::map<std::string, std::string> regionOfDomain_; // region of each failure domain
    std::optional<Endpoint> callers_; // empty: this node accepts no callers
    std::optional<Endpoint> ready_; // address of the readiness check
    std::optional<Endpoint> metrics_; // address for metrics and operators' requests
    Endpoint peers_; // UDP and TCP for other nodes; the next higher port is used as well (UDP)
    std::vector<std::string> seeds_; // IP addresses
    bool runsJobs_ = false; // whether this node owns jobs and runs their items
    // Whether the whole system starts for the first time, so that the store holds nothing of an earlier process.
    bool isFirstStart_ = false;
    std::string keyFile_; // holds 64 hex digits that authenticate peers; empty: the network is trusted and peers are not authenticated
    Endpoint store_;
    std::size_t storeValueBytes_ = maxObjectBytes; // maximum size of a value in the store
    double storeReadsPerSecond_ = 200; // by this node
    double storeWritesPerSecond_ = 100;
    Duration shutdownGrace_ = 8s; // from SIGTERM until the process must have exited
    // Time that engines have to register again after an outage of the store. An engine still missing after it is removed.
    Duration engineGrace_ = 2200ms;
    Duration acceptTimeout_ = 2500ms; // maximum time a job submission waits for the store
    // Simultaneous losses to tolerate. A job that is spooled on disks while the store is unavailable has one more copy than that.
    std::uint32_t tolerableHostLosses_ = 1;
    std::uint32_t tolerableDomainLosses_ = 0;
    std::uint32_t tolerableRegionLosses_ = 0;
    QuotaBound quotaBound_; // on what a workspace runs over all hosts
    std::string diskFolder_; // empty: this node spools no jobs
    std::size_t diskBytes_ = 64U * 1024 * 1024; // size of the disk, of which a quarter is used
    std::size_t descriptors_ = 1024; // file descriptors that the process may open
    std::size_t memoryBytes_ = 0; // memory of the host; 0: unknown
    std::uint32_t buffersPercent_ = 12; // of the memory, for bytes that are held for slow peers
    std::uint32_t logLinesPerSecond_ = 400;

    // Returns the limit of the bytes that the process holds for slow peers.
    std::size_t bufferBytes() const;
};

Audited<ServingSettings> parseServingSettings(std::string_view ini);

} // namespace jj
