#include "residency/placement_driver.hpp"

#include <map>

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

const gateway::ServiceId service("drafting");
const UpstreamId engineId("e0");
const Target model{ModelId("m0"), {}};

/// The owner of the placement, with one engine whose calls are answered by the test.
struct OwnerFixture
{
    OwnerFixture()
    {
        gateway::Service drafting;
        drafting.id = service;
        drafting.engine.emplace();
        drafting.engine->slots = 8;
        drafting.engine->weightMegabytes = 100;
        gateway::ModelWeights weights;
        weights.id = model.model;
        weights.megabytes = 60;
        weights.storeLoadTime = 6s;
        weights.diskLoadTime = 500ms;
        drafting.engine->models.push_back(weights);
        instance.publish(std::make_shared<gateway::RouteIndex>(
                gateway::RoutingConfiguration{1, {}, {drafting}, {}}));
        driver.knownInstances = [this] { return known; };
        driver.send = [this](const std::vector<Endpoint> &to, const OwnerMessage &message) {
            for (const Endpoint &receiver : to)
                ++messagesTo[receiver];
            for (const UpstreamResidency &one : message.residencies)
                sentResidencies.push_back(one.residency);
        };
        election.handleStoreEra(1);
        election.start();
        election.handleOwnerRecord(std::nullopt);
        loop.run_for(50ms);
        REQUIRE(election.maySendOrders());
        driver.start();
    }
    ~OwnerFixture()
    {
        driver.stop();
        election.resign();
        loop.run_for(150ms);
    }

    void registerEngine(std::uint64_t startedAt)
    {
        gateway::RegisteredUpstream registered;
        registered.id = engineId;
        registered.service = service;
        registered.softwareVersion = SoftwareVersion("v1");
        registered.heartbeat = 1;
        registered.residency.version.startedAt = startedAt;
        registered.residency.models.push_back({model.model, {}});
        instance.table.applyRegistration(registered, SteadyClock().now());
    }

    /// Lets the owner work while a request of another instance waits for the model.
    void runWithWaitingRequest(Duration time)
    {
        const DemandMessage demand{
                InstanceId("edge-2"), false, {{{service, model}, 1, 1, Duration(5s), 0}}, {}};
        driver.receiveDemand(demand, {"127.0.0.1", 1});
        loop.run_for(time);
    }

    static ElectionSettings makeElectionSettings()
    {
        ElectionSettings settings;
        settings.self.instance = InstanceId("edge-1");
        settings.maxCampaignJitter = 1ms;
        return settings;
    }

    static OwnershipPort makeOwnershipPort()
    {
        OwnershipPort port;
        port.acquire = [](OwnershipRequest request) -> upstream::Awaitable<Result<OwnershipGrant>> {
            OwnershipGrant grant = prepareGrant(request, std::nullopt, 1);
            grant.sentAt = BootClock().now();
            grant.revision = 11;
            grant.lease = grant.revision;
            grant.fence = grant.record.fenceAt(grant.revision);
            co_return grant;
        };
        port.renew = [](std::uint64_t) -> upstream::Awaitable<Result<bool>> { co_return true; };
        port.release = [](std::uint64_t) -> upstream::Awaitable<void> { co_return; };
        return port;
    }

    EnginePort makeEnginePort()
    {
        EnginePort port;
        port.report
                = [this](gateway::RegisteredUpstream) -> upstream::Awaitable<Result<EngineReport>> {
            ++reportRequests;
            co_return report;
        };
        port.order = [this](gateway::RegisteredUpstream,
                            EngineOrder) -> upstream::Awaitable<OrderAnswer> {
            ++orders;
            co_return answer;
        };
        return port;
    }

    boost::asio::io_context loop{1};
    Metrics metrics;
    gateway::Gateway instance{loop, {}, {}, metrics};
    OwnerElection election{loop, makeElectionSettings(), makeOwnershipPort()};
    PlacementDriver driver{loop,   instance, election, makeEnginePort(), InstanceId("edge-1"),
                           metrics};
    EngineReport report;
    OrderAnswer answer = OrderAnswer::OtherProcess;
    int reportRequests = 0;
    int orders = 0;
    std::vector<gateway::Residency> sentResidencies;
    /// Instances that a former owner listed.
    std::vector<Endpoint> known;
    std::map<Endpoint, int> messagesTo;
};

} // namespace

// Guards against instances that the store turns away and that never hear of a new owner.
TEST_CASE("a new owner tells the instances that a former one listed that it is there")
{
    OwnerFixture fixture;
    const Endpoint turnedAway{"10.0.0.7", 7000};
    fixture.known = {turnedAway};
    fixture.loop.run_for(150ms);
    CHECK(fixture.messagesTo[turnedAway] == 1);

    SUBCASE("one that reports gets the messages to all, once each")
    {
        fixture.driver.receiveDemand({InstanceId("edge-7"), false, {}, {}}, turnedAway);
        const int before = fixture.messagesTo[turnedAway];
        fixture.loop.run_for(1000ms);
        CHECK(fixture.messagesTo[turnedAway] == before + 1);
    }
}

// Guards against loads that are sent, again and again, to the former id of a crashed engine whose
// address a later process has, while other engines could load the model.
TEST_CASE("no order is sent to an engine at whose address a later process reports")
{
    OwnerFixture fixture;
    fixture.registerEngine(1000);
    fixture.report.residency.version = {2000, 3, true};
    fixture.report.copies.onDisk.push_back(model.model);

    SUBCASE("though it has a copy of the weights")
    {
        fixture.runWithWaitingRequest(450ms);
        CHECK(fixture.orders == 0);
        CHECK(fixture.reportRequests == 1);
    }
    SUBCASE("what the later process holds is not what the engine holds")
    {
        fixture.report.residency.models.push_back({model.model, {}});
        fixture.runWithWaitingRequest(250ms);
        CHECK_FALSE(fixture.instance.table.find(engineId)->residency.holds(model));
        for (const gateway::Residency &sent : fixture.sentResidencies)
            CHECK_FALSE(sent.holds(model));
    }
    SUBCASE("until it registers with that start")
    {
        fixture.answer = OrderAnswer::Accepted;
        fixture.runWithWaitingRequest(250ms);
        fixture.registerEngine(2000);
        fixture.runWithWaitingRequest(450ms);
        CHECK(fixture.orders == 1);
    }
}

// Guards against an order after each report while engines don't tell their starts.
TEST_CASE("an engine in whose place another process answered an order gets no further order")
{
    OwnerFixture fixture;
    std::uint64_t start = 0;
    SUBCASE("its start is known")
    {
        start = 1000;
    }
    SUBCASE("its start is unknown") {}
    fixture.registerEngine(start);
    fixture.report.residency.version = {start, 0, true};
    fixture.report.copies.onDisk.push_back(model.model);
    fixture.runWithWaitingRequest(600ms);
    CHECK(fixture.orders == 1);
    CHECK_FALSE(fixture.instance.table.find(engineId)->residency.holds(model));
}
