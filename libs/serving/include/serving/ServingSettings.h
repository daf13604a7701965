// The settings of one serving node, from one INI file. A faulty file is refused with all its faults at once.
//
//     [node]      name, failure-domain, region, regions, callers, ready, peers, seeds, runs-jobs, metrics, key-file
//     [platform]  store, reads-per-second, writes-per-second
//     [bounds]    grace-ms, engine-grace-ms, accept-ms, lost-hosts, lost-domains, lost-regions
//     [disk]      folder, size-mb
//     [limits]    memory-mb, descriptors
//     [log]       lines-per-second
//
// `seeds` are hosts of the fleet, one of which should live; their ports are ignored, since all nodes have the same `peers` port.
// `regions` says where each failure domain lies, as domain:region pairs.
#pragma once

#include "base/Endpoint.h"
#include "settings/Ini.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

struct ServingSettings {
    std::string name_; // of the host, as operators call it
    std::string domain_;
    std::string region_;
    std::map<std::string, std::string> regions_; // of each failure domain
    std::optional<Endpoint> callers_; // empty: this node takes no callers
    std::optional<Endpoint> ready_;
    std::optional<Endpoint> metrics_;
    Endpoint peers_; // UDP and TCP of other nodes; the port after it is used too (UDP)
    std::vector<std::string> seeds_; // IP numbers
    bool runsJobs_ = false; // owns jobs and runs their items
    std::string keyFile_; // 64 hex digits that authenticate peers; empty: peers are not authenticated, the network is trusted
    Endpoint store_;
    double storeReadsPerSecond_ = 200; // of this node
    double storeWritesPerSecond_ = 100;
    Duration grace_ = 8s; // from SIGTERM until the process has to be gone
    // After an outage of the store engines need a moment to register again; one that is missing after it is gone.
    Duration engineGrace_ = 2200ms;
    Duration acceptBound_ = 2500ms; // the longest that a submission waits for the store
    // What may be lost at a time: a job that the disks keep while the store is away has one copy more.
    std::uint32_t lostHosts_ = 1;
    std::uint32_t lostDomains_ = 0;
    std::uint32_t lostRegions_ = 0;
    std::string diskFolder_; // empty: this node keeps nothing
    std::size_t diskBytes_ = 64U * 1024 * 1024; // of the disk; a quarter of it is used
    std::size_t descriptors_ = 1024;
    std::uint32_t logLinesPerSecond_ = 400;
};

Audited<ServingSettings> parseServingSettings(std::string_view ini);

} // namespace jj
