#include "node/load_summary.hpp"
#include "node/placement_stream.hpp"

#include <cmath>
#include <limits>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::node;
using nlohmann::json;

namespace {

std::string cbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::vector<json> oddNumbers()
{
    const double infinite = std::numeric_limits<double>::infinity();
    return {json(18446744073709551616.0),
            json(1e308),
            json(infinite),
            json(std::nan("")),
            json(-1),
            json(1.5),
            json("3"),
            json(nullptr)};
}

} // namespace

// Guards against loads that are cut off to the lowest 32 bits: a full upstream looked empty.
TEST_CASE("a load that fits no type is ignored, and the others count")
{
    REQUIRE(parseLoads(serializeLoads({{UpstreamId("w1"), 7}}).at(0)).at(UpstreamId("w1")) == 7);
    std::vector<json> loads = oddNumbers();
    loads.emplace_back(std::uint64_t{1} << 32);
    loads.emplace_back((std::uint64_t{1} << 32) + 1);
    for (const json &load : loads) {
        CAPTURE(load);
        const auto parsed = parseLoads(cbor({{"w1", load}, {"w2", 3}}));
        CHECK(parsed == std::map<UpstreamId, std::uint32_t>{{UpstreamId("w2"), 3}});
    }
    CHECK(parseLoads(std::string(100'000, '\x81')).empty());
}

TEST_CASE("an odd announcement of an owner is ignored")
{
    REQUIRE(parseOwnerAnnouncement(cbor({"i1", 3})));
    for (const json &number : oddNumbers()) {
        CAPTURE(number);
        CHECK_FALSE(parseOwnerAnnouncement(cbor({"i1", number})));
    }
    CHECK_FALSE(parseOwnerAnnouncement(std::string(100'000, '\x81')));
}
