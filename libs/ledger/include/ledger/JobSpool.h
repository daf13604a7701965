// Spools jobs on this host's disk until the store holds them (see SpooledJob).
//
//     JobSpool<FileDisk> spool(std::move(disk), settings, outlets);
//     spool.load(now);                       // copies that an earlier process left
//     spool.storeCopy(job, true, now, done); // the copy is durable if done is called with Spooled
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

template <class T>
using DiskCompletion = std::function<void(Result<T>)>;

// A disk of named texts. A text survives the end of the process, and also a power loss once write() has completed. Calls take effect in
// their order and call their completion at once or later, on the caller's thread, but not after the disk's destruction.
template <class Disk>
concept SpoolDisk = requires(Disk& disk, const std::string& name, std::string text)
{
    disk.names(DiskCompletion<std::vector<std::string>>());
    disk.read(name, DiskCompletion<std::string>());
    disk.write(name, std::move(text), DiskCompletion<void>());
    disk.remove(name, DiskCompletion<void>());
};

struct SpoolSettings {
    // Limit for all copies together. Beyond it a job is refused, and the sender asks another host.
    std::size_t maxBytes_ = 32U * 1024 * 1024;
    // Limit for the number of copies: as many as this host can upload while their callers wait. What the store takes too slowly would be
    // accepted and stay on the disks.
    std::size_t maxCopies_ = 1000;
    // Limit for the copies that are being written, which take memory. Beyond it a job is refused.
    std::size_t maxUnwrittenBytes_ = 4U * 1024 * 1024;
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
    // dropped: the write was never acknowledged or the disk is damaged
    Unreadable,
    UploadFailed,
    ReadFailed, // tried again later; the file stays
    DiskFailed, // the disk can't be opened or listed; tried again later
};
std::string_view toString(SpoolNote note);

using SpoolCompletion = std::function<void(SpoolOutcome)>;

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

    // Reads the copies that an earlier process left. Until isLoaded() nobody knows which jobs they hold.
    void load(TimePoint now)
    {
        now_ = now;
        unreadCopies_ = 0;
        isListing_ = true;
        disk_.names([this](const Result<std::vector<std::string>>& names) { readCopies(names); });
    }

    // Writes a copy of the job to the disk. Idempotent: a job that is already spooled is not written again. If `acceptsNew` is false, a job
    // that isn't is refused; as unknown while copies are still being read.
    void storeCopy(const SpooledJob& job, bool acceptsNew, TimePoint now, SpoolCompletion done)
    {
        now_ = now;
        const JobName& name = job.submission_.job_;
        if (const auto found = copies_.find(name); found != copies_.end()) {
            if (!found->second.isWriting())
                return done(SpoolOutcome::Spooled);
            found->second.writers_.push_back(std::move(done));
            return;
        }
        if (!isLoaded())
            return done(SpoolOutcome::Unknown);
        if (!acceptsNew || !isUsable_)
            return done(SpoolOutcome::Refused);
        std::string text = encode(job);
        const std::size_t size = text.size();
        if (isFull() || bytes_ + size > settings_.maxBytes_ || unwrittenBytes_ + size > settings_.maxUnwrittenBytes_) {
            outlets_.note_(SpoolNote::Refused, name, std::make_error_code(std::errc::no_space_on_device));
            return done(SpoolOutcome::Refused);
        }
        Copy& copy = copies_[name];
        copy.bytes_ = size;
        copy.rank_ = job.rank_;
        copy.writers_.push_back(std::move(done));
        bytes_ += size;
        unwrittenBytes_ += size;
        disk_.write(name, std::move(text), [this, name](const Result<void>& written) { finishWrite(name, written); });
    }

    void discardCopy(const JobName& name)
    {
        const auto found = copies_.find(name);
        if (found == copies_.end())
            return;
        if (found->second.isWriting())
            found->second.isDiscarded_ = true;
        else
            drop(name, SpoolNote::Discarded, {});
    }

    void tick(TimePoint now, WallTime wall)
    {
        now_ = now;
        wall_ = wall;
        if (!isUsable_ && !isListing_ && now >= nextLoadAt_)
            load(now);
        if (copies_.empty() || outlets_.isStoreUnavailable_())
            return;
        std::vector<std::pair<TimePoint, JobName>> due;
        for (const auto& [name, copy] : copies_) {
            if (!copy.isWriting() && !copy.isUploading_ && now >= copy.nextUploadAt_)
                due.emplace_back(copy.nextUploadAt_, name);
        }
        std::sort(due.begin(), due.end());
        for (const auto& [dueAt, name] : due) {
            if (uploads_ < settings_.maxConcurrentUploads_)
                upload(name);
        }
    }

    // Returns the number of copies, without those that have been unreadable for long.
    std::size_t size() const { return copies_.size() - setAside_; }
    // Returns whether further jobs are refused.
    bool isFull() const { return copies_.size() >= settings_.maxCopies_; }
    // Returns whether the copies of an earlier process are known, or can't be known because the disk failed.
    bool isLoaded() const { return !isListing_ && unreadCopies_ == 0; }
    // Returns whether the disk could be listed.
    bool isUsable() const { return isUsable_; }

