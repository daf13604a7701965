// The replay: what each core asks for is carried out on the model engines, with fixed delays.
#include "replay/Replay.h"

#include "Agenda.h"
#include "Recorder.h"
#include "Workers.h"

#include "base/Hash.h"
#include "decisions/Decisions.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <tuple>

namespace jj {

namespace {

    constexpr Duration detectConnect = 1ms; // a refused connection shows at once
    constexpr Duration detectHome = 1s; // heartbeats of the link between nodes
    constexpr Duration detectMember = 2s; // membership
    constexpr Duration reportPeriod = 200ms;
    constexpr Duration staleDelay = 2s;
    constexpr Duration resendDelay = 200ms;

    using AttemptKey = std::tuple<RequestId, std::uint32_t, std::uint32_t>;
    AttemptKey keyOf(const AttemptId& attempt) { return { attempt.request_, attempt.handOver_, attempt.number_ }; }

    struct Node {
        explicit Node(Decisions decisions)
            : core_(std::move(decisions))
        {
        }

        Decisions core_;
        Commands commands_;
        bool lost_ = false;
    };

    struct Stream {
        AttemptId attempt_;
        std::size_t home_ = 0;
    };

    struct Engine {
        Engine(const EngineParameters& parameters, std::uint64_t seed)
            : model_(parameters, seed)
        {
        }

        EngineModel model_;
        std::map<StreamId, Stream> streams_;
        std::map<AttemptKey, StreamId> byAttempt_;
        boost::unordered_flat_map<RequestId, KvExport, std::hash<RequestId>> kept_;
        std::uint64_t cacheNext_ = 0;
        bool lost_ = false;
    };

    class Run {
    public:
        Run(const Trace& trace, const ReplayOptions& options)
            : trace_(trace)
            , site_(trace.site_)
            , options_(options)
            , recorder_(trace)
        {
        }

        Measures go()
        {
            build();
            introduce();
            for (std::size_t i = 0; i < trace_.arrivals_.size(); ++i)
                agenda_.at(TimePoint(trace_.arrivals_[i].at_), [this, i] { ask(i, nodeOfCaller(trace_.arrivals_[i].region_, i), 0); });
            for (const Fault& fault : trace_.faults_)
                agenda_.at(TimePoint(fault.at_), [this, &fault] { strike(fault); });
            for (std::size_t i = 0; i < workers_.size(); ++i)
                agenda_.at(TimePoint(trace_.jobs_[i].at_), [this, i] { pace(i); });
            agenda_.at(TimePoint {}, [this] { tickAll(); });
            agenda_.at(TimePoint {}, [this] { reportAll(); });
            loop(TimePoint(site_.length_ + options_.drain_));
            return finish();
        }

    private:
        // ---- set up

        void build()
        {
            for (const SiteNode& each : site_.nodes_) {
                const DecisionsSettings settings { each.node_, each.region_, mixHash(options_.seed_, each.node_.value()), options_.features_ };
                nodeIndex_[each.node_] = nodes_.size();
                nodes_.push_back(std::make_unique<Node>(Decisions::create(settings).value()));
            }
            for (const SiteEngine& each : site_.engines_) {
                engineIndex_[each.engine_] = engines_.size();
                engines_.push_back(std::make_unique<Engine>(options_.engine_, engines_.size() + 1));
            }
            for (std::size_t i = 0; i < trace_.jobs_.size(); ++i)
                workers_.emplace_back(trace_.jobs_[i], static_cast<std::uint32_t>(i), nodeOfCaller(trace_.jobs_[i].region_, i), site_.policy_.service_);
        }

        void introduce()
        {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                feed(i, ConfigurationApplied { ConfigVersion(1), { site_.policy_ } });
                for (const SiteNode& each : site_.nodes_)
                    feed(i, NodeChanged { each.node_, each.region_, NodeState::Live });
                for (const SiteEngine& each : site_.engines_)
                    feed(i, engineChange(each, UpstreamState::Serving));
            }
            linkChanged(true);
        }

