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
    const UpstreamId &failing = group[0];
    ejector.update(tableOf(group));
    TimePoint now(1s);
    for (int i = 0; i < 5; ++i)
        ejector.recordFailure(failing, now);
    CHECK(ejector.health(failing, now) == UpstreamHealth::Ejected);
    CHECK(ejector.selectUsable(group, now) == std::vector{group[1], group[2]});
    CHECK(metrics.counter("bamboochute_ejections_total", "reason=\"consecutive_failures\"").value()
          == 1);

    SUBCASE("after the back-off one probe is allowed at a time")
    {
        now += 5s;
        CHECK(ejector.health(failing, now) == UpstreamHealth::Probing);
        ejector.recordStart(failing, now);
        CHECK(ejector.health(failing, now) == UpstreamHealth::Ejected);

        SUBCASE("three successful probes make it healthy")
        {
            for (int i = 0; i < 3; ++i) {
                ejector.recordStart(failing, now);
                ejector.recordSuccess(failing, 10ms, now);
            }
            CHECK(ejector.health(failing, now) == UpstreamHealth::Healthy);
        }

        SUBCASE("a failed probe doubles the back-off")
        {
            ejector.recordFailure(failing, now);
            CHECK(ejector.health(failing, now + 9s) == UpstreamHealth::Ejected);
            CHECK(ejector.health(failing, now + 10s) == UpstreamHealth::Probing);
        }

        SUBCASE("after a cancelled probe the next one is allowed")
        {
            ejector.recordCancellation(failing);
            CHECK(ejector.health(failing, now) == UpstreamHealth::Probing);
        }
    }

    SUBCASE("no more upstreams are ejected at once than the bound allows")
    {
        for (int i = 0; i < 5; ++i) {
            ejector.recordFailure(group[1], now + 1s);
            ejector.recordFailure(group[2], now + 2s);
        }
        CHECK(ejector.selectUsable(group, now + 2s).size() == 2);
    }

    SUBCASE("the only replica stays in use")
    {
        CHECK(ejector.selectUsable({failing}, now) == std::vector{failing});
    }
}

TEST_CASE("an upstream is ejected for its error rate or for slow answers")
{
    Metrics metrics;
    Ejector ejector(metrics);
    const std::vector<UpstreamId> group{UpstreamId("a"), UpstreamId("b"), UpstreamId("c")};
    ejector.update(tableOf(group));
    const TimePoint now(1s);

    SUBCASE("a fifth of ten answers are errors")
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

    SUBCASE("its latency is more than four times the median of its pool")
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
