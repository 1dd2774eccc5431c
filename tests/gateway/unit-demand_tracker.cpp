#include "gateway/demand_tracker.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

TEST_CASE("the book tells arrivals once, and what waits and runs as long as it does")
{
    const ServiceTarget target{ServiceId("assistant"), {ModelId("lease"), {}}};
    DemandTracker book;
    TimePoint now(1s);
    book.arrived(target);
    book.arrived(target);
    book.started(target);
    book.waitBegan(target, now + 2s);
    book.waitBegan(target, now + 1s);
    CHECK(book.hasNewWait());
    const auto first = book.takeReport(now);
    REQUIRE(first.size() == 1);
    CHECK(first[0] == TargetDemand{target, 2, 2, Duration(1s), 1});
    CHECK_FALSE(book.hasNewWait());
    CHECK(book.takeReport(now)[0] == TargetDemand{target, 0, 2, Duration(1s), 1});

    SUBCASE("a promise holds as long as somebody waits")
    {
        book.recordPromise(target, {now + 500ms, now});
        CHECK(book.promise(target)->readyAt == now + 500ms);
        book.waitEnded(target, now + 2s);
        CHECK(book.promise(target));
        book.waitEnded(target, now + 1s);
        CHECK_FALSE(book.promise(target));
        book.recordPromise(target, {now + 500ms, now});
        CHECK_FALSE(book.promise(target));
    }

    SUBCASE("what nobody asks for any more is forgotten")
    {
        book.waitEnded(target, now + 1s);
        book.waitEnded(target, now + 2s);
        book.finished(target);
        CHECK(book.takeReport(now).empty());
    }
}
