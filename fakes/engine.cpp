#include "fakes/engine.hpp"

#include "fakes/completion.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

using upstream::Awaitable;

constexpr int statusNotFound = 404;

std::string statsBody(const EngineState &state)
{
    const EngineStats &stats = state.stats;
    return nlohmann::ordered_json{{"loads", stats.loads},
                                  {"unloads", stats.unloads},
                                  {"duplicate_loads", stats.duplicateLoads},
                                  {"overcommitted", stats.overcommitted},
                                  {"stale_orders", stats.staleOrders},
                                  {"requests", stats.requests},
                                  {"running", state.running},
                                  {"cancelled", stats.cancelled},
                                  {"resumed", stats.resumed},
                                  {"failed", stats.failed},
                                  {"tokens", stats.tokens}}
            .dump();
}

} // namespace

struct FakeEngine::Parts
{
    Parts(upstream::asio::io_context &context, EngineSettings settings)
        : state(std::move(settings))
        , completions(context, this->state)
        , server(context, [this](FakeCall &call) { return this->handle(call); })
    {}

    Awaitable<void> handle(FakeCall &call)
    {
        const std::string_view path = call.request.path();
        if (path == "/v1/chat/completions" || path == "/v1/completions")
            co_await this->completions.run(call);
        else if (path == "/fake/stats")
            co_await call.writer.write(jsonAnswer(200, statsBody(this->state)));
        else
            co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"unknown path"})"));
    }

    EngineState state;
    CompletionRunner completions;
    FakeHttpServer server;
};

FakeEngine::FakeEngine(upstream::asio::io_context &context, EngineSettings settings)
    : parts(std::make_shared<Parts>(context, std::move(settings)))
{}

FakeEngine::~FakeEngine() = default;

Result<Endpoint> FakeEngine::listen(const Endpoint &endpoint)
{
    return this->parts->server.listen(endpoint);
}

void FakeEngine::close()
{
    this->parts->server.close();
}

EngineState &FakeEngine::state()
{
    return this->parts->state;
}

} // namespace bamboochute::fakes
