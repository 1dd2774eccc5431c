#include "caller/classification.hpp"

#include "admission/operation_record.hpp"
#include "core/digest.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

constexpr std::string_view deadlineHeader = "x-request-deadline-ms";
constexpr std::string_view operationKeyHeader = "idempotency-key";
constexpr std::string_view servicePrefix = "service:";
constexpr std::size_t maxRequestIdBytes = 128;
constexpr std::size_t maxCredentialBytes = 4096;

struct PathEntry
{
    std::string_view path;
    std::string_view method;
    std::variant<LocalCall, GenerationKind> call;
};

constexpr std::array<PathEntry, 6> paths{{
        {"/v1/chat/completions", "POST", GenerationKind::Chat},
        {"/v1/completions", "POST", GenerationKind::Completion},
        {"/v1/models", "GET", LocalCall::Models},
        {"/healthz", "GET", LocalCall::Health},
        {"/readyz", "GET", LocalCall::Readiness},
        {"/metrics", "GET", LocalCall::Metrics},
}};

/// Methods that plain services may be called with.
constexpr std::array<std::string_view, 5> serviceMethods{"GET", "POST", "PUT", "PATCH", "DELETE"};

/// The credential of "Authorization: Bearer ..."; empty when there is none.
std::string_view bearerCredential(const CallerRequest &request)
{
    constexpr std::string_view scheme = "bearer ";
    const std::string_view value = request.headers().find("authorization");
    const bool isBearer = value.size() > scheme.size()
                          && upstream::sameHeaderName(value.substr(0, scheme.size()), scheme);
    return isBearer ? value.substr(scheme.size()) : std::string_view();
}

/// The class found by credential, else the class of the deployment that needs none.
Result<ClassEntry> chooseClass(const ClassEntry &byCredential, const Deployment *deployment)
{
    if (byCredential.callerClass)
        return byCredential;
    const CallerClass *withoutCredential
            = deployment ? ConfigurationIndex::classWithoutCredential(*deployment) : nullptr;
    if (!withoutCredential)
        return Error(ErrorKind::Unauthenticated, "the bearer credential is missing or unknown",
                     "authorization");
    return ClassEntry{deployment, withoutCredential};
}

Result<TimePoint> readDeadline(const CallerRequest &request, const DeadlinePolicy &policy)
{
    const std::string_view text = request.headers().find(deadlineHeader);
    if (!request.headers().contains(deadlineHeader))
        return request.arrival + Duration(policy.defaultDeadline);
    std::int64_t millis = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), millis);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    if (!isNumber || millis <= 0 || millis > policy.maxDeadline.count())
        return Error(ErrorKind::InvalidDeadline,
                     fmt::format("{} is \"{}\"; it must be a whole number of milliseconds from 1 "
                                 "to {}",
                                 deadlineHeader, text.substr(0, 32), policy.maxDeadline.count()),
                     std::string(deadlineHeader));
    return request.arrival + std::chrono::milliseconds(millis);
}

Result<Classification> classifyGeneration(const CallerRequest &request, GenerationKind kind,
                                          const TrafficSnapshot &snapshot,
                                          const ServerLimits &limits)
{
    Result<GenerationBody> body = parseGenerationBody(request.body, kind, limits.maxJsonDepth);
    if (!body)
        return body.error();
    const ClassEntry byCredential = classOfCredential(request, snapshot);
    const Deployment *deployment
            = byCredential.deployment ? byCredential.deployment
                                      : snapshot.index->deploymentWithTarget(body.value().model);
    if (!deployment)
        return Error(ErrorKind::UnknownModel,
                     fmt::format("model \"{}\" does not exist", body.value().model), "model");
    BOOST_OUTCOME_TRY(entry, chooseClass(byCredential, deployment));
    BOOST_OUTCOME_TRY(target, snapshot.index->findTarget(*deployment, body.value().model));
    BOOST_OUTCOME_TRY(deadline, readDeadline(request, deployment->deadlines));
    return Classification(ClassifiedRequest{deployment, entry.callerClass, std::move(target),
                                            deadline,
                                            GenerationCall{kind, std::move(body).value()}});
}

Result<ServiceCall> readServiceCall(const CallerRequest &request, const ServiceRoute &route)
{
    const auto &nonIdempotent = route.nonIdempotentMethods;
    ServiceCall call;
    call.route = &route;
    call.isIdempotent = std::find(nonIdempotent.begin(), nonIdempotent.end(), request.method())
                        == nonIdempotent.end();
    if (call.isIdempotent || !request.headers().contains(operationKeyHeader))
        return call;
    BOOST_OUTCOME_TRY(key,
                      admission::parseOperationKey(request.headers().find(operationKeyHeader)));
    call.operationKey = std::move(key);
    return call;
}

