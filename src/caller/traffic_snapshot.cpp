#include "caller/traffic_snapshot.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

/// Matches the prefix itself and paths below it, but not a longer name: "/a" does not match "/ab".
bool prefixMatches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    const bool endsAtSlash = !prefix.empty() && prefix.back() == '/';
    return endsAtSlash || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

ConfigurationIndex::ConfigurationIndex(ConfigurationPointer configuration)
    : indexedConfiguration(std::move(configuration))
{
    for (const Deployment &deployment : this->indexedConfiguration->deployments) {
        for (const CallerClass &callerClass : deployment.callerClasses) {
            if (!callerClass.credentialHash.empty())
                this->classByHash.emplace(callerClass.credentialHash,
                                          ClassEntry{&deployment, &callerClass});
        }
        DeploymentTargets &targets = this->targetsByDeployment[&deployment];
        for (const ModelSpec &model : deployment.models)
            targets.models.emplace(model.id.value(), &model);
        for (const AdapterSpec &adapter : deployment.adapters)
            targets.adapters.emplace(adapter.id.value(), &adapter);
        for (const ServiceRoute &route : deployment.routes)
            this->routes.push_back({&deployment, &route});
    }
    std::stable_sort(this->routes.begin(), this->routes.end(),
                     [](const RouteEntry &left, const RouteEntry &right) {
                         return left.route->pathPrefix.size() > right.route->pathPrefix.size();
                     });
}

ClassEntry ConfigurationIndex::classByCredentialHash(const std::string &credentialHash) const
{
    const auto found = this->classByHash.find(credentialHash);
    return found == this->classByHash.end() ? ClassEntry{} : found->second;
}

const CallerClass *ConfigurationIndex::classWithoutCredential(const Deployment &deployment)
{
    const auto found = std::find_if(
            deployment.callerClasses.begin(), deployment.callerClasses.end(),
            [](const CallerClass &callerClass) { return callerClass.credentialHash.empty(); });
    return found == deployment.callerClasses.end() ? nullptr : &*found;
}

Result<Target> ConfigurationIndex::findTarget(const Deployment &deployment,
                                              std::string_view name) const
{
    const DeploymentTargets &targets = this->targetsByDeployment.at(&deployment);
    if (const auto model = targets.models.find(name); model != targets.models.end())
        return Target{model->second->id, AdapterId()};
    if (const auto adapter = targets.adapters.find(name); adapter != targets.adapters.end())
        return Target{adapter->second->base, adapter->second->id};
    const std::size_t colon = name.find(':');
    const std::string_view base = name.substr(0, colon);
    if (colon == std::string_view::npos || !targets.models.contains(base))
        return Error(ErrorKind::UnknownModel, fmt::format("model \"{}\" does not exist", name),
                     "model");
    const std::string_view adapterName = name.substr(colon + 1);
    const auto adapter = targets.adapters.find(adapterName);
    if (adapter == targets.adapters.end() || adapter->second->base.value() != base)
        return Error(ErrorKind::UnknownAdapter,
                     fmt::format("model \"{}\" has no adapter \"{}\"", base, adapterName), "model");
    return Target{adapter->second->base, adapter->second->id};
}

const Deployment *ConfigurationIndex::deploymentWithTarget(std::string_view name) const
{
    for (const Deployment &deployment : this->indexedConfiguration->deployments) {
        if (this->findTarget(deployment, name))
            return &deployment;
    }
    return nullptr;
}

RouteEntry ConfigurationIndex::findRoute(std::string_view path) const
{
    for (const RouteEntry &entry : this->routes) {
        if (prefixMatches(entry.route->pathPrefix, path))
            return entry;
    }
    return {};
}

TrafficSnapshot makeTrafficSnapshot(ConfigurationPointer configuration, RoutingTablePointer routing,
                                    bool isReady, const TrafficSnapshotPointer &previous)
{
    TrafficSnapshot snapshot;
    const bool canReuseIndex = previous && previous->configuration == configuration;
    snapshot.index = canReuseIndex ? previous->index
                                   : std::make_shared<const ConfigurationIndex>(configuration);
    snapshot.configuration = std::move(configuration);
    snapshot.routing = std::move(routing);
    snapshot.isReady = isReady;
    return snapshot;
}

} // namespace bamboochute::caller
