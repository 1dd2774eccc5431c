/// @file
/// @brief What traffic threads know: configuration, routing table and readiness. Immutable.
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

/// @brief Finds deployments, classes, models and routes of one configuration quickly.
///
/// Holds the configuration that it points into.
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(ConfigurationPointer configuration);

    /// @brief The class whose credential has this hash.
    /// @param credentialHash SHA-256 as lower-case hex
    /// @return an empty entry when no class has it
    ClassEntry classByCredential(const std::string &credentialHash) const;

    /// @brief The first class of a deployment that needs no credential; null when there is none.
    static const CallerClass *openClass(const Deployment &deployment);

    /// @brief The model or adapter that a request names.
    /// @param name "model", "model:adapter" or "adapter"
    /// @return UnknownModel or UnknownAdapter when the deployment has no such
    Result<Target> findTarget(const Deployment &deployment, std::string_view name) const;

    /// @brief The first deployment that has the model or adapter; null when there is none.
    const Deployment *deploymentWithTarget(std::string_view name) const;

    /// @brief The route with the longest prefix of a path; empty when there is none.
    /// @param path path of the request without its query
    RouteEntry findRoute(std::string_view path) const;

    const ConfigurationPointer &configuration() const noexcept { return this->source; }

private:
    struct DeploymentNames
    {
        std::unordered_map<std::string_view, const ModelSpec *> models;
        std::unordered_map<std::string_view, const AdapterSpec *> adapters;
    };

    ConfigurationPointer source;
    std::unordered_map<std::string_view, ClassEntry> byCredential;
    std::unordered_map<const Deployment *, DeploymentNames> names;
    /// Longest prefix first.
    std::vector<RouteEntry> routes;
};

/// @brief One state of the control thread, as the traffic threads see it.
struct TrafficSnapshot
{
    ConfigurationPointer configuration;
    RoutingTablePointer routing;
    std::shared_ptr<const ConfigurationIndex> index;
    /// Whether this instance may be given requests.
    bool isReady = false;
    /// This instance's place among the live instances, which share the upstreams' slots.
    std::uint32_t instanceIndex = 0;
    std::uint32_t instanceCount = 1;
};

using TrafficSnapshotPointer = std::shared_ptr<const TrafficSnapshot>;

/// @brief Makes a snapshot; the index is taken over from the previous one if it still fits.
/// @param configuration in force
/// @param routing where targets are loaded
/// @param isReady whether this instance may be given requests
/// @param previous snapshot before this one; may be null
TrafficSnapshot makeTrafficSnapshot(ConfigurationPointer configuration, RoutingTablePointer routing,
                                    bool isReady, const TrafficSnapshotPointer &previous = nullptr);

} // namespace bamboochute::caller
