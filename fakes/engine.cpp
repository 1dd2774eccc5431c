#include "fakes/engine.hpp"

#include "fakes/completion.hpp"
#include "fakes/engine_protocol.hpp"
#include "fakes/pause.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/upstream_call.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

using upstream::Awaitable;

constexpr Duration loadPollInterval = std::chrono::milliseconds(5);
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr std::size_t maxStoreAnswerBytes = 1 << 16;
constexpr Duration storeTimeout = std::chrono::minutes(10);

std::string formatStats(const EngineState &state)
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
                                  {"failed_transfers", stats.failedTransfers},
                                  {"tokens", stats.tokens}}
            .dump();
}

} // namespace

struct FakeEngine::Implementation
{
    Implementation(upstream::asio::io_context &context, EngineSettings settings)
        : context(context)
        , state(std::move(settings))
        , completions(context, this->state)
        , deadlineWatch(context)
        , pool(context, this->deadlineWatch, upstream::PoolLimits())
        , server(context, [this](FakeCall &call) { return this->handle(call); })
    {}

    Awaitable<void> handle(FakeCall &call)
    {
        const std::string_view path = call.request.path();
        if (path == "/v1/chat/completions" || path == "/v1/completions")
            co_await this->completions.run(call);
        else if (path == "/fake/stats")
            co_await call.writer.write(jsonAnswer(statusOk, formatStats(this->state)));
        else
            co_await this->handleControl(call);
    }

    /// Answers reports, orders and cancel calls in the vendor's dialect.
    Awaitable<void> handleControl(FakeCall &call)
    {
        const Vendor vendor = this->state.settings().vendor;
        const EngineRequest request = readEngineRequest(vendor, call.request);
        switch (request.kind) {
        case EngineRequestKind::Report:
            co_await call.writer.write(
                    writeReport(vendor, this->state.report(SteadyClock().now())));
            break;
        case EngineRequestKind::Order:
            co_await this->handleOrder(call, request.order);
            break;
        case EngineRequestKind::Cancel:
            this->completions.cancel(request.requestId);
            co_await call.writer.write(jsonAnswer(statusOk, "{}"));
            break;
        case EngineRequestKind::Malformed:
            co_await call.writer.write(jsonAnswer(statusBadRequest, R"({"error":"malformed"})"));
            break;
        case EngineRequestKind::Unknown:
            co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"unknown path"})"));
            break;
        }
    }

    Awaitable<void> handleOrder(FakeCall &call, upstream::Order order)
    {
        const std::string &credential = this->state.settings().orderCredential;
        const bool isAllowed
                = credential.empty()
                  || call.request.headers().find("authorization") == "Bearer " + credential;
        if (!isAllowed) {
            co_await call.writer.write(
                    jsonAnswer(statusUnauthorized, R"({"error":"unknown sender"})"));
            co_return;
        }
        // A repeated load order waits until the load in progress ends.
        co_await pauseWhile(this->context, loadPollInterval,
                            [this, &order] { return this->state.isAlreadyLoading(order); });
        std::optional<upstream::OrderOutcome> outcome = this->state.beginOrder(order);
        if (!outcome) {
            co_await this->runLoad(order);
            outcome = this->state.finishOrder(order);
        }
        co_await call.writer.write(writeOutcome(this->state.settings().vendor, *outcome));
    }

    /// Fetches the weights from the weight store, if one is set, and waits for the load time.
    Awaitable<void> runLoad(const upstream::Order &order)
    {
        const bool isModel = order.kind == upstream::OrderKind::LoadModel;
        const bool isAdapter = order.kind == upstream::OrderKind::LoadAdapter;
        if (!isModel && !isAdapter)
            co_return;
        const EngineSettings &settings = this->state.settings();
        if (settings.store) {
            const std::string head = std::string("GET /weights?kind=")
                                     + (isModel ? "model" : "adapter")
                                     + " HTTP/1.1\r\nHost: store\r\n\r\n";
            const TimePoint deadline = SteadyClock().now() + storeTimeout;
            const auto loaded = co_await upstream::sendAndReadAnswer(
                    this->pool, *settings.store, head, {}, deadline, maxStoreAnswerBytes,
                    upstream::ConnectionUse::Any);
            if (!loaded)
                ++this->state.stats.failedTransfers;
        }
        co_await pauseFor(this->context, isModel ? settings.loadTime : settings.adapterLoadTime);
    }

    upstream::asio::io_context &context;
    EngineState state;
    CompletionRunner completions;
    upstream::DeadlineWatch deadlineWatch;
    upstream::ConnectionPool pool;
    FakeHttpServer server;
};

FakeEngine::FakeEngine(upstream::asio::io_context &context, EngineSettings settings)
    : implementation(std::make_shared<Implementation>(context, std::move(settings)))
{}

FakeEngine::~FakeEngine() = default;

Result<Endpoint> FakeEngine::listen(const Endpoint &endpoint)
{
    return this->implementation->server.listen(endpoint);
}

void FakeEngine::close()
{
    this->implementation->server.close();
}

EngineState &FakeEngine::state()
{
    return this->implementation->state;
}

} // namespace bamboochute::fakes
