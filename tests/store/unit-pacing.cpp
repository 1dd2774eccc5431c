#include "store/pacing.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace std::chrono_literals;
using store::LoadKind;

TEST_CASE("loads are paced within the weight store's limits")
{
    store::Pacer pacer;
    pacer.configure(StoreLimits{2.0, 4, 32});
    TimePoint now{};
    pacer.restart(now);

    SUBCASE("a new owner spends nothing that the former may have spent")
    {
        CHECK_FALSE(pacer.mayStart(LoadKind::Model, 0, now));
        CHECK(pacer.mayStart(LoadKind::Model, 0, now + 500ms));
    }

    SUBCASE("after a quiet time one second's loads start at once, and then at the rate")
    {
        now += 60s;
        int started = 0;
        for (TimePoint at = now; at < now + 10s; at += 10ms) {
            if (pacer.mayStart(LoadKind::Model, 0, at)) {
                pacer.recordStart(LoadKind::Model, 0, at);
                ++started;
            }
        }
        CHECK(started == 21);
    }

    SUBCASE("loads at once are bounded")
    {
        now += 60s;
        CHECK(pacer.mayStart(LoadKind::Model, 3, now));
        CHECK_FALSE(pacer.mayStart(LoadKind::Model, 4, now));
    }

    SUBCASE("adapters have a bound of their own")
    {
        CHECK(pacer.mayStart(LoadKind::Adapter, 31, now));
        CHECK_FALSE(pacer.mayStart(LoadKind::Adapter, 32, now));
    }

    SUBCASE("a slow store gets fewer loads, and again more when it is fast")
    {
        for (int i = 0; i < 8; ++i)
            pacer.recordFinish(LoadKind::Model, 30s, 8s);
        CHECK(pacer.loadsAtOnce() == 1);
        CHECK(pacer.loadsPerSecond() == doctest::Approx(0.5));
        for (int i = 0; i < 10; ++i)
            pacer.recordFinish(LoadKind::Model, 8s, 8s);
        CHECK(pacer.loadsAtOnce() == 4);
        CHECK(pacer.loadsPerSecond() == doctest::Approx(2.0));
    }

    SUBCASE("loads that waited for each other at the store leave room for fewer at once")
    {
        pacer.recordFinish(LoadKind::Model, 15s, 10s);
        CHECK(pacer.loadsAtOnce() == 2);
        pacer.recordFinish(LoadKind::Model, 11s, 10s);
        CHECK(pacer.loadsAtOnce() == 3);
    }

    SUBCASE("the wait of those in line is told truly")
    {
        now += 60s;
        CHECK(pacer.estimateStart(0, 0, 8s, now) == now);
        CHECK(pacer.estimateStart(3, 0, 8s, now) == now + 1s);
        CHECK(pacer.estimateStart(0, 4, 8s, now) == now + 8s);
    }
}
