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

/// @brief Amount of accelerator memory.
struct Bytes
{
    std::uint64_t count = 0;
    auto operator<=>(const Bytes &) const = default;
};

constexpr Bytes operator+(Bytes left, Bytes right)
{
    return Bytes{left.count + right.count};
}

/// @brief Callers that are treated alike.
struct CallerClass
{
    CallerClassId id;
    /// Share of the capacity under overload, relative to the other classes.
    std::uint32_t weight = 1;
    /// Passed on to engines; higher goes first.
    std::int32_t enginePriority = 0;
    /// Requests of the class that may wait at one instance.
    std::uint32_t maxQueued = 256;
    /// SHA-256 of the bearer credential, as hex; empty when the class needs none.
    std::string credentialHash;
    auto operator<=>(const CallerClass &) const = default;
};

/// @brief A model in one version, and how much of it may be loaded.
struct ModelSpec
{
    ModelId id;
    /// Accelerator memory of one replica, with its KV cache.
    Bytes memory;
    std::uint32_t minReplicas = 0;
    std::uint32_t maxReplicas = 1;
    /// Data centres where it may run; empty means any.
    std::vector<DataCentreId> dataCentres;
    /// Model that is likely wanted next; empty when there is none.
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

/// @brief Which published report and order calls an upstream speaks.
enum class Vendor { Araucaria, Bromelia, Cinchona };

/// @brief What an upstream does with a fencing number.
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
    /// Whether the upstream checks who gives it an order.
    bool checksSender = false;
    EngineRole role = EngineRole::Mixed;
    Bytes memory;
    std::uint32_t accelerators = 1;
    /// Requests that it works on at once.
    std::uint32_t maxConcurrent = 32;
    auto operator<=>(const UpstreamSpec &) const = default;
};

/// @brief Calls to a plain service, by path prefix.
struct ServiceRoute
{
    std::string pathPrefix;
    PoolId pool;
    /// Methods whose calls must not run twice, such as "POST".
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

/// @brief Limits of the weight store, for the whole fleet.
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
    /// Idle accelerator seconds that are worth one second of cold start.
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

/// @brief Everything that is in force at one revision.
struct Configuration
{
    Revision revision;
    std::vector<OperatorCredential> operators;
    std::vector<Deployment> deployments;
    auto operator<=>(const Configuration &) const = default;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace bamboochute
