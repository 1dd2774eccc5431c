#include "upstream/araucaria.hpp"
#include "upstream/bromelia.hpp"
#include "upstream/cinchona.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::upstream;

namespace {

constexpr std::size_t deep = 100'000;

constexpr const char *oddNumbers[] = {"18446744073709551616",
                                      "12345678901234567890123",
                                      "1e308",
                                      "1e400",
                                      "-1",
                                      "1.5",
                                      "18446744073709551615",
                                      "NaN",
                                      "null",
                                      R"("4")",
                                      "[]",
                                      "true"};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string araucariaReport(const std::string &running, const std::string &memory,
                            const std::string &fence)
{
    return fmt::format(R"({{"running":{},"queued":0,"memory":{{"total":9,"used":{}}},)"
                       R"("role":"mixed","fence":{},"models":[]}})",
                       running, memory, fence);
}

std::string bromeliaReport(const std::string &active, const std::string &free,
                           const std::string &epoch)
{
    return fmt::format(R"({{"active":{},"waiting":0,"capacity_mib":9,"free_mib":{},)"
                       R"("role":"mixed","epoch":{},"slots":[]}})",
                       active, free, epoch);
}

std::string cinchonaReport(const std::string &running, const std::string &used,
                           const std::string &token)
{
    return fmt::format(R"({{"load":[{},0],"memory":[{},9],"role":"m","token":{},"resident":{{}}}})",
                       running, used, token);
}

template<typename Dialect, typename Report>
void checkReports(Report report)
{
    REQUIRE(Dialect::parseReport(report("1", "2", "3")));
    for (const char *number : oddNumbers) {
        CAPTURE(number);
        CHECK_FALSE(Dialect::parseReport(report(number, "2", "3")));
        CHECK_FALSE(Dialect::parseReport(report("1", number, "3")));
        CHECK_FALSE(Dialect::parseReport(report("1", "2", number)));
    }
    CHECK_FALSE(Dialect::parseReport(report("1", "2", R"(3,"later":)" + nested(deep))));
    CHECK_FALSE(Dialect::parseReport(nested(deep)));
    // The answer to an order is of unknown outcome then.
    const Order order{};
    for (const std::string &body : {nested(deep), std::string("{\"fence\":1e308}")}) {
        const OrderOutcome outcome = Dialect::parseOrderAnswer(order, 412, body);
        CHECK_FALSE(std::holds_alternative<OrderDone>(outcome));
        CHECK_FALSE(std::holds_alternative<OrderStale>(outcome));
    }
}

} // namespace

TEST_CASE("an odd report of an engine is distrusted, and an odd answer to an order settles nothing")
{
    SUBCASE("araucaria")
    {
        checkReports<Araucaria>(araucariaReport);
    }
    SUBCASE("bromelia")
    {
        checkReports<Bromelia>(bromeliaReport);
    }
    SUBCASE("cinchona")
    {
        checkReports<Cinchona>(cinchonaReport);
    }
}
