// Serializes the fields of each structure in the order of their declaration. The lengths of all lists and texts are limited.
#include "ConfigCodec.h"

#include "PeerMessages.h"
#include "wire/Fields.h"
#include "wire/MemoryStreams.h"

#include <cereal/types/optional.hpp>
#include <istream>
#include <ostream>

namespace jj {

namespace {

    constexpr std::size_t maxText = 4096;
    constexpr std::size_t maxRoutes = 65536;
    constexpr std::size_t maxTargets = 1024;
    constexpr std::size_t maxWorkspaces = 1U << 20U;
    constexpr std::size_t maxKeys = 4096; // of one workspace

} // namespace

// ---- cereal finds these functions by argument-dependent lookup; it prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)

template <class Archive>
void save(Archive& archive, const KeyFingerprint& key)
{
    archive(cereal::binary_data(key.bytes().data(), key.bytes().size()));
}

template <class Archive>
void load(Archive& archive, KeyFingerprint& key)
{
    KeyFingerprint::Bytes bytes {};
    archive(cereal::binary_data(bytes.data(), bytes.size()));
    key = KeyFingerprint(bytes);
}

template <class Archive>
void serialize(Archive& archive, Quota& quota)
{
    archive(quota.perSecond_, quota.burst_);
}

template <class Archive>
void serialize(Archive& archive, Workspace& workspace)
{
    archive(text<maxText>(workspace.name_), list<maxKeys>(workspace.keys_), workspace.priority_, workspace.quota_);
}

template <class Archive>
void serialize(Archive& archive, RouteTarget& target)
{
    archive(text<maxText>(target.service_), target.weight_);
}

template <class Archive>
void serialize(Archive& archive, Route& route)
{
    archive(text<maxText>(route.name_), text<maxText>(route.host_), text<maxText>(route.pathPrefix_), choice(route.kind_, RouteKind::Batch));
    archive(Milliseconds { route.timeout_ }, Milliseconds { route.targetLatency_ }, Milliseconds { route.maxEventGap_ }, route.priority_, route.maxAttempts_);
    archive(Flag { route.isPublic_ }, Flag { route.resumable_ }, list<maxTargets>(route.targets_), Milliseconds { route.runTarget_ }, Milliseconds { route.abandonAfter_ });
}

template <class Archive>
void serialize(Archive& archive, RoutedService& service)
{
    archive(text<maxText>(service.name_), text<maxText>(service.healthPath_), service.maxConnections_);
}

template <class Archive>
void serialize(Archive& archive, CallerLimits& limits)
{
    archive(limits.headerBytes_, limits.bodyBytes_, Milliseconds { limits.headerTime_ }, Milliseconds { limits.idle_ });
}

template <class Archive>
void serialize(Archive& archive, RouteConfig& config)
{
    bool hasWorkspaces = config.workspaces_.has_value();
    archive(config.version_, list<maxRoutes>(config.routes_), list<maxRoutes>(config.services_), config.limits_, Flag { hasWorkspaces });
    if (!hasWorkspaces)
        return;
    if (!config.workspaces_)
        config.workspaces_.emplace();
    archive(list<maxWorkspaces>(*config.workspaces_));
}

// NOLINTEND(readability-identifier-naming)

std::string encode(const RouteConfig& config)
{
    std::string bytes;
    StringSink sink(bytes);
    std::ostream stream(&sink);
    cereal::PortableBinaryOutputArchive archive(stream);
    RouteConfig copy = config; // cereal's field wrappers refer to fields that can be written
    archive(copy);
    return bytes;
}

Result<RouteConfig> decodeConfig(std::string_view bytes)
{
    ViewSource source(bytes);
    std::istream stream(&source);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        RouteConfig config;
        archive(config);
        if (!source.isEmpty())
            return PeerError::Unreadable;
        return config;
    } catch (const std::exception&) {
        return PeerError::Unreadable;
    }
}

} // namespace jj
