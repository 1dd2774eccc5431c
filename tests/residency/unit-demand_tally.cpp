#include "residency/demand_tally.hpp"

#include <limits>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

gateway::TargetDemand makeDemand(const std::string &adapter, std::uint32_t arrivals,
                                 std::uint32_t waiting, Duration timeLeft, std::uint32_t running)
{
    return {{gateway::ServiceId("assistant"), {ModelId("lease"), AdapterId(adapter)}},
            arrivals,
            waiting,
            timeLeft,
            running};
}

} // namespace

TEST_CASE("demand of all instances is summed; a model's rate includes its adapters'")
{
    DemandTally tally;
    TimePoint now(10s);
    tally.addReport(InstanceId("a"), {makeDemand("", 8, 1, 2s, 0)}, false, now);
    tally.addReport(InstanceId("b"), {makeDemand("a1", 8, 2, 1s, 0)}, false, now);
    const Target model{ModelId("lease"), {}};
    const Target adapter{ModelId("lease"), AdapterId("a1")};
    // 16 arrivals since an unknown time before, which counts as the assumed 2 s.
    CHECK(tally.demandFor(model).requestsPerSecond == doctest::Approx(8.0));
    CHECK(tally.demandFor(adapter).requestsPerSecond == doctest::Approx(4.0));
    CHECK(tally.demandFor(model).waiting == 1);
    CHECK(tally.demandFor(adapter).waiting == 2);
    CHECK(tally.waitingTargets().size() == 2);
    CHECK(tally.arrivals() == 16);

    SUBCASE("a new report replaces the instance's waiting requests, a continuation adds to them")
    {
        tally.addReport(InstanceId("a"), {}, false, now);
        CHECK(tally.demandFor(model).waiting == 0);
        tally.addReport(InstanceId("a"), {makeDemand("", 0, 3, 2s, 0)}, true, now);
        CHECK(tally.demandFor(model).waiting == 3);
    }

    SUBCASE("the rate decays, and the report of a silent instance is dropped")
    {
        tally.advanceTo(now + 80s);
        const double rate = tally.demandFor(model).requestsPerSecond;
        tally.advanceTo(now + 88s);
        CHECK(tally.demandFor(model).requestsPerSecond
              == doctest::Approx(rate / 2.71828).epsilon(0.01));
        tally.advanceTo(now + 8s);
        CHECK(tally.demandFor(model).requestsPerSecond
              == doctest::Approx(rate / 2.71828).epsilon(0.01));
        CHECK(tally.waitingTargets().empty());
        CHECK(tally.instanceCount() == 0);
    }

    SUBCASE("concurrency approaches the number of running and waiting requests")
    {
        for (int i = 0; i < 100; ++i) {
            now += 100ms;
            tally.addReport(InstanceId("a"), {makeDemand("", 0, 0, 0s, 6)}, false, now);
            tally.addReport(InstanceId("b"), {makeDemand("a1", 0, 2, 1s, 2)}, false, now);
        }
        CHECK(tally.demandFor(model).concurrency == doctest::Approx(10).epsilon(0.05));
    }
}

