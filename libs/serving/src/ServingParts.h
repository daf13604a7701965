// The components of a serving node and the functions that connect them. Private to this library.
#pragma once

#include "BackgroundDisk.h"
#include "ConfigFollower.h"
#include "Context.h"
#include "CrashWatch.h"
#include "Dissemination.h"
#include "EngineFeed.h"
#include "FailureReplicas.h"
#include "ItemRunner.h"
#include "JobFront.h"
#include "KindWatch.h"
#include "LoopHold.h"
#include "LoopLag.h"
#include "Quotas.h"
#include "Relay.h"
#include "RetirementDuty.h"
#include "Shares.h"
#include "SlotQueue.h"
#include "SlowEngineLog.h"
#include "StoreLink.h"
#include "StreamVersions.h"
#include "ledger/JobSpool.h"
#include "process/BlockingCalls.h"
#include "process/Signals.h"
#include "process/StartRetry.h"
#include "serving/ServingNode.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <set>

namespace jj {

struct ServingNode::Parts {
    static constexpr Duration notReadyRetry = 300ms; // for callers of a node that can't answer yet

    Parts(const ServingSettings& settings, const Translation& translation, SettingsSource source);

    std::optional<Failure> build();
    std::optional<Failure> openFleet();
    std::optional<Failure> openServers();
    // Returns the maximum number of caller connections. The other descriptors are for engines, peers, the store and files.
    // Returns how many connections callers may have; one with a request in progress counts as connectionsPerRequest.
    std::size_t callerConnections() const;
    static constexpr std::size_t connectionsPerRequest = 2; // the caller's, and one to the engine
    void buildStore();
    void buildScheduler();
    void buildSpool();
    void tickSpool(TimePoint now, WallTime wall);
    bool acceptsSpooledJobs() const { return spool_ && spool_->isLoaded() && spool_->isUsable() && !isDiskStalled_ && !spool_->isFull() && !draining_ && !fleet_->isLeaving(); }
    // Returns whether some job may be spooled on a host's disk without being in the store yet.
    bool mayHaveSpooledJobs() const;
    bool hasHandedOverAll() const { return scheduler_->hasLeft() && countSpooledJobs() == 0; }
    // Returns at least one while an earlier process's copies are being read.
    std::size_t countSpooledJobs() const { return spool_ ? std::max<std::size_t>(spool_->size(), spool_->isLoaded() ? 0 : 1) : 0; }
    FleetHandlers fleetHandlers();

    void scheduleTick();
    void recordLoopLag(TimePoint due);
    // Returns whether a new connection of a caller is to be served here: always, unless this node is overloaded and most others aren't.
    bool admitsConnection() const;
    void tick();
    void probeEngines(TimePoint now);
    void scanJobs(TimePoint now);
    void updateSlowEngines(TimePoint now);
    void logPeriodic(TimePoint now);
    void logSummary();
    // Logs the workspaces that use most, if requests have competed for slots since the last call.
    void logCompetitors(TimePoint now);
    // Sets the gauges of the state that changes with each byte.
    void updateGauges();
    // Logs the bytes exchanged with other nodes since the start, by kind of message and distance.
    void logTraffic();
    void onCallerRequest(std::shared_ptr<http::Exchange> exchange);
    http::BodyPlan planBody(const http::Request& request);
    void refuseUnknownCaller(http::Exchange& exchange, const Route& route, const std::optional<KeyFingerprint>& key);
    // Answers a request at the metrics address: the metrics, the fleet as this node knows it, or the owner of a job.
    void onOperatorRequest(const std::shared_ptr<http::Exchange>& exchange);
    void onPeerCall(PeerCall call, const std::function<void(PeerReply)>& reply);
    // Sends a store call through a peer. Returns false if there is no live peer.
    bool sendThroughPeer(const ObjectCall& call, Duration timeout, StoreLink::Completion done);
    void requestUpdate();
    // Returns the entry with its cell filled in, as the capacity board needs it.
    EngineEntry withCell(EngineEntry entry) const;
    // Handles a report that a peer has these versions.
    void onVersionsReceived(KnownVersions versions);
    void onPreemptionRequest(const PreemptRequest& request);
    NodeId chooseUpdateSource();
    void updateWatchRole();
    // Handles a retirement or a cancellation mark that this node found by watching the store, and notifies the hosts in its region
    // that run jobs.
    void onObjectFound(const std::string& key);
    void notifyWorker(NodeId worker, const std::string& key, int tries);
    // Handles a retirement or a cancellation mark that this node or a peer found. Ignored if this host runs no jobs.
    void handleObject(const std::string& key);
    void onConfig(const std::shared_ptr<const RouteTable>& table);
    void onSignal(ProcessSignal signal);
    // Reads the settings again. A refusal is tried again until it stands, since the settings may be only half written.
    void reload();
    void finishReload(const Result<std::string>& text);
    void applySettings(const ServingSettings& settings);
    bool isReady() const { return !draining_ && context_.table_ && catalog_->isInitialized(); }
    // Returns when the process answers what is still open, shortly before the end of its grace period.
    TimePoint stopTime() const;
    void beginDrain();
    void continueDrain(TimePoint now);
    NodeId nextPeer(bool ownRegionFirst);
    void answerUpdateRequest(const UpdateRequest& request, const std::function<void(PeerReply)>& reply);

