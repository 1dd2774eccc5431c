/// @file
/// @brief Routes, services and engines as operators configure them, and an index to look up routes.
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

/// Names a group of upstreams that serve the same requests.
using ServiceId = Id<struct ServiceTag>;
using RouteId = Id<struct RouteTag>;

/// @brief Whether a request may run more than once.
enum class RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// Answers with a stream of events; may run again only if the route is resumable.
    Stream,
};

/// @brief The kind's name in metrics and in messages between instances.
std::string_view requestKindName(RequestKind kind) noexcept;

/// @brief Finds a kind by its name.
/// @return unset when there is none
std::optional<RequestKind> findRequestKind(std::string_view name) noexcept;

/// @brief A service with its share of a route's requests, relative to the route's other services.
struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 1;
    auto operator<=>(const WeightedService &) const = default;
};

/// @brief How requests for one host and path prefix are handled.
struct Route
{
    RouteId id;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// A broken stream may be continued at another upstream after the last event it delivered.
    bool isResumable = false;
    /// Longest time from a request's arrival to the end of its answer.
    Duration timeout{};
    /// Latency objective of an answer, or of the first event of a stream.
    Duration objective{};
    /// Objective for the longest gap between two events of a stream; zero when there is none.
    Duration maxEventGap{};
    /// Callers give up on a stream whose first event has not arrived after this time; zero: never.
    Duration maxFirstEventDelay{};
    /// Largest number of upstreams that may run the same request.
    std::uint32_t maxUpstreams = 1;
    /// Priority of the requests; zero is the most urgent.
    std::uint32_t priority = 0;
    std::vector<WeightedService> services;
    /// Requests need no key, and belong to no workspace.
    bool isPublic = false;
    auto operator<=>(const Route &) const = default;

    /// @brief The ids of the services that requests for the route may go to.
    std::set<ServiceId> serviceIds() const;

    /// @brief Whether a request that an upstream may have run can be sent to another one.
    bool mayRetry() const noexcept
    {
        return this->kind == RequestKind::Idempotent
               || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

/// @brief A model that an engine can load, with its size and load times.
struct ModelWeights
{
    ModelId id;
    double megabytes = 0;
    /// Time to load the weights from the weight store, the upstream's disk or its host memory.
    Duration storeLoadTime{};
    Duration diskLoadTime{};
    Duration memoryLoadTime{};
    /// Number of adapters of the model.
    std::uint32_t adapters = 0;
    /// Size of one adapter.
    double adapterMegabytes = 0;
    auto operator<=>(const ModelWeights &) const = default;
};

/// @brief The engine that all upstreams of a service run.
struct EngineSpec
{
    /// Requests that the engine runs in one batch.
    std::uint32_t slots = 1;
    /// Capacity of the KV cache in tokens, for running requests and cached prompts together.
    std::uint64_t kvCacheTokens = 0;
    /// Accelerator memory for weights and adapters, in megabytes.
    double weightMegabytes = 0;
    /// Adapters that an engine can hold at a time.
    std::uint32_t adapterSlots = 0;
    /// Loads from the weight store that may start per second, over all upstreams.
    double storeLoadsPerSecond = 0;
    std::vector<ModelWeights> models;
    auto operator<=>(const EngineSpec &) const = default;

    /// @brief Finds a model by its id.
    /// @return null when the engine has no such model
    const ModelWeights *find(const ModelId &model) const noexcept;
};

/// @brief A group of upstreams that serve the same requests.
struct Service
{
    ServiceId id;
    /// Connections that one upstream accepts in total.
    std::uint32_t maxConnections = 0;
    /// Unset for services without an engine.
    std::optional<EngineSpec> engine;
    /// Target of a GET that shows whether an upstream answers; empty if there is none.
    std::string probeTarget = {};
    auto operator<=>(const Service &) const = default;
};

/// @brief What a quota counts.
enum class QuotaUnit { Requests, Tokens };

/// @brief Limit of the requests of one workspace, over all instances together.
struct Quota
{
    QuotaUnit unit = QuotaUnit::Requests;
    /// Units per second; zero for no limit.
    double perSecond = 0;
    /// Units that may be used in addition at a time.
    double burst = 0;
    /// Tokens that a request counts if it does not state its number.
    double plainTokens = 0;
    auto operator<=>(const Quota &) const = default;

    bool isLimited() const noexcept { return this->perSecond > 0; }
};

/// @brief A team whose callers identify themselves by its keys.
struct Workspace
{
    WorkspaceId id;
    /// SHA-256 digests of its keys, as text.
    std::vector<std::string> keyDigests;
    /// Priority of its requests; unset to go by their routes.
    std::optional<std::uint32_t> priority;
    Quota quota;
    auto operator<=>(const Workspace &) const = default;
};

/// @brief Limits on the size of callers' requests and on the time to send them.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    auto operator<=>(const CallerLimits &) const = default;
};

/// @brief One version of the routes, services and caller limits.
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces = {};
    /// Whether callers need a key on routes that are not public, also if no workspace has one.
    bool areKeysNeeded = false;
    auto operator<=>(const RoutingConfiguration &) const = default;
};

