// A few job cores over one store in virtual time, for the jobs' tests: a driver that does what a node does, and nothing more. Nodes
// can be killed, started anew, paused (they miss everything until they wake) and paused between a command and its effect.
#pragma once

#include "jobs/Audit.h"
#include "jobs/JobCore.h"
#include "objects/VirtualStore.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace jj {

struct WorldOptions {
    std::uint32_t nodes_ = 2;
    std::uint64_t seed_ = 1;
    JobSettings settings_ = {};
    Duration step_ = 20ms;
    Duration itemTime_ = 100ms;
    // What an attempt of an item comes to.
    std::function<RunOutcome(const RunItem&)> outcome_ = [](const RunItem&) { return RunOutcome::Done; };
};

class JobWorld {
public:
    explicit JobWorld(WorldOptions options);

    // ---- Faults
    void kill(std::uint32_t node);
    void start(std::uint32_t node); // a new process on the host
    void pause(std::uint32_t node) { nodes_[node].paused_ = true; }
    void wake(std::uint32_t node);
    // The node is paused right after it has decided on its next command of the kind, before the command takes effect.
    template <class Command>
    void pauseBefore(std::uint32_t node)
    {
        nodes_[node].pauseBefore_ = [](const JobCommand& command) { return std::holds_alternative<Command>(command); };
    }
    void pauseBeforeCommand(std::uint32_t node, std::function<bool(const JobCommand&)> matches) { nodes_[node].pauseBefore_ = std::move(matches); }
    void cutMessages(bool cut) { messagesCut_ = cut; }
    // Asked for each store call as it goes out.
    enum class Fate : std::uint8_t {
        Goes,
        KilledBefore, // the node dies before the call is sent
        KilledWithin, // after it was sent, before its answer
        KilledAfter, // right after its answer was taken in
        AnswerLost, // the effect is done, the answer lost
        CallLost, // it never reaches the store, and no answer comes
    };
    std::function<Fate(std::uint32_t node, const ObjectCall&)> fate_;
    // The node's clock runs at this rate: below 1 it believes in its lease for too long.
    void setClockRate(std::uint32_t node, double rate);

    // ---- Callers
    void upload(std::uint32_t node, std::uint64_t upload, const std::string& text, const std::string& key = "job", bool atMostOnce = false, Duration deadline = 1h);
    void send(std::uint32_t node, JobEvent event);
    // A key whose job falls into a partition that the node owns.
    std::string keyOwnedBy(std::uint32_t node) const;
    static JobId jobOf(const std::string& key) { return jobIdOf("clerks", "letters", key); }
    static std::string lines(std::uint32_t items, std::uint32_t from = 0);
    // Reads all pages of a job's results at a node; nullopt when a page is refused or the job isn't ended within `patience`.
    std::vector<std::string> readAll(std::uint32_t node, JobId job);

    // ---- Time
    void run(Duration time);
    bool runUntil(const std::function<bool()>& condition, Duration bound);
    TimePoint now() const { return store_.now(); }
    WallTime wall() const { return wallStart_ + std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()); }

    // ---- What was seen
    template <class Command>
    const Command* seen(std::uint64_t number) const
    {
        for (const JobCommand& command : seen_) {
            const Command* found = std::get_if<Command>(&command);
            if (found && numberOf(*found) == number)
                return found;
        }
        return nullptr;
    }
    template <class Command>
    std::size_t count() const
    {
        std::size_t found = 0;
        for (const JobCommand& command : seen_)
            found += std::holds_alternative<Command>(command) ? 1 : 0;
        return found;
    }
    bool isEnded(JobId job);
    bool anyUnder(std::string_view prefix); // objects in the store
    std::optional<Ledger> ledger(JobId job);
    std::uint32_t holderOf(JobId job); // node whose lease stands; nodes() when none
    std::uint32_t startsOf(JobId job, std::uint32_t item) const;
    AuditReport check(bool finished = true);
    std::string firstFinding(bool finished = true); // of the checker; empty when there is none
    JobCore& core(std::uint32_t node) { return *nodes_[node].core_; }
    VirtualStore& store() { return store_; }
    std::vector<AuditEvent>& events() { return events_; }
    std::uint64_t starts() const { return starts_; }
    std::uint32_t runningOn(std::uint32_t node) const { return static_cast<std::uint32_t>(nodes_[node].runs_.size()); }
    bool isPaused(std::uint32_t node) const { return nodes_[node].paused_; }
    bool isAlive(std::uint32_t node) const { return nodes_[node].core_ != nullptr; }
    const WorldOptions& options() const { return options_; }
    // Executions of each at-most-once key, as an upstream would count them.
    std::map<std::string, std::uint32_t>& executions() { return executions_; }

private:
    struct Node {
        std::unique_ptr<JobCore> core_;
        std::uint64_t incarnation_ = 0;
        bool paused_ = false;
        double clockRate_ = 1;
        TimePoint clockSetAt_ {};
        TimePoint clockShown_ {};
        std::function<bool(const JobCommand&)> pauseBefore_;
        std::vector<JobCommand> held_; // decided on, not yet done, because of the pause
        std::vector<JobEvent> inbox_;
        std::multimap<TimePoint, RunItem> runs_; // by their end
    };

    static std::uint64_t numberOf(const Acknowledge& command) { return command.upload_.value(); }
    static std::uint64_t numberOf(const RefuseUpload& command) { return command.upload_.value(); }
    template <class Command>
    static std::uint64_t numberOf(const Command& command)
    {
        return command.ask_.value();
    }

    TimePoint clockOf(const Node& node) const { return node.clockShown_ + fromSeconds(toSeconds(now() - node.clockSetAt_) * node.clockRate_); }
    static NodeId idOf(std::uint32_t node) { return NodeId(100 + node); }
    void handle(std::uint32_t node, JobEvent event);
    void obey(std::uint32_t node);
    void obey(std::uint32_t node, JobCommand command);
    void runItem(std::uint32_t node, const RunItem& run);
    void finishItems(std::uint32_t node);
    void message(NodeId to, JobEvent event);
    void note(const JobCommand& command);

    WorldOptions options_;
    VirtualStore store_;
    WallTime wallStart_ { std::chrono::milliseconds(1'767'225'600'000) };
    std::vector<Node> nodes_;
    std::multimap<TimePoint, std::pair<NodeId, JobEvent>> mail_;
    bool messagesCut_ = false;
    std::vector<JobCommand> seen_; // all but store calls and items
    std::vector<AuditEvent> events_;
    std::map<std::pair<JobId, std::uint32_t>, std::uint32_t> itemStarts_;
    std::map<std::string, std::uint32_t> executions_;
    std::uint64_t starts_ = 0;
    std::uint64_t nextAsk_ = 1'000'000;
};

// Settings whose times are short, so that failures and takeovers fit in a few virtual seconds.
JobSettings quickSettings();
WorldOptions quickOptions(std::uint32_t nodes = 2);

// Runs until the upload has been answered, and returns its refusal; null: it was accepted.
const RefuseUpload* refused(JobWorld& world, std::uint64_t upload);

} // namespace jj
