// Spools jobs on this host's disk until the store holds them (see SpooledJob).
//
//     JobSpool<FileDisk> spool(std::move(disk), settings, outlets);
//     spool.load(now);                       // copies that an earlier process left
//     spool.storeCopy(job, true, now);       // the copy is durable if this returns Spooled
//     spool.tick(now, wall);                 // uploads the copies to the store
//
// The disk is a template parameter: the daemon uses files, tests use memory that survives the end of a simulated process.
#pragma once

#include "ledger/SpooledJob.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jj {

// A disk of named texts. A text survives the end of the process, and also a power loss once write() has returned.
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
    // Limit for all copies together. Beyond it a job is refused, and the sender asks another host.
    std::size_t maxBytes_ = 32U * 1024 * 1024;
    // Limit for the number of copies: as many as this host can upload while their callers wait. What the store takes too slowly would be
    // accepted and stay on the disks.
    std::size_t maxCopies_ = 1000;
    // Delay before the first upload. The entry's own calls may still bring the job to the store; in nearly all cases they finish, and the
    // entry notifies this host, within this time.
    Duration firstUploadDelay_ = 1500ms;
    // Delay between the first uploads of the hosts that spool the same job.
    Duration rankDelay_ = 1s;
    Duration retryDelay_ = 500ms;
    std::uint32_t maxFailedReads_ = 20; // of one copy in a row, until it no longer counts
    Duration setAsideRetryDelay_ = 10s; // between reads of a copy that no longer counts
    // Timeout of one upload.
    Duration uploadTimeout_ = 2s;
    std::size_t maxConcurrentUploads_ = 4;
    // Copies older than this are dropped unread. The job may already have completed and been removed from the store, so that an upload
    // would run it a second time. Callers have stopped waiting long before. The value equals SchedulerSettings::retention_.
    Duration retention_ = 150s;
    std::size_t maxValueBytes_ = maxObjectBytes; // of a value in the store
};

enum class SpoolNote : std::uint8_t {
    Spooled,
    Refused, // the spool is full, or the disk failed
    Stored, // this host uploaded the job to the store
    AlreadyStored, // the store already held the job
    Discarded, // the entry reported that the store holds the job
    Expired, // dropped because the copy is older than the retention
    // dropped: the write was never acknowledged or the disk is damaged. Without a job name: the disk's names can't be read.
    Unreadable,
    UploadFailed,
    ReadFailed, // tried again later; the file stays
};
std::string_view toString(SpoolNote note);

struct SpoolOutlets {
    LedgerStore store_;
    std::function<bool()> isStoreUnavailable_;
    std::function<NodeId(const JobName&)> ownerOf_;
    std::function<void(const JobName&, const Acceptance&)> notifyOwner_;
    // Notifies the other hosts that the store holds the job, so that they discard their copies without an upload.
    std::function<void(const JobName&)> notifyHolders_;
    std::function<void(SpoolNote, const JobName&, std::error_code)> note_;
    // Called when the number of spooled jobs has changed.
    std::function<void()> sizeChanged_;
};

template <SpoolDisk Disk>
class JobSpool {
public:
    JobSpool(Disk disk, SpoolSettings settings, SpoolOutlets outlets)
        : disk_(std::move(disk))
        , settings_(settings)
        , outlets_(std::move(outlets))
        , acceptor_(outlets_.store_, settings_.maxValueBytes_, uploadClass)
    {
    }

    void load(TimePoint now)
    {
        const auto names = disk_.names();
        if (!names)
            return outlets_.note_(SpoolNote::Unreadable, {}, names.error());
        for (const std::string& name : names.value()) {
            const auto text = disk_.read(name);
            if (!text) {
                copies_[name] = { 0, now + settings_.retryDelay_, false, 1 };
                outlets_.note_(SpoolNote::ReadFailed, name, text.error());
                continue;
            }
            const auto job = decodeSpooledJob(text.value());
            if (!job) {
                const auto removed = disk_.remove(name);
                outlets_.note_(SpoolNote::Unreadable, name, removed ? job.error() : removed.error());
                continue;
            }
            bytes_ += text.value().size();
            copies_[name] = { text.value().size(), now + settings_.rankDelay_ * job.value().rank_, false };
        }
        outlets_.sizeChanged_();
    }

    // Writes a copy of the job to the disk. Idempotent: a job that is already spooled is not written again. If `acceptsNew` is false, a job
    // that isn't is refused.
    SpoolOutcome storeCopy(const SpooledJob& job, bool acceptsNew, TimePoint now)
    {
        const JobName& name = job.submission_.job_;
        if (copies_.contains(name))
            return SpoolOutcome::Spooled;
        if (!acceptsNew)
            return SpoolOutcome::Refused;
        const std::string text = encode(job);
        if (isFull() || bytes_ + text.size() > settings_.maxBytes_) {
            outlets_.note_(SpoolNote::Refused, name, std::make_error_code(std::errc::no_space_on_device));
            return SpoolOutcome::Refused;
        }
        if (const auto written = disk_.write(name, text); !written) {
            outlets_.note_(SpoolNote::Refused, name, written.error());
            // The disk may hold the complete text although the write failed, and a power loss may undo its removal. A later process would
            // load it and upload the job.
            if (const auto removed = disk_.remove(name); !removed)
                outlets_.note_(SpoolNote::Unreadable, name, removed.error());
            return SpoolOutcome::Unknown;
        }
        bytes_ += text.size();
        copies_[name] = { text.size(), now + settings_.firstUploadDelay_ + settings_.rankDelay_ * job.rank_, false };
        outlets_.note_(SpoolNote::Spooled, name, {});
        outlets_.sizeChanged_();
        return SpoolOutcome::Spooled;
    }

