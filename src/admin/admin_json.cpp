#include "admin/admin_json.hpp"

#include "admin/field_writer.hpp"

#include <array>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

using Json = nlohmann::ordered_json;

constexpr int indentation = 2;
/// Most lines of a difference in one response.
constexpr std::size_t maxDifferenceLines = 1000;
/// Most entries of replicas in a status response.
constexpr std::size_t maxReplicaEntries = 2000;

std::string_view runStateName(RunState state)
{
    constexpr std::array<std::string_view, 3> names{"not_run", "may_have_run", "run"};
    return names[static_cast<std::size_t>(state)];
}

AdminResponse makeJsonResponse(const Json &json, int status = 200)
{
    AdminResponse response;
    response.status = status;
    response.body = json.dump(indentation, ' ', false, Json::error_handler_t::replace) + "\n";
    return response;
}

Json toJson(const Error &error)
{
    Json json;
    json["id"] = error.row().id;
    json["code"] = error.row().code;
    json["type"] = error.row().type;
    json["message"] = error.message();
    json["param"] = error.field().empty() ? Json() : Json(error.field());
    json["runState"] = runStateName(error.row().runState);
    return json;
}

Json toJson(const ConfigurationRoot &root)
{
    Json json;
    json["revision"] = root.revision.value();
    json["submissionId"] = root.submissionId.value();
    json["author"] = root.author;
    json["timeMs"] = root.time.count();
    if (root.rolledBackTo != Revision())
        json["rolledBackTo"] = root.rolledBackTo.value();
    return json;
}

Json toJson(const std::vector<DifferenceLine> &lines)
{
    Json json = Json::array();
    for (const DifferenceLine &line : lines) {
        if (json.size() == maxDifferenceLines)
            break;
        json.push_back({{"kind", differenceKindName(line.kind)},
                        {"what", line.what},
                        {"before", line.before},
                        {"after", line.after}});
    }
    return json;
}

void addDifference(Json &json, const std::vector<DifferenceLine> &lines)
{
    json["difference"] = toJson(lines);
    json["differenceLines"] = lines.size();
}

Json acceptedJson(const SubmissionAccepted &accepted)
{
    Json json;
    json["root"] = toJson(accepted.root);
    json["dryRun"] = accepted.isDryRun;
    json["recordedBefore"] = accepted.wasRecordedBefore;
    addDifference(json, accepted.difference);
    return json;
}

Json conflictJson(const SubmissionConflict &conflict)
{
    const std::string message
            = fmt::format("the expected revision is not the current one, which is revision {} by "
                          "\"{}\"; check the difference and submit again with the current one",
                          conflict.winner.revision.value(), conflict.winner.author);
    Json json;
    json["error"] = toJson(Error(ErrorKind::RevisionConflict, message, "expectedRevision"));
    json["winner"] = toJson(conflict.winner);
    addDifference(json, conflict.difference);
    return json;
}

Json toJson(const InstanceStatus &status)
{
    return {{"id", status.id.value()},
            {"dataCentre", status.dataCentre.value()},
            {"revision", status.revision.value()},
            {"ready", status.isReady},
            {"leaving", status.isLeaving}};
}

Json toJson(const UpstreamStatus &status)
{
    return {{"id", status.id.value()},
            {"pool", status.pool.value()},
            {"leaving", status.isLeaving},
            {"load", status.load},
            {"memoryUsedBytes", status.memoryUsed.count},
            {"memoryBytes", status.memory.count}};
}

Json toJson(const ReplicaStatus &status)
{
    return {{"pool", status.pool.value()},
            {"model", status.target.model.value()},
            {"adapter", status.target.adapter.value()},
            {"loaded", status.loaded},
            {"loading", status.loading},
            {"unloading", status.unloading},
            {"maxReplicas", status.maxReplicas}};
}

