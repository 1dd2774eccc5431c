#include "fakes/engine.hpp"
#include "upstream/order_client.hpp"

#include <optional>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::upstream;

namespace {

constexpr std::uint64_t gibibyte = 1ULL << 30;

/// A fake engine and an order client on one event loop that the test runs.
struct EngineFixture
{
    explicit EngineFixture(const fakes::EngineSettings &settings)
        : engine(this->context, settings)
        , client(this->context, "order-secret", this->metrics, this->timeouts())
    {
        this->spec.id = UpstreamId("worker-1");
        this->spec.vendor = settings.vendor;
        this->spec.fencing = settings.fencing;
        this->spec.checksSender = !settings.orderCredential.empty();
        this->spec.memory = settings.memory;
        this->spec.endpoint = this->engine.listen({"127.0.0.1", 0}).value();
    }

    static OrderTimeouts timeouts()
    {
        OrderTimeouts timeouts;
        timeouts.load = std::chrono::seconds(20);
        return timeouts;
    }

    OrderOutcome send(const Order &order)
    {
        std::optional<OrderOutcome> outcome;
        this->client.send(order, this->spec,
                          [&](const OrderOutcome &received) { outcome = received; });
        while (!outcome)
            this->context.run_one();
        return *outcome;
    }

    Result<EngineReport> report()
    {
        std::optional<Result<EngineReport>> report;
        this->client.fetchReport(this->spec,
                                 [&](const Result<EngineReport> &received) { report = received; });
        while (!report)
            this->context.run_one();
        return *report;
    }

    asio::io_context context;
    Metrics metrics;
    fakes::FakeEngine engine;
    OrderClient client;
    UpstreamSpec spec;
};

Order makeOrder(OrderKind kind, std::uint64_t fence, Target target = {})
{
    static std::uint64_t number = 0;
    Order order;
    order.number = OrderNumber(++number);
    order.sender = InstanceId("entry-1");
    order.incarnation = Incarnation(3);
    order.fence = Fence(fence);
    order.kind = kind;
    order.target = std::move(target);
    order.memory = Bytes{2 * gibibyte};
    return order;
}

fakes::EngineSettings makeSettings(Vendor vendor)
{
    fakes::EngineSettings settings;
    settings.vendor = vendor;
    settings.memory = Bytes{5 * gibibyte};
    return settings;
}

const Target leaseModel{ModelId("lease@2"), AdapterId()};
const Target leaseAdapter{ModelId("lease@2"), AdapterId("tone")};

} // namespace

TEST_CASE("orders and reports have the same effects in every vendor's dialect")
{
    for (const Vendor vendor : {Vendor::Araucaria, Vendor::Bromelia, Vendor::Cinchona}) {
        CAPTURE(static_cast<int>(vendor));
        EngineFixture fixture(makeSettings(vendor));

        // A model is loaded, then its adapter.
        CHECK(std::holds_alternative<OrderRefused>(
                fixture.send(makeOrder(OrderKind::LoadAdapter, 1, leaseAdapter))));
        CHECK(std::holds_alternative<OrderDone>(
                fixture.send(makeOrder(OrderKind::LoadModel, 1, leaseModel))));
        CHECK(std::holds_alternative<OrderDone>(
                fixture.send(makeOrder(OrderKind::LoadAdapter, 1, leaseAdapter))));

        // The report shows both.
        const Result<EngineReport> report = fixture.report();
        REQUIRE(report);
        CHECK(report.value().memoryTotal == Bytes{5 * gibibyte});
        CHECK(report.value().memoryUsed == Bytes{4 * gibibyte});
        CHECK(report.value().fence == Fence(1));
        REQUIRE(report.value().placements.size() == 2);
        CHECK(report.value().placements[0]
              == PlacementReport{leaseModel, Bytes{2 * gibibyte}, PlacementState::Loaded});
        CHECK(report.value().placements[1].target == leaseAdapter);

        // A load that exceeds the engine's memory is refused.
        CHECK(std::holds_alternative<OrderRefused>(fixture.send(
                makeOrder(OrderKind::LoadModel, 1, {ModelId("grant@1"), AdapterId()}))));
        CHECK(fixture.engine.state().stats.overcommitted == 1);

        // Raising the fencing number returns the exact inventory.
        const OrderOutcome raised = fixture.send(makeOrder(OrderKind::RaiseFence, 9));
        REQUIRE(std::holds_alternative<OrderDone>(raised));
        CHECK(std::get<OrderDone>(raised).inventory == report.value().placements);

        // An order with an older number is refused; the answer carries the newer one.
        CHECK(fixture.send(makeOrder(OrderKind::Unload, 8, leaseModel))
              == OrderOutcome(OrderStale{Fence(9)}));

        // Unloading the base model unloads its adapter too.
        CHECK(std::holds_alternative<OrderDone>(
                fixture.send(makeOrder(OrderKind::Unload, 9, leaseModel))));
        CHECK(fixture.report().value().placements.empty());

        // The role is changed.
        Order role = makeOrder(OrderKind::ChangeRole, 9);
        role.role = EngineRole::Decode;
        CHECK(std::holds_alternative<OrderDone>(fixture.send(role)));
        CHECK(fixture.report().value().role == EngineRole::Decode);
    }
}

