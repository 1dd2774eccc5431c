#include "decision/records.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::decision;

namespace {

constexpr std::size_t deep = 100'000;
/// Most bytes of an error that is logged.
constexpr std::size_t maxErrorBytes = 300;

/// Texts that are no whole number from 0 to 2^64 - 1.
constexpr const char *oddNumbers[] = {"18446744073709551616",
                                      "12345678901234567890123",
                                      "1e308",
                                      "1e400",
                                      "-1",
                                      "-1e308",
                                      "1.5",
                                      "NaN",
                                      "null",
                                      R"("4")",
                                      "[]",
                                      "true"};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// An upstream's record with one member replaced; the members of its placement and order too.
std::string recordWith(const std::string &name, const std::string &value)
{
    const auto member = [&](const char *each, const char *standard) {
        return name == each ? value : std::string(standard);
    };
    const std::string placement = fmt::format(R"([{{"t":["m",""],"b":{},"s":{}}}])",
                                              member("b", "3"), member("s", "1"));
    const std::string order
            = fmt::format(R"([{{"i":"i1","c":{},"f":{},"n":{},"k":{},"t":["m",""],"d":false}}])",
                          member("c", "2"), member("of", "7"), member("n", "4"), member("k", "1"));
    return fmt::format(R"({{"u":"w1","f":{},"w":"t","x":{},"p":{},"o":{}}})", member("f", "7"),
                       member("x", "false"), member("p", placement.c_str()),
                       member("o", order.c_str()));
}

std::string ownerWith(const std::string &name, const std::string &value)
{
    const auto member = [&](const char *each) { return name == each ? value : std::string("1"); };
    return fmt::format(
            R"({{"instance":"i1","incarnation":{},"fence":{},"attempt":{},"released":false}})",
            member("incarnation"), member("fence"), member("attempt"));
}

} // namespace

// Guards against records whose numbers fit no type, or that have no lists: they were used with
// other numbers, and without what the missing list would have held.
TEST_CASE("an odd record of the ledger is rejected, and its error is short")
{
    REQUIRE(parseUpstreamRecord(recordWith("", "")));
    REQUIRE(parseOwnerRecord(ownerWith("", "")));
    const auto checkRejected = [](const auto &parsed) {
        CHECK_FALSE(parsed);
        if (!parsed) {
            CHECK(parsed.error().kind() == ErrorKind::ReportDistrusted);
            CHECK(parsed.error().message().size() <= maxErrorBytes);
        }
    };

    SUBCASE("numbers that are not whole or fit no type")
    {
        for (const char *number : oddNumbers) {
            CAPTURE(number);
            for (const char *name : {"b", "s", "c", "of", "n", "k", "f"}) {
                CAPTURE(name);
                checkRejected(parseUpstreamRecord(recordWith(name, number)));
            }
            for (const char *name : {"incarnation", "fence", "attempt"}) {
                CAPTURE(name);
                checkRejected(parseOwnerRecord(ownerWith(name, number)));
            }
        }
    }

    SUBCASE("kinds and states that don't exist")
    {
        for (const char *number : {"4", "255", "2147483647", "4294967296"}) {
            CAPTURE(number);
            checkRejected(parseUpstreamRecord(recordWith("k", number)));
            checkRejected(parseUpstreamRecord(recordWith("s", number)));
        }
        checkRejected(parseUpstreamRecord(recordWith("s", "3")));
    }

    SUBCASE("memory so large that a sum of it would wrap")
    {
        checkRejected(parseUpstreamRecord(recordWith("b", "18446744073709551615")));
    }

    SUBCASE("lists that are none")
    {
        for (const char *list : {"null", "{}", "1", R"("x")"}) {
            CAPTURE(list);
            checkRejected(parseUpstreamRecord(recordWith("p", list)));
            checkRejected(parseUpstreamRecord(recordWith("o", list)));
        }
    }

    SUBCASE("arrays within arrays, in a member that is read and in one that is not")
    {
        checkRejected(parseUpstreamRecord(nested(deep)));
        checkRejected(parseUpstreamRecord(recordWith("p", nested(deep))));
        checkRejected(parseUpstreamRecord(recordWith("f", R"(7,"later":)" + nested(deep))));
        checkRejected(parseOwnerRecord(ownerWith("attempt", R"(1,"later":)" + nested(deep))));
    }

    SUBCASE("a text that is long and no JSON")
    {
        checkRejected(parseUpstreamRecord(std::string(deep, 's')));
        checkRejected(parseOwnerRecord('"' + std::string(deep, 's')));
    }
}
