#include "core/random.hpp"
#include "gateway/queue_forecast.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <map>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("assistant");

/// One engine that begins four requests a second, asked for eight a second; its queue is known a
/// second late, and a request that is refused comes back once.
struct OverloadedEngine
{
    explicit OverloadedEngine(bool isRefusing)
        : isRefusing(isRefusing)
    {}

    void arrive(TimePoint since, bool mayReturn)
    {
        const auto lateness
                = this->forecast.predictLateness(service, {this->reported, 0}, objective);
        if (!this->isRefusing || !lateness)
            this->queue.push_back({since, this->now, this->reported});
        else if (mayReturn)
            this->returning.emplace(this->now + *lateness
                                            + Duration(this->random.below(
                                                    static_cast<std::uint64_t>(lateness->count()))),
                                    since);
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
                this->inTime += this->now - next.since <= 2 * objective ? 1 : 0;
                this->queue.pop_front();
            }
        }
    }

    struct Waiting
    {
        /// When the caller asked first.
        TimePoint since{};
        TimePoint sentAt{};
        std::uint32_t ahead = 0;
    };

    static constexpr Duration objective = std::chrono::milliseconds(800);
    bool isRefusing;
    QueueForecast forecast;
    TimePoint now{100s};
    std::uint32_t reported = 0;
    std::deque<Waiting> queue;
    /// By the time of return: when the caller asked first.
    std::multimap<TimePoint, TimePoint> returning;
    Random random{7};
    int inTime = 0;
};

} // namespace

TEST_CASE("one engine holds a model that many ask for: refusing some serves more in time")
{
    OverloadedEngine all(false);
    all.run(60s);
    OverloadedEngine some(true);
    some.run(60s);
    CHECK(some.inTime >= 3 * all.inTime);

    SUBCASE("and the queue stays bounded")
    {
        CHECK(all.queue.size() > 200);
        CHECK(some.queue.size() < 30);
    }
}

TEST_CASE("the less urgent are refused first")
{
    const QueueForecast forecast;
    CHECK(forecast.predictLateness(service, {15, 0}, 800ms) == 1120ms);
    CHECK_FALSE(forecast.predictLateness(service, {15, 1}, 800ms));
    CHECK(forecast.predictLateness(service, {60, 1}, 800ms));
    CHECK_FALSE(forecast.predictLateness(service, {60, 2}, 800ms));
    CHECK_FALSE(forecast.predictLateness(service, {0, 0}, 800ms));
}

TEST_CASE("the forecast learns how long a waiting request takes")
{
    QueueForecast forecast;
    CHECK(forecast.predictFirstEventDelay(service, 9) == 1200ms);
    forecast.recordFirstEvent(service, 4, 1s);
    CHECK(forecast.predictFirstEventDelay(service, 9) == 2s);

    SUBCASE("but not from requests that found no queue")
    {
        forecast.recordFirstEvent(service, 1, 30s);
        CHECK(forecast.predictFirstEventDelay(service, 9) == 2s);
    }
}
