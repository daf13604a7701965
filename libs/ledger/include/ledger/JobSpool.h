// The jobs that this host keeps on its disk until the store has them (KeptJob.h).
//
//     JobSpool<FileDisk> spool(std::move(disk), settings, outlets);
//     spool.load(now);                       // what an earlier process kept
//     spool.keep(job, now);                  // safe when it answers Kept
//     spool.tick(now, wall);                 // brings them to the store
//
// The disk is a template parameter: files in the daemon, memory that outlives a simulated process in tests.
#pragma once

#include "ledger/KeptJob.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jj {

// Named texts that survive the process, and a power loss once write() has answered.
template <class Disk>
concept SpoolDisk = requires(Disk& disk, const std::string& name, std::string_view text)
{
    {
        disk.names()
        } -> std::same_as<Result<std::vector<std::string>>>;
    {
        disk.read(name)
        } -> std::same_as<Result<std::string>>;
    {
        disk.write(name, text)
        } -> std::same_as<Result<void>>;
    {
        disk.remove(name)
        } -> std::same_as<Result<void>>;
};

struct SpoolSettings {
    // Of all jobs together; beyond it a job is refused, and another host asked.
    std::size_t mostBytes_ = 32U * 1024 * 1024;
    // The entry's own calls may still bring the job to the store, and then it says so: within so long in nearly all cases.
    Duration firstTry_ = 1500ms;
    // Between the first tries of the hosts that keep one job.
    Duration rankStep_ = 1s;
    Duration retryAfter_ = 500ms;
    // How long one try may take.
    Duration bound_ = 2s;
    std::size_t mostAtOnce_ = 4;
    // A copy that is older may be of a job that was done and removed from the store: it would run once more. So it goes unread. Callers
    // have given up on it long before. The same time as SchedulerSettings::retention_.
    Duration retention_ = 150s;
};

enum class SpoolNote : std::uint8_t {
    Kept,
    Refused, // no room, or the disk failed
    Stored, // the store has it, by this host
    Known, // the store had it already
    Forgotten, // the entry says that the store has it
    Outdated, // dropped, older than the retention
    Unreadable, // dropped: never acknowledged, or the disk is damaged; without a job: the disk can't be listed
    TriedInVain,
};
std::string_view toString(SpoolNote note);

struct SpoolOutlets {
    LedgerStore store_;
    std::function<bool()> storeIsAway_;
    std::function<NodeId(const JobName&)> ownerOf_;
    std::function<void(const JobName&, const Acceptance&)> accepted_;
    std::function<void(SpoolNote, const JobName&, std::error_code)> note_;
    // The number of kept jobs has changed.
    std::function<void()> changed_;
};

template <SpoolDisk Disk>
class JobSpool {
public:
    JobSpool(Disk disk, SpoolSettings settings, SpoolOutlets outlets)
        : disk_(std::move(disk))
        , settings_(settings)
        , outlets_(std::move(outlets))
        , acceptor_(outlets_.store_)
    {
    }

    void load(TimePoint now)
    {
        const auto names = disk_.names();
        if (!names)
            return outlets_.note_(SpoolNote::Unreadable, {}, names.error());
        for (const std::string& name : names.value()) {
            const auto text = disk_.read(name);
            const auto job = text ? decodeKept(text.value()) : Result<KeptJob>(text.error());
            if (!job) {
                const auto removed = disk_.remove(name);
                outlets_.note_(SpoolNote::Unreadable, name, removed ? job.error() : removed.error());
                continue;
            }
            bytes_ += text.value().size();
            held_[name] = { text.value().size(), now + settings_.rankStep_ * job.value().rank_, false };
        }
        outlets_.changed_();
    }

