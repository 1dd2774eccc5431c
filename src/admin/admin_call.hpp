/// @file
/// @brief The calls of the administration API, and how they are parsed from HTTP requests.
#pragma once

#include "admin/admin_message.hpp"
#include "admin/configuration_root.hpp"
#include "core/routing_table.hpp"

#include <variant>

namespace bamboochute::admin {

/// POST /admin/v1/configuration?expectedRevision=N&submissionId=ID&dryRun=true
struct SubmitCall
{
    Revision expectedRevision;
    SubmissionId submissionId;
    bool isDryRun = false;
    std::string text;
};

/// POST /admin/v1/configuration/rollback?revision=N&expectedRevision=N&submissionId=ID&dryRun=true
struct RollbackCall
{
    Revision revision;
    Revision expectedRevision;
    SubmissionId submissionId;
    bool isDryRun = false;
};

/// GET /admin/v1/configuration
struct GetConfigurationCall
{};

/// GET /admin/v1/configuration/history
struct HistoryCall
{};

/// GET /admin/v1/status
struct StatusCall
{};

/// POST /admin/v1/upstreams/ID/drain
struct DrainUpstreamCall
{
    UpstreamId upstream;
};

/// POST /admin/v1/instances/ID/drain
struct DrainInstanceCall
{
    InstanceId instance;
};

/// GET /admin/v1/explain/requests/ID
struct ExplainRequestCall
{
    RequestId request;
};

/// GET /admin/v1/explain/placements?model=ID&adapter=ID
struct ExplainPlacementCall
{
    Target target;
};

/// GET /metrics
struct MetricsCall
{};

/// GET /healthz
struct HealthCall
{};

/// GET /readyz
struct ReadyCall
{};

using AdminCall = std::variant<SubmitCall, RollbackCall, GetConfigurationCall, HistoryCall,
                               StatusCall, DrainUpstreamCall, DrainInstanceCall, ExplainRequestCall,
                               ExplainPlacementCall, MetricsCall, HealthCall, ReadyCall>;

/// @brief Parses the path, method and query of a request.
/// @return the call; or UnknownPath, MethodNotAllowed, MalformedRequest, or InvalidField with the
/// name of the parameter
Result<AdminCall> parseCall(const AdminRequest &request);

/// @brief Whether a call needs no credential.
bool isPublic(const AdminCall &call) noexcept;

} // namespace bamboochute::admin
