// Validates a configuration when the table is created, so that later lookups can't meet an invalid route.
#include "routes/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace jj {

namespace {

    class RouteErrorCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "routes"; }
        std::string message(int value) const override
        {
            switch (static_cast<RouteError>(value)) {
            case RouteError::BadPrefix:
                return "a path prefix must begin and end with a slash";
            case RouteError::NoTarget:
                return "a route needs at least one service with a weight above zero";
            case RouteError::UnknownService:
                return "the configuration has no service with this name";
            case RouteError::DuplicateService:
                return "two services have the same name";
            }
            return "unknown error";
        }
    };

    std::uint64_t totalWeight(const Route& route)
    {
        std::uint64_t total = 0;
        for (const RouteTarget& target : route.targets_)
            total += target.weight_;
        return total;
    }

    std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

    bool isValidPrefix(std::string_view prefix) { return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/'; }

    Checked<void> checkRoute(const Route& route, const std::set<std::string_view>& services)
    {
        if (!isValidPrefix(route.pathPrefix_))
            return Failure { RouteError::BadPrefix, route.name_ };
        if (totalWeight(route) == 0)
            return Failure { RouteError::NoTarget, route.name_ };
        for (const RouteTarget& target : route.targets_) {
            if (!services.contains(target.service_))
                return Failure { RouteError::UnknownService, route.name_ + ": " + target.service_ };
        }
        return success();
    }

} // namespace

std::error_code make_error_code(RouteError error)
{
    static const RouteErrorCategory category;
    return { static_cast<int>(error), category };
}

std::string hostName(std::string_view hostHeader)
{
    const std::size_t bracket = hostHeader.rfind(']');
    const std::size_t colon = hostHeader.rfind(':');
    const bool hasPort = colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket);
    std::string name(hasPort ? hostHeader.substr(0, colon) : hostHeader);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

RouteTable::RouteTable(RouteConfig config, std::optional<WorkspaceTable> workspaces)
    : config_(std::move(config))
    , workspaces_(std::move(workspaces))
{
    buildIndex();
}

Checked<RouteTable> RouteTable::create(RouteConfig config)
{
    std::set<std::string_view> services;
    for (const RoutedService& service : config.services_) {
        if (!services.insert(service.name_).second)
            return Failure { RouteError::DuplicateService, service.name_ };
    }
    for (const Route& route : config.routes_) {
        if (auto checked = checkRoute(route, services); !checked)
            return checked.error();
    }
    std::optional<WorkspaceTable> workspaces;
    if (config.workspaces_) {
        BOOST_OUTCOME_TRY(workspaces, WorkspaceTable::create(*config.workspaces_));
    }
    return RouteTable(std::move(config), std::move(workspaces));
}

void RouteTable::buildIndex()
{
    for (std::size_t position = 0; position < config_.routes_.size(); ++position)
        byHost_[hostName(config_.routes_[position].host_)].push_back(position);
    for (auto& [host, positions] : byHost_) {
        std::stable_sort(positions.begin(), positions.end(), [this](std::size_t left, std::size_t right) {
            return config_.routes_[left].pathPrefix_.size() > config_.routes_[right].pathPrefix_.size();
        });
    }
}

const Route* RouteTable::select(std::string_view host, std::string_view target) const
{
    const auto found = byHost_.find(hostName(host));
    if (found == byHost_.end())
        return nullptr;
    const std::string_view path = pathOf(target);
    for (const std::size_t position : found->second) {
        if (path.starts_with(config_.routes_[position].pathPrefix_))
            return &config_.routes_[position];
    }
    return nullptr;
}

const Route* RouteTable::findBatchRoute(std::string_view host) const
{
    const auto found = byHost_.find(hostName(host));
    if (found == byHost_.end())
        return nullptr;
    for (const std::size_t position : found->second) {
        if (config_.routes_[position].kind_ == RouteKind::Batch)
            return &config_.routes_[position];
    }
    return nullptr;
}

const Route* RouteTable::findRoute(std::string_view name) const
{
    const auto found = std::find_if(config_.routes_.begin(), config_.routes_.end(), [name](const Route& route) { return route.name_ == name; });
    return found == config_.routes_.end() ? nullptr : &*found;
}

const RoutedService* RouteTable::service(std::string_view name) const
{
    const auto found = std::find_if(config_.services_.begin(), config_.services_.end(), [name](const RoutedService& service) { return service.name_ == name; });
    return found == config_.services_.end() ? nullptr : &*found;
}

const std::string& RouteTable::pickService(const Route& route, std::uint64_t draw)
{
    std::uint64_t rest = draw % totalWeight(route);
    for (const RouteTarget& target : route.targets_) {
        if (rest < target.weight_)
            return target.service_;
        rest -= target.weight_;
    }
    return route.targets_.front().service_;
}

} // namespace jj
