#include "core/bounded_duration.hpp"
#include "peer/call_messages.hpp"
#include "peer/datagram_fields.hpp"

#include <cmath>
#include <limits>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::peer;
using nlohmann::json;

namespace {

constexpr std::size_t deep = 100'000;

std::string cbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json target()
{
    return {{"model", "m"}, {"adapter", ""}};
}

Result<DemandReport> decodeDemand(const json &waiting, const json &deadline, const json &weight)
{
    return decodeMessage<DemandReport>(cbor({{"pool", "p"},
                                             {"demands",
                                              {{{"target", target()},
                                                {"waiting", waiting},
                                                {"earliestDeadlineMs", deadline},
                                                {"classWeight", weight}}}}}));
}

std::vector<json> oddNumbers()
{
    const double infinite = std::numeric_limits<double>::infinity();
    return {json(18446744073709551616.0),
            json(1e308),
            json(-1e308),
            json(infinite),
            json(std::nan("")),
            json(-1),
            json(1.5),
            json("3"),
            json(nullptr),
            json(true)};
}

} // namespace

// Guards against messages between instances whose numbers fit no type, and against the end of the
// process by a message of arrays within arrays.
TEST_CASE("an odd message between instances is rejected")
{
    REQUIRE(decodeDemand(1, 1000, 1));

    SUBCASE("numbers that are not whole or fit no type")
    {
        for (const json &number : oddNumbers()) {
            CAPTURE(number);
            CHECK_FALSE(decodeDemand(number, 1000, 1));
            CHECK_FALSE(decodeDemand(1, number, 1));
            CHECK_FALSE(decodeDemand(1, 1000, number));
            CHECK_FALSE(
                    decodeMessage<OwnershipGivenUpReport>(cbor({{"pool", "p"},
                                                                {"fence", 1},
                                                                {"instance", "i1"},
                                                                {"incarnation", 1},
                                                                {"unresolvedOrders", {number}}})));
        }
        CHECK_FALSE(decodeDemand(4294967296, 1000, 1));
    }

    SUBCASE("arrays within arrays")
    {
        for (const char opening : {'\x81', '\x9f'}) {
            const std::string open(deep, opening);
            CHECK_FALSE(decodeMessage<DemandReport>(open));
            CHECK_FALSE(decodeMessage<DemandReport>(open + '\x01'));
            CHECK_FALSE(decodeResult<Pong>(open));
        }
        // "later" is not read.
        CHECK_FALSE(decodeMessage<Ping>("\xa1\x65later" + std::string(deep, '\x81') + '\x01'));
    }
}

// Guards against times that overflow when they are added to the present time, which is undefined.
TEST_CASE("the longest time in a message can be added to the present time")
{
    const std::uint64_t longest = std::uint64_t{1} << 53;
    const auto decoded = decodeDemand(1, longest, 1);
    REQUIRE(decoded);
    CHECK(decoded.value().demands.at(0).earliestDeadline <= maxReadDuration);
    CHECK(decoded.value().demands.at(0).earliestDeadline > std::chrono::hours(24));
    CHECK_FALSE(decodeDemand(1, ~std::uint64_t{0}, 1));

    const auto refusal
            = decodeResult<DemandAnswer>(cbor({{"value",
                                                {{"outcome", 0},
                                                 {"ownerHint", ""},
                                                 {"fence", 1},
                                                 {"refusals",
                                                  {{{"target", target()},
                                                    {"kind", "BC2004"},
                                                    {"message", ""},
                                                    {"retryAfterS", longest},
                                                    {"deadlineWithinMs", longest}}}}}}}));
    REQUIRE(refusal);
    const DemandRefusal &read = refusal.value().refusals.at(0);
    CHECK(read.retryAfter <= maxReadDuration);
    CHECK(read.deadlineWithin <= maxReadDuration);
}

TEST_CASE("a datagram of arrays within arrays is dropped")
{
    CHECK_FALSE(readFields(std::string(deep, '\x91')));
    CHECK_FALSE(readFields(std::string(deep, '\x91') + '\x01'));
}