    // Idempotent: a job that is kept already is kept once.
    KeepOutcome keep(const KeptJob& job, TimePoint now)
    {
        const JobName& name = job.submission_.job_;
        if (held_.contains(name))
            return KeepOutcome::Kept;
        const std::string text = encode(job);
        if (bytes_ + text.size() > settings_.mostBytes_) {
            outlets_.note_(SpoolNote::Refused, name, std::make_error_code(std::errc::no_space_on_device));
            return KeepOutcome::Refused;
        }
        if (const auto written = disk_.write(name, text); !written) {
            outlets_.note_(SpoolNote::Refused, name, written.error());
            // Part of it may stand on the disk, and a later process would take it for a whole one.
            return disk_.remove(name) ? KeepOutcome::Refused : KeepOutcome::Unknown;
        }
        bytes_ += text.size();
        held_[name] = { text.size(), now + settings_.firstTry_ + settings_.rankStep_ * job.rank_, false };
        outlets_.note_(SpoolNote::Kept, name, {});
        outlets_.changed_();
        return KeepOutcome::Kept;
    }

    void forget(const JobName& name)
    {
        if (held_.contains(name))
            drop(name, SpoolNote::Forgotten, {});
    }

    void tick(TimePoint now, WallTime wall)
    {
        if (held_.empty() || outlets_.storeIsAway_())
            return;
        std::vector<JobName> due;
        for (const auto& [name, held] : held_) {
            if (!held.isTrying_ && now >= held.tryAt_)
                due.push_back(name);
        }
        for (const JobName& name : due) {
            if (trying_ < settings_.mostAtOnce_)
                bring(name, now, wall);
        }
    }

    std::size_t size() const { return held_.size(); }

private:
    struct Held {
        std::size_t bytes_ = 0;
        TimePoint tryAt_ {};
        bool isTrying_ = false;
    };

    void bring(const JobName& name, TimePoint now, WallTime wall)
    {
        const auto text = disk_.read(name);
        auto job = text ? decodeKept(text.value()) : Result<KeptJob>(text.error());
        if (!job)
            return drop(name, SpoolNote::Unreadable, job.error());
        JobSubmission& submission = job.value().submission_;
        const WallTime acceptedAt = submission.head_.acceptedAt_;
        if (wall - acceptedAt > settings_.retention_)
            return drop(name, SpoolNote::Outdated, {});
        held_.at(name).isTrying_ = true;
        ++trying_;
        const NodeId owner = outlets_.ownerOf_(name);
        acceptor_.accept(std::move(submission), owner, settings_.bound_, now, acceptedAt, [this, name](const Acceptance& acceptance, TimePoint at) { tried(name, acceptance, at); });
    }

    void tried(const JobName& name, const Acceptance& acceptance, TimePoint now)
    {
        --trying_;
        if (acceptance.outcome_ == AcceptOutcome::Accepted)
            outlets_.accepted_(name, acceptance);
        const auto held = held_.find(name);
        if (held == held_.end())
            return; // forgotten meanwhile
        held->second.isTrying_ = false;
        held->second.tryAt_ = now + settings_.retryAfter_;
        switch (acceptance.outcome_) {
        case AcceptOutcome::Accepted:
            return drop(name, SpoolNote::Stored, {});
        case AcceptOutcome::AlreadyAccepted:
            return drop(name, SpoolNote::Known, {});
        case AcceptOutcome::Invalid:
            return drop(name, SpoolNote::Unreadable, acceptance.failure_.code_);
        default:
            return outlets_.note_(SpoolNote::TriedInVain, name, {});
        }
    }

    void drop(const JobName& name, SpoolNote note, std::error_code error)
    {
        bytes_ -= held_.at(name).bytes_;
        held_.erase(name);
        // A copy that comes back with a power loss meets the job in the store once more.
        const auto removed = disk_.remove(name);
        outlets_.note_(note, name, removed ? error : removed.error());
        outlets_.changed_();
    }

    Disk disk_;
    SpoolSettings settings_;
    SpoolOutlets outlets_;
    Acceptor acceptor_;
    std::map<JobName, Held> held_;
    std::size_t bytes_ = 0; // of all in held_
    std::size_t trying_ = 0;
};

} // namespace jj