Result<Classification> classifyService(const CallerRequest &request,
                                       const TrafficSnapshot &snapshot)
{
    const RouteEntry entry = snapshot.index->findRoute(request.path());
    if (!entry.route)
        return Error(ErrorKind::UnknownPath,
                     fmt::format("path \"{}\" does not exist", request.path().substr(0, 256)),
                     "path");
    if (std::find(serviceMethods.begin(), serviceMethods.end(), request.method())
        == serviceMethods.end())
        return Error(ErrorKind::MethodNotAllowed,
                     fmt::format("method {} is not allowed", request.method().substr(0, 32)),
                     "method");
    const ClassEntry byCredential = classOfCredential(request, snapshot);
    const bool isOtherDeployment
            = byCredential.deployment && byCredential.deployment != entry.deployment;
    if (isOtherDeployment)
        return Error(ErrorKind::Forbidden,
                     fmt::format("path \"{}\" belongs to another deployment", request.path()),
                     "authorization");
    BOOST_OUTCOME_TRY(chosen, chooseClass(byCredential, entry.deployment));
    BOOST_OUTCOME_TRY(call, readServiceCall(request, *entry.route));
    BOOST_OUTCOME_TRY(deadline, readDeadline(request, entry.deployment->deadlines));
    return Classification(ClassifiedRequest{entry.deployment, chosen.callerClass,
                                            serviceTarget(entry.route->pool), deadline,
                                            std::move(call)});
}

} // namespace

bool ClassifiedRequest::isStream() const
{
    const auto *generation = std::get_if<GenerationCall>(&this->call);
    return generation && generation->body.isStream;
}

bool ClassifiedRequest::isIdempotent() const
{
    const auto *service = std::get_if<ServiceCall>(&this->call);
    return !service || service->isIdempotent;
}

const OperationKey *ClassifiedRequest::operationKey() const
{
    const auto *service = std::get_if<ServiceCall>(&this->call);
    return service && !service->operationKey.isEmpty() ? &service->operationKey : nullptr;
}

std::uint64_t ClassifiedRequest::prefixHash() const
{
    const auto *generation = std::get_if<GenerationCall>(&this->call);
    return generation ? generation->body.prefixHash : 0;
}

Result<Classification> classify(const CallerRequest &request, const TrafficSnapshot &snapshot,
                                const ServerLimits &limits)
{
    const std::string_view path = request.path();
    const auto *const row
            = std::find_if(paths.begin(), paths.end(),
                           [path](const PathEntry &known) { return known.path == path; });
    if (row == paths.end())
        return classifyService(request, snapshot);
    if (row->method != request.method())
        return Error(ErrorKind::MethodNotAllowed,
                     fmt::format("path \"{}\" allows only {}", path, row->method), "method");
    if (const auto *local = std::get_if<LocalCall>(&row->call))
        return Classification(*local);
    return classifyGeneration(request, std::get<GenerationKind>(row->call), snapshot, limits);
}

ClassEntry classOfCredential(const CallerRequest &request, const TrafficSnapshot &snapshot)
{
    const std::string_view credential = bearerCredential(request);
    if (credential.empty() || credential.size() > maxCredentialBytes)
        return {};
    return snapshot.index->classByCredentialHash(sha256Hex(credential));
}

RequestId requestIdFor(std::string_view given, std::uint64_t seed, std::uint64_t requestNumber)
{
    const auto isAllowed = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
               || c == '-' || c == '_' || c == '.';
    };
    const bool isUsable = !given.empty() && given.size() <= maxRequestIdBytes
                          && std::all_of(given.begin(), given.end(), isAllowed);
    return isUsable ? RequestId(std::string(given))
                    : RequestId(fmt::format("{:016x}-{:x}", seed, requestNumber));
}

Target serviceTarget(const PoolId &pool)
{
    return Target{ModelId(std::string(servicePrefix) + pool.value()), AdapterId()};
}

std::optional<PoolId> servicePool(const Target &target)
{
    const std::string &name = target.model.value();
    if (!name.starts_with(servicePrefix))
        return std::nullopt;
    return PoolId(name.substr(servicePrefix.size()));
}

} // namespace bamboochute::caller
