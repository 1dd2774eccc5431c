#include "../../bench/decision_random.hpp"

#include "core/log.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::bench;

namespace {

constexpr std::uint64_t stepsPerSeed = 10000;

/// Seeds until a defect is found; zero when it is not.
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

TEST_CASE("defects that the program must not have are found by the random run")
{
    const ThrowingInvariants throwing;
    configureLog("test", LogLevel::Critical);
    constexpr std::uint64_t maxSeeds = 40;

    SUBCASE("engines that take old fencing numbers")
    {
        CHECK(findFailingSeed(Defect::FenceIgnored, {Fault::PauseOwner, Fault::KeyValueSlow},
                              maxSeeds));
    }

    SUBCASE("ledger writes of a former owner")
    {
        CHECK(findFailingSeed(Defect::OwnerNotCompared, {Fault::PauseOwner, Fault::PauseAny},
                              maxSeeds));
    }

    SUBCASE("a paused sender that is called gone")
    {
        CHECK(findFailingSeed(Defect::PausedCalledGone, {Fault::PauseOwner, Fault::PauseAny},
                              maxSeeds));
    }

    SUBCASE("an unconfirmed order that is called refused")
    {
        CHECK(findFailingSeed(Defect::UnconfirmedCalledRefused,
                              {Fault::OrderAnswersLost, Fault::LateOrders}, maxSeeds));
    }

    SUBCASE("an unload that is called done when it was sent")
    {
        CHECK(findFailingSeed(Defect::SentCalledDone, {Fault::None, Fault::None}, maxSeeds));
    }

    SUBCASE("a former owner that hides its open orders")
    {
        CHECK(findFailingSeed(Defect::OpenOrdersHidden, {Fault::FalseSuspicion, Fault::LateOrders},
                              maxSeeds));
    }

    SUBCASE("twice the weight store's limits")
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

    SUBCASE("a compare-and-swap that everybody wins")
    {
        CHECK(findFailingSeed(Defect::EveryWriterWins, {Fault::FalseSuspicion, Fault::PauseOwner},
                              maxSeeds));
    }
}

TEST_CASE("the bounds hold under every fault, single and in pairs")
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
