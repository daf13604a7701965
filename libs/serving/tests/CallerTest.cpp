// Identification of callers, the stored names of their jobs, and the configuration as nodes send it to each other.
#include "Caller.h"
#include "ConfigCodec.h"
#include "Context.h"
#include "ReportMessages.h"

#include <doctest/doctest.h>

#include <random>

using namespace jj;

namespace {

Route routeOf(std::string name, bool isPublic)
{
    Route route;
    route.name_ = std::move(name);
    route.host_ = "shop.example";
    route.pathPrefix_ = "/" + route.name_ + "/";
    route.isPublic_ = isPublic;
    route.targets_ = { { "s", 1 } };
    return route;
}

Workspace workspaceOf(std::string name, std::string_view key, Quota quota = {})
{
    Workspace workspace;
    workspace.name_ = std::move(name);
    workspace.keys_ = { KeyFingerprint::of(key) };
    workspace.quota_ = quota;
    return workspace;
}

RouteConfig configOf(std::vector<Workspace> workspaces)
{
    RouteConfig config;
    config.version_ = 9;
    config.services_ = { { "s", "/health", 50 } };
    config.routes_ = { routeOf("ask", false), routeOf("open", true) };
    config.workspaces_ = std::move(workspaces);
    return config;
}

RouteTable tableOf(std::vector<Workspace> workspaces) { return RouteTable::create(configOf(std::move(workspaces))).value(); }

std::optional<Caller> identify(const RouteTable& table, std::string_view route, std::string_view key)
{
    return identifyCaller(table, *table.findRoute(route), key.empty() ? std::nullopt : std::optional(KeyFingerprint::of(key)));
}

} // namespace

TEST_CASE("caller: a route that is not public requires a key of the configuration")
{
    const RouteTable table = tableOf({ workspaceOf("north", "n1"), workspaceOf("south", "s1") });
    CHECK(identify(table, "ask", "n1")->workspace_ == "north");
    CHECK(identify(table, "ask", "s1")->workspace_ == "south");
    CHECK_FALSE(identify(table, "ask", "other"));
    CHECK_FALSE(identify(table, "ask", ""));
    CHECK(identify(table, "open", "")->workspace_.empty());
    CHECK(identify(table, "open", "n1")->workspace_.empty());
    CHECK_FALSE(identify(tableOf({}), "ask", "n1"));
}

TEST_CASE("caller: without workspaces no route requires a key")
{
    RouteConfig config = configOf({});
    config.workspaces_ = std::nullopt;
    const RouteTable table = RouteTable::create(std::move(config)).value();
    CHECK(identify(table, "ask", "")->workspace_.empty());
    CHECK(storedJobName(table, {}, "job-1") == "job-1");
}

// Guards against a queued request that is sent under a key which was removed meanwhile.
TEST_CASE("caller: a key that was removed or moved to another workspace is no longer allowed")
{
    const RouteTable before = tableOf({ workspaceOf("north", "n1"), workspaceOf("south", "s1") });
    const Caller caller = *identify(before, "ask", "n1");
    CHECK(isStillAllowed(before, caller));
    CHECK_FALSE(isStillAllowed(tableOf({ workspaceOf("north", "n2"), workspaceOf("south", "s1") }), caller));
    CHECK_FALSE(isStillAllowed(tableOf({ workspaceOf("north", "n2"), workspaceOf("south", "n1") }), caller));
    CHECK(isStillAllowed(tableOf({ workspaceOf("north", "s9") }), Caller {}));
}

// Guards against a caller that reads, resends or cancels a job of another workspace by its id.
TEST_CASE("caller: workspaces have separate jobs, whatever ids their callers choose")
{
    const RouteTable table = tableOf({ workspaceOf("north", "n1"), workspaceOf("south", "s1") });
    const JobName north = storedJobName(table, *identify(table, "ask", "n1"), "job-1");
    const JobName south = storedJobName(table, *identify(table, "ask", "s1"), "job-1");
    CHECK(north != south);
    CHECK(isValidJobName(north));
    CHECK(storedJobName(table, Caller {}, north) != north);
    CHECK(storedJobName(table, *identify(table, "ask", "s1"), north) != north);
    CHECK(mayBeStoredUnderId(north, "job-1"));
    CHECK_FALSE(mayBeStoredUnderId(storedJobName(table, *identify(table, "ask", "s1"), north), north));
    CHECK_FALSE(mayBeStoredUnderId("job-1", "job-1"));
}

// Guards against a workspace header or key that reaches an engine under another spelling.
TEST_CASE("caller: the workspace header and the key are withheld from engines in any spelling")
{
    HeaderNames names;
    names.workspace_ = "X-Workspace";
    names.credentials_ = "Authorization";
    const RouteTable table = tableOf({ workspaceOf("north", "n1") });
    for (const char* name : { "X-Workspace", "x-workspace", "X-WORKSPACE", "Authorization", "authorization" })
        CHECK(isWithheldHeader(names, &table, name));
    CHECK_FALSE(isWithheldHeader(names, &table, "X-Own"));
    CHECK(isWithheldHeader(names, nullptr, "x-workspace"));
    CHECK_FALSE(isWithheldHeader(names, nullptr, "Authorization"));
}

