// Texts of the jobs' errors and states.
#include "jobs/JobTypes.h"

namespace jj {

namespace {

    class JobCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "jobs"; }
        std::string message(int value) const override { return text(static_cast<JobError>(value)); }

    private:
        static const char* text(JobError error)
        {
            switch (error) {
            case JobError::BadLine:
                return "line is not an object with custom_id and body";
            case JobError::DuplicateCustomId:
                return "custom_id stands twice in the job";
            case JobError::LineTooLong:
                return "line is over the limit";
            case JobError::TooManyItems:
                return "job has too many items";
            case JobError::NoItems:
                return "job has no items";
            case JobError::DeadlinePassed:
                return "deadline has passed";
            case JobError::DeadlineOutOfReach:
                return "deadline cannot be met";
            case JobError::KeyReused:
                return "idempotency key stands for other content";
            case JobError::StoreUnavailable:
                return "store is unavailable";
            case JobError::TooBusy:
                return "too many uploads at once";
            case JobError::NoSuchJob:
                return "no such job";
            case JobError::AlreadyDone:
                return "job is done already";
            case JobError::BadRecord:
                return "stored record cannot be read";
            case JobError::BadSettings:
                return "job settings do not fit together";
            case JobError::Draining:
                return "node takes no new work";
            case JobError::EarlierCallBegan:
                return "an earlier call with this key has begun and its outcome is not known";
            }
            return "unknown job error";
        }
    };

} // namespace

std::error_code make_error_code(JobError error)
{
    static const JobCategory category;
    return { static_cast<int>(error), category };
}

std::string_view toString(ItemEnd end)
{
    switch (end) {
    case ItemEnd::Done:
        return "done";
    case ItemEnd::Refused:
        return "refused";
    case ItemEnd::CrashesUpstream:
        return "crashesUpstream";
    case ItemEnd::TooLarge:
        return "tooLarge";
    case ItemEnd::TimedOut:
        return "timedOut";
    case ItemEnd::UpstreamFailed:
        return "upstreamFailed";
    case ItemEnd::OutcomeUnknown:
        return "outcomeUnknown";
    }
    return "unknown";
}

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Waiting:
        return "waiting";
    case JobState::Running:
        return "running";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Done:
        return "done";
    }
    return "unknown";
}

} // namespace jj
