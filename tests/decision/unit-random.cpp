#include "../../bench/decision_random.hpp"

#include "core/log.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::bench;

namespace {

constexpr std::uint64_t stepsPerSeed = 10000;

/// Returns the first seed whose run finds the defect; zero when no seed up to the limit does.
std::uint64_t findFailingSeed(Defect defect, std::pair<Fault, Fault> faults, std::uint64_t maxSeeds)
{
    for (std::uint64_t seed = 1; seed <= maxSeeds; ++seed) {
        const auto result = RandomDecisionRun({seed, stepsPerSeed, false}, faults, defect).run();
        if (!result.failure.empty()) {
            MESSAGE("seed " << seed << ": " << result.failure);
            return seed;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("the random run finds injected defects")
{
    const ThrowingInvariants throwing;
    configureLog("test", LogLevel::Critical);
    constexpr std::uint64_t maxSeeds = 40;

    SUBCASE("engines that accept old fencing numbers")
    {
        CHECK(findFailingSeed(Defect::FenceIgnored, {Fault::PauseOwner, Fault::KeyValueSlow},
                              maxSeeds));
    }

    SUBCASE("ledger writes that don't compare the owner record")
    {
        CHECK(findFailingSeed(Defect::OwnerNotCompared, {Fault::PauseOwner, Fault::PauseAny},
                              maxSeeds));
    }

    SUBCASE("a paused sender that is reported as terminated")
    {
        CHECK(findFailingSeed(Defect::PausedCalledGone, {Fault::PauseOwner, Fault::PauseAny},
                              maxSeeds));
    }

    SUBCASE("an unconfirmed order that is reported as refused")
    {
        CHECK(findFailingSeed(Defect::UnconfirmedCalledRefused,
                              {Fault::OrderAnswersLost, Fault::LateOrders}, maxSeeds));
    }

    SUBCASE("an unload that is reported as done when it is sent")
    {
        CHECK(findFailingSeed(Defect::SentCalledDone, {Fault::None, Fault::None}, maxSeeds));
    }

    SUBCASE("a former owner that doesn't report its unresolved orders")
    {
        CHECK(findFailingSeed(Defect::OpenOrdersHidden, {Fault::FalseSuspicion, Fault::LateOrders},
                              maxSeeds));
    }

    SUBCASE("weight store limits that are doubled")
    {
        std::uint64_t exceeded = 0;
        for (std::uint64_t seed = 1; seed <= maxSeeds && exceeded == 0; ++seed) {
            RandomDecisionRun run({seed, stepsPerSeed, false}, {Fault::KillOwner, Fault::None},
                                  Defect::StoreLimitsDoubled);
            run.run();
            exceeded = run.theWorld().store.exceeded;
        }
        CHECK(exceeded > 0);
    }

    SUBCASE("a compare-and-swap that succeeds for every writer")
    {
        CHECK(findFailingSeed(Defect::EveryWriterWins, {Fault::FalseSuspicion, Fault::PauseOwner},
                              maxSeeds));
    }
}

TEST_CASE("the bounds hold under each fault and each pair of faults")
{
    const ThrowingInvariants throwing;
    configureLog("test", LogLevel::Critical);
    constexpr std::uint64_t pairs = faultCount * (faultCount + 1) / 2;
    constexpr std::uint64_t steps = 3000;

    for (std::uint64_t seed = 0; seed < pairs; ++seed) {
        const auto result
                = RandomDecisionRun({seed, steps, false}, faultsOf(seed), Defect::None).run();
        INFO("seed " << seed);
        REQUIRE(result.failure == "");
    }
}
