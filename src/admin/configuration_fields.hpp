/// @file
/// @brief Describes the fields of the configuration; reader, writer, checker and schema visit them.
///
/// A visitor has a member function for each type of field: name, optionalName, names, text, hash,
/// address, pathPrefix, methods, number, signedNumber, decimal, duration, flag, choice,
/// formatVersion, object and list.
#pragma once

#include "admin/configuration_limits.hpp"
#include "core/configuration.hpp"

#include <array>
#include <concepts>
#include <string_view>
#include <type_traits>
#include <utility>

namespace bamboochute::admin {

template<typename T, typename Base>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Base>;

/// @brief Whether a field may be omitted from the JSON of a configuration.
enum class Presence { Required, Optional };

/// @brief Inclusive range of a number.
template<typename T>
struct Range
{
    T minimum;
    T maximum;
};

using NumberRange = Range<std::uint64_t>;

template<typename Enum, std::size_t count>
using ChoiceNames = std::array<std::pair<Enum, std::string_view>, count>;

constexpr ChoiceNames<Vendor, 3> vendorNames{{
        {Vendor::Araucaria, "araucaria"},
        {Vendor::Bromelia, "bromelia"},
        {Vendor::Cinchona, "cinchona"},
}};
constexpr ChoiceNames<Fencing, 2> fencingNames{{
        {Fencing::Refuses, "refuses"},
        {Fencing::Ignores, "ignores"},
}};
constexpr ChoiceNames<UpstreamKind, 2> upstreamKindNames{{
        {UpstreamKind::Engine, "engine"},
        {UpstreamKind::Service, "service"},
}};
constexpr ChoiceNames<EngineRole, 3> engineRoleNames{{
        {EngineRole::Mixed, "mixed"},
        {EngineRole::Prefill, "prefill"},
        {EngineRole::Decode, "decode"},
}};

/// HTTP methods that a route may list as not idempotent.
constexpr std::array<std::string_view, 6> knownMethods{
        "DELETE", "GET", "HEAD", "PATCH", "POST", "PUT",
};

template<typename Visitor, MaybeConst<OperatorCredential> Spec>
void visitFields(Visitor &visitor, Spec &credential)
{
    visitor.text("name", credential.name, maxNameLength);
    visitor.hash("credentialHash", credential.credentialHash, Presence::Required);
}

template<typename Visitor, MaybeConst<CallerClass> Spec>
void visitFields(Visitor &visitor, Spec &callerClass)
{
    visitor.name("id", callerClass.id);
    visitor.number("weight", callerClass.weight, NumberRange{1, maxClassWeight});
    visitor.signedNumber("enginePriority", callerClass.enginePriority,
                         Range<std::int64_t>{-maxEnginePriority, maxEnginePriority});
    visitor.number("maxQueued", callerClass.maxQueued, NumberRange{1, maxQueuedRequests});
    visitor.hash("credentialHash", callerClass.credentialHash, Presence::Optional);
}

template<typename Visitor, MaybeConst<ModelSpec> Spec>
void visitFields(Visitor &visitor, Spec &model)
{
    visitor.name("id", model.id);
    visitor.number("memoryBytes", model.memory.count, NumberRange{1, maxMemoryBytes},
                   Presence::Required);
    visitor.number("minReplicas", model.minReplicas, NumberRange{0, maxReplicasOfTarget});
    visitor.number("maxReplicas", model.maxReplicas, NumberRange{1, maxReplicasOfTarget});
    visitor.names("dataCentres", model.dataCentres, maxDataCentresOfModel);
    visitor.optionalName("followedBy", model.followedBy);
}

template<typename Visitor, MaybeConst<AdapterSpec> Spec>
void visitFields(Visitor &visitor, Spec &adapter)
{
    visitor.name("id", adapter.id);
    visitor.name("base", adapter.base);
    visitor.number("memoryBytes", adapter.memory.count, NumberRange{1, maxMemoryBytes},
                   Presence::Required);
    visitor.number("maxReplicas", adapter.maxReplicas, NumberRange{1, maxReplicasOfTarget});
}

template<typename Visitor, MaybeConst<UpstreamSpec> Spec>
void visitFields(Visitor &visitor, Spec &upstream)
{
    visitor.name("id", upstream.id);
    visitor.name("pool", upstream.pool);
    visitor.choice("kind", upstream.kind, upstreamKindNames, Presence::Required);
    visitor.address("address", upstream.endpoint.address);
    visitor.number("port", upstream.endpoint.port, NumberRange{1, 65535}, Presence::Required);
    visitor.name("dataCentre", upstream.dataCentre);
    visitor.choice("vendor", upstream.vendor, vendorNames, Presence::Optional);
    visitor.choice("fencing", upstream.fencing, fencingNames, Presence::Optional);
    visitor.flag("checksSender", upstream.checksSender);
    visitor.choice("role", upstream.role, engineRoleNames, Presence::Optional);
    visitor.number("memoryBytes", upstream.memory.count, NumberRange{0, maxMemoryBytes});
    visitor.number("accelerators", upstream.accelerators, NumberRange{0, maxAccelerators});
    visitor.number("maxConcurrent", upstream.maxConcurrent, NumberRange{1, maxConcurrentRequests});
}

template<typename Visitor, MaybeConst<ServiceRoute> Spec>
void visitFields(Visitor &visitor, Spec &route)
{
    visitor.pathPrefix("pathPrefix", route.pathPrefix);
    visitor.name("pool", route.pool);
    visitor.methods("nonIdempotentMethods", route.nonIdempotentMethods);
    visitor.duration("claimRetentionSeconds", route.claimRetention,
                     NumberRange{1, maxClaimRetentionSeconds});
}

template<typename Visitor, MaybeConst<DeadlinePolicy> Spec>
void visitFields(Visitor &visitor, Spec &deadlines)
{
    visitor.duration("defaultDeadlineMs", deadlines.defaultDeadline, NumberRange{1, maxDeadlineMs});
    visitor.duration("maxDeadlineMs", deadlines.maxDeadline, NumberRange{1, maxDeadlineMs});
}

template<typename Visitor, MaybeConst<StoreLimits> Spec>
void visitFields(Visitor &visitor, Spec &store)
{
    visitor.decimal("loadsPerSecond", store.loadsPerSecond,
                    Range<double>{minStoreLoadsPerSecond, maxStoreLoadsPerSecond});
    visitor.number("loadsAtOnce", store.loadsAtOnce, NumberRange{1, maxStoreLoadsAtOnce});
    visitor.number("adaptersInTransit", store.adaptersInTransit,
                   NumberRange{1, maxAdaptersInTransit});
}

/// @brief The fields of a deployment that are not lists.
template<typename Visitor, MaybeConst<Deployment> Spec>
void visitSettings(Visitor &visitor, Spec &deployment)
{
    visitor.object("deadlines", deployment.deadlines);
    visitor.object("store", deployment.store);
    visitor.decimal(
            "idleSecondsPerColdStartSecond", deployment.idleSecondsPerColdStartSecond,
            Range<double>{minIdleSecondsPerColdStartSecond, maxIdleSecondsPerColdStartSecond});
}

template<typename Visitor, MaybeConst<Deployment> Spec>
void visitFields(Visitor &visitor, Spec &deployment)
{
    visitor.name("id", deployment.id);
    visitSettings(visitor, deployment);
    visitor.list("callerClasses", deployment.callerClasses, maxCallerClasses);
    visitor.list("models", deployment.models, maxModels);
    visitor.list("adapters", deployment.adapters, maxAdapters);
    visitor.list("upstreams", deployment.upstreams, maxUpstreams);
    visitor.list("routes", deployment.routes, maxRoutes);
}

template<typename Visitor, MaybeConst<Configuration> Spec>
void visitFields(Visitor &visitor, Spec &configuration)
{
    visitor.formatVersion("formatVersion");
    visitor.list("operators", configuration.operators, maxOperators);
    visitor.list("deployments", configuration.deployments, maxDeployments);
}

} // namespace bamboochute::admin
