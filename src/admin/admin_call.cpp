#include "admin/admin_call.hpp"

#include "admin/configuration_limits.hpp"
#include "admin/request_target.hpp"

#include <string_view>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

Result<AdminCall> parseSubmit(const AdminRequest &request, ParameterReader &reader)
{
    BOOST_OUTCOME_TRY(expected, reader.number("expectedRevision"));
    BOOST_OUTCOME_TRY(submission, reader.name("submissionId", true));
    BOOST_OUTCOME_TRY(isDryRun, reader.flag("dryRun"));
    return AdminCall(
            SubmitCall{Revision(expected), SubmissionId(submission), isDryRun, request.body});
}

Result<AdminCall> parseRollback(ParameterReader &reader)
{
    BOOST_OUTCOME_TRY(revision, reader.number("revision"));
    BOOST_OUTCOME_TRY(expected, reader.number("expectedRevision"));
    BOOST_OUTCOME_TRY(submission, reader.name("submissionId", true));
    BOOST_OUTCOME_TRY(isDryRun, reader.flag("dryRun"));
    return AdminCall(RollbackCall{Revision(revision), Revision(expected), SubmissionId(submission),
                                  isDryRun});
}

Result<AdminCall> parsePlacement(ParameterReader &reader)
{
    BOOST_OUTCOME_TRY(model, reader.name("model", true));
    BOOST_OUTCOME_TRY(adapter, reader.name("adapter", false));
    return AdminCall(ExplainPlacementCall{Target{ModelId(model), AdapterId(adapter)}});
}

/// Returns the decoded identifier between a prefix and a suffix of a path; empty when they don't
/// match or the identifier isn't a valid name.
std::string extractPathSegment(std::string_view path, std::string_view prefix,
                               std::string_view suffix)
{
    const bool isMatch = path.size() > prefix.size() + suffix.size() && path.starts_with(prefix)
                         && path.ends_with(suffix);
    if (!isMatch)
        return {};
    const std::string_view segment
            = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    const auto decoded = percentDecode(segment);
    return decoded && isValidName(decoded.value()) ? decoded.value() : std::string();
}

/// A path and method, and the function that parses the call.
struct Route
{
    std::string_view path;
    std::string_view method;
    Result<AdminCall> (*parse)(const AdminRequest &, ParameterReader &);
};

template<typename Call>
Result<AdminCall> parseWithoutParameters(const AdminRequest &, ParameterReader &)
{
    return AdminCall(Call{});
}

constexpr Route routes[] = {
        {"/admin/v1/configuration", "POST", parseSubmit},
        {"/admin/v1/configuration", "GET", parseWithoutParameters<GetConfigurationCall>},
        {"/admin/v1/configuration/history", "GET", parseWithoutParameters<HistoryCall>},
        {"/admin/v1/configuration/rollback", "POST",
         [](const AdminRequest &, ParameterReader &reader) { return parseRollback(reader); }},
        {"/admin/v1/status", "GET", parseWithoutParameters<StatusCall>},
        {"/admin/v1/explain/placements", "GET",
         [](const AdminRequest &, ParameterReader &reader) { return parsePlacement(reader); }},
        {"/metrics", "GET", parseWithoutParameters<MetricsCall>},
        {"/healthz", "GET", parseWithoutParameters<HealthCall>},
        {"/readyz", "GET", parseWithoutParameters<ReadyCall>},
};

Error methodNotAllowedError(const AdminRequest &request, std::string_view path,
                            std::string_view allowed)
{
    constexpr std::size_t maxShownLength = 16;
    return Error(ErrorKind::MethodNotAllowed,
                 fmt::format("path \"{}\" accepts method {}, not \"{}\"", path, allowed,
                             request.method.substr(0, maxShownLength)));
}

Result<AdminCall> parsePathWithId(const AdminRequest &request, std::string_view path)
{
    const std::string upstream = extractPathSegment(path, "/admin/v1/upstreams/", "/drain");
    const std::string instance = extractPathSegment(path, "/admin/v1/instances/", "/drain");
    const std::string requestId = extractPathSegment(path, "/admin/v1/explain/requests/", "");
    const bool isDrain = !upstream.empty() || !instance.empty();
    if (!isDrain && requestId.empty())
        return Error(ErrorKind::UnknownPath,
                     fmt::format("path \"{}\" does not exist", path.substr(0, maxNameLength)));
    const std::string_view method = isDrain ? "POST" : "GET";
    if (request.method != method)
        return methodNotAllowedError(request, path, method);
    if (!upstream.empty())
        return AdminCall(DrainUpstreamCall{UpstreamId(upstream)});
    if (!instance.empty())
        return AdminCall(DrainInstanceCall{InstanceId(instance)});
    return AdminCall(ExplainRequestCall{RequestId(requestId)});
}

} // namespace

Result<AdminCall> parseCall(const AdminRequest &request)
{
    BOOST_OUTCOME_TRY(target, parseTarget(request.target));
    std::string allowed;
    for (const Route &route : routes) {
        if (route.path != target.path)
            continue;
        allowed += (allowed.empty() ? "" : " or ") + std::string(route.method);
        if (route.method != request.method)
            continue;
        ParameterReader reader(target.parameters);
        BOOST_OUTCOME_TRY(call, route.parse(request, reader));
        BOOST_OUTCOME_TRYV(reader.finish());
        return call;
    }
    if (!allowed.empty())
        return methodNotAllowedError(request, target.path, allowed);
    return parsePathWithId(request, target.path);
}

bool isPublic(const AdminCall &call) noexcept
{
    return std::holds_alternative<MetricsCall>(call) || std::holds_alternative<HealthCall>(call)
           || std::holds_alternative<ReadyCall>(call);
}

} // namespace bamboochute::admin
