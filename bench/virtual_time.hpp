/// @file
/// @brief Event queue of discrete-event simulations.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace bamboochute::bench {

/// @brief Virtual clock with an event queue; events of equal time run in the order of their
/// addition.
class VirtualTime
{
public:
    using Event = std::function<void()>;

    TimePoint now() const noexcept { return this->time; }

    /// @brief Schedules an event; one in the past runs at the current time.
    void at(TimePoint when, Event event)
    {
        this->events.push({std::max(when, this->time), this->added++, std::move(event)});
    }

    /// @brief Schedules an event after a delay.
    void after(Duration delay, Event event) { this->at(this->time + delay, std::move(event)); }

    /// @brief Runs all events up to and including a time and advances the clock to it.
    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.top().when <= end) {
            const Entry next = this->events.top();
            this->events.pop();
            this->time = next.when;
            next.event();
        }
        this->time = std::max(this->time, end);
    }

private:
    struct Entry
    {
        TimePoint when;
        std::uint64_t order;
        Event event;

        bool operator<(const Entry &other) const
        {
            return std::pair(other.when, other.order) < std::pair(this->when, this->order);
        }
    };

    TimePoint time{std::chrono::seconds(1)};
    std::uint64_t added = 0;
    std::priority_queue<Entry> events;
};

} // namespace bamboochute::bench