TEST_CASE("an engine that ignores fencing numbers carries out an outdated order")
{
    fakes::EngineSettings settings = makeSettings(Vendor::Cinchona);
    settings.fencing = Fencing::Ignores;
    EngineFixture fixture(settings);
    CHECK(std::holds_alternative<OrderDone>(fixture.send(makeOrder(OrderKind::RaiseFence, 9))));
    CHECK(std::holds_alternative<OrderDone>(
            fixture.send(makeOrder(OrderKind::LoadModel, 2, leaseModel))));
}

TEST_CASE("an engine that checks the sender")
{
    fakes::EngineSettings settings = makeSettings(Vendor::Araucaria);

    SUBCASE("accepts orders with the right credential")
    {
        settings.orderCredential = "order-secret";
        EngineFixture fixture(settings);
        CHECK(std::holds_alternative<OrderDone>(
                fixture.send(makeOrder(OrderKind::LoadModel, 1, leaseModel))));
    }

    SUBCASE("refuses orders with a wrong credential")
    {
        settings.orderCredential = "another";
        EngineFixture fixture(settings);
        CHECK(std::holds_alternative<OrderRefused>(
                fixture.send(makeOrder(OrderKind::LoadModel, 1, leaseModel))));
    }
}

TEST_CASE("an order counts as not sent only if nothing was written, otherwise as unconfirmed")
{
    EngineFixture fixture(makeSettings(Vendor::Bromelia));

    SUBCASE("no process listens: not sent")
    {
        fixture.engine.close();
        CHECK(std::holds_alternative<OrderNotSent>(
                fixture.send(makeOrder(OrderKind::LoadModel, 1, leaseModel))));
        CHECK(fixture.report().error().kind() == ErrorKind::UpstreamUnavailable);
    }

    SUBCASE("the connection ends after the order was written: unconfirmed")
    {
        fakes::FakeHttpServer silent(fixture.context, [](fakes::FakeCall &call) -> Awaitable<void> {
            call.writer.closeAfterAnswer();
            call.stream.close();
            co_return;
        });
        fixture.spec.endpoint = silent.listen({"127.0.0.1", 0}).value();
        CHECK(std::holds_alternative<OrderUnconfirmed>(
                fixture.send(makeOrder(OrderKind::LoadModel, 1, leaseModel))));
    }

    SUBCASE("the answer is not valid JSON: unconfirmed")
    {
        fakes::FakeHttpServer malformed(
                fixture.context, [](fakes::FakeCall &call) -> Awaitable<void> {
                    co_await call.writer.write(fakes::jsonAnswer(200, "[1,2"));
                });
        fixture.spec.endpoint = malformed.listen({"127.0.0.1", 0}).value();
        CHECK(std::holds_alternative<OrderUnconfirmed>(
                fixture.send(makeOrder(OrderKind::LoadModel, 1, leaseModel))));
        CHECK(fixture.report().error().kind() == ErrorKind::ReportDistrusted);
    }
}

TEST_CASE("only a refused connection shows that an upstream's process has ended")
{
    asio::io_context context;
    Metrics metrics;
    OrderTimeouts timeouts;
    timeouts.report = std::chrono::milliseconds(50);
    OrderClient client(context, {}, metrics, timeouts);
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
    UpstreamSpec spec;
    spec.id = UpstreamId("worker-1");
    spec.endpoint = {"127.0.0.1", silent.local_endpoint().port()};
    const auto fetchReportErrorKind = [&] {
        std::optional<ErrorKind> kind;
        client.fetchReport(spec, [&](const Result<EngineReport> &received) {
            kind = received.error().kind();
        });
        while (!kind)
            context.run_one();
        return *kind;
    };

    SUBCASE("a process that accepts connections and does not answer may be paused")
    {
        CHECK(fetchReportErrorKind() == ErrorKind::UpstreamTimedOut);
    }

    SUBCASE("a port that refuses connections has no process")
    {
        silent.close();
        CHECK(fetchReportErrorKind() == ErrorKind::UpstreamUnavailable);
    }
}