TEST_CASE("configuration: nodes send each other fingerprints, quotas and routes unchanged, and no key")
{
    Workspace north = workspaceOf("north", "very-secret-key", { 98.5, 12 });
    north.priority_ = 3;
    const RouteConfig config = configOf({ north, workspaceOf("south", "s1") });
    const std::string bytes = encode(config);
    CHECK(bytes.find("very-secret-key") == std::string::npos);
    const auto decoded = decodeConfig(bytes);
    REQUIRE(decoded);
    CHECK(encode(decoded.value()) == bytes);
    const RouteTable table = RouteTable::create(decoded.value()).value();
    CHECK(identify(table, "ask", "very-secret-key")->workspace_ == "north");
    CHECK(table.workspaces()->rows()[0].priority_ == 3);
    CHECK(table.workspaces()->rows()[0].quota_ == Quota { 98.5, 12 });
    CHECK(table.routes()[1].isPublic_);
}

TEST_CASE("configuration: bytes that are cut short or changed end in an error or another configuration, never in a crash")
{
    const std::string bytes = encode(configOf({ workspaceOf("north", "n1", { 5, 5 }), workspaceOf("south", "s1") }));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeConfig(std::string_view(bytes).substr(0, size)));
    std::mt19937_64 random(1);
    for (int change = 0; change < 5000; ++change) {
        std::string mutated = bytes;
        mutated[random() % mutated.size()] ^= static_cast<char>(1 + random() % 255);
        if (auto config = decodeConfig(mutated))
            (void)RouteTable::create(std::move(config.value()));
    }
}

namespace {

NodeReport reportOfWaiting(std::vector<WaitingClass> classes)
{
    NodeReport report;
    report.use_.node_ = NodeId(1);
    report.use_.waiting_ = { { ServiceId(3), 7, 2, std::move(classes) } };
    return report;
}

template <class Message>
Message sentAndReceived(const Message& message)
{
    const WireKey key = WireKey::fromHex(std::string(64, '0')).value();
    const auto decoded = decodeDatagram(key, encode(key, message));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<Message>(decoded.value()));
    return std::get<Message>(decoded.value());
}

} // namespace

TEST_CASE("messages about quotas, streams, suspects and shares: cut short or changed, they are rejected")
{
    const WireKey key = WireKey::fromHex(std::string(64, '0')).value();
    const WorkspaceId workspace = idFromName<WorkspaceId>("north");
    const StreamRecord record { streamIdOf("north", "a1"), ServiceId(3), SoftwareVersion("v1").id() };
    const PeerDatagram messages[] = {
        QuotaReport { NodeId(1), Incarnation(2), 3, { { workspace, 40, 2 }, { workspace, -1, -1 } } },
        AdmissionRequest { NodeId(1), Incarnation(2), 7, workspace, 40 },
        AdmissionDecision { 7, workspace, false, 250ms },
        QuotaNotice { { workspace }, {} },
        StreamRecords { { record, record } },
        StreamQuery { NodeId(1), 7, record.stream_, record.service_ },
        StreamAnswer { NodeId(1), 7, true, record, SoftwareVersion("v2").id(), true, SoftwareVersion("v1").id() },
        SuspectRecords { NodeId(1), true, { { Fingerprint(7), 1, 2, 3s, 4s, { { UpstreamId(8), 5s }, { UpstreamId(9), 6s } } }, { Fingerprint(8), 255, 0, 0s, std::nullopt, {} } } },
        ShareReport { NodeId(1), Incarnation(2), 3, { { workspace, 4.25F }, { WorkspaceId(9), 0.02F } }, { { 0, 3 }, { 255, 1.5F } } },
        ShareSum { CellId(4), true, Incarnation(2), 3, { { workspace, 4.25F } }, { { 3, 7 } } },
        reportOfWaiting({ { 0, true, 3, 2, 0.5F }, { 255, false, 4, 0, 1e6F } }),
    };
    std::mt19937_64 random(1);
    for (const PeerDatagram& message : messages) {
        const std::string bytes = encode(key, message);
        const auto decoded = decodeDatagram(key, bytes);
        REQUIRE(decoded);
        CHECK(encode(key, decoded.value()) == bytes);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(decodeDatagram(key, std::string_view(bytes).substr(0, size)));
        for (int change = 0; change < 500; ++change) {
            std::string mutated = bytes;
            mutated[random() % mutated.size()] ^= static_cast<char>(1 + random() % 255);
            CHECK_FALSE(decodeDatagram(key, mutated));
        }
    }
}