/// @brief A routing configuration with an index of its routes; immutable.
class RouteIndex
{
public:
    explicit RouteIndex(RoutingConfiguration configuration);

    /// @brief Finds the route of a host with the longest matching path prefix.
    /// @param host value of the request's Host header; case and port are ignored
    /// @param target path and query of the request; the query is ignored
    /// @return null when no route matches
    const Route *find(std::string_view host, std::string_view target) const;

    /// @brief Finds a service by its id.
    /// @return null when there is no such service
    const Service *service(const ServiceId &id) const;

    /// @brief Whether callers have to identify themselves on routes that are not public.
    bool hasWorkspaces() const noexcept { return this->indexedConfiguration.areKeysNeeded; }

    /// @brief Finds the workspace that holds a key.
    /// @param key as the caller sent it
    /// @return null when no workspace holds it, or it is empty
    const Workspace *findWorkspace(std::string_view key) const;

    /// @brief Finds a workspace by its id.
    /// @return null when there is no such workspace
    const Workspace *workspace(const WorkspaceId &id) const;

    /// @brief Urgency of a workspace's requests for a route; zero is the most urgent.
    ///
    /// It is the route's priority while no workspace has one. Else requests are ranked by the
    /// workspace's priority, and those of equal ones by the route's.
    /// @param workspace null for callers that need no key
    std::uint32_t findUrgency(const Workspace *workspace, const Route &route) const;

    /// @brief Counts the distinct priorities of a service's routes that are less urgent than one.
    /// @param priority compared with the routes' priorities; zero is the most urgent
    std::uint32_t countLessUrgentPriorities(const ServiceId &service, std::uint32_t priority) const;

    /// @brief The services that may have begun a stream which a service is to go on with: itself,
    /// and the others of its resumable routes.
    std::set<ServiceId> findStreamServices(const ServiceId &service) const;

    const RoutingConfiguration &configuration() const noexcept
    {
        return this->indexedConfiguration;
    }

private:
    void rankPriorities();

    RoutingConfiguration indexedConfiguration;
    /// Key: normalized host, a space and the path prefix.
    std::unordered_map<std::string, const Route *> byPrefix;
    /// Key: digest of a workspace's key. Digests are compared in place of keys, so that the time of
    /// a comparison tells nothing about a key.
    std::unordered_map<std::string, const Workspace *> byKeyDigest;
    /// Priorities by which requests are ranked: the workspace's, or the route's if it has none, and
    /// the route's; empty while no workspace has one.
    std::set<std::pair<std::uint32_t, std::uint32_t>> ranks;
    /// Distinct urgencies of the requests for each service.
    std::map<ServiceId, std::set<std::uint32_t>> prioritiesByService;
    /// Services of the resumable routes to each service that have several.
    std::map<ServiceId, std::set<ServiceId>> streamServices;
};

using RouteIndexPointer = std::shared_ptr<const RouteIndex>;

} // namespace bamboochute::gateway
