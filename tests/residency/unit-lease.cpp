#include "residency/lease.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

TEST_CASE("a holder may send orders only while no other holder can exist")
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

    SUBCASE("a renewal extends the lease from the time at which it was sent")
    {
        CHECK(lease.isRenewalDue(now + 600ms));
        lease.recordRenewal(now + 600ms);
        CHECK_FALSE(lease.isRenewalDue(now + 700ms));
        CHECK(lease.maySendOrders(now + 1900ms));
        CHECK_FALSE(lease.maySendOrders(now + 2s));
    }

    SUBCASE("the lease is not valid when the machine resumes from a long suspension")
    {
        CHECK_FALSE(lease.isHeld(now + 6s));
        CHECK(lease.isGranted());
        SUBCASE("a renewal makes it valid again if the store has kept it")
        {
            lease.recordRenewal(now + 6s);
            CHECK(lease.maySendOrders(now + 6s));
        }
    }

    SUBCASE("a lost lease can't be renewed")
    {
        lease.recordLoss();
        lease.recordRenewal(now + 1s);
        CHECK_FALSE(lease.isHeld(now + 1s));
        CHECK(lease.fence() == Fence());
    }
}

TEST_CASE("the orders of two holders are at least the handover pause apart for any time to live")
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
        // The store removes the owner's record at the end of the lease at the earliest.
        const TimePoint firstOrder = granted + timeToLive + successorPause(times);
        CHECK(firstOrder - lastOrder >= 3s);
    }
}

TEST_CASE("with engines that check fencing numbers, a successor waits only while the former lease "
          "may be valid")
{
    LeaseTimes times;
    times.timeToLive = 2s;
    const TimePoint now(100s);

    SUBCASE("it does not wait when the last message of the former holder is older than a valid "
            "lease")
    {
        CHECK(earliestOrderTime(times, true, now, now - 2s) == now);
    }
    SUBCASE("no order overlaps those of a holder whose message has just come")
    {
        Lease former(times);
        former.recordGrant(Fence(1), now, now);
        const TimePoint first = earliestOrderTime(times, true, now, now);
        CHECK(former.maySendOrders(first - 1ms));
        CHECK_FALSE(former.maySendOrders(first));
    }
    SUBCASE("with engines that don't check them, the full pause applies")
    {
        CHECK(earliestOrderTime(times, false, now, now - 9s) == now + successorPause(times));
    }
}
