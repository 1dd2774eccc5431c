#include "core/log.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace std::chrono_literals;

TEST_CASE("lines of one message beyond the rate are suppressed, and their number is reported")
{
    LogRateLimiter limiter(3);
    TimePoint now(10s);
    for (int i = 0; i < 3; ++i)
        CHECK(limiter.decide("request routed", now).isWritten);
    CHECK_FALSE(limiter.decide("request routed", now + 500ms).isWritten);
    CHECK_FALSE(limiter.decide("request routed", now + 900ms).isWritten);

    SUBCASE("each message has a limit of its own")
    {
        CHECK(limiter.decide("request failed", now + 500ms).isWritten);
    }

    SUBCASE("the first line of the next second carries the number of suppressed lines")
    {
        CHECK(limiter.decide("request routed", now + 1s) == LogRateLimiter::Decision{true, 2});
        CHECK(limiter.decide("request routed", now + 1s) == LogRateLimiter::Decision{true, 0});
    }
}
