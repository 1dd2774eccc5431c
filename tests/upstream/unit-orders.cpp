#include "fakes/engine.hpp"
#include "upstream/order_client.hpp"

#include <optional>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::upstream;

namespace {

constexpr std::uint64_t gibibyte = 1ULL << 30;

/// A stand-in engine and a client on one event loop, run by the test itself.
struct Bench
{
    explicit Bench(const fakes::EngineSettings &settings)
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
        this->client.send(order, this->spec, [&](const OrderOutcome &told) { outcome = told; });
        while (!outcome)
            this->context.run_one();
        return *outcome;
    }

    Result<EngineReport> report()
    {
        std::optional<Result<EngineReport>> report;
        this->client.fetchReport(this->spec,
                                 [&](const Result<EngineReport> &told) { report = told; });
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

fakes::EngineSettings settingsOf(Vendor vendor)
{
    fakes::EngineSettings settings;
    settings.vendor = vendor;
    settings.memory = Bytes{5 * gibibyte};
    return settings;
}

const Target lease{ModelId("lease@2"), AdapterId()};
const Target leaseTone{ModelId("lease@2"), AdapterId("tone")};

} // namespace

TEST_CASE("orders and reports mean the same in every vendor's dialect")
{
    for (const Vendor vendor : {Vendor::Araucaria, Vendor::Bromelia, Vendor::Cinchona}) {
        CAPTURE(static_cast<int>(vendor));
        Bench bench(settingsOf(vendor));

        // A model is loaded, then its adapter.
        CHECK(std::holds_alternative<OrderRefused>(
                bench.send(makeOrder(OrderKind::LoadAdapter, 1, leaseTone))));
        CHECK(std::holds_alternative<OrderDone>(
                bench.send(makeOrder(OrderKind::LoadModel, 1, lease))));
        CHECK(std::holds_alternative<OrderDone>(
                bench.send(makeOrder(OrderKind::LoadAdapter, 1, leaseTone))));

        // The report shows both.
        const Result<EngineReport> report = bench.report();
        REQUIRE(report);
        CHECK(report.value().memoryTotal == Bytes{5 * gibibyte});
        CHECK(report.value().memoryUsed == Bytes{4 * gibibyte});
        CHECK(report.value().fence == Fence(1));
        REQUIRE(report.value().placements.size() == 2);
        CHECK(report.value().placements[0]
              == PlacementReport{lease, Bytes{2 * gibibyte}, PlacementState::Loaded});
        CHECK(report.value().placements[1].target == leaseTone);

        // No more is loaded than there is memory.
        CHECK(std::holds_alternative<OrderRefused>(
                bench.send(makeOrder(OrderKind::LoadModel, 1, {ModelId("grant@1"), AdapterId()}))));
        CHECK(bench.engine.state().stats.overcommitted == 1);

        // The answer to a raised fencing number is the exact inventory.
        const OrderOutcome raised = bench.send(makeOrder(OrderKind::RaiseFence, 9));
        REQUIRE(std::holds_alternative<OrderDone>(raised));
        CHECK(std::get<OrderDone>(raised).inventory == report.value().placements);

        // An older number is refused, and the newer one named.
        CHECK(bench.send(makeOrder(OrderKind::Unload, 8, lease))
              == OrderOutcome(OrderStale{Fence(9)}));

        // Unloading the base takes its adapter along.
        CHECK(std::holds_alternative<OrderDone>(
                bench.send(makeOrder(OrderKind::Unload, 9, lease))));
        CHECK(bench.report().value().placements.empty());

        // The role is changed.
        Order role = makeOrder(OrderKind::ChangeRole, 9);
        role.role = EngineRole::Decode;
        CHECK(std::holds_alternative<OrderDone>(bench.send(role)));
        CHECK(bench.report().value().role == EngineRole::Decode);
    }
}

TEST_CASE("an engine that ignores fencing numbers carries an old order out")
{
    fakes::EngineSettings settings = settingsOf(Vendor::Cinchona);
    settings.fencing = Fencing::Ignores;
    Bench bench(settings);
    CHECK(std::holds_alternative<OrderDone>(bench.send(makeOrder(OrderKind::RaiseFence, 9))));
    CHECK(std::holds_alternative<OrderDone>(bench.send(makeOrder(OrderKind::LoadModel, 2, lease))));
}

TEST_CASE("an engine that checks the sender")
{
    fakes::EngineSettings settings = settingsOf(Vendor::Araucaria);

    SUBCASE("takes orders with the credential")
    {
        settings.orderCredential = "order-secret";
        Bench bench(settings);
        CHECK(std::holds_alternative<OrderDone>(
                bench.send(makeOrder(OrderKind::LoadModel, 1, lease))));
    }

    SUBCASE("refuses orders with another one")
    {
        settings.orderCredential = "another";
        Bench bench(settings);
        CHECK(std::holds_alternative<OrderRefused>(
                bench.send(makeOrder(OrderKind::LoadModel, 1, lease))));
    }
}

TEST_CASE("an order that can't be confirmed is never called done or not sent wrongly")
{
    Bench bench(settingsOf(Vendor::Bromelia));

    SUBCASE("nobody listens: not sent")
    {
        bench.engine.close();
        CHECK(std::holds_alternative<OrderNotSent>(
                bench.send(makeOrder(OrderKind::LoadModel, 1, lease))));
        CHECK(bench.report().error().kind() == ErrorKind::UpstreamUnavailable);
    }

    SUBCASE("the connection ends after the order was written: unconfirmed")
    {
        fakes::FakeHttpServer silent(bench.context, [](fakes::FakeCall &call) -> Awaitable<void> {
            call.writer.closeAfterAnswer();
            call.stream.close();
            co_return;
        });
        bench.spec.endpoint = silent.listen({"127.0.0.1", 0}).value();
        CHECK(std::holds_alternative<OrderUnconfirmed>(
                bench.send(makeOrder(OrderKind::LoadModel, 1, lease))));
    }

    SUBCASE("the answer makes no sense: unconfirmed")
    {
        fakes::FakeHttpServer odd(bench.context, [](fakes::FakeCall &call) -> Awaitable<void> {
            co_await call.writer.write(fakes::jsonAnswer(200, "[1,2"));
        });
        bench.spec.endpoint = odd.listen({"127.0.0.1", 0}).value();
        CHECK(std::holds_alternative<OrderUnconfirmed>(
                bench.send(makeOrder(OrderKind::LoadModel, 1, lease))));
        CHECK(bench.report().error().kind() == ErrorKind::ReportDistrusted);
    }
}

TEST_CASE("only a refused port shows that an upstream's process has ended")
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
    const auto kindOfReport = [&] {
        std::optional<ErrorKind> kind;
        client.fetchReport(spec,
                           [&](const Result<EngineReport> &told) { kind = told.error().kind(); });
        while (!kind)
            context.run_one();
        return *kind;
    };

    SUBCASE("a process that accepts and does not answer may be paused")
    {
        CHECK(kindOfReport() == ErrorKind::UpstreamTimedOut);
    }

    SUBCASE("a port that refuses has no process")
    {
        silent.close();
        CHECK(kindOfReport() == ErrorKind::UpstreamUnavailable);
    }
}
