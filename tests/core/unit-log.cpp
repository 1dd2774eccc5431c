#include "core/log.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace std::chrono_literals;

TEST_CASE("a flood of one message is cut, and what was left out is told")
{
    LogBudget budget(3);
    TimePoint now(10s);
    for (int i = 0; i < 3; ++i)
        CHECK(budget.decide("request routed", now).isWritten);
    CHECK_FALSE(budget.decide("request routed", now + 500ms).isWritten);
    CHECK_FALSE(budget.decide("request routed", now + 900ms).isWritten);

    SUBCASE("other messages have their own second")
    {
        CHECK(budget.decide("request failed", now + 500ms).isWritten);
    }

    SUBCASE("the next second begins with the count")
    {
        CHECK(budget.decide("request routed", now + 1s) == LogBudget::Decision{true, 2});
        CHECK(budget.decide("request routed", now + 1s) == LogBudget::Decision{true, 0});
    }
}
