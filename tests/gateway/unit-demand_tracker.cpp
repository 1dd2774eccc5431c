#include "gateway/demand_tracker.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

TEST_CASE("a report contains arrivals once, and waiting and running requests until they end")
{
    const ServiceTarget target{ServiceId("assistant"), {ModelId("lease"), {}}};
    DemandTracker tracker;
    TimePoint now(1s);
    tracker.recordArrival(target);
    tracker.recordArrival(target);
    tracker.recordStart(target);
    tracker.recordWaitStart(target, now + 2s);
    tracker.recordWaitStart(target, now + 1s);
    CHECK(tracker.hasNewWait());
    const auto first = tracker.takeReport(now);
    REQUIRE(first.size() == 1);
    CHECK(first[0] == TargetDemand{target, 2, 2, Duration(1s), 1});
    CHECK_FALSE(tracker.hasNewWait());
    CHECK(tracker.takeReport(now)[0] == TargetDemand{target, 0, 2, Duration(1s), 1});

    SUBCASE("a promise is kept until the last wait for its target ends")
    {
        tracker.recordPromise(target, {now + 500ms, now});
        CHECK(tracker.promise(target)->readyAt == now + 500ms);
        tracker.recordWaitEnd(target, now + 2s);
        CHECK(tracker.promise(target));
        tracker.recordWaitEnd(target, now + 1s);
        CHECK_FALSE(tracker.promise(target));
        tracker.recordPromise(target, {now + 500ms, now});
        CHECK_FALSE(tracker.promise(target));
    }

    SUBCASE("a target without requests is left out of the report")
    {
        tracker.recordWaitEnd(target, now + 1s);
        tracker.recordWaitEnd(target, now + 2s);
        tracker.recordFinish(target);
        CHECK(tracker.takeReport(now).empty());
    }
}
