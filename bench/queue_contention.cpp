#include "queue_contention.hpp"

#include "admission/request_queue.hpp"
#include "admission/router.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace bamboochute::bench {

namespace {

using namespace std::chrono_literals;
using WallClock = std::chrono::steady_clock;

constexpr std::uint32_t requestsPerThread = 50000;
constexpr std::uint32_t upstreamCount = 12;
const Target target{ModelId("chat@3"), {}};
const CallerClassId guest("guest");

/// Queue, router and ejector of a process, which its traffic threads share under one mutex.
class SharedTraffic
{
public:
    SharedTraffic()
        : ejector(metrics)
        , router(DataCentreId("quito-norte"), 1)
        , queue({{guest, 1, 0, 100000, {}}})
    {
        RoutingTable table;
        for (std::uint32_t i = 0; i < upstreamCount; ++i) {
            const UpstreamId id("w" + std::to_string(i));
            table.upstreams[id].spec.id = id;
            table.upstreams[id].spec.dataCentre = DataCentreId("quito-norte");
            table.upstreams[id].spec.maxConcurrent = 64;
            table.replicas[target].push_back(id);
        }
        this->router.update(std::make_shared<const RoutingTable>(table));
    }

    void handleRequest()
    {
        const TimePoint now{1s};
        UpstreamId upstream;
        this->runLocked([&] {
            (void)this->queue.offer({guest, target, now + 10s, 1s, 1000, {}}, now);
            const admission::RouteQuery query{this->router.replicas(target), 0, 0, 0, {}};
            const auto isFree = [&](const Target &, const CallerClassId &) {
                return this->router.canPick(query, this->ejector, now);
            };
            (void)this->queue.takeNext(now, isFree);
            upstream = this->router.pick(query, this->ejector, now).value();
            this->router.recordStart(upstream, now);
            this->ejector.recordStart(upstream, now);
        });
        this->runLocked([&] {
            this->router.recordFinish(upstream);
            this->ejector.recordSuccess(upstream, 1s, now);
        });
    }

    std::atomic<std::int64_t> heldNanoseconds{0};
    std::atomic<std::int64_t> longestWaitNanoseconds{0};

private:
    template<typename Work>
    void runLocked(const Work &work)
    {
        const auto requestedAt = WallClock::now();
        const std::lock_guard lock(this->mutex);
        const auto acquiredAt = WallClock::now();
        work();
        this->heldNanoseconds += (WallClock::now() - acquiredAt).count();
        const std::int64_t waited = (acquiredAt - requestedAt).count();
        if (waited > this->longestWaitNanoseconds)
            this->longestWaitNanoseconds = waited;
    }

    std::mutex mutex;
    Metrics metrics;
    admission::Ejector ejector;
    admission::Router router;
    admission::RequestQueue queue;
};

} // namespace

ContentionResult measureQueueContention(std::uint32_t threads)
{
    SharedTraffic shared;
    const auto startedAt = WallClock::now();
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (std::uint32_t i = 0; i < threads; ++i) {
        workers.emplace_back([&shared] {
            for (std::uint32_t n = 0; n < requestsPerThread; ++n)
                shared.handleRequest();
        });
    }
    for (std::thread &thread : workers)
        thread.join();
    const std::chrono::duration<double> elapsed = WallClock::now() - startedAt;
    const double requestCount = static_cast<double>(threads) * requestsPerThread;
    return {requestCount / elapsed.count(),
            static_cast<double>(shared.heldNanoseconds) / requestCount / 1e3,
            static_cast<double>(shared.longestWaitNanoseconds) / 1e3};
}

} // namespace bamboochute::bench
