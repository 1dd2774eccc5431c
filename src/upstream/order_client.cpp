#include "upstream/order_client.hpp"

#include "upstream/dialects.hpp"
#include "upstream/upstream_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::upstream {

namespace {

constexpr std::size_t maxAnswerBytes = 4 << 20;
constexpr std::size_t maxIdlePerEngine = 2;

std::string formatRequestHead(const DialectCall &call, const UpstreamSpec &upstream,
                              const std::string &credential)
{
    std::string head = fmt::format("{} {} HTTP/1.1\r\nHost: {}:{}\r\n", call.method, call.target,
                                   upstream.endpoint.address, upstream.endpoint.port);
    appendHeader(head, "Content-Type", "application/json");
    appendHeader(head, "Content-Length", std::to_string(call.body.size()));
    if (upstream.checksSender && !credential.empty())
        appendHeader(head, "Authorization", "Bearer " + credential);
    head += call.headers;
    head += "\r\n";
    return head;
}

OrderOutcome makeFailureOutcome(const CallError &error)
{
    if (error.isAnythingWritten)
        return OrderUnconfirmed{error.message};
    return OrderNotSent{error.message};
}

std::string_view outcomeName(const OrderOutcome &outcome)
{
    constexpr std::array<std::string_view, 5> names{"done", "stale", "refused", "unconfirmed",
                                                    "not_sent"};
    return names[outcome.index()];
}

} // namespace

struct OrderClient::State
{
    State(asio::io_context &context, std::string credential, Metrics &metrics,
          OrderTimeouts timeouts)
        : context(context)
        , credential(std::move(credential))
        , metrics(metrics)
        , timeouts(timeouts)
        , watch(context)
        , pool(context, this->watch, PoolLimits{maxIdlePerEngine, timeouts.connect, 1 << 20})
    {}

    /// An order is never repeated, so it uses a new connection: the engine may be about to close an
    /// idle one.
    Awaitable<OrderOutcome> send(Order order, UpstreamSpec upstream)
    {
        const DialectCall call = withDialect(upstream.vendor, [&order](auto dialect) {
            return decltype(dialect)::orderCall(order);
        });
        const bool isLoad
                = order.kind == OrderKind::LoadModel || order.kind == OrderKind::LoadAdapter;
        const TimePoint deadline
                = SteadyClock().now() + (isLoad ? this->timeouts.load : this->timeouts.order);
        const CallResult<WholeAnswer> answer = co_await sendAndReadAnswer(
                this->pool, upstream.endpoint, formatRequestHead(call, upstream, this->credential),
                call.body, deadline, maxAnswerBytes, ConnectionUse::Fresh);
        if (!answer)
            co_return makeFailureOutcome(answer.error());
        co_return withDialect(upstream.vendor, [&](auto dialect) {
            return decltype(dialect)::parseOrderAnswer(order, answer.value().status,
                                                       answer.value().body);
        });
    }

    Awaitable<Result<EngineReport>> fetch(UpstreamSpec upstream)
    {
        const DialectCall call = withDialect(
                upstream.vendor, [](auto dialect) { return decltype(dialect)::reportCall(); });
        const TimePoint deadline = SteadyClock().now() + this->timeouts.report;
        const CallResult<WholeAnswer> answer = co_await sendAndReadAnswer(
                this->pool, upstream.endpoint, formatRequestHead(call, upstream, this->credential),
                call.body, deadline, maxAnswerBytes, ConnectionUse::Any);
        constexpr int statusOk = 200;
        if (!answer)
            co_return Error(answer.error().isRefused ? ErrorKind::UpstreamUnavailable
                                                     : ErrorKind::UpstreamTimedOut,
                            fmt::format("no report from upstream \"{}\": {}", upstream.id.value(),
                                        answer.error().message));
        if (answer.value().status != statusOk)
            co_return Error(
                    ErrorKind::ReportDistrusted,
                    fmt::format(
                            "upstream \"{}\" answered the request for its report with status {}",
                            upstream.id.value(), answer.value().status));
        Result<EngineReport> report = withDialect(upstream.vendor, [&](auto dialect) {
            return decltype(dialect)::parseReport(answer.value().body);
        });
        if (!report)
            co_return report.error();
        co_return checkReport(std::move(report).value(), ReportExpectation{upstream.memory});
    }

    asio::io_context &context;
    std::string credential;
    Metrics &metrics;
    OrderTimeouts timeouts;
    DeadlineWatch watch;
    ConnectionPool pool;
    bool isClosed = false;
};

OrderClient::OrderClient(asio::io_context &context, std::string orderCredential, Metrics &metrics,
                         OrderTimeouts timeouts)
    : state(std::make_shared<State>(context, std::move(orderCredential), metrics, timeouts))
{}

OrderClient::~OrderClient()
{
    this->state->isClosed = true;
    this->state->pool.shutdown();
}

void OrderClient::send(const Order &order, const UpstreamSpec &upstream, OrderCallback done)
{
    asio::co_spawn(
            this->state->context.get_executor(),
            [state = this->state, order, upstream, done = std::move(done)]() -> Awaitable<void> {
                OrderOutcome outcome = co_await state->send(order, upstream);
                state->metrics
                        .counter("bamboochute_orders_total",
                                 fmt::format("outcome=\"{}\"", outcomeName(outcome)))
                        .add();
                if (!state->isClosed)
                    done(std::move(outcome));
            },
            asio::detached);
}

void OrderClient::fetchReport(const UpstreamSpec &upstream, ReportCallback done)
{
    asio::co_spawn(
            this->state->context.get_executor(),
            [state = this->state, upstream, done = std::move(done)]() -> Awaitable<void> {
                Result<EngineReport> report = co_await state->fetch(upstream);
                if (!report)
                    state->metrics.errors(report.error().kind()).add();
                if (!state->isClosed)
                    done(std::move(report));
            },
            asio::detached);
}

} // namespace bamboochute::upstream
