#include "decision/demand.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::decision;

// Guards against a sum over instances that wraps to zero, so that nobody seems to wait.
TEST_CASE("requests that wait at several instances are summed without wrapping")
{
    const Target target{ModelId("m"), {}};
    DemandTable table;
    for (const char *instance : {"i1", "i2"})
        table.update(
                {InstanceId(instance), target, 1U << 31, TimePoint(std::chrono::seconds(9)), 1, {}},
                TimePoint(std::chrono::seconds(1)));
    CHECK(table.demandFor(target).waiting >= 1U << 31);
}