// Guards against a new owner that takes the short time of its reports for little demand: it would
// evict the replicas of busy models.
TEST_CASE("regression: a new owner of 195 instances knows the rates of busy models within a second")
{
    // Each instance reports every half second; one model gets a large part of the requests.
    DemandTally tally;
    TimePoint now(100s);
    const Target busy{ModelId("lease"), {}};
    const Target rare{ModelId("rare"), {}};
    const auto report = [&](int round) {
        for (int instance = 0; instance < 195; ++instance) {
            std::vector<gateway::TargetDemand> demand;
            // Some 39 arrivals a second for the busy model, one in all for the rare one.
            if ((instance + round * 39) % 195 < 39 && instance % 2 == 0)
                demand.push_back(makeDemand("", 1, 0, 0s, 0));
            if (instance == 7 && round == 0) {
                demand.push_back(makeDemand("", 1, 0, 0s, 0));
                demand.back().target.target = rare;
            }
            if (instance % 13 == 0)
                demand.push_back(makeDemand("", 0, 0, 0s, 1));
            tally.addReport(InstanceId("i" + std::to_string(instance)), demand, false, now);
        }
    };
    report(0);
    now += 500ms;
    report(1);
    now += 500ms;
    report(2);

    SUBCASE("the busy model's rate is at least half of the true one, the rare one's stays low")
    {
        tally.advanceTo(now);
        CHECK(tally.observedTime() == 1s);
        CHECK(tally.demandFor(busy).requestsPerSecond > 39.0 / 2);
        CHECK(tally.demandFor(busy).requestsPerSecond < 39.0);
        CHECK(tally.demandFor(rare).requestsPerSecond < 0.8);
    }

    SUBCASE("its concurrency is the one that was reported")
    {
        CHECK(tally.demandFor(busy).concurrency == doctest::Approx(15).epsilon(0.1));
    }

    SUBCASE("after the averaging time the estimates are the plain averages")
    {
        for (int round = 3; round < 120; ++round) {
            now += 500ms;
            report(round);
        }
        CHECK(tally.demandFor(busy).requestsPerSecond == doctest::Approx(39.2).epsilon(0.2));
        CHECK(tally.demandFor(rare).requestsPerSecond < 0.01);
    }
}

TEST_CASE("requests that only one version serves are counted apart, with their shortest wait")
{
    DemandTally tally;
    const TimePoint now{10s};
    const Target model{ModelId("lease"), {}};
    const auto makeBound = [](const char *version, std::uint32_t waiting, Duration timeLeft) {
        gateway::TargetDemand demand = makeDemand("", 0, waiting, timeLeft, 0);
        demand.target.version = SoftwareVersion(version);
        return demand;
    };
    tally.addReport(InstanceId("a"),
                    {makeDemand("", 1, 4, 1s, 0), makeBound("v1", 1, 3s), makeBound("v2", 2, 5s)},
                    false, now);
    tally.addReport(InstanceId("b"), {makeBound("v1", 2, 2s)}, false, now);
    CHECK(tally.demandFor(model).waiting == 4);
    REQUIRE(tally.boundWaits().size() == 2);
    CHECK(tally.boundWaits().at({model, SoftwareVersion("v1")}) == BoundWaits{3, 2s});
    CHECK(tally.boundWaits().at({model, SoftwareVersion("v2")}) == BoundWaits{2, 5s});

    tally.addReport(InstanceId("b"), {}, false, now);
    CHECK(tally.boundWaits().at({model, SoftwareVersion("v1")}) == BoundWaits{1, 3s});
}

// Guards against sums of what instances report that wrap: nobody seemed to wait or run.
TEST_CASE("the largest numbers that instances can report are summed without wrapping")
{
    const std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    const Target model{ModelId("lease"), {}};
    const TimePoint now{10s};
    DemandTally tally;
    SUBCASE("running and waiting requests of one instance")
    {
        tally.addReport(InstanceId("a"), {makeDemand("", 0, 1, 1s, most)}, false, now);
        tally.advanceTo(now + 2s);
        CHECK(tally.demandFor(model).concurrency > 1e9);
    }

    SUBCASE("waiting requests of two instances")
    {
        for (const char *instance : {"a", "b"})
            tally.addReport(InstanceId(instance), {makeDemand("", 0, 1U << 31, 1s, 0)}, false, now);
        CHECK(tally.demandFor(model).waiting >= 1U << 31);
        CHECK(tally.waitingTargets().size() == 1);
    }

    SUBCASE("waiting requests that only one version serves")
    {
        for (const char *instance : {"a", "b"}) {
            gateway::TargetDemand demand = makeDemand("", 0, 1U << 31, 1s, 0);
            demand.target.version = SoftwareVersion("v1");
            tally.addReport(InstanceId(instance), {demand}, false, now);
        }
        CHECK(tally.boundWaits().at({model, SoftwareVersion("v1")}).waiting >= 1U << 31);
    }
}
