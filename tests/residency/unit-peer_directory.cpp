#include "residency/peer_directory.hpp"

#include <algorithm>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

std::vector<Endpoint> makeEndpoints(int count)
{
    std::vector<Endpoint> endpoints;
    endpoints.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        endpoints.push_back({fmt::format("10.0.0.{}", i + 1), 7380});
    return endpoints;
}

} // namespace

TEST_CASE("the holders of a record are the same at every instance")
{
    const std::vector<Endpoint> all = makeEndpoints(12);
    const TimePoint now(100s);
    PeerDirectory first;
    PeerDirectory second;
    first.addListed(all, all[0], now);
    second.addListed(all, all[1], now);

    SUBCASE("apart from the instance itself")
    {
        for (int i = 0; i < 100; ++i) {
            const std::string key = fmt::format("request-{}", i);
            const std::vector<Endpoint> atFirst = first.holdersOf(key, 5);
            REQUIRE(atFirst.size() == 5);
            CHECK(std::find(atFirst.begin(), atFirst.end(), all[0]) == atFirst.end());
            const std::vector<Endpoint> atSecond = second.holdersOf(key, 5);
            const auto shared
                    = std::count_if(atFirst.begin(), atFirst.end(), [&](const Endpoint &one) {
                          return std::find(atSecond.begin(), atSecond.end(), one) != atSecond.end();
                      });
            CHECK(shared >= 3);
        }
    }
    SUBCASE("and spread over all of them")
    {
        std::vector<Endpoint> used;
        for (int i = 0; i < 100; ++i) {
            for (const Endpoint &holder : first.holdersOf(fmt::format("request-{}", i), 5))
                used.push_back(holder);
        }
        for (std::size_t i = 1; i < all.size(); ++i)
            CHECK(std::count(used.begin(), used.end(), all[i]) > 20);
    }
    SUBCASE("one that newer lists lack is forgotten, though a list may come in parts")
    {
        const std::vector<Endpoint> firstPart(all.begin(), all.begin() + 6);
        const std::vector<Endpoint> secondPart(all.begin() + 6, all.end() - 1);
        for (int second = 1; second <= 5; ++second) {
            first.addListed(firstPart, all[0], now + std::chrono::seconds(second));
            first.addListed(secondPart, all[0], now + std::chrono::seconds(second));
        }
        CHECK(first.holdersOf("request", 20).size() == 10);
    }
    SUBCASE("without new lists the known ones are kept")
    {
        first.addListed({}, all[0], now + 600s);
        CHECK(first.holdersOf("request", 20).size() == 11);
    }
}
