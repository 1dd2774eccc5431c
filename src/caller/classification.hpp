/// @file
/// @brief The step "classify": caller class, target, deadline and idempotency of a request.
#pragma once

#include "caller/caller_request.hpp"
#include "caller/generation_body.hpp"
#include "caller/traffic_snapshot.hpp"

#include <optional>
#include <variant>

namespace bamboochute::caller {

/// @brief Calls that the server answers without an upstream.
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
    /// Value of the header idempotency-key; empty when it is missing or the call is idempotent.
    OperationKey operationKey;
};

/// @brief A request for an upstream, with what the later steps need to know of it.
struct ClassifiedRequest
{
    const Deployment *deployment = nullptr;
    const CallerClass *callerClass = nullptr;
    Target target;
    TimePoint deadline;
    std::variant<GenerationCall, ServiceCall> call;

    bool isStream() const;
    bool isIdempotent() const;
    /// @brief The operation key; null when there is none.
    const OperationKey *operationKey() const;
    /// @brief Hash of the beginning of the prompt; zero when there is none.
    std::uint64_t prefixHash() const;
};

/// @brief A local call, or a request for an upstream.
using Classification = std::variant<LocalCall, ClassifiedRequest>;

/// @brief Classifies a request.
/// @param request as it was read
/// @param snapshot in force; must outlive the result
/// @param limits whose maxJsonDepth bounds the body
/// @return UnknownPath, MethodNotAllowed, Unauthenticated, Forbidden, UnknownModel, UnknownAdapter,
/// InvalidDeadline, an invalid operation key, or an error of parseGenerationBody()
Result<Classification> classify(const CallerRequest &request, const TrafficSnapshot &snapshot,
                                const ServerLimits &limits);

/// @brief The caller class that the bearer credential of a request belongs to; an empty entry when
/// there is none.
ClassEntry classOfCredential(const CallerRequest &request, const TrafficSnapshot &snapshot);

/// @brief The identifier of a request: the caller's if it is short and of plain characters, else a
/// new one.
/// @param given value of x-request-id; may be empty
/// @param seed of this instance, which makes new identifiers differ between instances
/// @param requestNumber number of the request in this process
RequestId requestIdFor(std::string_view given, std::uint64_t seed, std::uint64_t requestNumber);

/// @brief The target that stands for the services of a pool in queues and usage counts.
Target serviceTarget(const PoolId &pool);

/// @brief The pool of a target made by serviceTarget(); nothing for a model.
std::optional<PoolId> servicePool(const Target &target);

} // namespace bamboochute::caller
