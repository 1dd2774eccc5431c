#include "../../bench/decision_random.hpp"

#include "core/log.hpp"
#include "decision/demand.hpp"
#include "decision/keep_alive.hpp"
#include "decision/placement.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::bench;
using namespace bamboochute::decision;
using namespace std::chrono_literals;

// Faults and races that the decision core must survive; each title has the number of the hazard
// that it covers. unit-ledger.cpp covers hazards 7 and 8.

namespace {

/// Models of 10 bytes on upstreams of 24 bytes.
Configuration makeConfiguration(int models, int upstreams, Fencing fencing)
{
    Deployment deployment;
    deployment.store = StoreLimits{2.0, 4, 32};
    for (int i = 0; i < models; ++i) {
        ModelSpec model;
        model.id = ModelId(fmt::format("m{}", i));
        model.memory = Bytes{10};
        deployment.models.push_back(model);
    }
    for (int i = 0; i < upstreams; ++i) {
        UpstreamSpec upstream;
        upstream.id = UpstreamId(fmt::format("w{}", i));
        upstream.pool = PoolId("pool");
        upstream.memory = Bytes{24};
        upstream.fencing = fencing;
        deployment.upstreams.push_back(upstream);
    }
    Configuration configuration;
    configuration.revision = Revision(1);
    configuration.deployments.push_back(std::move(deployment));
    return configuration;
}

WorldSettings makeWorldSettings(Configuration configuration)
{
    configureLog("test", LogLevel::Critical);
    WorldSettings settings;
    settings.instances = 3;
    settings.configuration = std::move(configuration);
    settings.policy.keepAlive = KeepAlive::UntilEvicted;
    settings.loads.remote = 3s;
    settings.policy.assumedLoadTime = 3s;
    return settings;
}

Target modelTarget(int number)
{
    return Target{ModelId(fmt::format("m{}", number)), {}};
}

void reportDemand(World &world, const Target &target, Duration patience = 60s,
                  const char *instance = "caller")
{
    world.demand({InstanceId(instance), target, 1, world.scheduler.now() + patience, 1, {}});
}

void runFor(World &world, Duration time)
{
    world.scheduler.runUntil(world.scheduler.now() + time);
}

/// Reports demand for the target until it is routed.
/// @return whether it is routed within the time
bool demandUntilRouted(World &world, const Target &target, Duration time)
{
    const TimePoint end = world.scheduler.now() + time;
    while (world.scheduler.now() < end && !world.isRouted(target)) {
        reportDemand(world, target);
        runFor(world, 500ms);
    }
    return world.isRouted(target);
}

std::uint64_t countStartedLoads(const World &world)
{
    std::uint64_t count = 0;
    for (const auto &[id, engine] : world.engines)
        count += engine->loadsStarted;
    return count;
}

std::size_t countOwners(World &world)
{
    std::size_t count = 0;
    for (const InstanceFake &instance : world.instances)
        count += instance.isAlive && instance.controller->isOwner() ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("hazard 1: a compare-and-swap that took effect is recognized after its answer was lost")
{
    World world(makeWorldSettings(makeConfiguration(2, 2, Fencing::Refuses)));
    world.keyValue.lostAnswers = 1.0;
    runFor(world, 2s);
    CHECK(countOwners(world) == 0);
    world.keyValue.lostAnswers = 0.0;
    runFor(world, 8s);
    CHECK(countOwners(world) == 1);
    CHECK(world.keyValue.state.entries().at("pools/pool/owner").version == 1);

    SUBCASE("a ledger write whose answer was lost leads to one load order")
    {
        world.keyValue.lostAnswers = 1.0;
        reportDemand(world, modelTarget(0));
        runFor(world, 200ms);
        world.keyValue.lostAnswers = 0.0;
        CHECK(demandUntilRouted(world, modelTarget(0), 20s));
        CHECK(countStartedLoads(world) == 1);
        CHECK(world.failure == "");
    }
}

TEST_CASE("hazard 2: an owner that is paused between its decision and its order causes no second "
          "load")
{
    World world(makeWorldSettings(makeConfiguration(2, 2, Fencing::Refuses)));
    runFor(world, 5s);
    InstanceFake *former = world.announcedOwner();
    world.atNextOrder = [&world](InstanceFake &owner) { world.pause(owner); };
    reportDemand(world, modelTarget(0));
    runFor(world, 8s);
    REQUIRE(world.announcedOwner() != former);
    CHECK(demandUntilRouted(world, modelTarget(0), 20s));
    world.resume(*former);
    runFor(world, 10s);
    CHECK(world.failure == "");
    CHECK(countStartedLoads(world) == 1);
    CHECK(countOwners(world) == 1);
}

TEST_CASE("hazard 3: an unconfirmed order stays outstanding at an engine that ignores fencing "
          "numbers")
{
    World world(makeWorldSettings(makeConfiguration(2, 1, Fencing::Ignores)));
    runFor(world, 5s);
    InstanceFake *former = world.announcedOwner();
    world.atNextOrder = [&world](InstanceFake &owner) { world.pause(owner); };
    reportDemand(world, modelTarget(0));
    runFor(world, 20s);
    InstanceFake *successor = world.announcedOwner();
    REQUIRE(successor != former);
    const UpstreamId upstream("w0");
    CHECK(successor->controller->ledger().isOutstanding(upstream, modelTarget(0)));

    SUBCASE("it stays outstanding however long its sender is paused")
    {
        runFor(world, 600s);
        CHECK(successor->controller->ledger().isOutstanding(upstream, modelTarget(0)));
    }

    SUBCASE("it ends when its sender resumes and gives the pool up")
    {
        world.resume(*former);
        runFor(world, 20s);
        CHECK_FALSE(successor->controller->ledger().isOutstanding(upstream, modelTarget(0)));
    }

    SUBCASE("it ends when its sender is known to have terminated")
    {
        world.kill(*former);
        runFor(world, 10s);
        CHECK_FALSE(successor->controller->ledger().isOutstanding(upstream, modelTarget(0)));
    }
    CHECK(world.failure == "");
}

TEST_CASE("hazard 4: a model is loaded once when the owner dies around its load order")
{
    World world(makeWorldSettings(makeConfiguration(2, 2, Fencing::Refuses)));
    runFor(world, 5s);
    InstanceFake *former = world.announcedOwner();

    SUBCASE("between recording the order and sending it")
    {
        world.atNextOrder = [&world](InstanceFake &owner) { world.kill(owner); };
        reportDemand(world, modelTarget(0));
    }

    SUBCASE("during the load")
    {
        reportDemand(world, modelTarget(0));
        runFor(world, 1s);
        world.kill(*former);
    }

    SUBCASE("after the load, before its confirmation is recorded")
    {
        reportDemand(world, modelTarget(0));
        runFor(world, 3100ms);
        world.kill(*former);
    }
    runFor(world, 6s);
    CHECK(demandUntilRouted(world, modelTarget(0), 20s));
    CHECK(countStartedLoads(world) == 1);
    CHECK(world.failure == "");
}

TEST_CASE("hazard 5: outdated reports don't change the ledger")
{
    World world(makeWorldSettings(makeConfiguration(2, 1, Fencing::Refuses)));
    runFor(world, 5s);
    REQUIRE(demandUntilRouted(world, modelTarget(0), 20s));
    InstanceFake *owner = world.announcedOwner();
    const UpstreamId upstream("w0");
    const auto countInventoryRequests = [&] {
        const auto &counters = owner->controller->counters();
        const auto found = counters.find("inventories_asked");
        return found == counters.end() ? 0 : found->second;
    };
    const std::uint64_t before = countInventoryRequests();
    const TimePoint now = world.scheduler.now();

    SUBCASE("an outdated report without a loaded target changes nothing")
    {
        world.tell(*owner, ReportReceived{upstream, now - 10s, {}, {}, 0, 0});
        CHECK(owner->controller->ledger().replicas(modelTarget(0)) == 1);
        CHECK(countInventoryRequests() == before);
    }

    SUBCASE("an outdated report with another target changes nothing")
    {
        world.tell(*owner, ReportReceived{upstream,
                                          now - 10s,
                                          {{modelTarget(1), InventoryState::Loaded, Bytes{10}}},
                                          {},
                                          0,
                                          0});
        CHECK(owner->controller->ledger().replicas(modelTarget(1)) == 0);
        CHECK(countInventoryRequests() == before);
    }

    SUBCASE("a recent report that contradicts the ledger causes one inventory request")
    {
        runFor(world, 60s);
        world.tell(*owner, ReportReceived{upstream, world.scheduler.now(), {}, {}, 0, 0});
        runFor(world, 1s);
        CHECK(countInventoryRequests() == before + 1);
        CHECK(owner->controller->ledger().replicas(modelTarget(0)) == 1);
    }
}

TEST_CASE("hazard 6: the bounds hold while instances disagree on membership and two consider "
          "themselves owner")
{
    const ThrowingInvariants throwing;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto result
                = RandomDecisionRun({seed, 6000, false}, {Fault::FalseSuspicion, Fault::PauseOwner},
                                    Defect::None)
                          .run();
        CHECK(result.failure == "");
        CHECK(result.counts.at("takeovers") > 1);
    }
}

TEST_CASE("hazard 9: a model is loaded after its upstream was reclaimed mid-load and returned")
{
    World world(makeWorldSettings(makeConfiguration(1, 2, Fencing::Ignores)));
    runFor(world, 5s);
    reportDemand(world, modelTarget(0));
    runFor(world, 1s);
    const UpstreamId upstream = world.engines.at(UpstreamId("w0"))->holds(modelTarget(0))
                                        ? UpstreamId("w0")
                                        : UpstreamId("w1");
    world.killEngine(upstream);
    runFor(world, 2s);
    world.restartEngine(upstream);
    CHECK(demandUntilRouted(world, modelTarget(0), 30s));
    CHECK(world.failure == "");
}

TEST_CASE("hazard 10: routing and cold starts continue while the key-value service is unavailable "
          "for minutes")
{
    World world(makeWorldSettings(makeConfiguration(3, 2, Fencing::Refuses)));
    runFor(world, 5s);
    REQUIRE(demandUntilRouted(world, modelTarget(0), 20s));
    world.keyValue.isDown = true;
    runFor(world, 60s);

    SUBCASE("loaded models stay routed, and a cold start is recorded after the outage")
    {
        CHECK(world.isRouted(modelTarget(0)));
        CHECK(demandUntilRouted(world, modelTarget(1), 20s));
        runFor(world, 180s);
        world.keyValue.isDown = false;
        runFor(world, 10s);
        const std::string record
                = world.keyValue.state.entries().at("pools/pool/upstreams/w0").value
                  + world.keyValue.state.entries().at("pools/pool/upstreams/w1").value;
        CHECK(record.find("\"m1\"") != std::string::npos);
    }

    SUBCASE("a new owner finds what was loaded without a record")
    {
        CHECK(demandUntilRouted(world, modelTarget(1), 20s));
        world.kill(*world.announcedOwner());
        runFor(world, 10s);
        world.keyValue.isDown = false;
        runFor(world, 20s);
        CHECK(countOwners(world) == 1);
        CHECK(world.announcedOwner()->controller->ledger().replicas(modelTarget(1)) == 1);
    }
    CHECK(world.failure == "");
}

TEST_CASE("hazard 10: without the key-value service nothing is loaded at engines that ignore "
          "fencing numbers")
{
    World world(makeWorldSettings(makeConfiguration(2, 2, Fencing::Ignores)));
    std::vector<Error> refusals;
    world.refused = [&](const RefuseDemand &refusal) { refusals.push_back(refusal.error); };
    runFor(world, 5s);
    world.keyValue.isDown = true;
    reportDemand(world, modelTarget(0));
    runFor(world, 6s);
    reportDemand(world, modelTarget(0));
    runFor(world, 1s);
    CHECK(countStartedLoads(world) == 0);
    REQUIRE_FALSE(refusals.empty());
    CHECK(refusals.back().kind() == ErrorKind::ColdStartUnavailable);
}

TEST_CASE("hazard 11: calls to the key-value service are grouped, and an idle pool makes none")
{
    World world(makeWorldSettings(makeConfiguration(8, 4, Fencing::Refuses)));
    runFor(world, 5s);
    const std::uint64_t idle = world.keyValue.totalCalls();
    runFor(world, 60s);
    CHECK(world.keyValue.totalCalls() == idle);
    for (int i = 0; i < 8; ++i)
        reportDemand(world, modelTarget(i));
    runFor(world, 30s);
    CHECK(countStartedLoads(world) == 8);
    CHECK(world.keyValue.totalCalls() - idle <= 16);
}

TEST_CASE("hazard 12: a burst of demand from many instances causes one load")
{
    World world(makeWorldSettings(makeConfiguration(1, 4, Fencing::Refuses)));
    runFor(world, 5s);
    for (int i = 0; i < 12; ++i)
        reportDemand(world, modelTarget(0), 60s, fmt::format("i{}", i).c_str());
    runFor(world, 10s);
    CHECK(countStartedLoads(world) == 1);
    CHECK(world.isRouted(modelTarget(0)));
}

TEST_CASE("hazard 13: the weight store's limits hold over all instances, also after a takeover")
{
    World world(makeWorldSettings(makeConfiguration(20, 12, Fencing::Refuses)));
    world.store.slowness = 5.0;
    runFor(world, 5s);
    for (int second = 0; second < 60; ++second) {
        for (int i = 0; i < 20; ++i)
            reportDemand(world, modelTarget(i), 300s);
        runFor(world, 1s);
        if (second == 10)
            world.kill(*world.announcedOwner());
    }
    CHECK(world.store.highest <= 4);
    CHECK(world.store.exceeded == 0);
}

TEST_CASE("hazard 14: a load goes to the cheapest upstream, and urgent demand goes first")
{
    const Configuration configuration = makeConfiguration(2, 3, Fencing::Refuses);
    Ledger ledger;
    ledger.configure(std::make_shared<const PoolView>(makePoolView(configuration, PoolId("pool"))));
    std::map<UpstreamId, UpstreamCondition> conditions;
    for (const auto &[id, upstream] : ledger.view()->upstreams)
        conditions[id] = {};
    PlacementRequest request{modelTarget(0), {}, {1s, 3s, 8s}, false};
    const auto chosen
            = [&] { return choosePlacement(request, ledger, conditions, {})->upstream.value(); };

    SUBCASE("a checkpoint on disk outweighs a prefix hint and a lower load")
    {
        conditions[UpstreamId("w2")].cached[modelTarget(0)] = CheckpointLocation::Disk;
        conditions[UpstreamId("w2")].load = 0.9;
        request.prefixHints = {UpstreamId("w1")};
        CHECK(chosen() == "w2");
    }

    SUBCASE("a prefix hint decides between otherwise equal upstreams")
    {
        request.prefixHints = {UpstreamId("w1")};
        CHECK(chosen() == "w1");
    }

    SUBCASE("the lower load decides between otherwise equal upstreams")
    {
        conditions[UpstreamId("w0")].load = 0.9;
        conditions[UpstreamId("w2")].load = 0.9;
        CHECK(chosen() == "w1");
    }

    SUBCASE("demand is ordered by the time to its deadline divided by its weight")
    {
        DemandTable table;
        const TimePoint now{};
        table.update({InstanceId("a"), modelTarget(0), 1, now + 20s, 1, {}}, now);
        table.update({InstanceId("a"), modelTarget(1), 1, now + 40s, 4, {}}, now);
        CHECK(table.byUrgency(now).front().target == modelTarget(1));
    }
}

TEST_CASE("hazard 15: a target is kept longer when a cold start costs more")
{
    KeepAlivePredictor predictor;
    TimePoint at{};
    for (int i = 0; i < 40; ++i) {
        predictor.recordUse(modelTarget(0), at);
        at += i % 4 == 3 ? Duration(900s) : Duration(10s);
    }
    const Duration keepAtLowCost = predictor.keepAliveTime(modelTarget(0), 1.0, 30.0);
    const Duration keepAtHighCost = predictor.keepAliveTime(modelTarget(0), 1.0, 6000.0);
    CHECK(keepAtLowCost >= 10s);
    CHECK(keepAtLowCost < 60s);
    CHECK(keepAtHighCost >= 900s);
    CHECK(predictor.useProbability(modelTarget(0), 1s, 30s)
          > predictor.useProbability(modelTarget(0), 60s, 30s));
}

TEST_CASE("hazard 16: targets on one full upstream don't evict each other before the minimum "
          "residency")
{
    WorldSettings settings = makeWorldSettings(makeConfiguration(3, 1, Fencing::Refuses));
    settings.policy.minResidency = 20s;
    World world(std::move(settings));
    runFor(world, 5s);
    for (int second = 0; second < 120; ++second) {
        for (int i = 0; i < 3; ++i) {
            if (!world.isRouted(modelTarget(i)))
                reportDemand(world, modelTarget(i), 5s);
        }
        runFor(world, 1s);
    }
    // Two models fit; each stays for at least the minimum residency before the third replaces it.
    CHECK(countStartedLoads(world) <= 2 + 2 * (120 / 20));
    CHECK(world.failure == "");
}

TEST_CASE("hazard 17: demand with an unreachable deadline is refused at once with a time to retry "
          "after")
{
    World world(makeWorldSettings(makeConfiguration(1, 1, Fencing::Refuses)));
    std::vector<RefuseDemand> refusals;
    world.refused = [&](const RefuseDemand &refusal) { refusals.push_back(refusal); };
    runFor(world, 5s);
    reportDemand(world, modelTarget(0), 1s);
    runFor(world, 50ms);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().error.kind() == ErrorKind::DeadlineUnreachable);
    CHECK(refusals.front().error.retryAfter() == std::chrono::seconds(3));
}

