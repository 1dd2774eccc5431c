#include "core/inbound_budget.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1 << 20;
constexpr TimePoint start{1h};

/// A connection that records that it was closed.
struct Connection
{
    Connection(MemoryBudget &budget, const std::string &peer, TimePoint now = start)
        : place(budget, peer, [this] { ++this->closings; })
    {
        this->isOpen = this->place.take(now);
    }

    int closings = 0;
    ConnectionPlace place;
    bool isOpen = false;
};

using Connections = std::vector<std::unique_ptr<Connection>>;

/// Limits with room for a number of callers' connections.
InboundLimits limitsFor(std::size_t connections)
{
    InboundLimits limits;
    limits.maxCallerConnections = connections;
    return limits;
}

Connections connect(MemoryBudget &budget, std::size_t count, const std::string &peer)
{
    Connections connections;
    for (std::size_t i = 0; i < count; ++i)
        connections.push_back(std::make_unique<Connection>(
                budget, peer, start + std::chrono::milliseconds(connections.size())));
    return connections;
}

} // namespace

// Guards against bounds that each hold, and together are more than the machine has.
TEST_CASE("the parts of a machine fit into it together")
{
    InboundLimits limits;
    const auto reservedBytes = [&limits] {
        std::size_t bytes = 0;
        for (const auto kind :
             {ListenerKind::Callers, ListenerKind::Instances, ListenerKind::Status})
            bytes += connectionLimit(limits, kind) * connectionBytes;
        return static_cast<double>(bytes)
               + limits.requestShare * static_cast<double>(limits.memoryBytes);
    };
    const auto connections = [&limits] {
        std::size_t count = 0;
        for (const auto kind :
             {ListenerKind::Callers, ListenerKind::Instances, ListenerKind::Status})
            count += connectionLimit(limits, kind);
        return count;
    };

    SUBCASE("the memory of the smallest machine, with a fifth for the process itself")
    {
        limits.memoryBytes = 112 * megabyte;
        limits.descriptors = 2870;
        CHECK(reservedBytes() <= 0.8 * 112 * megabyte);
        CHECK(connectionLimit(limits, ListenerKind::Callers) >= 400);
        CHECK(connections() <= 2670);
    }
    SUBCASE("the small requests of all connections fit into the part of requests")
    {
        limits.memoryBytes = 112 * megabyte;
        limits.descriptors = 2870;
        const std::size_t small
                = connectionLimit(limits, ListenerKind::Callers) * MemoryLimits().smallBytes;
        CHECK(static_cast<double>(small) <= limits.requestShare * 112 * megabyte);
    }
    SUBCASE("the descriptors of a process that has few")
    {
        limits.descriptors = 400;
        CHECK(connections() <= 150);
        CHECK(connectionLimit(limits, ListenerKind::Callers) >= 64);
        CHECK(connectionLimit(limits, ListenerKind::Status) >= 4);
    }
    SUBCASE("without any limit, as many as the settings say")
    {
        CHECK(connectionLimit(limits, ListenerKind::Callers) == limits.maxCallerConnections);
    }
}

// Guards against callers that get no answer because others keep connections open.
TEST_CASE("a new connection takes the place of one without a request")
{
    Metrics metrics;
    InboundBudget inbound(limitsFor(16), metrics);
    MemoryBudget &budget = inbound.connections(ListenerKind::Callers);
    const Connections crowd = connect(budget, 15, "10.0.0.1");
    const auto closings = [&crowd] {
        int count = 0;
        for (const auto &connection : crowd)
            count += connection->closings;
        return count;
    };
    Connection other(budget, "10.0.0.2", start - 1s);
    REQUIRE(other.isOpen);

    SUBCASE("of the peer with most, the one without progress for longest")
    {
        crowd[0]->place.noteProgress(start + 1s);
        const Connection added(budget, "10.0.0.3", start + 2s);
        CHECK(added.isOpen);
        CHECK(crowd[1]->closings == 1);
        CHECK(closings() + other.closings == 1);
    }
    SUBCASE("not of one whose request is in progress, until that is answered")
    {
        for (const auto &connection : crowd)
            CHECK(connection->place.hold());
        Connection added(budget, "10.0.0.3", start + 1s);
        CHECK(added.isOpen);
        CHECK(other.closings == 1);
        CHECK(closings() == 0);
        crowd[1]->place.release(start + 2s);
        // The place of 10.0.0.3 has made no progress for longer, but is held as well.
        CHECK(added.place.hold());
        const Connection next(budget, "10.0.0.4", start + 3s);
        CHECK(next.isOpen);
        CHECK(crowd[1]->closings == 1);
        CHECK(closings() == 1);
    }
    SUBCASE("of none while all have requests in progress")
    {
        for (const auto &connection : crowd)
            CHECK(connection->place.hold());
        CHECK(other.place.hold());
        const Connection added(budget, "10.0.0.3", start + 1s);
        CHECK_FALSE(added.isOpen);

        SUBCASE("unless an answer is not read")
        {
            {
                const ConnectionPlace::Offer offer(crowd[3]->place, start + 2s);
                const Connection next(budget, "10.0.0.3", start + 3s);
                CHECK(next.isOpen);
                CHECK(crowd[3]->closings == 1);
            }
            CHECK(closings() + other.closings == 1);
        }
        SUBCASE("also when an answer that was not read at once is")
        {
            {
                const ConnectionPlace::Offer offer(crowd[3]->place, start + 2s);
            }
            const Connection next(budget, "10.0.0.3", start + 3s);
            CHECK_FALSE(next.isOpen);
            CHECK(closings() + other.closings == 0);
        }
    }
    SUBCASE("and the one that was closed can't begin a request any more")
    {
        const Connection added(budget, "10.0.0.3", start + 2s);
        REQUIRE(crowd[0]->closings == 1);
        CHECK_FALSE(crowd[0]->place.hold());
        crowd[0]->place.release(start + 3s);
        const Connection next(budget, "10.0.0.4", start + 4s);
        CHECK(next.isOpen);
        CHECK(crowd[0]->closings == 1);
        CHECK(closings() == 2);
    }
}

