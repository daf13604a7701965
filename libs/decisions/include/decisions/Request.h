// What a node knows of a request, from its arrival to its final answer.
#pragma once

#include "base/Id.h"
#include "base/Time.h"
#include "decisions/Fields.h"

#include <cstdint>

namespace jj {

enum class RequestClass : std::uint8_t {
    Online, // somebody waits for the answer
    Batch, // an item of a job, due much later
};
BOOST_DESCRIBE_ENUM(RequestClass, Online, Batch)

// The part of a request that decisions look at; its content stays with the node that holds it.
// Times are of the node that reads them: between nodes, time left travels, not the TimePoint.
struct RequestSpec {
    RequestId id_;
    ServiceId service_;
    WorkspaceId workspace_;
    RequestClass class_ = RequestClass::Online;
    // None for online requests.
    JobId job_;
    std::uint32_t promptTokens_ = 0;
    // Invariant: prefixTokens_ <= promptTokens_; 0 when the prompt shares no prefix with others.
    PrefixId prefix_;
    std::uint32_t prefixTokens_ = 0;
    std::uint32_t maxOutputTokens_ = 0;
    // Size of the request as sent, for queue bounds and for the link between regions.
    std::uint32_t bytes_ = 0;
    // Online: of the first token (or of the whole answer of a plain service). Batch: of the job.
    TimePoint deadline_ = neverTime;
    Fingerprint fingerprint_;
    // May be run again after an attempt whose outcome isn't known.
    bool idempotent_ = true;
    // Where its caller stands; the answer's bytes go there.
    RegionId originRegion_;
};
BOOST_DESCRIBE_STRUCT(RequestSpec, (), (id_, service_, workspace_, class_, job_, promptTokens_, prefix_, prefixTokens_, maxOutputTokens_, bytes_, deadline_, fingerprint_, idempotent_, originRegion_))

// Whether the deadline still binds: an online request has met its own with the first token of its answer.
constexpr bool isDue(const RequestSpec& spec, std::uint32_t position)
{
    return spec.deadline_ != neverTime && (spec.class_ == RequestClass::Batch || position == 0);
}

// One hand-over of a request from its entry node to a home. Messages that carry an older number are late and are dropped.
struct HandOverId {
    RequestId request_;
    std::uint32_t number_ = 0;

    friend constexpr bool operator==(const HandOverId&, const HandOverId&) = default;
};
BOOST_DESCRIBE_STRUCT(HandOverId, (), (request_, number_))

// One run of a request on one upstream, under one hand-over; the number counts over the life of that hand-over.
struct AttemptId {
    RequestId request_;
    std::uint32_t handOver_ = 0;
    std::uint32_t number_ = 0;

    friend constexpr bool operator==(const AttemptId&, const AttemptId&) = default;
};
BOOST_DESCRIBE_STRUCT(AttemptId, (), (request_, handOver_, number_))

} // namespace jj
