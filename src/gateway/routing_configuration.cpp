#include "gateway/routing_configuration.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace bamboochute::gateway {

namespace {

constexpr std::array<std::string_view, 3> requestKindNames{"idempotent", "non_idempotent",
                                                           "stream"};

/// Removes the port and converts to lower case.
std::string normalizeHost(std::string_view host)
{
    std::string normalized(host.substr(
            0, host.rfind(':') == std::string_view::npos ? host.size() : host.rfind(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalized;
}

std::string makeIndexKey(std::string_view normalizedHost, std::string_view prefix)
{
    std::string key(normalizedHost);
    key += ' ';
    key += prefix;
    return key;
}

} // namespace

std::string_view requestKindName(RequestKind kind) noexcept
{
    return requestKindNames[static_cast<std::size_t>(kind)];
}

std::optional<RequestKind> findRequestKind(std::string_view name) noexcept
{
    const auto found = std::find(requestKindNames.begin(), requestKindNames.end(), name);
    if (found == requestKindNames.end())
        return std::nullopt;
    return static_cast<RequestKind>(found - requestKindNames.begin());
}

std::set<ServiceId> Route::serviceIds() const
{
    std::set<ServiceId> ids;
    for (const WeightedService &weighted : this->services)
        ids.insert(weighted.service);
    return ids;
}

const ModelWeights *EngineSpec::find(const ModelId &model) const noexcept
{
    const auto found = std::find_if(this->models.begin(), this->models.end(),
                                    [&model](const ModelWeights &one) { return one.id == model; });
    return found == this->models.end() ? nullptr : &*found;
}

RouteIndex::RouteIndex(RoutingConfiguration configuration)
    : indexedConfiguration(std::move(configuration))
{
    for (const Route &route : this->indexedConfiguration.routes)
        this->byPrefix.emplace(makeIndexKey(normalizeHost(route.host), route.pathPrefix), &route);
    for (const Workspace &workspace : this->indexedConfiguration.workspaces) {
        for (const std::string &digest : workspace.keyDigests)
            this->byKeyDigest.emplace(digest, &workspace);
    }
    this->rankPriorities();
    for (const Route &route : this->indexedConfiguration.routes) {
        for (const WeightedService &weighted : route.services) {
            std::set<std::uint32_t> &urgencies = this->prioritiesByService[weighted.service];
            urgencies.insert(this->findUrgency(nullptr, route));
            for (const Workspace &workspace : this->indexedConfiguration.workspaces) {
                if (!route.isPublic)
                    urgencies.insert(this->findUrgency(&workspace, route));
            }
        }
        if (!route.isResumable || route.services.size() < 2)
            continue;
        const std::set<ServiceId> ids = route.serviceIds();
        for (const ServiceId &id : ids)
            this->streamServices[id].insert(ids.begin(), ids.end());
    }
}

std::set<ServiceId> RouteIndex::findStreamServices(const ServiceId &service) const
{
    const auto found = this->streamServices.find(service);
    return found == this->streamServices.end() ? std::set{service} : found->second;
}

std::uint32_t RouteIndex::countLessUrgentPriorities(const ServiceId &service,
                                                    std::uint32_t priority) const
{
    const auto found = this->prioritiesByService.find(service);
    if (found == this->prioritiesByService.end())
        return 0;
    return static_cast<std::uint32_t>(
            std::distance(found->second.upper_bound(priority), found->second.end()));
}

const Route *RouteIndex::find(std::string_view host, std::string_view target) const
{
    const std::string normalized = normalizeHost(host);
    std::string_view prefix = target.substr(0, target.find('?'));
    while (!prefix.empty()) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found
                = this->byPrefix.find(makeIndexKey(normalized, prefix.substr(0, slash + 1)));
        if (found != this->byPrefix.end())
            return found->second;
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

const Service *RouteIndex::service(const ServiceId &id) const
{
    const auto found = std::find_if(this->indexedConfiguration.services.begin(),
                                    this->indexedConfiguration.services.end(),
                                    [&id](const Service &service) { return service.id == id; });
    return found == this->indexedConfiguration.services.end() ? nullptr : &*found;
}

void RouteIndex::rankPriorities()
{
    const auto &workspaces = this->indexedConfiguration.workspaces;
    const bool hasPriorities
            = std::any_of(workspaces.begin(), workspaces.end(),
                          [](const Workspace &one) { return one.priority.has_value(); });
    if (!hasPriorities)
        return;
    for (const Route &route : this->indexedConfiguration.routes) {
        this->ranks.emplace(route.priority, route.priority);
        for (const Workspace &workspace : workspaces)
            this->ranks.emplace(workspace.priority.value_or(route.priority), route.priority);
    }
}

std::uint32_t RouteIndex::findUrgency(const Workspace *workspace, const Route &route) const
{
    if (this->ranks.empty())
        return route.priority;
    const std::uint32_t first
            = workspace != nullptr ? workspace->priority.value_or(route.priority) : route.priority;
    const auto found = this->ranks.lower_bound({first, route.priority});
    return static_cast<std::uint32_t>(std::distance(this->ranks.begin(), found));
}

const Workspace *RouteIndex::findWorkspace(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    const auto found = this->byKeyDigest.find(sha256Hex(key));
    return found == this->byKeyDigest.end() ? nullptr : found->second;
}

const Workspace *RouteIndex::workspace(const WorkspaceId &id) const
{
    const auto &workspaces = this->indexedConfiguration.workspaces;
    const auto found = std::find_if(workspaces.begin(), workspaces.end(),
                                    [&id](const Workspace &one) { return one.id == id; });
    return found == workspaces.end() ? nullptr : &*found;
}

} // namespace bamboochute::gateway
