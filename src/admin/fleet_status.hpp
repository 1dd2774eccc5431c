/// @file
/// @brief Status of the running system in the administration API.
#pragma once

#include "admin/configuration_in_force.hpp"
#include "core/routing_table.hpp"

#include <string>
#include <vector>

namespace bamboochute::admin {

/// @brief One instance as seen by the responding instance.
struct InstanceStatus
{
    InstanceId id;
    DataCentreId dataCentre;
    /// Configuration revision in force there.
    Revision revision;
    bool isReady = false;
    bool isLeaving = false;
    auto operator<=>(const InstanceStatus &) const = default;
};

/// @brief Number of replicas of a target in one pool, by state.
struct ReplicaStatus
{
    PoolId pool;
    Target target;
    std::uint32_t loaded = 0;
    std::uint32_t loading = 0;
    std::uint32_t unloading = 0;
    std::uint32_t maxReplicas = 0;
    auto operator<=>(const ReplicaStatus &) const = default;
};

/// @brief Load and memory of one upstream.
struct UpstreamStatus
{
    UpstreamId id;
    PoolId pool;
    bool isLeaving = false;
    std::uint32_t load = 0;
    Bytes memoryUsed;
    Bytes memory;
    auto operator<=>(const UpstreamStatus &) const = default;
};

/// @brief Requests of one caller class that are queued at the responding instance.
struct QueueStatus
{
    DeploymentId deployment;
    CallerClassId callerClass;
    std::uint32_t waiting = 0;
    std::uint32_t maxQueued = 0;
    auto operator<=>(const QueueStatus &) const = default;
};

/// @brief The instance that owns a pool and decides on its placements.
struct OwnerStatus
{
    PoolId pool;
    InstanceId owner;
    Fence fence;
    auto operator<=>(const OwnerStatus &) const = default;
};

/// @brief Availability of the key-value service as seen by the responding instance.
struct KeyValueStatus
{
    bool isAvailable = false;
    std::chrono::milliseconds sinceLastAnswer{};
    auto operator<=>(const KeyValueStatus &) const = default;
};

/// @brief A rate or an amount with a fleet-wide limit.
struct BudgetStatus
{
    /// Such as "store loads per second" or "key-value writes per second".
    std::string name;
    double used = 0;
    double limit = 0;
    auto operator<=>(const BudgetStatus &) const = default;
};

/// @brief Content of the response to GET /admin/v1/status.
struct FleetStatus
{
    InstanceId answeredBy;
    Revision newestRevision;
    std::vector<InstanceStatus> instances;
    std::vector<UpstreamStatus> upstreams;
    std::vector<ReplicaStatus> replicas;
    std::vector<QueueStatus> queues;
    std::vector<OwnerStatus> owners;
    KeyValueStatus keyValue;
    std::vector<BudgetStatus> budgets;
    auto operator<=>(const FleetStatus &) const = default;
};

/// @brief One step of a decision.
struct ExplanationStep
{
    /// Name of the step, such as "admit" or "place".
    std::string step;
    /// What was decided and why; never contains content of the caller's request.
    std::string text;
    auto operator<=>(const ExplanationStep &) const = default;
};

/// @brief How a request was routed or a placement was decided; steps in the order in which they
/// were taken.
struct Explanation
{
    std::string subject;
    std::vector<ExplanationStep> steps;
    auto operator<=>(const Explanation &) const = default;
};

/// @brief Progress of a drain.
struct DrainStatus
{
    std::string subject;
    /// Requests and streams that are still running there.
    std::uint32_t running = 0;
    auto operator<=>(const DrainStatus &) const = default;
};

} // namespace bamboochute::admin
