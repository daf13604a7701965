// The caller of a request, identified by its key, and the names that its workspace's jobs have in the store.
#pragma once

#include "ledger/Records.h"
#include "routes/RouteTable.h"

#include <optional>
#include <string>

namespace jj {

struct Caller {
    std::string workspace_; // empty: the route or the configuration requires no key
    std::optional<KeyFingerprint> key_; // set if the caller has a workspace
};

// Returns the caller of a request on the route. Returns none if the route requires a key, and `key` is none or not in the configuration.
std::optional<Caller> identifyCaller(const RouteTable& table, const Route& route, const std::optional<KeyFingerprint>& key);

// Returns whether the configuration still has the key under which the caller was identified.
bool isStillAllowed(const RouteTable& table, const Caller& caller);

// Returns the name under which a caller's job is stored. Callers choose the ids of their jobs, and each workspace has ids of its own: the
// name of a job contains a digest of its workspace. So a caller can't find, resend or cancel a job of another workspace. Without workspaces
// the name is the id.
JobName storedJobName(const RouteTable& table, const Caller& caller, const std::string& id);

// Returns whether a job that isn't found under its stored name may have been accepted under its id alone, by a build or a configuration
// without workspaces. False for ids that look like stored names, which would lead to jobs of other workspaces.
bool mayBeStoredUnderId(const JobName& storedName, const std::string& id);

} // namespace jj
