#include "admission/ejector.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

RoutingTable tableOf(const std::vector<UpstreamId> &group)
{
    RoutingTable table;
    for (const UpstreamId &id : group) {
        table.upstreams[id].spec.id = id;
        table.upstreams[id].spec.pool = PoolId("assistant");
    }
    return table;
}

} // namespace

TEST_CASE("an upstream that fails is ejected for a while")
{
    Metrics metrics;
    Ejector ejector(metrics);
    const std::vector<UpstreamId> group{UpstreamId("a"), UpstreamId("b"), UpstreamId("c")};
    const UpstreamId &bad = group[0];
    ejector.update(tableOf(group));
    TimePoint now(1s);
    for (int i = 0; i < 5; ++i)
        ejector.recordFailure(bad, now);
    CHECK(ejector.health(bad, now) == UpstreamHealth::Ejected);
    CHECK(ejector.usable(group, now) == std::vector{group[1], group[2]});
    CHECK(metrics.counter("bamboochute_ejections_total", "reason=\"consecutive_failures\"").value()
          == 1);

    SUBCASE("after the back-off one probe at a time finds out")
    {
        now += 5s;
        CHECK(ejector.health(bad, now) == UpstreamHealth::Probing);
        ejector.recordStart(bad, now);
        CHECK(ejector.health(bad, now) == UpstreamHealth::Ejected);

        SUBCASE("three successes bring it back")
        {
            for (int i = 0; i < 3; ++i) {
                ejector.recordStart(bad, now);
                ejector.recordSuccess(bad, 10ms, now);
            }
            CHECK(ejector.health(bad, now) == UpstreamHealth::Healthy);
        }

        SUBCASE("a failure doubles the back-off")
        {
            ejector.recordFailure(bad, now);
            CHECK(ejector.health(bad, now + 9s) == UpstreamHealth::Ejected);
            CHECK(ejector.health(bad, now + 10s) == UpstreamHealth::Probing);
        }

        SUBCASE("a cancelled probe makes room for the next")
        {
            ejector.recordCancellation(bad);
            CHECK(ejector.health(bad, now) == UpstreamHealth::Probing);
        }
    }

    SUBCASE("no more than the bound are out at once")
    {
        for (int i = 0; i < 5; ++i) {
            ejector.recordFailure(group[1], now + 1s);
            ejector.recordFailure(group[2], now + 2s);
        }
        CHECK(ejector.usable(group, now + 2s).size() == 2);
    }

    SUBCASE("the only replica stays in use")
    {
        CHECK(ejector.usable({bad}, now) == std::vector{bad});
    }
}

TEST_CASE("an upstream is ejected for its rate of errors or for slow answers")
{
    Metrics metrics;
    Ejector ejector(metrics);
    const std::vector<UpstreamId> group{UpstreamId("a"), UpstreamId("b"), UpstreamId("c")};
    ejector.update(tableOf(group));
    const TimePoint now(1s);

    SUBCASE("a fifth of errors among ten answers")
    {
        for (int i = 0; i < 6; ++i) {
            ejector.recordSuccess(group[0], 10ms, now);
            if (i % 3 == 0)
                ejector.recordFailure(group[0], now);
        }
        CHECK(ejector.health(group[0], now) == UpstreamHealth::Healthy);
        ejector.recordSuccess(group[0], 10ms, now);
        ejector.recordFailure(group[0], now);
        CHECK(ejector.health(group[0], now) == UpstreamHealth::Ejected);
    }

    SUBCASE("more than four times the pool's median latency")
    {
        for (int i = 0; i < 20; ++i) {
            ejector.recordSuccess(group[0], 10ms, now);
            ejector.recordSuccess(group[1], 12ms, now);
            ejector.recordSuccess(group[2], 90ms, now);
        }
        CHECK(ejector.health(group[0], now) == UpstreamHealth::Healthy);
        CHECK(ejector.health(group[2], now) == UpstreamHealth::Ejected);
    }
}
