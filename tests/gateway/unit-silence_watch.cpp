#include "gateway/silence_watch.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

TEST_CASE("another upstream is looked for when the current one has said nothing for its time")
{
    const TimePoint sent = TimePoint(100s);
    const SilenceLimits limits;
    SilenceWatch watch(limits, 400ms, 250ms, sent);
    CHECK(watch.nextCheck() == sent + 600ms);

    SUBCASE("a short objective leaves the least time")
    {
        CHECK(SilenceWatch(limits, 10ms, 0ms, sent).nextCheck() == sent + limits.minTime);
    }
    SUBCASE("bytes of the answer begin the time anew")
    {
        watch.recordBytes(sent + 500ms);
        CHECK(watch.nextCheck() == sent + 1100ms);
    }
    SUBCASE("a part of an event begins the time between events anew")
    {
        watch.recordEvents(sent + 500ms);
        watch.recordBytes(sent + 700ms);
        CHECK(watch.nextCheck() == sent + 1450ms);
    }
    SUBCASE("between events the objective for gaps counts")
    {
        watch.recordEvents(sent + 500ms);
        CHECK(watch.nextCheck() == sent + 1250ms);

        SUBCASE("and a route without one waits")
        {
            SilenceWatch patient(limits, 400ms, 0ms, sent);
            patient.recordEvents(sent + 500ms);
            CHECK(patient.nextCheck() == TimePoint::max());
        }
    }
    SUBCASE("when nobody takes the request, it is tried again soon, and bytes end that")
    {
        watch.recordNotReplaced(sent + 600ms);
        CHECK(watch.nextCheck() == sent + 800ms);
        watch.recordEvents(sent + 700ms);
        CHECK(watch.nextCheck() == sent + 1450ms);
    }
}
