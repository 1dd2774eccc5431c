#include "core/memory_budget.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1 << 10;
constexpr TimePoint start{1h};

/// 1,000 KB in total, of which 600 KB for requests that are arriving.
MemoryLimits makeLimits()
{
    return {1000 * kilobyte, 0.6, 16 * kilobyte};
}

/// A holding that records that it was given up.
struct Peer
{
    Peer(MemoryBudget &budget, MemoryUse use, const std::string &owner, std::size_t bytes,
         TimePoint now = start)
        : holding(budget, use)
    {
        this->holding.allowEviction(owner, [this] { ++this->evictions; });
        this->isHeld = this->holding.resize(bytes, now);
    }

    MemoryBudget::Holding holding;
    int evictions = 0;
    bool isHeld = false;
};

} // namespace

// Guards against ordinary callers that lose their requests in place of those that hold most.
TEST_CASE("what costs most is given up first")
{
    MemoryBudget budget(makeLimits());

    SUBCASE("of the owner that holds most together, not the largest single one")
    {
        Peer first(budget, MemoryUse::Arriving, "10.0.0.1", 150 * kilobyte);
        Peer second(budget, MemoryUse::Arriving, "10.0.0.1", 160 * kilobyte);
        Peer other(budget, MemoryUse::Arriving, "10.0.0.2", 250 * kilobyte);
        Peer added(budget, MemoryUse::Arriving, "10.0.0.3", 100 * kilobyte);
        CHECK(added.isHeld);
        CHECK(other.evictions == 0);
        CHECK(first.evictions == 0);
        CHECK(second.evictions == 1);
        CHECK(second.holding.isEvicted());
        CHECK(second.holding.bytes() == 0);
        CHECK(budget.usedBytes() == 500 * kilobyte);
    }
    SUBCASE("of one owner, a smaller one without progress before a larger one that makes some")
    {
        Peer stalled(budget, MemoryUse::Arriving, "10.0.0.1", 100 * kilobyte);
        Peer moving(budget, MemoryUse::Arriving, "10.0.0.1", 400 * kilobyte, start + 9s);
        Peer added(budget, MemoryUse::Arriving, "10.0.0.2", 150 * kilobyte, start + 10s);
        CHECK(added.isHeld);
        CHECK(stalled.evictions == 1);
        CHECK(moving.evictions == 0);
    }
    SUBCASE("of one owner, the largest if all make progress")
    {
        Peer smaller(budget, MemoryUse::Arriving, "10.0.0.1", 200 * kilobyte);
        Peer larger(budget, MemoryUse::Arriving, "10.0.0.1", 300 * kilobyte);
        Peer added(budget, MemoryUse::Arriving, "10.0.0.2", 150 * kilobyte);
        CHECK(added.isHeld);
        CHECK(larger.evictions == 1);
        CHECK(smaller.evictions == 0);
    }
    SUBCASE("the holding that grows is refused if it is the one")
    {
        Peer other(budget, MemoryUse::Arriving, "10.0.0.2", 100 * kilobyte);
        Peer largest(budget, MemoryUse::Arriving, "10.0.0.1", 400 * kilobyte);
        CHECK_FALSE(largest.holding.resize(550 * kilobyte, start));
        CHECK(largest.evictions == 0);
        CHECK(largest.holding.bytes() == 400 * kilobyte);
        CHECK(other.evictions == 0);
    }
    SUBCASE("a holding that was given up gets nothing any more")
    {
        Peer large(budget, MemoryUse::Arriving, "10.0.0.1", 500 * kilobyte);
        Peer added(budget, MemoryUse::Arriving, "10.0.0.2", 200 * kilobyte);
        CHECK(large.evictions == 1);
        CHECK_FALSE(large.holding.resize(kilobyte, start));
        CHECK_FALSE(large.holding.resize(0, start));
        CHECK(budget.usedBytes() == 200 * kilobyte);
    }
}

