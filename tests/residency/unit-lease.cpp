#include "residency/lease.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

TEST_CASE("a holder acts only while no other can")
{
    LeaseTimes times;
    times.timeToLive = 2s;
    times.handoverPause = 3s;
    Lease lease(times);
    TimePoint now(100s);
    CHECK_FALSE(lease.mayOrder(now));
    lease.granted(Fence(7), now, now);
    CHECK(lease.mayOrder(now + 1399ms));
    CHECK_FALSE(lease.mayOrder(now + 1400ms));

    SUBCASE("a renewal counts from when it was sent")
    {
        CHECK(lease.isRenewalDue(now + 600ms));
        lease.renewed(now + 600ms);
        CHECK_FALSE(lease.isRenewalDue(now + 700ms));
        CHECK(lease.mayOrder(now + 1900ms));
        CHECK_FALSE(lease.mayOrder(now + 2s));
    }

    SUBCASE("a suspended machine wakes without the right to order")
    {
        CHECK_FALSE(lease.isHeld(now + 6s));
        CHECK(lease.isClaimed());
        SUBCASE("and has it back when the store has kept the lease")
        {
            lease.renewed(now + 6s);
            CHECK(lease.mayOrder(now + 6s));
        }
    }

    SUBCASE("a lost lease is not renewed")
    {
        lease.lost();
        lease.renewed(now + 1s);
        CHECK_FALSE(lease.isHeld(now + 1s));
        CHECK(lease.fence() == Fence());
    }
}

TEST_CASE("two holders never order within the pause, whatever the former one's last order was")
{
    for (const Duration timeToLive : {Duration(1s), Duration(2s), Duration(5s)}) {
        LeaseTimes times;
        times.timeToLive = timeToLive;
        times.handoverPause = 3s;
        Lease former(times);
        const TimePoint granted(50s);
        former.granted(Fence(1), granted, granted);
        TimePoint lastOrder = granted;
        for (TimePoint time = granted; time < granted + timeToLive; time += 1ms) {
            if (former.mayOrder(time))
                lastOrder = time;
        }
        // The store frees the record no earlier than the lease's end.
        const TimePoint firstOrder = granted + timeToLive + successorPause(times);
        CHECK(firstOrder - lastOrder >= 3s);
    }
}

TEST_CASE("where engines check fences, a successor waits only for a holder that may still act")
{
    LeaseTimes times;
    times.timeToLive = 2s;
    const TimePoint now(100s);

    SUBCASE("the former holder was silent since its process was killed")
    {
        CHECK(firstOrderAt(times, true, now, now - 2s) == now);
    }
    SUBCASE("the record was taken from a holder that is still heard: no order overlaps")
    {
        Lease former(times);
        former.granted(Fence(1), now, now);
        const TimePoint first = firstOrderAt(times, true, now, now);
        CHECK(former.mayOrder(first - 1ms));
        CHECK_FALSE(former.mayOrder(first));
    }
    SUBCASE("where they don't, the pause stays")
    {
        CHECK(firstOrderAt(times, false, now, now - 9s) == now + successorPause(times));
    }
}
