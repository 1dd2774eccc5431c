/// @file
/// @brief The operators' configuration of routes, services and engines, as the gateway uses it.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboochute::gateway {

/// A group of upstreams that answer the same calls.
using ServiceId = Id<struct ServiceTag>;
using RouteId = Id<struct RouteTag>;

/// @brief What may be repeated of a request.
enum class RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once for each request.
    NonIdempotent,
    /// Answers with a series of events; may be repeated only where the route is resumable.
    Stream,
};

/// @brief A service that gets a share of a route's requests.
struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 1;
    auto operator<=>(const WeightedService &) const = default;
};

/// @brief Requests of one host below one path prefix.
struct Route
{
    RouteId id;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// A broken stream may go on at another upstream after its last event.
    bool isResumable = false;
    /// Longest time that a caller is kept waiting for the end of its answer.
    Duration timeout{};
    /// Time within which an answer, or the first event of a stream, is on time.
    Duration objective{};
    /// Longest pause between two events of a stream that is on time.
    Duration maxEventGap{};
    /// Callers leave when the first event of a stream has not come after this time; zero: never.
    Duration maxFirstEventDelay{};
    /// Upstreams that may run one request.
    std::uint32_t maxUpstreams = 1;
    /// Rank of the requests; zero is the most urgent.
    std::uint32_t priority = 0;
    std::vector<WeightedService> services;
    auto operator<=>(const Route &) const = default;

    /// @brief Whether a request may run at a second upstream after it may have run at a first.
    bool mayRetry() const noexcept
    {
        return this->kind == RequestKind::Idempotent
               || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

/// @brief A model that an engine can load, and how long that takes from each place.
struct ModelWeights
{
    ModelId id;
    double megabytes = 0;
    /// Load times by the place of the copy: weight store, the upstream's disk, its host memory.
    Duration storeLoadTime{};
    Duration diskLoadTime{};
    Duration memoryLoadTime{};
    std::uint32_t adapters = 0;
    double adapterMegabytes = 0;
    auto operator<=>(const ModelWeights &) const = default;
};

/// @brief The engine that all upstreams of a service run.
struct EngineSpec
{
    /// Requests in one batch.
    std::uint32_t slots = 1;
    /// Tokens of running requests and kept prompts together.
    std::uint64_t kvCacheTokens = 0;
    /// Accelerator memory for weights and adapters.
    double weightMegabytes = 0;
    std::uint32_t adapterSlots = 0;
    /// Loads from the weight store that may begin in a second, over all upstreams.
    double storeLoadsPerSecond = 0;
    std::vector<ModelWeights> models;
    auto operator<=>(const EngineSpec &) const = default;

    /// @brief The model with an id; null when the configuration has none.
    const ModelWeights *find(const ModelId &model) const noexcept;
};

struct Service
{
    ServiceId id;
    /// Connections that one upstream accepts from all callers together.
    std::uint32_t maxConnections = 0;
    /// Nothing at plain services.
    std::optional<EngineSpec> engine;
    auto operator<=>(const Service &) const = default;
};

/// @brief Bounds of what callers may send and how long they may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    auto operator<=>(const CallerLimits &) const = default;
};

/// @brief Everything that is in force at one version.
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    auto operator<=>(const RoutingConfiguration &) const = default;
};

/// @brief A catalogue with an index of its routes; immutable.
class RouteIndex
{
public:
    explicit RouteIndex(RoutingConfiguration configuration);

    /// @brief The route with the longest prefix of a path among those of a host.
    /// @param host as in the request's header; case and a port don't matter
    /// @param target path and query of the request
    /// @return null when no route matches
    const Route *find(std::string_view host, std::string_view target) const;

    /// @brief The service with an id; null when there is none.
    const Service *service(const ServiceId &id) const;

    /// @brief Ranks among the routes to a service that are less urgent than a priority.
    std::uint32_t countLessUrgentPriorities(const ServiceId &service, std::uint32_t priority) const;

    const RoutingConfiguration &configuration() const noexcept
    {
        return this->indexedConfiguration;
    }

private:
    RoutingConfiguration indexedConfiguration;
    /// By host, a space and the prefix.
    std::unordered_map<std::string, const Route *> byPrefix;
    /// Priorities that the routes to a service have.
    std::map<ServiceId, std::set<std::uint32_t>> prioritiesByService;
};

using RouteIndexPointer = std::shared_ptr<const RouteIndex>;

} // namespace bamboochute::gateway
