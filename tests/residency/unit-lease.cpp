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
    CHECK_FALSE(lease.maySendOrders(now));
    lease.recordGrant(Fence(7), now, now);
    CHECK(lease.maySendOrders(now + 1399ms));
    CHECK_FALSE(lease.maySendOrders(now + 1400ms));

    SUBCASE("a renewal counts from when it was sent")
    {
        CHECK(lease.isRenewalDue(now + 600ms));
        lease.recordRenewal(now + 600ms);
        CHECK_FALSE(lease.isRenewalDue(now + 700ms));
        CHECK(lease.maySendOrders(now + 1900ms));
        CHECK_FALSE(lease.maySendOrders(now + 2s));
    }

    SUBCASE("a suspended machine wakes without the right to order")
    {
        CHECK_FALSE(lease.isHeld(now + 6s));
        CHECK(lease.isGranted());
        SUBCASE("and has it back when the store has kept the lease")
        {
            lease.recordRenewal(now + 6s);
            CHECK(lease.maySendOrders(now + 6s));
        }
    }

    SUBCASE("a lost lease is not renewed")
    {
        lease.recordLoss();
        lease.recordRenewal(now + 1s);
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
        former.recordGrant(Fence(1), granted, granted);
        TimePoint lastOrder = granted;
        for (TimePoint time = granted; time < granted + timeToLive; time += 1ms) {
            if (former.maySendOrders(time))
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
        CHECK(earliestOrderTime(times, true, now, now - 2s) == now);
    }
    SUBCASE("the record was taken from a holder that is still heard: no order overlaps")
    {
        Lease former(times);
        former.recordGrant(Fence(1), now, now);
        const TimePoint first = earliestOrderTime(times, true, now, now);
        CHECK(former.maySendOrders(first - 1ms));
        CHECK_FALSE(former.maySendOrders(first));
    }
    SUBCASE("where they don't, the pause stays")
    {
        CHECK(earliestOrderTime(times, false, now, now - 9s) == now + successorPause(times));
    }
}
