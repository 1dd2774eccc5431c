#include "gateway/retry_budget.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("drafting");

int takeRetries(RetryBudget &budget, TimePoint now)
{
    int taken = 0;
    while (budget.takeRetry(service, now))
        ++taken;
    return taken;
}

} // namespace

// Guards against retries beyond the budget when all instances start again: each of them took its
// share of the free retries once more, within the window in which it had been used before.
TEST_CASE("the free retries of a window are not there again after a start")
{
    const RetryLimits limits;
    const TimePoint killed = TimePoint(1h);
    const TimePoint started = killed + 1s;
    RetryBudget former(limits);
    former.setInstanceCount(1, killed);
    const int before = takeRetries(former, killed);
    CHECK(before > 0);

    RetryBudget budget(limits);
    budget.beginCounting(started);
    budget.setInstanceCount(1, started + 2s);
    int after = 0;
    for (TimePoint now = started + 2s; now <= killed + limits.window; now += 500ms)
        after += takeRetries(budget, now);
    CHECK(before + after <= limits.freeRetries);

    SUBCASE("what its own requests add is there at once")
    {
        for (int i = 0; i < 50; ++i)
            budget.recordRequest(service, started + 3s);
        CHECK(takeRetries(budget, started + 3s) == 8);
    }
    SUBCASE("they are there when the window has passed")
    {
        CHECK(takeRetries(budget, started + limits.window - 1ms) == 0);
        CHECK(takeRetries(budget, started + limits.window) == before);
    }
    SUBCASE("a first process of all has them at once")
    {
        RetryBudget first(limits);
        first.setInstanceCount(1, started);
        CHECK(takeRetries(first, started) == before);
    }
}