// Guards against ordinary small requests that are refused while large ones hold the memory.
TEST_CASE("small holdings are always let in, and never given up")
{
    MemoryBudget budget(makeLimits());
    MemoryBudget::Holding admitted(budget, MemoryUse::Admitted);
    REQUIRE(admitted.resize(1000 * kilobyte, start));
    constexpr std::size_t peers = 20;
    std::vector<std::unique_ptr<Peer>> small;
    small.reserve(peers);
    for (std::size_t i = 0; i < peers; ++i)
        small.push_back(
                std::make_unique<Peer>(budget, MemoryUse::Arriving, "10.0.0.1", 16 * kilobyte));
    Peer large(budget, MemoryUse::Arriving, "10.0.0.2", 17 * kilobyte);
    CHECK_FALSE(large.isHeld);
    for (const auto &one : small) {
        CHECK(one->isHeld);
        CHECK(one->evictions == 0);
    }
}

// Guards against requests that are still arriving and leave no memory for answers.
TEST_CASE("arriving requests get a part of the memory")
{
    MemoryBudget budget(makeLimits());
    MemoryBudget::Holding arriving(budget, MemoryUse::Arriving);
    CHECK_FALSE(arriving.resize(601 * kilobyte, start));
    CHECK(arriving.resize(600 * kilobyte, start));
    MemoryBudget::Holding answer(budget, MemoryUse::Admitted);
    CHECK(answer.resize(400 * kilobyte, start));
    MemoryBudget::Holding second(budget, MemoryUse::Arriving);
    CHECK_FALSE(second.resize(100 * kilobyte, start));
    answer.resize(0, start);
    CHECK_FALSE(second.resize(100 * kilobyte, start));
    arriving.setUse(MemoryUse::Admitted);
    CHECK(second.resize(100 * kilobyte, start));
}

// Guards against answers that are cut off although that makes no room for what is arriving.
TEST_CASE("a full part of arriving requests costs no answer")
{
    MemoryBudget budget(makeLimits());
    Peer answer(budget, MemoryUse::Delivery, "10.0.0.1", 300 * kilobyte);
    Peer first(budget, MemoryUse::Arriving, "10.0.0.2", 200 * kilobyte);
    Peer second(budget, MemoryUse::Arriving, "10.0.0.3", 250 * kilobyte);
    Peer added(budget, MemoryUse::Arriving, "10.0.0.4", 200 * kilobyte);
    CHECK(added.isHeld);
    CHECK(answer.evictions == 0);
    CHECK(second.evictions == 1);
    CHECK(first.evictions == 0);
}

// Guards against requests that are given up for one that does not fit anyway.
TEST_CASE("nothing is given up for a holding that has no room even then")
{
    MemoryBudget budget(makeLimits());
    int shortages = 0;
    budget.onShortage = [&shortages](MemoryUse, std::size_t) { ++shortages; };
    MemoryBudget::Holding fixed(budget, MemoryUse::Admitted);
    REQUIRE(fixed.resize(500 * kilobyte, start));
    Peer arriving(budget, MemoryUse::Arriving, "10.0.0.1", 400 * kilobyte);
    MemoryBudget::Holding answer(budget, MemoryUse::Admitted);
    CHECK_FALSE(answer.resize(600 * kilobyte, start));
    CHECK(arriving.evictions == 0);
    CHECK(shortages == 1);
    CHECK(answer.resize(500 * kilobyte, start));
    CHECK(arriving.evictions == 1);
}