TEST_CASE("a new version of a model replaces the old one without a gap in routing")
{
    Configuration configuration = makeConfiguration(1, 2, Fencing::Refuses);
    ModelSpec &model = configuration.deployments.front().models.front();
    model.id = ModelId("m@1");
    World world(makeWorldSettings(configuration));
    const Target before{ModelId("m@1"), {}};
    const Target after{ModelId("m@2"), {}};
    for (auto &[id, engine] : world.engines)
        engine->sizes[after] = Bytes{10};
    runFor(world, 5s);
    REQUIRE(demandUntilRouted(world, before, 20s));
    model.id = ModelId("m@2");
    configuration.revision = Revision(2);
    world.reconfigure(configuration);
    for (int i = 0; i < 200; ++i) {
        runFor(world, 100ms);
        REQUIRE((world.isRouted(before) || world.isRouted(after)));
    }
    CHECK(world.isRouted(after));
    CHECK_FALSE(world.isRouted(before));
}

TEST_CASE(
        "a new owner unloads a replica only after its running requests are reported to have ended")
{
    World world(makeWorldSettings(makeConfiguration(1, 2, Fencing::Refuses)));
    runFor(world, 5s);
    REQUIRE(demandUntilRouted(world, modelTarget(0), 20s));
    const UpstreamId upstream = world.routesOf(modelTarget(0)).front();
    world.kill(*world.announcedOwner());
    world.tellAll(UpstreamLeaving{upstream});
    runFor(world, 5s);
    REQUIRE(countOwners(world) == 1);
    InstanceFake &owner = *world.announcedOwner();
    const auto use = [&](std::uint32_t running) {
        world.tell(owner, UsageReported{InstanceId("i2"), upstream, modelTarget(0), 0, running,
                                        world.scheduler.now()});
    };
    use(1);
    runFor(world, 20s);
    CHECK(world.engines.at(upstream)->isLoaded(modelTarget(0)));
    use(0);
    runFor(world, 5s);
    CHECK_FALSE(world.engines.at(upstream)->isLoaded(modelTarget(0)));
}
