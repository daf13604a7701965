// Messages about quotas between the host that a caller has connected to and the accountants of the caller's workspace.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace jj {

// The number of requests of a workspace that a host has admitted since its process started, less those that didn't run.
//
// Invariant: the count is a total, so that the next report makes up for a lost one.
struct QuotaCount {
    WorkspaceId workspace_;
    std::int64_t admitted_ = 0;
    std::int64_t latest_ = 0; // part of admitted_ since the report before, for accountants that don't know that one
};

struct QuotaReport {
    NodeId from_;
    Incarnation incarnation_; // of the process; its counts start at zero
    std::uint32_t sequence_ = 0; // increases with each report of the process to the same accountant
    std::vector<QuotaCount> counts_;
};

// Requests an accountant's decision whether one more request may run.
struct AdmissionRequest {
    NodeId from_;
    Incarnation incarnation_;
    std::uint32_t number_ = 0; // identifies the decision
    WorkspaceId workspace_;
    std::int64_t admitted_ = 0; // the host's total before this request
};

struct AdmissionDecision {
    std::uint32_t number_ = 0; // of the AdmissionRequest
    WorkspaceId workspace_;
    bool isAdmitted_ = false;
    Duration wait_ {}; // if not admitted: until a request is likely to be
};

// An accountant's list of workspaces whose credit is low, and of those whose credit has recovered.
struct QuotaNotice {
    std::vector<WorkspaceId> scarce_;
    std::vector<WorkspaceId> ample_;
};

} // namespace jj