        UpstreamChanged engineChange(const SiteEngine& engine, UpstreamState state) const
        {
            UpstreamChanged change;
            change.upstream_ = engine.engine_;
            change.service_ = site_.policy_.service_;
            change.region_ = engine.region_;
            change.failureDomain_ = engine.failureDomain_;
            change.state_ = state;
            change.kvTokens_ = static_cast<std::uint32_t>(options_.engine_.kvBlocks_ * options_.engine_.blockTokens_);
            change.exportsKv_ = options_.enginesExportKv_;
            return change;
        }

        // ---- time

        void loop(TimePoint end)
        {
            while (true) {
                std::size_t stepping = engines_.size();
                TimePoint next = agenda_.nextAt();
                for (std::size_t i = 0; i < engines_.size(); ++i) {
                    if (engines_[i]->model_.nextStepAt() < next) {
                        next = engines_[i]->model_.nextStepAt();
                        stepping = i;
                    }
                }
                if (next > end)
                    return;
                now_ = next;
                if (stepping < engines_.size())
                    stepEngine(stepping);
                else
                    agenda_.take()();
            }
        }

        void feed(std::size_t index, const Event& event)
        {
            Node& node = *nodes_[index];
            if (node.lost_)
                return;
            const auto before = std::chrono::steady_clock::now();
            node.core_.handle(event, now_, node.commands_);
            spent_ += std::chrono::steady_clock::now() - before;
            ++calls_;
            carryOut(index);
        }

        void carryOut(std::size_t index)
        {
            Commands commands;
            std::swap(commands, nodes_[index]->commands_);
            for (const Command& command : commands)
                std::visit([&](const auto& value) { perform(index, value); }, command);
        }