// Guards against memory that stays counted, or is counted out twice.
TEST_CASE("memory is released once")
{
    MemoryBudget budget(makeLimits());

    SUBCASE("with the holding")
    {
        {
            Peer peer(budget, MemoryUse::Arriving, "10.0.0.1", 500 * kilobyte);
            CHECK(budget.usedBytes() == 500 * kilobyte);
        }
        CHECK(budget.usedBytes() == 0);
        Peer next(budget, MemoryUse::Arriving, "10.0.0.1", 600 * kilobyte);
        CHECK(next.isHeld);
    }
    SUBCASE("when it shrinks, also without eviction of others")
    {
        Peer peer(budget, MemoryUse::Arriving, "10.0.0.1", 500 * kilobyte);
        CHECK(peer.holding.resize(100 * kilobyte, start));
        CHECK(budget.usedBytes() == 100 * kilobyte);
        MemoryBudget::Holding next(budget, MemoryUse::Arriving);
        CHECK(next.resize(500 * kilobyte, start));
    }
    SUBCASE("when it shrinks or keeps its size, also while much is being freed")
    {
        Peer peer(budget, MemoryUse::Admitted, "10.0.0.1", 300 * kilobyte);
        MemoryBudget::Holding large(budget, MemoryUse::Arriving);
        large.allowEviction("10.0.0.2", [] {});
        REQUIRE(large.resize(500 * kilobyte, start));
        MemoryBudget::Holding next(budget, MemoryUse::Admitted);
        REQUIRE(next.resize(600 * kilobyte, start));
        REQUIRE(large.isEvicted());
        CHECK(next.resize(600 * kilobyte, start));
        CHECK(next.resize(500 * kilobyte, start));
        CHECK_FALSE(next.resize(600 * kilobyte, start));
        CHECK(budget.usedBytes() == 800 * kilobyte);
    }
    SUBCASE("of a holding that was given up before it ended")
    {
        {
            Peer large(budget, MemoryUse::Arriving, "10.0.0.1", 500 * kilobyte);
            Peer added(budget, MemoryUse::Arriving, "10.0.0.2", 200 * kilobyte);
            CHECK(large.evictions == 1);
        }
        CHECK(budget.usedBytes() == 0);
        MemoryBudget::Holding next(budget, MemoryUse::Arriving);
        CHECK(next.resize(600 * kilobyte, start));
    }
}

// Guards against a callback into a request or a connection that has ended.
TEST_CASE("only what can be given up now is called")
{
    MemoryBudget budget(makeLimits());

    SUBCASE("not after its use has changed")
    {
        Peer peer(budget, MemoryUse::Arriving, "10.0.0.1", 600 * kilobyte);
        peer.holding.setUse(MemoryUse::Admitted);
        CHECK_FALSE(peer.holding.isEvictable());
        Peer added(budget, MemoryUse::Arriving, "10.0.0.2", 500 * kilobyte);
        CHECK_FALSE(added.isHeld);
        CHECK(peer.evictions == 0);
    }
    SUBCASE("once, by the last owner and callback that were set")
    {
        int former = 0;
        int present = 0;
        {
            MemoryBudget::Holding holding(budget, MemoryUse::Arriving);
            holding.allowEviction("10.0.0.1", [&former] { ++former; });
            holding.allowEviction("10.0.0.9", [&present] { ++present; });
            REQUIRE(holding.resize(500 * kilobyte, start));
            Peer added(budget, MemoryUse::Arriving, "10.0.0.2", 200 * kilobyte);
            CHECK(former == 0);
            CHECK(present == 1);
        }
        Peer next(budget, MemoryUse::Arriving, "10.0.0.3", 600 * kilobyte);
        CHECK(next.isHeld);
    }
    SUBCASE("the callback may change the use of its holding")
    {
        MemoryBudget::Holding holding(budget, MemoryUse::Arriving);
        holding.allowEviction("10.0.0.1", [&holding] { holding.setUse(MemoryUse::Admitted); });
        REQUIRE(holding.resize(500 * kilobyte, start));
        Peer added(budget, MemoryUse::Arriving, "10.0.0.2", 200 * kilobyte);
        CHECK(added.isHeld);
        CHECK(budget.usedBytes() == 200 * kilobyte);
    }
}

// Guards against suspended requests that are freed after the gateway, at the end of the process.
TEST_CASE("a holding may outlive its budget")
{
    auto budget = std::make_unique<MemoryBudget>(makeLimits());
    std::optional<Peer> peer;
    peer.emplace(*budget, MemoryUse::Arriving, "10.0.0.1", 500 * kilobyte);
    budget.reset();
    CHECK_FALSE(peer->holding.isEvicted());
    peer.reset();
    CHECK_FALSE(peer);
}

// Guards against a deployment without limits.memory_mb that is served otherwise than before.
TEST_CASE("without a bound everything is let in")
{
    MemoryBudget budget{MemoryLimits()};
    Peer first(budget, MemoryUse::Arriving, "10.0.0.1", std::size_t{1} << 40);
    Peer second(budget, MemoryUse::Delivery, "10.0.0.1", std::size_t{1} << 40);
    CHECK(first.isHeld);
    CHECK(second.isHeld);
    CHECK(first.evictions + second.evictions == 0);
}
