#include "admission/request_queue.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

const CallerClassId exportHouse("export-house");
const CallerClassId walkIn("walk-in");
const Target drafting{ModelId("drafting@1"), {}};
const Target inscriptions{ModelId("inscriptions@2"), {}};

std::vector<CallerClass> classes()
{
    return {
            {exportHouse, 8, 10, 100, {}},
            {walkIn, 1, 0, 4, {}},
    };
}

WaitingRequest request(const CallerClassId &callerClass, const Target &target, Duration deadline)
{
    return {callerClass, target, TimePoint(deadline), 1s, 100, {}};
}

const auto always = [](const Target &, const CallerClassId &) { return true; };

} // namespace

TEST_CASE("a queue holds requests until an upstream is free")
{
    RequestQueue queue(classes(), QueueLimits{.maxBytes = 1000, .ageingInterval = 4});
    const TimePoint now{};

    SUBCASE("within a class the request with the earliest deadline is dispatched first")
    {
        const Ticket late = queue.offer(request(walkIn, drafting, 30s), now).value();
        const Ticket early = queue.offer(request(walkIn, drafting, 10s), now).value();
        CHECK(queue.takeNext(now, always)->ticket == early);
        CHECK(queue.takeNext(now, always)->ticket == late);
        CHECK_FALSE(queue.takeNext(now, always));
        CHECK(queue.bytes() == 0);
    }

    SUBCASE("a target without a free slot delays only its own requests")
    {
        (void)queue.offer(request(walkIn, drafting, 10s), now);
        const Ticket other = queue.offer(request(walkIn, inscriptions, 30s), now).value();
        const auto isFree = [](const Target &target, const CallerClassId &) {
            return target == inscriptions;
        };
        CHECK(queue.takeNext(now, isFree)->ticket == other);
        CHECK_FALSE(queue.takeNext(now, isFree));
        CHECK(queue.waitingCount(drafting) == 1);
        CHECK(queue.targets() == std::vector{drafting});
    }

    SUBCASE("a request above the maximum number of its class is refused at once")
    {
        for (int i = 0; i < 4; ++i)
            CHECK(queue.offer(request(walkIn, drafting, 10s), now));
        const auto refused = queue.offer(request(walkIn, drafting, 10s), now);
        CHECK(refused.error().kind() == ErrorKind::QueueFull);
        CHECK(refused.error().retryAfter() >= 1s);

        SUBCASE("requests of other classes are still accepted")
        {
            CHECK(queue.offer(request(exportHouse, drafting, 10s), now));
        }
    }

    SUBCASE("a request above the maximum of bytes is refused at once")
    {
        for (int i = 0; i < 10; ++i)
            CHECK(queue.offer(request(exportHouse, drafting, 10s), now));
        const auto refused = queue.offer(request(exportHouse, drafting, 10s), now);
        CHECK(refused.error().kind() == ErrorKind::QueueFull);
    }

    SUBCASE("an unknown class, or a deadline shorter than the expected service time, is refused")
    {
        const auto unknown = queue.offer(request(CallerClassId("nobody"), drafting, 10s), now);
        CHECK(unknown.error().kind() == ErrorKind::InvalidField);
        const auto tooShort = queue.offer(request(walkIn, drafting, 500ms), now);
        CHECK(tooShort.error().kind() == ErrorKind::DeadlineUnreachable);
    }

    SUBCASE("a removed request is not counted and does not expire")
    {
        const Ticket ticket = queue.offer(request(walkIn, drafting, 10s), now).value();
        CHECK(queue.remove(ticket)->ticket == ticket);
        CHECK_FALSE(queue.remove(ticket));
        CHECK_FALSE(queue.nextExpiry());
        CHECK(queue.size() == 0);
    }
}

TEST_CASE("a request is removed once its deadline can't be met any more")
{
    RequestQueue queue(classes());
    const TimePoint now{};
    const Ticket early = queue.offer(request(walkIn, drafting, 10s), now).value();
    (void)queue.offer(request(exportHouse, drafting, 30s), now);
    CHECK(queue.nextExpiry() == TimePoint(9s));

    SUBCASE("it expires at its latest start, not at its deadline")
    {
        CHECK(queue.expire(TimePoint(9s - 1us)).empty());
        const auto expired = queue.expire(TimePoint(9s));
        REQUIRE(expired.size() == 1);
        CHECK(expired[0].request.ticket == early);
        CHECK(expired[0].error.kind() == ErrorKind::DeadlineExceededInQueue);
        CHECK(expired[0].error.retryAfter() == 9s);
    }

    SUBCASE("it is not dispatched late after a pause of the process")
    {
        const auto next = queue.takeNext(TimePoint(20s), always);
        REQUIRE(next);
        CHECK(next->request.callerClass == exportHouse);
        CHECK_FALSE(queue.takeNext(TimePoint(20s), always));
        CHECK(queue.expire(TimePoint(20s)).size() == 1);
    }

    SUBCASE("it is refused when the cold start of its target will end too late")
    {
        const auto refused = queue.expireUnreachable(drafting, TimePoint(15s), now);
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].request.ticket == early);
        CHECK(refused[0].error.kind() == ErrorKind::DeadlineUnreachable);
        CHECK(queue.size() == 1);
    }
}

TEST_CASE("classes share the dispatches by weight, and none starves")
{
    constexpr std::uint32_t interval = 4;
    RequestQueue queue(classes(), QueueLimits{.ageingInterval = interval});
    TimePoint now{};
    const auto refill = [&] {
        while (queue.offer(request(exportHouse, drafting, 1h), now)) {
        }
        while (queue.offer(request(walkIn, drafting, 1h), now)) {
        }
    };
    std::map<CallerClassId, int> dispatched;
    std::uint32_t sinceWalkIn = 0;
    for (int i = 0; i < 900; ++i) {
        refill();
        now += 10ms;
        const CallerClassId chosen = queue.takeNext(now, always)->request.callerClass;
        ++dispatched[chosen];
        sinceWalkIn = chosen == walkIn ? 0 : sinceWalkIn + 1;
        CHECK(sinceWalkIn < 2 * interval);
    }
    CHECK(dispatched[walkIn] >= 100);
    CHECK(dispatched[exportHouse] >= 600);
}

TEST_CASE("the wait is estimated from the measured drain rate")
{
    RequestQueue queue({{walkIn, 1, 0, 1000, {}}});
    TimePoint now{};
    for (int i = 0; i < 100; ++i)
        CHECK(queue.offer(request(walkIn, drafting, 1h), now));
    CHECK_FALSE(queue.estimatedWait(request(walkIn, drafting, 1h), now));
    for (int i = 0; i < 50; ++i) {
        now += 100ms;
        CHECK(queue.takeNext(now, always));
    }

    SUBCASE("fifty requests at ten a second take five seconds")
    {
        const auto wait = queue.estimatedWait({walkIn, drafting, now + 2h, 1s, 0, {}}, now);
        REQUIRE(wait);
        CHECK(toSeconds(*wait) == doctest::Approx(5.0).epsilon(0.05));
    }

    SUBCASE("a request that goes first is accepted despite a long queue")
    {
        CHECK(queue.offer({walkIn, drafting, now + 1500ms, 1s, 0, {}}, now));
    }

    SUBCASE("a request whose target is loaded too late is refused with a Retry-After")
    {
        const auto refused = queue.offer({walkIn, inscriptions, now + 5s, 1s, 0, now + 20s}, now);
        CHECK(refused.error().kind() == ErrorKind::DeadlineUnreachable);
        CHECK(refused.error().retryAfter() == 16s);
    }
}
