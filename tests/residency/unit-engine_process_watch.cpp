#include "residency/engine_process_watch.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

gateway::RegisteredUpstream makeRegistration(std::uint64_t startedAt, std::uint64_t heartbeat)
{
    gateway::RegisteredUpstream upstream;
    upstream.id = UpstreamId("e0");
    upstream.residency.version.startedAt = startedAt;
    upstream.heartbeat = heartbeat;
    return upstream;
}

} // namespace

// Guards against loads that are sent, again and again, to the former id of a crashed engine whose
// address a later process has.
TEST_CASE("an engine whose address a later process has is not used until it registers again")
{
    EngineProcessWatch watch;
    const TimePoint now(100s);
    const gateway::RegisteredUpstream registered = makeRegistration(1000, 7);
    CHECK_FALSE(watch.isReplaced(registered, now));

    SUBCASE("its own reports change nothing")
    {
        watch.recordReport(registered, 1000, now);
        CHECK_FALSE(watch.isReplaced(registered, now));
    }
    SUBCASE("a report of an earlier process that came late changes nothing")
    {
        watch.recordReport(registered, 900, now);
        CHECK_FALSE(watch.isReplaced(registered, now));
    }
    SUBCASE("a report of a later process shows that it is gone")
    {
        watch.recordReport(registered, 2000, now);
        CHECK(watch.isReplaced(registered, now));

        SUBCASE("also after a heartbeat that was written before its end and read since")
        {
            CHECK(watch.isReplaced(makeRegistration(1000, 8), now));
        }
        SUBCASE("until its registration shows that it was started again")
        {
            const gateway::RegisteredUpstream restarted = makeRegistration(2000, 1);
            CHECK_FALSE(watch.isReplaced(restarted, now));
            watch.recordReport(restarted, 2000, now);
            CHECK_FALSE(watch.isReplaced(restarted, now));
        }
        SUBCASE("until an order can tell, as a restarted engine can't register without the store")
        {
            const TimePoint later = now + 2s;
            watch.recordReport(registered, 2000, later);
            CHECK(watch.isReplaced(registered, later));
            const TimePoint end = now + EngineProcessWatch::reportDoubt;
            CHECK_FALSE(watch.isReplaced(registered, end));
            watch.recordReport(registered, 2000, end);
            CHECK_FALSE(watch.isReplaced(registered, end));
            watch.recordOtherProcess(registered);
            CHECK(watch.isReplaced(registered, end + 60s));
        }
        SUBCASE("until it reports itself")
        {
            watch.recordReport(registered, 1000, now);
            CHECK_FALSE(watch.isReplaced(registered, now));
        }
    }
    SUBCASE("so does an order that another process answered")
    {
        watch.recordOtherProcess(registered);
        CHECK(watch.isReplaced(registered, now));
        CHECK_FALSE(watch.isReplaced(makeRegistration(2000, 1), now));

        SUBCASE("a report of an earlier process does not refute it")
        {
            watch.recordReport(registered, 900, now);
            CHECK(watch.isReplaced(registered, now));
        }
    }
}

TEST_CASE("without known starts only an answer to an order shows that a process is gone")
{
    EngineProcessWatch watch;
    const TimePoint now(100s);
    const gateway::RegisteredUpstream registered = makeRegistration(0, 7);
    watch.recordReport(registered, 2000, now);
    watch.recordReport(makeRegistration(1000, 7), 0, now);
    CHECK_FALSE(watch.isReplaced(registered, now));
    watch.recordOtherProcess(registered);
    CHECK(watch.isReplaced(registered, now));

    SUBCASE("a report does not refute it, so that no order follows each report")
    {
        watch.recordReport(registered, 0, now);
        CHECK(watch.isReplaced(registered, now));
    }
    SUBCASE("a renewed registration does")
    {
        CHECK_FALSE(watch.isReplaced(makeRegistration(0, 8), now));
    }
}
