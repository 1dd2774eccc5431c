/// @file
/// @brief What the administration API tells of the running system.
#pragma once

#include "admin/configuration_in_force.hpp"
#include "core/routing_table.hpp"

#include <string>
#include <vector>

namespace bamboochute::admin {

/// @brief One instance as seen from the answering one.
struct InstanceStatus
{
    InstanceId id;
    DataCentreId dataCentre;
    /// Revision in force there.
    Revision revision;
    bool isReady = false;
    bool isLeaving = false;
    auto operator<=>(const InstanceStatus &) const = default;
};

/// @brief Replicas of a target in one pool.
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

/// @brief One upstream.
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

/// @brief Requests of one class that wait at the answering instance.
struct QueueStatus
{
    DeploymentId deployment;
    CallerClassId callerClass;
    std::uint32_t waiting = 0;
    std::uint32_t maxQueued = 0;
    auto operator<=>(const QueueStatus &) const = default;
};

/// @brief Who decides for a pool.
struct OwnerStatus
{
    PoolId pool;
    InstanceId owner;
    Fence fence;
    auto operator<=>(const OwnerStatus &) const = default;
};

/// @brief Health of the key-value service as the answering instance sees it.
struct KeyValueStatus
{
    bool isAvailable = false;
    std::chrono::milliseconds sinceLastAnswer{};
    auto operator<=>(const KeyValueStatus &) const = default;
};

/// @brief A rate or an amount that is limited for the fleet.
struct BudgetStatus
{
    /// Such as "store loads per second" or "key-value writes per second".
    std::string name;
    double used = 0;
    double limit = 0;
    auto operator<=>(const BudgetStatus &) const = default;
};

/// @brief Everything that GET /admin/v1/status answers.
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

/// @brief One step of a decision, in the order in which they were taken.
struct ExplanationStep
{
    /// Name of the step, such as "admit" or "place".
    std::string step;
    /// What was decided and why, without the caller's content.
    std::string text;
    auto operator<=>(const ExplanationStep &) const = default;
};

/// @brief Why a request or a placement went as it did.
struct Explanation
{
    std::string subject;
    std::vector<ExplanationStep> steps;
    auto operator<=>(const Explanation &) const = default;
};

/// @brief What a drain has done so far.
struct DrainStatus
{
    std::string subject;
    /// Requests and streams still running there.
    std::uint32_t running = 0;
    auto operator<=>(const DrainStatus &) const = default;
};

} // namespace bamboochute::admin
