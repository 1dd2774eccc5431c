/// @file
/// @brief The step "classify": who asks, for what, by when, and whether it may run twice.
#pragma once

#include "caller/caller_request.hpp"
#include "caller/generation_body.hpp"
#include "caller/traffic_snapshot.hpp"

#include <optional>
#include <variant>

namespace bamboochute::caller {

/// @brief Calls that the server answers by itself.
enum class LocalCall { Health, Readiness, Metrics, Models };

/// @brief A call to a model engine.
struct GenerationCall
{
    GenerationKind kind = GenerationKind::Chat;
    GenerationBody body;
};

/// @brief A call to a plain service.
struct ServiceCall
{
    const ServiceRoute *route = nullptr;
    bool isIdempotent = true;
    /// Empty when the caller gave none.
    OperationKey operationKey;
};

/// @brief A request that goes to an upstream, with everything that the later steps need.
struct ClassifiedRequest
{
    const Deployment *deployment = nullptr;
    const CallerClass *callerClass = nullptr;
    Target target;
    TimePoint deadline;
    std::variant<GenerationCall, ServiceCall> call;

    bool isStream() const;
    bool isIdempotent() const;
    const OperationKey *operationKey() const;
    std::uint64_t prefix() const;
};

using Classified = std::variant<LocalCall, ClassifiedRequest>;

/// @brief Classifies a request.
/// @param request as it was read
/// @param snapshot in force; must outlive the result
/// @param limits of JSON bodies
Result<Classified> classify(const CallerRequest &request, const TrafficSnapshot &snapshot,
                            const ServerLimits &limits);

/// @brief The class that the request's bearer credential belongs to; empty when there is none.
ClassEntry classOfCredential(const CallerRequest &request, const TrafficSnapshot &snapshot);

/// @brief The identifier of a request: the caller's if it gave a usable one, else a new one.
/// @param given value of x-request-id
/// @param number of the request in this process
RequestId requestIdFor(std::string_view given, std::uint64_t seed, std::uint64_t number);

/// @brief The target under which calls to the services of a pool wait.
Target serviceTarget(const PoolId &pool);

/// @brief The pool of a target made by serviceTarget(); nothing for a model.
std::optional<PoolId> servicePool(const Target &target);

} // namespace bamboochute::caller
