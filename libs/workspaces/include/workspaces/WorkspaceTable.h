// The workspaces of one configuration version: their keys, priorities and quotas.
//
//     auto table = WorkspaceTable::create(std::move(workspaces));
//     if (!table) return table.error();
//     if (const Workspace* workspace = table.value().findByKey(KeyFingerprint::of(key))) ...
//
// A table is immutable. Pointers into it are valid as long as the table exists.
#pragma once

#include "base/Hash.h"
#include "base/Id.h"
#include "base/Result.h"
#include "workspaces/KeyFingerprint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace jj {

enum class WorkspaceError : int {
    BadName = 1, // empty, too long, or not usable as the value of a header
    DuplicateWorkspace,
    DuplicateKey, // two workspaces have the same key
    BadQuota, // a rate or burst is negative or not a number
};

std::error_code make_error_code(WorkspaceError error);

// The online requests that a workspace may run, over all hosts together: a token bucket.
struct Quota {
    double perSecond_ = 0; // 0: unlimited
    double burst_ = 0; // requests beyond the rate, at once

    bool isUnlimited() const { return perSecond_ <= 0; }

    friend bool operator==(const Quota&, const Quota&) = default;
};

struct Workspace {
    std::string name_;
    std::vector<KeyFingerprint> keys_; // may be empty: the jobs of a workspace without keys still run
    std::optional<std::uint32_t> priority_; // takes precedence over the route's
    Quota quota_;

    WorkspaceId id() const { return idFromName<WorkspaceId>(name_); }
};

class WorkspaceTable {
public:
    // Errors: WorkspaceError, with the position of the workspace as detail; never a key.
    static Checked<WorkspaceTable> create(std::vector<Workspace> workspaces);

    const std::vector<Workspace>& rows() const { return rows_; }
    // Return null if there is no such workspace.
    const Workspace* findByKey(const KeyFingerprint& key) const;
    const Workspace* find(WorkspaceId id) const;

private:
    std::vector<Workspace> rows_;
    // Invariant: indexes into rows_, of all keys and of all workspaces.
    std::unordered_map<KeyFingerprint, std::size_t> byKey_;
    std::unordered_map<WorkspaceId, std::size_t> byId_;
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::WorkspaceError> : std::true_type {
};
