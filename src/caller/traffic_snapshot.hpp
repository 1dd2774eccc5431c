/// @file
/// @brief Immutable state that traffic threads read: configuration, routing table and readiness.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/routing_table.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboochute::caller {

/// @brief A caller class with the deployment that it belongs to.
struct ClassEntry
{
    const Deployment *deployment = nullptr;
    const CallerClass *callerClass = nullptr;
    auto operator<=>(const ClassEntry &) const = default;
};

/// @brief A plain service's route with the deployment that it belongs to.
struct RouteEntry
{
    const Deployment *deployment = nullptr;
    const ServiceRoute *route = nullptr;
    auto operator<=>(const RouteEntry &) const = default;
};

/// @brief Index of the deployments, caller classes, models and routes of a configuration.
///
/// Shares ownership of the configuration that its results point into.
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(ConfigurationPointer configuration);

    /// @brief The class whose credential has this hash.
    /// @param credentialHash SHA-256 as lower-case hex
    /// @return an empty entry when no class has it
    ClassEntry classByCredentialHash(const std::string &credentialHash) const;

    /// @brief The first class of a deployment that needs no credential; null when there is none.
    static const CallerClass *classWithoutCredential(const Deployment &deployment);

    /// @brief The model or adapter with a name.
    /// @param deployment to search
    /// @param name "model", "model:adapter" or "adapter"
    /// @return the target; UnknownModel or UnknownAdapter when the deployment does not have it
    Result<Target> findTarget(const Deployment &deployment, std::string_view name) const;

    /// @brief The first deployment that has the model or adapter; null when there is none.
    const Deployment *deploymentWithTarget(std::string_view name) const;

    /// @brief The route with the longest prefix that matches a path; an empty entry when none does.
    /// @param path of the request, without its query
    RouteEntry findRoute(std::string_view path) const;

    const ConfigurationPointer &configuration() const noexcept
    {
        return this->indexedConfiguration;
    }

private:
    struct DeploymentTargets
    {
        std::unordered_map<std::string_view, const ModelSpec *> models;
        std::unordered_map<std::string_view, const AdapterSpec *> adapters;
    };

    ConfigurationPointer indexedConfiguration;
    std::unordered_map<std::string_view, ClassEntry> classByHash;
    std::unordered_map<const Deployment *, DeploymentTargets> targetsByDeployment;
    /// Longest prefix first.
    std::vector<RouteEntry> routes;
};

/// @brief State that the control thread publishes to the traffic threads.
struct TrafficSnapshot
{
    ConfigurationPointer configuration;
    RoutingTablePointer routing;
    std::shared_ptr<const ConfigurationIndex> index;
    /// Whether this instance reports that it is ready for requests.
    bool isReady = false;
    /// Index of this instance among the live instances, which share the slots of the upstreams.
    std::uint32_t instanceIndex = 0;
    std::uint32_t instanceCount = 1;
};

using TrafficSnapshotPointer = std::shared_ptr<const TrafficSnapshot>;

/// @brief Makes a snapshot; reuses the index of the previous one if the configuration is the same.
/// @param configuration in force
/// @param routing table with the replicas of each target
/// @param isReady whether this instance reports that it is ready for requests
/// @param previous snapshot before this one; may be null
TrafficSnapshot makeTrafficSnapshot(ConfigurationPointer configuration, RoutingTablePointer routing,
                                    bool isReady, const TrafficSnapshotPointer &previous = nullptr);

} // namespace bamboochute::caller
