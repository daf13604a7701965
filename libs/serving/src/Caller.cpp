// Stored names of jobs are "w-", 16 hex digits that stand for the workspace, a dot, and the caller's id.
#include "Caller.h"

#include "base/Hash.h"

#include <array>
#include <cstdio>

namespace jj {

namespace {

    constexpr std::string_view prefixStart = "w-";
    constexpr std::size_t prefixLength = 19; // "w-", 16 digits, "."

} // namespace

std::optional<Caller> identifyCaller(const RouteTable& table, const Route& route, const std::optional<KeyFingerprint>& key)
{
    if (!table.requiresKey(route))
        return Caller {};
    const Workspace* workspace = key ? table.workspaces()->findByKey(*key) : nullptr;
    if (!workspace)
        return std::nullopt;
    return Caller { workspace->name_, key };
}

bool isStillAllowed(const RouteTable& table, const Caller& caller)
{
    if (!caller.key_ || !table.workspaces())
        return true;
    const Workspace* workspace = table.workspaces()->findByKey(*caller.key_);
    return workspace && workspace->name_ == caller.workspace_;
}

JobName storedJobName(const RouteTable& table, const Caller& caller, const std::string& id)
{
    if (!table.workspaces() || id.empty())
        return id;
    std::array<char, prefixLength + 1> prefix {};
    std::snprintf(prefix.data(), prefix.size(), "w-%016llx.", static_cast<unsigned long long>(hash64(caller.workspace_)));
    return prefix.data() + id;
}

bool mayBeStoredUnderId(const JobName& storedName, const std::string& id) { return storedName != id && !id.starts_with(prefixStart); }

} // namespace jj
