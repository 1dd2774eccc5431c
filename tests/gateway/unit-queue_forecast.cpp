#include "core/random.hpp"
#include "gateway/queue_forecast.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <limits>
#include <map>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("assistant");

/// An engine that starts four requests per second while eight arrive. Its queue length is reported
/// once a second, and a refused request returns once.
struct OverloadedEngine
{
    explicit OverloadedEngine(bool isRefusing)
        : isRefusing(isRefusing)
    {}

    void arrive(TimePoint firstSentAt, bool returnsAfterRefusal)
    {
        const auto lateness
                = this->forecast.predictLateness(service, {this->reported, 0}, objective);
        if (!this->isRefusing || !lateness)
            this->queue.push_back({firstSentAt, this->now, this->reported});
        else if (returnsAfterRefusal)
            this->returning.emplace(this->now + *lateness
                                            + Duration(this->random.below(
                                                    static_cast<std::uint64_t>(lateness->count()))),
                                    firstSentAt);
    }

    void run(Duration time)
    {
        int step = 0;
        for (const TimePoint end = this->now + time; this->now < end; this->now += 125ms, ++step) {
            this->arrive(this->now, true);
            while (!this->returning.empty() && this->returning.begin()->first <= this->now) {
                this->arrive(this->returning.begin()->second, false);
                this->returning.erase(this->returning.begin());
            }
            if (step % 8 == 0)
                this->reported = static_cast<std::uint32_t>(this->queue.size());
            if (step % 2 == 1 && !this->queue.empty()) {
                const Waiting &next = this->queue.front();
                this->forecast.recordFirstEvent(service, next.ahead, this->now - next.sentAt);
                this->inTime += this->now - next.firstSentAt <= 2 * objective ? 1 : 0;
                this->queue.pop_front();
            }
        }
    }

    struct Waiting
    {
        /// When the caller first sent the request.
        TimePoint firstSentAt{};
        TimePoint sentAt{};
        std::uint32_t ahead = 0;
    };

    static constexpr Duration objective = std::chrono::milliseconds(800);
    bool isRefusing;
    QueueForecast forecast;
    TimePoint now{100s};
    std::uint32_t reported = 0;
    std::deque<Waiting> queue;
    /// Key: when a refused request returns; value: when the caller first sent it.
    std::multimap<TimePoint, TimePoint> returning;
    Random random{7};
    int inTime = 0;
};

} // namespace

TEST_CASE("an overloaded engine serves more requests in time when some are refused")
{
    OverloadedEngine withoutRefusals(false);
    withoutRefusals.run(60s);
    OverloadedEngine withRefusals(true);
    withRefusals.run(60s);
    CHECK(withRefusals.inTime >= 3 * withoutRefusals.inTime);

    SUBCASE("the queue stays short with refusals and grows without them")
    {
        CHECK(withoutRefusals.queue.size() > 200);
        CHECK(withRefusals.queue.size() < 30);
    }
}

TEST_CASE("less urgent requests are refused at shorter queues")
{
    const QueueForecast forecast;
    CHECK(forecast.predictLateness(service, {15, 0}, 800ms) == 1120ms);
    CHECK_FALSE(forecast.predictLateness(service, {15, 1}, 800ms));
    CHECK(forecast.predictLateness(service, {60, 1}, 800ms));
    CHECK_FALSE(forecast.predictLateness(service, {60, 2}, 800ms));
    CHECK_FALSE(forecast.predictLateness(service, {0, 0}, 800ms));
}

TEST_CASE("the delay that each waiting request adds is learned from first events")
{
    QueueForecast forecast;
    CHECK(forecast.predictFirstEventDelay(service, 9) == 1200ms);
    forecast.recordFirstEvent(service, 4, 1s);
    CHECK(forecast.predictFirstEventDelay(service, 9) == 2s);

    SUBCASE("requests behind fewer than two others are not learned from")
    {
        forecast.recordFirstEvent(service, 1, 30s);
        CHECK(forecast.predictFirstEventDelay(service, 9) == 2s);
    }
}

// Guards against a queue that a faulty upstream reports, whose length plus one is zero in its type.
TEST_CASE("the longest queue that can be reported gives a forecast")
{
    QueueForecast forecast;
    constexpr std::uint32_t waiting = std::numeric_limits<std::uint32_t>::max();
    CHECK(forecast.predictFirstEventDelay(service, waiting) > 24h);
    forecast.recordFirstEvent(service, waiting, 10s);
    CHECK(forecast.predictFirstEventDelay(service, waiting) >= 9s);
    CHECK(forecast.predictFirstEventDelay(service, 0) < 1s);
}
