// Lookup of workspaces by key, and the configurations that are refused.
#include "workspaces/WorkspaceTable.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <limits>

using namespace jj;

namespace {

Workspace workspaceOf(std::string name, std::initializer_list<std::string_view> keys)
{
    Workspace workspace;
    workspace.name_ = std::move(name);
    for (const std::string_view key : keys)
        workspace.keys_.push_back(KeyFingerprint::of(key));
    return workspace;
}

std::error_code errorOf(std::vector<Workspace> workspaces)
{
    const auto table = WorkspaceTable::create(std::move(workspaces));
    return table ? std::error_code() : table.error().code_;
}

} // namespace

TEST_CASE("workspaces: each key leads to its workspace, and an unknown key to none")
{
    const auto table = WorkspaceTable::create({ workspaceOf("north", { "n1", "n2" }), workspaceOf("south", { "s1" }), workspaceOf("idle", {}) });
    REQUIRE(table);
    CHECK(table.value().findByKey(KeyFingerprint::of("n2"))->name_ == "north");
    CHECK(table.value().findByKey(KeyFingerprint::of("s1"))->name_ == "south");
    CHECK(table.value().findByKey(KeyFingerprint::of("s")) == nullptr);
    CHECK(table.value().findByKey(KeyFingerprint::of("")) == nullptr);
    CHECK(table.value().find(idFromName<WorkspaceId>("idle"))->name_ == "idle");
    CHECK(table.value().find(idFromName<WorkspaceId>("other")) == nullptr);
}

TEST_CASE("workspaces: invalid workspaces are refused with their position")
{
    CHECK(errorOf({ workspaceOf("", { "k" }) }) == WorkspaceError::BadName);
    CHECK(errorOf({ workspaceOf("two words", {}) }) == WorkspaceError::BadName);
    CHECK(errorOf({ workspaceOf("line\r\nfeed", {}) }) == WorkspaceError::BadName);
    CHECK(errorOf({ workspaceOf(std::string(129, 'a'), {}) }) == WorkspaceError::BadName);
    CHECK(errorOf({ workspaceOf("a", {}), workspaceOf("a", {}) }) == WorkspaceError::DuplicateWorkspace);
    CHECK(errorOf({ workspaceOf("a", { "k" }), workspaceOf("b", { "k" }) }) == WorkspaceError::DuplicateKey);
    CHECK(!errorOf({ workspaceOf("a", { "k", "k" }) }));
    for (const double bad : { -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        Workspace workspace = workspaceOf("a", {});
        workspace.quota_ = { bad, 1 };
        CHECK(errorOf({ workspace }) == WorkspaceError::BadQuota);
        workspace.quota_ = { 1, bad };
        CHECK(errorOf({ workspace }) == WorkspaceError::BadQuota);
    }
}

// Guards against an error text that shows a key to whoever reads the log.
TEST_CASE("workspaces: errors and fingerprints don't contain the key")
{
    const auto table = WorkspaceTable::create({ workspaceOf("a", { "secret-key" }), workspaceOf("b", { "secret-key" }) });
    REQUIRE_FALSE(table);
    CHECK(table.error().message().find("secret") == std::string::npos);
    CHECK(table.error().message().find("workspace 1") != std::string::npos);
    CHECK(KeyFingerprint::of("secret-key").shortText().size() == 8);
    CHECK(KeyFingerprint::of("secret-key").shortText() != KeyFingerprint::of("secret-kez").shortText());
}