TEST_CASE("messages about streams: a record, a query and an answer are small")
{
    const WireKey key = WireKey::fromHex(std::string(64, '0')).value();
    const StreamRecord record { streamIdOf("north", "a1"), ServiceId(3), SoftwareVersion("v1").id() };
    CHECK(encode(key, StreamRecords { { record } }).size() <= 56);
    CHECK(encode(key, StreamQuery { NodeId(1), 7, record.stream_, record.service_ }).size() <= 56);
    CHECK(encode(key, StreamAnswer { NodeId(1), 7, true, record, record.version_, true, record.version_ }).size() <= 80);
}

TEST_CASE("messages about suspects: one crash is small, and the largest message fits into a frame")
{
    const WireKey key = WireKey::fromHex(std::string(64, '0')).value();
    const SuspectRecord small { Fingerprint(7), 1, 0, 0s, std::nullopt, { { UpstreamId(8), 5s } } };
    MESSAGE("one record with one crash: " << encode(key, SuspectRecords { NodeId(1), false, { small } }).size() << " bytes");
    CHECK(encode(key, SuspectRecords { NodeId(1), false, { small } }).size() <= 80);
    SuspectRecord large = small;
    large.crashes_.assign(maxCrashesPerSuspect, { UpstreamId(8), 5s });
    const SuspectRecords message { NodeId(1), false, std::vector<SuspectRecord>(maxRecordsPerMessage, large) };
    MESSAGE("the largest message: " << encode(key, message).size() << " bytes");
    CHECK(encode(key, message).size() <= frameBytes);
}

// Guards against fields that are swapped or left out on the way: encoding twice wouldn't show them.
TEST_CASE("messages about shares: what a node reads is what the other one wrote")
{
    const ShareReport report = sentAndReceived(ShareReport { NodeId(1), Incarnation(2), 3, { { WorkspaceId(9), 4.25F }, { WorkspaceId(8), 0.5F } }, { { 7, 1.5F } } });
    CHECK((report.node_ == NodeId(1) && report.incarnation_ == Incarnation(2) && report.sequence_ == 3));
    REQUIRE((report.workspaces_.size() == 2 && report.ranks_.size() == 1));
    CHECK((report.workspaces_[0].workspace_ == WorkspaceId(9) && report.workspaces_[0].slots_ == 4.25F && report.workspaces_[1].slots_ == 0.5F));
    CHECK((report.ranks_[0].rank_ == 7 && report.ranks_[0].slots_ == 1.5F));
    const ShareSum sum = sentAndReceived(ShareSum { CellId(4), true, Incarnation(2), 3, { { WorkspaceId(9), 4.25F } }, { { 7, 1.5F } } });
    CHECK((sum.cell_ == CellId(4) && sum.isOfFleet_ && sum.incarnation_ == Incarnation(2) && sum.sequence_ == 3));
    CHECK((sum.workspaces_.size() == 1 && sum.workspaces_[0].slots_ == 4.25F && sum.ranks_.size() == 1 && sum.ranks_[0].rank_ == 7));
    CHECK_FALSE(sentAndReceived(ShareSum { CellId(4), false, Incarnation(2), 3, {}, {} }).isOfFleet_);
    const NodeReport waiting = reportOfWaiting({ { 0, true, 3, 2, 0.5F }, { 255, false, 4, 0, 1e6F } });
    CHECK(sentAndReceived(waiting).use_.waiting_ == waiting.use_.waiting_);
}

// Guards against a datagram that its receiver refuses because a list is too long: no report of a host with many workspaces would be accepted.
TEST_CASE("messages about shares: lists that are too long are cut to their first entries")
{
    ShareReport report { NodeId(1), Incarnation(2), 3, {}, {} };
    ShareSum sum { CellId(4), true, Incarnation(2), 3, {}, {} };
    std::vector<WaitingClass> classes;
    for (std::uint8_t number = 0; number < 200; ++number) {
        report.workspaces_.push_back({ WorkspaceId(number + 1U), 200.0F - number });
        report.ranks_.push_back({ number, 1 });
        classes.push_back({ number, true, 1, 1, 0 });
    }
    sum.workspaces_ = report.workspaces_;
    sum.ranks_ = report.ranks_;
    const ShareReport readReport = sentAndReceived(report);
    CHECK((readReport.workspaces_.size() == 64 && readReport.workspaces_.front().slots_ == 200 && readReport.ranks_.size() == 16 && readReport.ranks_.back().rank_ == 15));
    const ShareSum readSum = sentAndReceived(sum);
    CHECK((readSum.workspaces_.size() == 64 && readSum.ranks_.size() == 16));
    const NodeReport readWaiting = sentAndReceived(reportOfWaiting(classes));
    REQUIRE(readWaiting.use_.waiting_.size() == 1);
    CHECK((readWaiting.use_.waiting_[0].classes_.size() == 8 && readWaiting.use_.waiting_[0].classes_.back().rank_ == 7 && readWaiting.use_.waiting_[0].count_ == 7));
}
