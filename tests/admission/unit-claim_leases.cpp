#include "admission/claim_leases.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

TEST_CASE("claims with the same retention share a lease that outlasts it")
{
    ClaimLeases leases;
    const TimePoint now(1h);
    CHECK_FALSE(leases.find(7200s, now));
    const auto timeToLive = leases.requestIfDue(7200s, now);
    REQUIRE(timeToLive == 7860s);
    CHECK_FALSE(leases.requestIfDue(7200s, now));

    SUBCASE("the end of a lease is counted from its request, however late the answer is")
    {
        leases.handleAnswer(*timeToLive, platform::LeaseId(7));
        const ClaimLease lease = leases.find(7200s, now).value();
        CHECK(lease == ClaimLease{platform::LeaseId(7), now + 7860s});
        CHECK(leases.find(7200s, now + 600s));
        CHECK_FALSE(leases.find(7200s, now + 601s));

        SUBCASE("the next lease is requested before this one gets too short")
        {
            CHECK_FALSE(leases.requestIfDue(7200s, now + 500s));
            CHECK(leases.requestIfDue(7200s, now + 530s));
            CHECK(leases.find(7200s, now + 530s));
        }

        SUBCASE("claims with another retention use another lease")
        {
            CHECK_FALSE(leases.find(3600s, now));
            CHECK(leases.requestIfDue(3600s, now) == 4260s);
        }
    }

    SUBCASE("a failed request is repeated after a delay")
    {
        leases.handleAnswer(*timeToLive, Error(ErrorKind::KeyValueUnavailable));
        CHECK_FALSE(leases.requestIfDue(7200s, now + 100ms));
        CHECK(leases.requestIfDue(7200s, now + 250ms));
    }

    SUBCASE("a request without an answer is repeated after a time-out")
    {
        CHECK_FALSE(leases.requestIfDue(7200s, now + 4s));
        CHECK(leases.requestIfDue(7200s, now + 5s));
    }
}