private:
    // An acknowledged job that disks alone hold comes before all that can be written later.
    static constexpr CallClass uploadClass = CallClass::Lease;

    struct Copy {
        std::size_t bytes_ = 0;
        TimePoint nextUploadAt_ {};
        bool isUploading_ = false; // or being read for an upload
        std::uint32_t failedReads_ = 0; // in a row
        std::uint32_t rank_ = 0;
        std::vector<SpoolCompletion> writers_ {}; // of those who wait for the write; empty once it is done
        bool isDiscarded_ = false; // as soon as it is written

        bool isWriting() const { return !writers_.empty(); }
    };

    void readCopies(const Result<std::vector<std::string>>& names)
    {
        isListing_ = false;
        isUsable_ = names.has_value();
        if (!names) {
            nextLoadAt_ = now_ + settings_.setAsideRetryDelay_;
            outlets_.note_(SpoolNote::DiskFailed, {}, names.error());
            return outlets_.sizeChanged_();
        }
        unreadCopies_ = names.value().size();
        if (unreadCopies_ == 0)
            return outlets_.sizeChanged_();
        for (const std::string& name : names.value())
            disk_.read(name, [this, name](const Result<std::string>& text) { addCopy(name, text); });
    }

    void addCopy(const JobName& name, const Result<std::string>& text)
    {
        if (!text) {
            copies_[name].nextUploadAt_ = now_ + settings_.retryDelay_;
            copies_[name].failedReads_ = 1;
            outlets_.note_(SpoolNote::ReadFailed, name, text.error());
        } else if (const auto job = decodeSpooledJob(text.value()); !job) {
            remove(name, SpoolNote::Unreadable, job.error());
        } else {
            bytes_ += text.value().size();
            copies_[name].bytes_ = text.value().size();
            copies_[name].nextUploadAt_ = now_ + settings_.rankDelay_ * job.value().rank_;
        }
        if (--unreadCopies_ == 0)
            outlets_.sizeChanged_();
    }

    void finishWrite(const JobName& name, const Result<void>& written)
    {
        Copy& copy = copies_.at(name);
        unwrittenBytes_ -= copy.bytes_;
        const std::vector<SpoolCompletion> writers = std::exchange(copy.writers_, {});
        if (written) {
            copy.nextUploadAt_ = now_ + settings_.firstUploadDelay_ + settings_.rankDelay_ * copy.rank_;
            outlets_.note_(SpoolNote::Spooled, name, {});
            if (copy.isDiscarded_)
                drop(name, SpoolNote::Discarded, {});
        } else {
            bytes_ -= copy.bytes_;
            copies_.erase(name);
            outlets_.note_(SpoolNote::Refused, name, written.error());
            // The disk may hold the complete text although the write failed, and a power loss may undo its removal. A later process would
            // load it and upload the job.
            disk_.remove(name, [this, name](const Result<void>& removed) {
                if (!removed)
                    outlets_.note_(SpoolNote::Unreadable, name, removed.error());
            });
        }
        outlets_.sizeChanged_();
        for (const SpoolCompletion& done : writers)
            done(written ? SpoolOutcome::Spooled : SpoolOutcome::Unknown);
    }

    void upload(const JobName& name)
    {
        copies_.at(name).isUploading_ = true;
        ++uploads_;
        disk_.read(name, [this, name](const Result<std::string>& text) { uploadText(name, text); });
    }

    void uploadText(const JobName& name, const Result<std::string>& text)
    {
        const auto found = copies_.find(name);
        const bool isCurrent = found != copies_.end() && found->second.isUploading_; // else discarded meanwhile
        if (!isCurrent || !text) {
            --uploads_;
            if (isCurrent)
                recordFailedRead(found->second, name, text.error());
            return;
        }
        recordRead(found->second, text.value().size());
        auto job = decodeSpooledJob(text.value());
        const bool isExpired = job && wall_ - job.value().submission_.head_.acceptedAt_ > settings_.retention_;
        if (!job || isExpired) {
            --uploads_;
            return drop(name, job ? SpoolNote::Expired : SpoolNote::Unreadable, job ? std::error_code() : job.error());
        }
        JobSubmission& submission = job.value().submission_;
        const WallTime acceptedAt = submission.head_.acceptedAt_;
        const NodeId owner = outlets_.ownerOf_(name);
        acceptor_.accept(std::move(submission), owner, settings_.uploadTimeout_, now_, acceptedAt, [this, name](const Acceptance& acceptance, TimePoint at) { finishUpload(name, acceptance, at); });
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
    void recordFailedRead(Copy& copy, const JobName& name, std::error_code error)
    {
        outlets_.note_(SpoolNote::ReadFailed, name, error);
        copy.isUploading_ = false;
        if (copy.failedReads_ < settings_.maxFailedReads_ && ++copy.failedReads_ == settings_.maxFailedReads_) {
            ++setAside_;
            outlets_.sizeChanged_();
        }
        copy.nextUploadAt_ = now_ + (isSetAside(copy) ? settings_.setAsideRetryDelay_ : settings_.retryDelay_);
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
        remove(name, note, error);
        outlets_.sizeChanged_();
    }

    // A power loss may bring the deleted copy back. Its upload then finds the job in the store, possibly with results.
    void remove(const JobName& name, SpoolNote note, std::error_code error)
    {
        disk_.remove(name, [this, name, note, error](const Result<void>& removed) { outlets_.note_(note, name, removed ? error : removed.error()); });
    }

    Disk disk_;
    SpoolSettings settings_;
    SpoolOutlets outlets_;
    Acceptor acceptor_;
    std::map<JobName, Copy> copies_;
    std::size_t bytes_ = 0; // of all copies in copies_
    std::size_t uploads_ = 0;
    std::size_t setAside_ = 0; // copies for which isSetAside() holds
    std::size_t unwrittenBytes_ = 0; // of copies for which isWriting() holds
    std::size_t unreadCopies_ = 0; // of an earlier process
    bool isListing_ = false; // the names of an earlier process's copies aren't known yet
    bool isUsable_ = true; // false while the disk can't be listed
    TimePoint nextLoadAt_ {}; // unless isUsable_
    // Times of the last call, for completions of the disk.
    TimePoint now_ {};
    WallTime wall_ {};
};

} // namespace jj
