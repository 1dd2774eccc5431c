#include "residency/demand_tally.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

gateway::TargetDemand line(const std::string &adapter, std::uint32_t arrivals,
                           std::uint32_t waiting, Duration left, std::uint32_t running)
{
    return {{gateway::ServiceId("assistant"), {ModelId("lease"), AdapterId(adapter)}},
            arrivals,
            waiting,
            left,
            running};
}

} // namespace

TEST_CASE("demand of all instances is added up; a model's includes its adapters'")
{
    DemandTally tally;
    TimePoint now(10s);
    tally.report(InstanceId("a"), {line("", 8, 1, 2s, 0)}, false, now);
    tally.report(InstanceId("b"), {line("a1", 8, 2, 1s, 0)}, false, now);
    const Target model{ModelId("lease"), {}};
    const Target adapter{ModelId("lease"), AdapterId("a1")};
    CHECK(tally.of(model).perSecond == doctest::Approx(2.0));
    CHECK(tally.of(adapter).perSecond == doctest::Approx(1.0));
    CHECK(tally.of(model).waiting == 1);
    CHECK(tally.of(adapter).waiting == 2);
    CHECK(tally.waiting().size() == 2);
    CHECK(tally.arrivals() == 16);

    SUBCASE("a new report replaces what an instance said, a continuation adds to it")
    {
        tally.report(InstanceId("a"), {}, false, now);
        CHECK(tally.of(model).waiting == 0);
        tally.report(InstanceId("a"), {line("", 0, 3, 2s, 0)}, true, now);
        CHECK(tally.of(model).waiting == 3);
    }

    SUBCASE("the rate fades, and a silent instance is forgotten")
    {
        tally.advance(now + 8s);
        CHECK(tally.of(model).perSecond == doctest::Approx(2.0 / 2.71828).epsilon(0.01));
        CHECK(tally.waiting().empty());
        CHECK(tally.instances() == 0);
    }

    SUBCASE("concurrency follows what runs and waits")
    {
        for (int i = 0; i < 100; ++i) {
            now += 100ms;
            tally.report(InstanceId("a"), {line("", 0, 0, 0s, 6)}, false, now);
            tally.report(InstanceId("b"), {line("a1", 0, 2, 1s, 2)}, false, now);
        }
        CHECK(tally.of(model).concurrency == doctest::Approx(10).epsilon(0.05));
    }
}
