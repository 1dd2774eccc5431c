#include "caller/local_answers.hpp"

#include "caller/server.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

constexpr std::string_view plainText = "text/plain; charset=utf-8";
constexpr std::string_view metricsType = "text/plain; version=0.0.4; charset=utf-8";

nlohmann::ordered_json modelEntry(const std::string &name, const DeploymentId &owner)
{
    return {{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", owner.value()}};
}

/// The models and adapters that the caller may use, as the JSON list of the OpenAI API.
std::string modelList(const Exchange &exchange)
{
    const ClassEntry entry = classOfCredential(exchange.request, *exchange.snapshot);
    nlohmann::ordered_json data = nlohmann::ordered_json::array();
    for (const Deployment &deployment : exchange.snapshot->configuration->deployments) {
        const bool isOwnDeployment = entry.deployment == &deployment;
        const bool isOpen
                = !entry.deployment && ConfigurationIndex::classWithoutCredential(deployment);
        if (!isOwnDeployment && !isOpen)
            continue;
        for (const ModelSpec &model : deployment.models)
            data.push_back(modelEntry(model.id.value(), deployment.id));
        for (const AdapterSpec &adapter : deployment.adapters)
            data.push_back(
                    modelEntry(adapter.base.value() + ":" + adapter.id.value(), deployment.id));
    }
    return nlohmann::ordered_json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

std::optional<Error> readinessError(const Exchange &exchange)
{
    if (exchange.thread.server.isDraining)
        return Error(ErrorKind::Draining, "this instance is stopping");
    if (!exchange.snapshot || !exchange.snapshot->isReady)
        return Error(ErrorKind::NotReady, "this instance has no configuration yet");
    return std::nullopt;
}

Answer textAnswer(std::string_view type, std::string body)
{
    Answer answer;
    answer.contentType = type;
    answer.body = std::move(body);
    return answer;
}

} // namespace

Awaitable<void> answerLocally(Exchange &exchange, LocalCall call)
{
    Answer answer;
    switch (call) {
    case LocalCall::Health:
        answer = textAnswer(plainText, "ok\n");
        break;
    case LocalCall::Readiness:
        if (const auto error = readinessError(exchange))
            co_return co_await exchange.answerError(*error);
        answer = textAnswer(plainText, "ready\n");
        break;
    case LocalCall::Metrics:
        answer = textAnswer(metricsType, metricsText(exchange.thread.server.metrics));
        break;
    case LocalCall::Models:
        answer.body = modelList(exchange);
        break;
    }
    co_await exchange.writer.write(answer);
}

Awaitable<void> answerWithoutSnapshot(Exchange &exchange)
{
    const std::string_view path = exchange.request.path();
    if (path == "/healthz")
        co_return co_await answerLocally(exchange, LocalCall::Health);
    if (path == "/metrics")
        co_return co_await answerLocally(exchange, LocalCall::Metrics);
    co_await exchange.answerError(
            Error(ErrorKind::NotReady, "this instance has no configuration yet"));
}

} // namespace bamboochute::caller
