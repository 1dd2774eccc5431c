#include "store/pacing.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace std::chrono_literals;
using store::LoadKind;

TEST_CASE("loads stay within the weight store's limits")
{
    store::Pacer pacer;
    pacer.configure(StoreLimits{2.0, 4, 32});
    TimePoint now{};
    pacer.restart(now);

    SUBCASE("a restart empties the token bucket, as a former owner may have used the tokens")
    {
        CHECK_FALSE(pacer.mayStart(LoadKind::Model, 0, now));
        CHECK(pacer.mayStart(LoadKind::Model, 0, now + 500ms));
    }

    SUBCASE("after an idle period one second's loads start at once, and further loads at the rate")
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

    SUBCASE("the number of concurrent model loads is limited")
    {
        now += 60s;
        CHECK(pacer.mayStart(LoadKind::Model, 3, now));
        CHECK_FALSE(pacer.mayStart(LoadKind::Model, 4, now));
    }

    SUBCASE("adapters have a limit of their own")
    {
        CHECK(pacer.mayStart(LoadKind::Adapter, 31, now));
        CHECK_FALSE(pacer.mayStart(LoadKind::Adapter, 32, now));
    }

    SUBCASE("slow loads lower rate and concurrency, and fast loads raise them again")
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

    SUBCASE("a load that waited for others at the store lowers the concurrency")
    {
        pacer.recordFinish(LoadKind::Model, 15s, 10s);
        CHECK(pacer.loadsAtOnce() == 2);
        pacer.recordFinish(LoadKind::Model, 11s, 10s);
        CHECK(pacer.loadsAtOnce() == 3);
    }

    SUBCASE("the estimated start accounts for queued and running loads")
    {
        now += 60s;
        CHECK(pacer.estimateStart(0, 0, 8s, now) == now);
        CHECK(pacer.estimateStart(3, 0, 8s, now) == now + 1s);
        CHECK(pacer.estimateStart(0, 4, 8s, now) == now + 8s);
    }
}