    void discardCopy(const JobName& name)
    {
        if (copies_.contains(name))
            drop(name, SpoolNote::Discarded, {});
    }

    void tick(TimePoint now, WallTime wall)
    {
        if (copies_.empty() || outlets_.isStoreUnavailable_())
            return;
        std::vector<std::pair<TimePoint, JobName>> due;
        for (const auto& [name, copy] : copies_) {
            if (!copy.isUploading_ && now >= copy.nextUploadAt_)
                due.emplace_back(copy.nextUploadAt_, name);
        }
        std::sort(due.begin(), due.end());
        for (const auto& [dueAt, name] : due) {
            if (uploads_ < settings_.maxConcurrentUploads_)
                upload(name, now, wall);
        }
    }

    // Returns the number of copies, without those that have been unreadable for long.
    std::size_t size() const { return copies_.size() - setAside_; }
    // Returns whether further jobs are refused.
    bool isFull() const { return copies_.size() >= settings_.maxCopies_; }

private:
    // An acknowledged job that disks alone hold comes before all that can be written later.
    static constexpr CallClass uploadClass = CallClass::Lease;

    struct Copy {
        std::size_t bytes_ = 0;
        TimePoint nextUploadAt_ {};
        bool isUploading_ = false;
        std::uint32_t failedReads_ = 0; // in a row
    };

    void upload(const JobName& name, TimePoint now, WallTime wall)
    {
        const auto text = disk_.read(name);
        if (!text)
            return recordFailedRead(name, text.error(), now);
        recordRead(copies_.at(name), text.value().size());
        auto job = decodeSpooledJob(text.value());
        if (!job)
            return drop(name, SpoolNote::Unreadable, job.error());
        JobSubmission& submission = job.value().submission_;
        const WallTime acceptedAt = submission.head_.acceptedAt_;
        if (wall - acceptedAt > settings_.retention_)
            return drop(name, SpoolNote::Expired, {});
        copies_.at(name).isUploading_ = true;
        ++uploads_;
        const NodeId owner = outlets_.ownerOf_(name);
        acceptor_.accept(std::move(submission), owner, settings_.uploadTimeout_, now, acceptedAt, [this, name](const Acceptance& acceptance, TimePoint at) { finishUpload(name, acceptance, at); });
    }

    void finishUpload(const JobName& name, const Acceptance& acceptance, TimePoint now)
    {
        --uploads_;
        if (acceptance.outcome_ == AcceptOutcome::Accepted) {
            outlets_.notifyOwner_(name, acceptance);
            outlets_.notifyHolders_(name);
        }
        const auto copy = copies_.find(name);
        if (copy == copies_.end())
            return; // removed during the upload
        copy->second.isUploading_ = false;
        copy->second.nextUploadAt_ = now + settings_.retryDelay_;
        switch (acceptance.outcome_) {
        case AcceptOutcome::Accepted:
            return drop(name, SpoolNote::Stored, {});
        case AcceptOutcome::AlreadyAccepted:
            return drop(name, SpoolNote::AlreadyStored, {});
        case AcceptOutcome::Invalid:
            return drop(name, SpoolNote::Unreadable, acceptance.failure_.code_);
        default:
            return outlets_.note_(SpoolNote::UploadFailed, name, {});
        }
    }

    // A process that is out of descriptors can't read for a while, so the file stays. A copy that can't be read for long no longer counts,
    // since the host could neither leave nor say that it holds no jobs; it is still tried, but seldom.
    void recordFailedRead(const JobName& name, std::error_code error, TimePoint now)
    {
        Copy& copy = copies_.at(name);
        outlets_.note_(SpoolNote::ReadFailed, name, error);
        if (copy.failedReads_ < settings_.maxFailedReads_ && ++copy.failedReads_ == settings_.maxFailedReads_) {
            ++setAside_;
            outlets_.sizeChanged_();
        }
        copy.nextUploadAt_ = now + (isSetAside(copy) ? settings_.setAsideRetryDelay_ : settings_.retryDelay_);
    }

    void recordRead(Copy& copy, std::size_t bytes)
    {
        if (isSetAside(copy))
            --setAside_;
        copy.failedReads_ = 0;
        bytes_ += bytes - copy.bytes_;
        copy.bytes_ = bytes;
    }

    bool isSetAside(const Copy& copy) const { return copy.failedReads_ >= settings_.maxFailedReads_; }

    void drop(const JobName& name, SpoolNote note, std::error_code error)
    {
        const Copy& copy = copies_.at(name);
        bytes_ -= copy.bytes_;
        if (isSetAside(copy))
            --setAside_;
        copies_.erase(name);
        // A power loss may bring the deleted copy back. Its upload then finds the job in the store, possibly with results.
        const auto removed = disk_.remove(name);
        outlets_.note_(note, name, removed ? error : removed.error());
        outlets_.sizeChanged_();
    }

    Disk disk_;
    SpoolSettings settings_;
    SpoolOutlets outlets_;
    Acceptor acceptor_;
    std::map<JobName, Copy> copies_;
    std::size_t bytes_ = 0; // of all copies in copies_
    std::size_t uploads_ = 0;
    std::size_t setAside_ = 0; // copies for which isSetAside() holds
};

} // namespace jj
