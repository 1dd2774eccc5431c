/// @file
/// @brief The operators' configuration as immutable values.
///
/// Reading and writing it as JSON, and checking it, belongs to the package admin.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute {

/// @brief Address and port of a process, by IP number.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;
};

/// @brief Amount of accelerator memory, in bytes.
struct Bytes
{
    std::uint64_t count = 0;
    auto operator<=>(const Bytes &) const = default;
};

constexpr Bytes operator+(Bytes left, Bytes right)
{
    return Bytes{left.count + right.count};
}

/// @brief A class of callers that share a weight, priority, queue limit and credential.
struct CallerClass
{
    CallerClassId id;
    /// Share of the capacity under overload, relative to the other classes.
    std::uint32_t weight = 1;
    /// Priority that is passed on to engines; higher values are served first.
    std::int32_t enginePriority = 0;
    /// Largest number of requests of the class that may be queued at one instance.
    std::uint32_t maxQueued = 256;
    /// SHA-256 of the bearer credential, as hex; empty when the class needs none.
    std::string credentialHash;
    auto operator<=>(const CallerClass &) const = default;
};

/// @brief One version of a model, with its memory size and replica limits.
struct ModelSpec
{
    ModelId id;
    /// Accelerator memory of one replica, with its KV cache.
    Bytes memory;
    std::uint32_t minReplicas = 0;
    std::uint32_t maxReplicas = 1;
    /// Data centres where it may run; empty means any.
    std::vector<DataCentreId> dataCentres;
    /// Model that is likely to be requested next; empty when there is none.
    ModelId followedBy;
    auto operator<=>(const ModelSpec &) const = default;
};

/// @brief An adapter on a base model.
struct AdapterSpec
{
    AdapterId id;
    ModelId base;
    Bytes memory;
    std::uint32_t maxReplicas = 1;
    auto operator<=>(const AdapterSpec &) const = default;
};

/// @brief Vendor whose report and order API an upstream implements.
enum class Vendor { Araucaria, Bromelia, Cinchona };

/// @brief Whether an upstream refuses outdated fencing numbers or ignores all of them.
enum class Fencing { Refuses, Ignores };

enum class UpstreamKind { Engine, Service };

enum class EngineRole { Mixed, Prefill, Decode };

/// @brief One upstream: a worker with a model engine, or a plain service.
struct UpstreamSpec
{
    UpstreamId id;
    PoolId pool;
    UpstreamKind kind = UpstreamKind::Engine;
    Endpoint endpoint;
    DataCentreId dataCentre;
    Vendor vendor = Vendor::Araucaria;
    Fencing fencing = Fencing::Refuses;
    /// Whether the upstream authenticates the senders of orders.
    bool checksSender = false;
    EngineRole role = EngineRole::Mixed;
    Bytes memory;
    std::uint32_t accelerators = 1;
    /// Largest number of requests that it processes concurrently.
    std::uint32_t maxConcurrent = 32;
    auto operator<=>(const UpstreamSpec &) const = default;
};

/// @brief Maps calls with a path prefix to a pool of plain services.
struct ServiceRoute
{
    std::string pathPrefix;
    PoolId pool;
    /// HTTP methods whose calls must not run twice, such as "POST".
    std::vector<std::string> nonIdempotentMethods;
    /// How long a claimed operation key is remembered.
    std::chrono::seconds claimRetention{7200};
    auto operator<=>(const ServiceRoute &) const = default;
};

struct DeadlinePolicy
{
    std::chrono::milliseconds defaultDeadline{30000};
    std::chrono::milliseconds maxDeadline{600000};
    auto operator<=>(const DeadlinePolicy &) const = default;
};

/// @brief Limits on loads from the weight store, for the whole fleet.
struct StoreLimits
{
    double loadsPerSecond = 2.0;
    std::uint32_t loadsAtOnce = 4;
    std::uint32_t adaptersInTransit = 32;
    auto operator<=>(const StoreLimits &) const = default;
};

/// @brief One team's models, adapters, upstreams and callers.
struct Deployment
{
    DeploymentId id;
    std::vector<CallerClass> callerClasses;
    std::vector<ModelSpec> models;
    std::vector<AdapterSpec> adapters;
    std::vector<UpstreamSpec> upstreams;
    std::vector<ServiceRoute> routes;
    DeadlinePolicy deadlines;
    StoreLimits store;
    /// Idle accelerator seconds that cost as much as one second of cold start.
    double idleSecondsPerColdStartSecond = 60.0;
    auto operator<=>(const Deployment &) const = default;
};

/// @brief An operator who may use the administration API.
struct OperatorCredential
{
    std::string name;
    /// SHA-256 of the bearer credential, as hex.
    std::string credentialHash;
    auto operator<=>(const OperatorCredential &) const = default;
};

/// @brief The whole configuration at one revision.
struct Configuration
{
    Revision revision;
    std::vector<OperatorCredential> operators;
    std::vector<Deployment> deployments;
    auto operator<=>(const Configuration &) const = default;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace bamboochute
