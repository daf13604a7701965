// What the checker takes from event files and from upstreams.
#include "jobs/Audit.h"

#include <boost/json.hpp>

namespace jj {

std::vector<AuditEvent> auditEvents(std::span<const TimelineEvent> events)
{
    std::vector<AuditEvent> found;
    for (const TimelineEvent& event : events) {
        switch (event.kind_) {
        case EventKind::JobAccepted:
            found.emplace_back(JobAcknowledged { event.job_, static_cast<std::uint32_t>(event.detail_.count_) });
            break;
        case EventKind::JobCancelled:
            found.emplace_back(CancelWasAcknowledged { event.job_, event.at_ });
            break;
        case EventKind::ItemStarted:
            found.emplace_back(ItemStarted { event.job_, event.item_, event.at_ });
            break;
        default:
            break;
        }
    }
    return found;
}

Result<std::vector<AuditEvent>> executionsFrom(std::string_view json)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse({ json.data(), json.size() }, error);
    if (error.failed() || !value.is_object())
        return JobError::BadRecord;
    std::vector<AuditEvent> found;
    for (const auto& member : value.get_object()) {
        const std::uint32_t count = member.value().to_number<std::uint32_t>(error);
        if (error.failed())
            return JobError::BadRecord;
        found.emplace_back(KeyExecuted { std::string(member.key()), count });
    }
    return found;
}

} // namespace jj