        void tickAll()
        {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i]->lost_)
                    continue;
                nodes_[i]->core_.tick(now_, nodes_[i]->commands_);
                carryOut(i);
            }
            std::size_t queued = 0;
            for (const auto& node : nodes_)
                queued += node->core_.counts().homeQueued_;
            recorder_.queued(now_, queued);
            agenda_.at(now_ + Decisions::tickInterval, [this] { tickAll(); });
        }

        void send(std::size_t from, std::size_t to, const Event& event, Duration more = {})
        {
            if (linkLost_ && site_.nodes_[from].region_ != site_.nodes_[to].region_)
                return;
            agenda_.at(now_ + nodeDelay(from, to) + more, [this, to, event] { feed(to, event); });
        }

        Duration nodeDelay(std::size_t from, std::size_t to) const { return delay(site_.nodes_[from].region_, site_.nodes_[to].region_, from == to); }
        Duration delay(RegionId from, RegionId to, bool same) const
        {
            if (same)
                return Duration::zero();
            return from == to ? site_.domainDelay_ : site_.regionDelay_;
        }
        Duration engineDelay(std::size_t node, std::size_t engine) const { return delay(site_.nodes_[node].region_, site_.engines_[engine].region_, false); }

        std::size_t nodeOfCaller(RegionId region, std::size_t salt) const
        {
            std::vector<std::size_t> there;
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (site_.nodes_[i].region_ == region && !nodes_[i]->lost_)
                    there.push_back(i);
            }
            return there.empty() ? 0 : there[mixHash(salt, 77) % there.size()];
        }

        // ---- callers

        // `turn` counts how often a poison's caller has sent it again.
        void ask(std::size_t index, std::size_t node, std::uint32_t turn)
        {
            const Arrival& arrival = trace_.arrivals_[index];
            RequestSpec spec;
            spec.id_ = RequestId(index + 1 + turn * (1ULL << 32U));
            spec.service_ = site_.policy_.service_;
            spec.workspace_ = arrival.workspace_;
            spec.promptTokens_ = arrival.promptTokens_;
            spec.prefix_ = arrival.prefix_;
            spec.prefixTokens_ = arrival.prefixTokens_;
            spec.maxOutputTokens_ = arrival.maxOutputTokens_;
            constexpr std::uint32_t bytesPerToken = 4;
            spec.bytes_ = arrival.promptTokens_ * bytesPerToken;
            spec.deadline_ = now_ + arrival.deadline_;
            spec.fingerprint_ = Fingerprint(mixHash(index, 99));
            spec.originRegion_ = arrival.region_;
            entryOf_[spec.id_] = node;
            recorder_.arrived(spec.id_, now_, arrival.deadline_);
            specs_[spec.id_] = spec;
            agenda_.at(now_ + site_.clientDelay_, [this, node, spec] { feed(node, RequestArrived { spec }); });
        }

        static std::size_t questionIndex(RequestId request) { return static_cast<std::size_t>((request.value() & 0xFFFFFFFFU) - 1); }

        void refusedQuestion(std::size_t node, RequestId request)
        {
            const std::size_t index = questionIndex(request);
            const auto turn = static_cast<std::uint32_t>(request.value() >> 32U) + 1;
            if (trace_.arrivals_[index].poison_ && turn <= nodes_.size())
                agenda_.at(now_ + resendDelay, [this, index, node, turn] { ask(index, (node + 1) % nodes_.size(), turn); });
        }

        void pace(std::size_t job)
        {
            if (const auto event = workers_[job].pace(now_))
                feed(workers_[job].node(), *event);
            work(job);
            if (now_ < TimePoint(site_.length_))
                agenda_.at(now_ + 1s, [this, job] { pace(job); });
        }

        void work(std::size_t job)
        {
            while (now_ < TimePoint(site_.length_)) {
                const auto spec = workers_[job].next(now_);
                if (!spec)
                    return;
                specs_[spec->id_] = *spec;
                entryOf_[spec->id_] = workers_[job].node();
                const std::size_t node = workers_[job].node();
                agenda_.at(now_, [this, node, request = *spec] { feed(node, RequestArrived { request }); });
            }
        }

        // ---- what the cores ask for

        void perform(std::size_t from, const SendToHome& command)
        {
            const std::size_t home = nodeIndex_.at(command.home_);
            const RequestSpec& spec = specs_.at(command.handOver_.request_);
            if (site_.nodes_[from].region_ != site_.nodes_[home].region_)
                recorder_.measures().linkBytes_ += spec.bytes_;
            const bool unreachable = nodes_[home]->lost_ || (linkLost_ && site_.nodes_[from].region_ != site_.nodes_[home].region_);
            if (unreachable) {
                agenda_.at(now_ + detectHome, [this, from, lost = HomeLost { command.handOver_, 0, true }] { feed(from, lost); });
                return;
            }
            openAt_[home][command.handOver_.request_] = { from, command.handOver_ };
            send(from, home, HandedOver { spec, command.handOver_.number_, site_.nodes_[from].node_, command.upstream_, command.position_, command.slack_ });
        }

        void perform(std::size_t from, const CancelAtHome& command) { send(from, nodeIndex_.at(command.home_), RequestCancelled { command.handOver_.request_ }); }

        void perform(std::size_t, const Answer& command)
        {
            if (!Worker::isItem(command.request_)) {
                recorder_.answered(command.request_);
                return;
            }
            const std::size_t job = Worker::jobIndex(command.request_);
            workers_[job].done(now_);
            specs_.erase(command.request_);
            reached_.erase(command.request_);
            work(job);
        }

        void perform(std::size_t node, const Refuse& command)
        {
            if (!Worker::isItem(command.request_)) {
                recorder_.refused(command.request_, command.runState_);
                refusedQuestion(node, command.request_);
                return;
            }
            ++recorder_.measures().itemsRefused_;
            workers_[Worker::jobIndex(command.request_)].refused(command.request_);
        }

        void perform(std::size_t node, const Dispatch& command)
        {
            const std::size_t engine = engineIndex_.at(command.upstream_);
            agenda_.at(now_ + engineDelay(node, engine), [this, node, engine, command] { start(node, engine, command); });
        }

        void perform(std::size_t node, const CancelAttempt& command)
        {
            if (command.reason_ == CancelReason::Yield)
                recorder_.yielded(now_);
            const std::size_t engine = engineIndex_.at(command.upstream_);
            agenda_.at(now_ + engineDelay(node, engine), [this, engine, command] { stop(engine, command); });
        }

        void perform(std::size_t from, const HandBack& command)
        {
            openAt_[from].erase(command.handedBack_.handOver_.request_);
            send(from, nodeIndex_.at(command.entry_), command.handedBack_);
        }

        void perform(std::size_t node, const ProbeUpstream& command)
        {
            const std::size_t engine = engineIndex_.at(command.upstream_);
            agenda_.at(now_ + 2 * engineDelay(node, engine), [this, node, engine, command] {
                feed(node, ProbeEnded { command.upstream_, !engines_[engine]->lost_ && !engines_[engine]->model_.isDown() });
            });
        }

        void perform(std::size_t from, const ShareLoad& command)
        {
            for (std::size_t to = 0; to < nodes_.size(); ++to) {
                if (options_.features_.homes_ || to == from)
                    send(from, to, HomeReported { command.loads_ }, stale_ && to != from ? staleDelay : Duration::zero());
            }
        }

        void perform(std::size_t from, const ShareFingerprint& command)
        {
            for (std::size_t to = 0; to < nodes_.size(); ++to) {
                if (to != from)
                    send(from, to, command.fingerprint_);
            }
        }

        // ---- engines

        void start(std::size_t node, std::size_t index, const Dispatch& command)
        {
            Engine& engine = *engines_[index];
            const RequestId request = command.attempt_.request_;
            const auto known = specs_.find(request);
            if (known == specs_.end() || nodes_[node]->lost_)
                return;
            const RequestSpec& spec = known->second;
            StreamSpec stream;
            stream.stream_ = StreamId(nextStream_++);
            stream.promptTokens_ = static_cast<int>(spec.promptTokens_);
            stream.prefix_ = spec.prefix_;
            stream.prefixTokens_ = static_cast<int>(spec.prefixTokens_);
            stream.position_ = static_cast<int>(command.position_);
            const bool item = Worker::isItem(request);
            stream.answerTokens_ = static_cast<int>(item ? workers_[Worker::jobIndex(request)].answerTokens(request) : trace_.arrivals_[questionIndex(request)].answerTokens_);
            stream.crashes_ = !item && trace_.arrivals_[questionIndex(request)].poison_;
            const auto kept = engine.kept_.find(request);
            const bool resumesKv = !command.kvFrom_.isNone() && kept != engine.kept_.end();
            if (resumesKv) {
                stream.handle_ = kept->second.handle_;
                stream.position_ = kept->second.position_;
            }
            countWork(spec, command, resumesKv, engine.model_.holdsPrefix(spec.prefix_));
            if (kept != engine.kept_.end())
                engine.kept_.erase(kept);
            if (!engine.lost_ && stream.position_ >= stream.answerTokens_) {
                // Nothing is left to give: an engine ends such a stream at once.
                agenda_.at(now_ + engineDelay(node, index), [this, node, attempt = command.attempt_] { feed(node, AttemptFinished { attempt, 0 }); });
                return;
            }
            if (engine.lost_ || !engine.model_.start(stream, now_)) {
                const AttemptFailed failed { command.attempt_, FailureClass::Connect, false, command.position_ };
                agenda_.at(now_ + engineDelay(node, index) + detectConnect, [this, node, failed] { feed(node, failed); });
                return;
            }
            engine.streams_[stream.stream_] = { command.attempt_, node };
            engine.byAttempt_[keyOf(command.attempt_)] = stream.stream_;
        }

        void countWork(const RequestSpec& spec, const Dispatch& command, bool resumesKv, bool holdsPrefix)
        {
            if (spec.class_ == RequestClass::Online) {
                ++recorder_.measures().attempts_;
                recorder_.measures().prefixTries_ += spec.prefix_.isNone() ? 0 : 1;
                recorder_.measures().prefixHits_ += holdsPrefix ? 1 : 0;
                return;
            }
            const bool again = command.attempt_.number_ > 1;
            if (again && !resumesKv)
                recorder_.wasted(spec.promptTokens_ - spec.prefixTokens_ + command.position_);
        }

        void stop(std::size_t index, const CancelAttempt& command)
        {
            Engine& engine = *engines_[index];
            const auto found = engine.byAttempt_.find(keyOf(command.attempt_));
            if (found == engine.byAttempt_.end())
                return;
            const StreamId stream = found->second;
            engine.byAttempt_.erase(found);
            engine.streams_.erase(stream);
            if (command.exportKv_) {
                if (const Result<KvExport> state = engine.model_.exportKv(stream, now_)) {
                    engine.kept_[command.attempt_.request_] = state.value();
                    return;
                }
            }
            engine.model_.cancel(stream, now_);
        }

        // Sinks of one engine's step; what each home learns goes in one message.
        void stepEngine(std::size_t index)
        {
            Engine& engine = *engines_[index];
            std::map<std::size_t, AttemptsProgressed> progress;
            std::vector<Stream> finished;
            bool crashed = false;
            engine.model_.advance(now_, [&](const auto& output) {
                using Output = std::decay_t<decltype(output)>;
                if constexpr (std::is_same_v<Output, EngineCrashed>) {
                    crashed = true;
                } else {
                    const auto found = engine.streams_.find(output.stream_);
                    if (found == engine.streams_.end())
                        return;
                    const Stream stream = found->second;
                    if constexpr (std::is_same_v<Output, StreamToken>) {
                        const auto position = static_cast<std::uint32_t>(output.position_ + 1);
                        progress[stream.home_].progress_.push_back({ stream.attempt_, position });
                        token(stream, position, engineDelay(stream.home_, index));
                    } else {
                        finished.push_back(stream);
                        engine.byAttempt_.erase(keyOf(stream.attempt_));
                        engine.streams_.erase(found);
                    }
                }
            });
            if (crashed) {
                ++recorder_.measures().enginesCrashed_;
                loseEngine(index);
                agenda_.at(now_ + 5s, [this, index] { returnEngine(index); });
                return;
            }
            for (auto& [home, event] : progress)
                agenda_.at(now_ + engineDelay(home, index), [this, home = home, event = std::move(event)] { feed(home, event); });
            for (const Stream& stream : finished)
                agenda_.at(now_ + engineDelay(stream.home_, index), [this, stream] { feed(stream.home_, AttemptFinished { stream.attempt_, 0 }); });
        }

        void token(const Stream& stream, std::uint32_t position, Duration toHome)
        {
            const RequestId request = stream.attempt_.request_;
            if (Worker::isItem(request)) {
                std::uint32_t& reached = reached_[request];
                if (position <= reached) {
                    recorder_.wasted(1);
                } else if (now_ <= TimePoint(site_.length_)) {
                    recorder_.batchToken(now_);
                }
                reached = std::max(reached, position);
                return;
            }
            const TimePoint at = now_ + toHome + nodeDelay(stream.home_, entryOf_[request]) + site_.clientDelay_;
            recorder_.token(request, position, at);
        }

        void loseEngine(std::size_t index)
        {
            Engine& engine = *engines_[index];
            engine.lost_ = true;
            engine.model_.restart(now_);
            for (const auto& [id, stream] : engine.streams_) {
                const AttemptFailed failed { stream.attempt_, FailureClass::Crashed, true, 0 };
                agenda_.at(now_ + engineDelay(stream.home_, index) + detectConnect, [this, home = stream.home_, failed] { feed(home, failed); });
            }
            engine.streams_.clear();
            engine.byAttempt_.clear();
            engine.kept_.clear();
        }

        void returnEngine(std::size_t index)
        {
            engines_[index]->lost_ = false;
            engines_[index]->model_.restart(now_);
        }

        // Engines' own reports and cache events, as every node polls them.
        void reportAll()
        {
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                if (!engines_[i]->lost_)
                    report(i);
            }
            agenda_.at(now_ + reportPeriod, [this] { reportAll(); });
        }

        void report(std::size_t index)
        {
            Engine& engine = *engines_[index];
            const UpstreamId upstream = site_.engines_[index].engine_;
            const LoadReport load = engine.model_.load(now_);
            EngineReported event { upstream, load.at_, static_cast<std::uint32_t>(load.running_), static_cast<std::uint32_t>(load.waiting_),
                static_cast<std::uint32_t>(load.kvUsed_), static_cast<std::uint32_t>(load.kvTotal_), toMilliseconds(load.step_), load.leaving_ };
            std::vector<CacheEvent> events;
            engine.cacheNext_ = engine.model_.cacheEvents(engine.cacheNext_, now_, events);
            CacheChanged cache { upstream, {} };
            for (const CacheEvent& each : events)
                cache.changes_.push_back({ each.prefix_, each.kind_ == CacheEventKind::Stored });
            for (std::size_t node = 0; node < nodes_.size(); ++node) {
                if (linkLost_ && site_.nodes_[node].region_ != site_.engines_[index].region_)
                    continue;
                const Duration late = engineDelay(node, index) + (stale_ ? staleDelay : Duration::zero());
                agenda_.at(now_ + late, [this, node, event] { feed(node, event); });
                if (!cache.changes_.empty())
                    agenda_.at(now_ + late, [this, node, cache] { feed(node, cache); });
            }
        }

        // ---- faults

        void strike(const Fault& fault)
        {
            switch (fault.kind_) {
            case FaultKind::EngineLost:
                return loseEngine(fault.target_);
            case FaultKind::EngineBack:
                return returnEngine(fault.target_);
            case FaultKind::EngineLeaving:
                for (std::size_t i = 0; i < nodes_.size(); ++i)
                    feed(i, engineChange(site_.engines_[fault.target_], UpstreamState::Leaving));
                return;
            case FaultKind::EngineHung:
                return engines_[fault.target_]->model_.setFaults({ .hangAfter_ = 0 }, now_);
            case FaultKind::EngineSlow:
                return engines_[fault.target_]->model_.setFaults({ .slowFactor_ = 3 }, now_);
            case FaultKind::EngineWell:
                return engines_[fault.target_]->model_.setFaults({}, now_);
            case FaultKind::LinkLost:
                return linkChanged(false);
            case FaultKind::LinkBack:
                return linkChanged(true);
            case FaultKind::NodeLost:
                return loseNode(fault.target_);
            case FaultKind::NodeBack:
                return returnNode(fault.target_);
            case FaultKind::ReportsStale:
                stale_ = true;
                return;
            }
        }

        // Nodes learn of a lost link from what membership misses; hand-overs that were open over it are lost.
        void linkChanged(bool up)
        {
            linkLost_ = !up;
            const Duration learns = now_ == TimePoint {} ? Duration::zero() : detectHome;
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                for (const RegionId region : { RegionId(1), RegionId(2) }) {
                    if (region == site_.nodes_[i].region_)
                        continue;
                    const LinkChanged event { region, up, site_.linkBytesPerSecond_ / nodes_.size(), site_.regionDelay_ };
                    agenda_.at(now_ + learns, [this, i, event] { feed(i, event); });
                }
            }
            if (!up) {
                for (std::size_t home = 0; home < nodes_.size(); ++home)
                    loseOpen(home, [&](std::size_t entry) { return site_.nodes_[entry].region_ != site_.nodes_[home].region_; });
            }
        }

        template <class Which>
        void loseOpen(std::size_t home, Which&& which)
        {
            for (const auto& [request, open] : openAt_[home]) {
                if (which(open.entry_))
                    agenda_.at(now_ + detectHome, [this, entry = open.entry_, lost = HomeLost { open.handOver_, 0, true }] { feed(entry, lost); });
            }
        }

        void loseNode(std::size_t index)
        {
            nodes_[index]->lost_ = true;
            loseOpen(index, [&](std::size_t entry) { return entry != index; });
            openAt_[index].clear();
            for (const auto& engine : engines_) {
                std::erase_if(engine->streams_, [&](const auto& each) {
                    if (each.second.home_ != index)
                        return false;
                    engine->model_.cancel(each.first, now_);
                    engine->byAttempt_.erase(keyOf(each.second.attempt_));
                    return true;
                });
            }
            memberChanged(index, NodeState::Gone);
        }

        void returnNode(std::size_t index)
        {
            const SiteNode& self = site_.nodes_[index];
            const DecisionsSettings settings { self.node_, self.region_, mixHash(options_.seed_, index + 1000), options_.features_ };
            nodes_[index] = std::make_unique<Node>(Decisions::create(settings).value());
            feed(index, ConfigurationApplied { ConfigVersion(1), { site_.policy_ } });
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (!nodes_[i]->lost_)
                    feed(index, NodeChanged { site_.nodes_[i].node_, site_.nodes_[i].region_, NodeState::Live });
            }
            for (const SiteEngine& each : site_.engines_)
                feed(index, engineChange(each, UpstreamState::Serving));
            memberChanged(index, NodeState::Live);
        }

        void memberChanged(std::size_t index, NodeState state)
        {
            const NodeChanged event { site_.nodes_[index].node_, site_.nodes_[index].region_, state };
            for (std::size_t i = 0; i < nodes_.size(); ++i)
                agenda_.at(now_ + detectMember, [this, i, event] { feed(i, event); });
        }

        Measures finish()
        {
            Measures& measures = recorder_.measures();
            for (const auto& node : nodes_)
                measures.retries_ += node->core_.counts().retries_;
            for (const Worker& worker : workers_) {
                measures.itemsDone_ += worker.itemsDone();
                if (worker.job().at_ + worker.job().deadline_ > site_.length_)
                    continue;
                ++measures.jobsDue_;
                measures.jobsKept_ += worker.kept() ? 1 : 0;
            }
            measures.decisionMicroseconds_ = calls_ == 0 ? 0 : toSeconds(spent_) * 1e6 / static_cast<double>(calls_);
            return recorder_.finish();
        }

        struct Open {
            std::size_t entry_ = 0;
            HandOverId handOver_;
        };

        const Trace& trace_;
        const Site& site_;
        ReplayOptions options_;
        Recorder recorder_;
        Agenda agenda_;
        TimePoint now_ {};
        std::vector<std::unique_ptr<Node>> nodes_;
        std::vector<std::unique_ptr<Engine>> engines_;
        std::vector<Worker> workers_;
        boost::unordered_flat_map<NodeId, std::size_t, std::hash<NodeId>> nodeIndex_;
        boost::unordered_flat_map<UpstreamId, std::size_t, std::hash<UpstreamId>> engineIndex_;
        boost::unordered_flat_map<RequestId, RequestSpec, std::hash<RequestId>> specs_;
        boost::unordered_flat_map<RequestId, std::size_t, std::hash<RequestId>> entryOf_;
        // Tokens that each item has come to, on any engine.
        boost::unordered_flat_map<RequestId, std::uint32_t, std::hash<RequestId>> reached_;
        // Hand-overs open at each home.
        std::map<std::size_t, std::map<RequestId, Open>> openAt_;
        std::uint64_t nextStream_ = 1;
        bool linkLost_ = false;
        bool stale_ = false;
        Duration spent_ {};
        std::uint64_t calls_ = 0;
    };

} // namespace

Measures replay(const Trace& trace, const ReplayOptions& options) { return Run(trace, options).go(); }

} // namespace jj