    ServingSettings settings_;
    const Translation& translation_;
    SettingsSource source_;
    SystemClock clock_;
    boost::asio::io_context io_ { 1 };
    DecisionLog log_;
    Metrics metrics_;
    ServingMetrics servingMetrics_;
    Incarnation incarnation_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    WireKey key_;
    CapacityBoard board_;
    std::shared_ptr<http::ByteBudget> budget_;
    http::Client engines_;
    Context context_;
    std::unique_ptr<StoreLink> store_;
    std::unique_ptr<Fleet> fleet_;
    std::unique_ptr<ConfigFollower> config_;
    std::unique_ptr<WatchChoice> watchChoice_;
    std::unique_ptr<EngineCatalog> catalog_;
    std::unique_ptr<EngineFeed<StoreLink, SystemClock>> feed_;
    std::unique_ptr<JobScheduler> scheduler_;
    std::unique_ptr<FailureReplicas> failures_;
    std::unique_ptr<ItemRunner> runner_;
    std::unique_ptr<JobFront> jobs_;
    BlockingCalls diskCalls_ { io_ };
    BlockingCalls settingsCalls_ { io_ }; // a disk of kept jobs that stalls doesn't hold up a reload
    std::unique_ptr<JobSpool<BackgroundDisk>> spool_; // null if this host has no disk
    bool isDiskStalled_ = false;
    std::unique_ptr<SlotQueue> queue_;
    std::unique_ptr<Quotas> quotas_;
    std::unique_ptr<Shares> shares_;
    std::unique_ptr<StreamVersions> streams_;
    std::unique_ptr<CrashWatch> crashes_;
    std::unique_ptr<Relay> relay_;
    std::unique_ptr<RetirementDuty> retirement_;
    std::vector<std::unique_ptr<KindWatch>> kindWatches_; // kinds of objects that concern hosts that run jobs
    std::map<std::string, TimePoint> handledAt_; // keys of recently handled objects of these kinds
    std::unique_ptr<http::Server> callers_;
    std::unique_ptr<http::Server> ready_;
    std::unique_ptr<http::Server> metricsServer_;
    boost::asio::steady_timer timer_;
    LoopHold loopHold_;
    LoopLag loopLag_;
    std::unique_ptr<ProcessSignals> signals_;
    std::set<UpstreamId> probing_;
    std::size_t nextPeerIndex_ = 0;
    TimePoint nextScanAt_ {};
    TimePoint lastSummaryAt_ {};
    TimePoint slowEnginesAt_ {};
    std::size_t slowEngines_ = 0;
    SlowEngineLog slowEngineLog_ { log_ };
    bool watching_ = false;
    TimePoint nextWatchChoiceAt_ {};
    bool updateRequested_ = false;
    TimePoint updateRetryAt_ = neverTime;
    UpdateBudget updateBudget_;
    bool needsFreshScan_ = true; // the next scan must not use stale data
    std::optional<StartRetry> reloading_; // set while a reload is tried again
    TimePoint reloadAt_ = neverTime;
    bool draining_ = false;
    bool listening_ = true;
    TimePoint drainStartedAt_ {};
    TimePoint exitAt_ = neverTime;
};

} // namespace jj
