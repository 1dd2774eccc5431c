#include "admission/claim_leases.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

TEST_CASE("claims of one retention share a lease that outlasts it")
{
    ClaimLeases leases;
    const TimePoint now(1h);
    CHECK_FALSE(leases.find(7200s, now));
    const auto timeToLive = leases.request(7200s, now);
    REQUIRE(timeToLive == 7860s);
    CHECK_FALSE(leases.request(7200s, now));

    SUBCASE("the lease counts from the request, however late its answer is")
    {
        leases.granted(*timeToLive, platform::LeaseId(7));
        const ClaimLease lease = leases.find(7200s, now).value();
        CHECK(lease == ClaimLease{platform::LeaseId(7), now + 7860s});
        CHECK(leases.find(7200s, now + 600s));
        CHECK_FALSE(leases.find(7200s, now + 601s));

        SUBCASE("and the next one is requested before it gets too short")
        {
            CHECK_FALSE(leases.request(7200s, now + 500s));
            CHECK(leases.request(7200s, now + 530s));
            CHECK(leases.find(7200s, now + 530s));
        }

        SUBCASE("another retention has another lease")
        {
            CHECK_FALSE(leases.find(3600s, now));
            CHECK(leases.request(3600s, now) == 4260s);
        }
    }

    SUBCASE("a request that failed is made again after a delay")
    {
        leases.granted(*timeToLive, Error(ErrorKind::KeyValueUnavailable));
        CHECK_FALSE(leases.request(7200s, now + 100ms));
        CHECK(leases.request(7200s, now + 250ms));
    }

    SUBCASE("a request that was never answered is made again")
    {
        CHECK_FALSE(leases.request(7200s, now + 4s));
        CHECK(leases.request(7200s, now + 5s));
    }
}