// Guards against descriptors that are used up while connections are being closed.
TEST_CASE("places that many closed connections still have are not taken again")
{
    Metrics metrics;
    InboundBudget inbound(limitsFor(8), metrics);
    MemoryBudget &budget = inbound.connections(ListenerKind::Callers);
    Connections crowd = connect(budget, 8, "10.0.0.1");
    const Connections added = connect(budget, 2, "10.0.0.2");
    CHECK(added[0]->isOpen);
    CHECK(added[1]->isOpen);
    const Connection refused(budget, "10.0.0.3", start + 1s);
    CHECK_FALSE(refused.isOpen);
    crowd.clear();
    const Connection next(budget, "10.0.0.3", start + 2s);
    CHECK(next.isOpen);
}

// Guards against one listener whose connections leave no place to those of another one.
TEST_CASE("each kind of listener has places of its own")
{
    Metrics metrics;
    InboundBudget inbound(limitsFor(2), metrics);
    const Connections crowd = connect(inbound.connections(ListenerKind::Callers), 9, "10.0.0.1");
    const Connection probe(inbound.connections(ListenerKind::Status), "10.0.0.1");
    const Connection instance(inbound.connections(ListenerKind::Instances), "10.0.0.1");
    CHECK(probe.isOpen);
    CHECK(instance.isOpen);
    CHECK(metrics.print().find("bamboochute_connections_given_up_total{listener=\"callers\"} 7")
          != std::string::npos);
}

// Guards against bounds that hold for each thread, and not for the process.
TEST_CASE("threads share one bound")
{
    constexpr std::size_t total = 8 * megabyte;
    constexpr std::size_t largest = megabyte;
    constexpr int threadCount = 4;
    constexpr int rounds = 2000;
    MemoryBudget budget({total, 1.0, 32 << 10});
    std::atomic<bool> isExceeded = false;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int number = 0; number < threadCount; ++number)
        threads.emplace_back([&budget, &isExceeded, number] {
            for (int round = 0; round < rounds; ++round) {
                MemoryBudget::Holding first(budget, MemoryUse::Arriving);
                MemoryBudget::Holding second(budget, MemoryUse::Arriving);
                first.allowEviction("10.0.0." + std::to_string(number),
                                    [&first] { first.confirmFreed(); });
                for (std::size_t bytes = 64 << 10; bytes <= largest; bytes *= 2) {
                    first.resize(bytes, start);
                    second.resize(2 * bytes, start);
                    if (budget.usedBytes() > total)
                        isExceeded = true;
                }
                first.setUse(MemoryUse::Admitted);
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    CHECK_FALSE(isExceeded);
    CHECK(budget.usedBytes() == 0);
}

// Guards against memory that is handed on before the thread that has it has freed it.
TEST_CASE("much memory that another thread has to free is not handed on at once")
{
    constexpr std::size_t kilobyte = 1 << 10;
    MemoryBudget budget({1000 * kilobyte, 1.0, 16 * kilobyte});
    MemoryBudget::Holding stalled(budget, MemoryUse::Arriving);
    stalled.allowEviction("10.0.0.1", [] {});
    REQUIRE(stalled.resize(900 * kilobyte, start));
    MemoryBudget::Holding first(budget, MemoryUse::Arriving);
    REQUIRE(first.resize(200 * kilobyte, start));
    REQUIRE(stalled.isEvicted());
    MemoryBudget::Holding second(budget, MemoryUse::Arriving);

    SUBCASE("a large holding is refused meanwhile, a small one isn't")
    {
        CHECK_FALSE(second.resize(200 * kilobyte, start));
        CHECK(second.resize(16 * kilobyte, start));
    }
    SUBCASE("once it is free, a large one is let in")
    {
        stalled.confirmFreed();
        CHECK(second.resize(200 * kilobyte, start));
    }
}