Json toJson(const QueueStatus &status)
{
    return {{"deployment", status.deployment.value()},
            {"callerClass", status.callerClass.value()},
            {"waiting", status.waiting},
            {"maxQueued", status.maxQueued}};
}

Json toJson(const OwnerStatus &status)
{
    return {{"pool", status.pool.value()},
            {"owner", status.owner.value()},
            {"fence", status.fence.value()}};
}

Json toJson(const BudgetStatus &status)
{
    return {{"name", status.name}, {"used", status.used}, {"limit", status.limit}};
}

template<typename T>
Json toJsonArray(const std::vector<T> &values, std::size_t maxCount)
{
    Json json = Json::array();
    for (const T &value : values) {
        if (json.size() == maxCount)
            break;
        json.push_back(toJson(value));
    }
    return json;
}

} // namespace

AdminResponse errorResponse(const Error &error)
{
    AdminResponse response = makeJsonResponse({{"error", toJson(error)}}, error.row().httpStatus);
    response.retryAfter = error.retryAfter();
    return response;
}

AdminResponse submitResponse(const SubmitOutcome &outcome)
{
    if (const auto *accepted = std::get_if<SubmissionAccepted>(&outcome))
        return makeJsonResponse(acceptedJson(*accepted));
    return makeJsonResponse(conflictJson(std::get<SubmissionConflict>(outcome)),
                            errorRow(ErrorKind::RevisionConflict).httpStatus);
}

AdminResponse configurationResponse(const ConfigurationInForce &inForce)
{
    const ConfigurationPointer &configuration = inForce.configuration();
    if (configuration == nullptr)
        return errorResponse(Error(ErrorKind::NotReady, inForce.readiness().reason));
    Json json;
    json["root"] = toJson(inForce.newest());
    json["configuration"] = admin::toJson(*configuration);
    return makeJsonResponse(json);
}

AdminResponse historyResponse(const std::vector<ConfigurationRoot> &roots)
{
    return makeJsonResponse({{"revisions", toJsonArray(roots, roots.size())}});
}

AdminResponse statusResponse(const FleetStatus &status)
{
    Json json;
    json["answeredBy"] = status.answeredBy.value();
    json["newestRevision"] = status.newestRevision.value();
    json["instances"] = toJsonArray(status.instances, status.instances.size());
    json["upstreams"] = toJsonArray(status.upstreams, status.upstreams.size());
    json["replicas"] = toJsonArray(status.replicas, maxReplicaEntries);
    json["replicaLines"] = status.replicas.size();
    json["queues"] = toJsonArray(status.queues, status.queues.size());
    json["owners"] = toJsonArray(status.owners, status.owners.size());
    json["keyValue"] = {{"available", status.keyValue.isAvailable},
                        {"sinceLastAnswerMs", status.keyValue.sinceLastAnswer.count()}};
    json["budgets"] = toJsonArray(status.budgets, status.budgets.size());
    return makeJsonResponse(json);
}

AdminResponse drainResponse(const DrainStatus &status)
{
    return makeJsonResponse({{"subject", status.subject}, {"running", status.running}});
}

AdminResponse explanationResponse(const Explanation &explanation)
{
    Json steps = Json::array();
    for (const ExplanationStep &step : explanation.steps)
        steps.push_back({{"step", step.step}, {"text", step.text}});
    return makeJsonResponse({{"subject", explanation.subject}, {"steps", steps}});
}

AdminResponse metricsResponse(std::string text)
{
    AdminResponse response;
    response.contentType = "text/plain; version=0.0.4; charset=utf-8";
    response.body = std::move(text);
    return response;
}

AdminResponse healthResponse()
{
    return makeJsonResponse({{"healthy", true}});
}

AdminResponse readinessResponse(const Readiness &readiness)
{
    return makeJsonResponse({{"ready", readiness.isReady}, {"reason", readiness.reason}},
                            readiness.isReady ? 200 : errorRow(ErrorKind::NotReady).httpStatus);
}

} // namespace bamboochute::admin
