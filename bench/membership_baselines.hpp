/// @file
/// @brief Two other ways to spread state, for comparison: full mesh, and a tree by data centre.
#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <utility>
#include <vector>

namespace bamboochute::bench {

/// @brief Heartbeats over fixed links, which carry each change three times.
struct HeartbeatSettings
{
    std::size_t nodes = 12;
    std::size_t dataCentres = 4;
    /// Every node to every other one, or members to the first node of their data centre.
    bool isTree = false;
    double loss = 0;
    double changesPerSecond = 8;
    std::size_t changeBytes = 90;
    Duration heartbeatPeriod = std::chrono::milliseconds(500);
    Duration nearDelay = std::chrono::microseconds(300);
    Duration jitter = std::chrono::milliseconds(2);
};

/// @brief Bytes and times of a run.
struct SpreadResult
{
    double meanBytesPerSecond = 0;
    double maxBytesPerSecond = 0;
    double medianSeconds = 0;
    double maxSeconds = 0;
    /// Changes that did not reach all nodes within the run.
    std::size_t incomplete = 0;
};

/// @brief Summary of the times that changes took to reach all nodes.
inline void summarize(std::vector<double> times, SpreadResult &result)
{
    std::sort(times.begin(), times.end());
    if (times.empty())
        return;
    result.medianSeconds = times[times.size() / 2];
    result.maxSeconds = times.back();
}

/// @brief Runs the scheme in virtual time.
class HeartbeatFleet
{
public:
    HeartbeatFleet(HeartbeatSettings settings, std::uint64_t seed)
        : settings(settings)
        , random(seed)
        , bytes(settings.nodes)
        , held(settings.nodes)
        , pending(settings.nodes)
    {}

    SpreadResult run(Duration duration)
    {
        const TimePoint end = TimePoint{} + duration;
        for (std::size_t node = 0; node < this->settings.nodes; ++node)
            this->push(TimePoint{} + this->upTo(this->settings.heartbeatPeriod),
                       Event{{}, 0, Kind::Heartbeat, node, 0, {}});
        this->push(TimePoint{}, Event{{}, 0, Kind::Publish, 0, 0, {}});
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event, end);
        }
        return this->result(duration);
    }

private:
    enum class Kind { Heartbeat, Publish, Arrival };
    /// Header, sender, sequence number and tag, as in the project's own datagrams.
    static constexpr std::size_t emptyBytes = 28 + 60;
    static constexpr int repetitions = 3;
    /// Changes of the last seconds may still be under way when the run ends.
    static constexpr Duration settleTime = std::chrono::seconds(3);

    struct Event
    {
        TimePoint at{};
        std::uint64_t number = 0;
        Kind kind = Kind::Heartbeat;
        std::size_t node = 0;
        std::size_t from = 0;
        std::vector<std::size_t> changes;

        bool operator>(const Event &than) const
        {
            return std::pair(this->at, this->number) > std::pair(than.at, than.number);
        }
    };

    struct Change
    {
        TimePoint publishedAt{};
        std::size_t holders = 1;
        double seconds = -1;
    };

    Duration upTo(Duration most)
    {
        return Duration(static_cast<std::int64_t>(
                this->random.below(static_cast<std::uint64_t>(most.count()) + 1)));
    }

    void push(TimePoint at, Event event)
    {
        event.at = at;
        event.number = this->nextNumber++;
        this->events.push(std::move(event));
    }

    bool isLeader(std::size_t node) const { return node < this->settings.dataCentres; }

    std::vector<std::size_t> links(std::size_t node) const
    {
        std::vector<std::size_t> to;
        const std::size_t centres = this->settings.dataCentres;
        for (std::size_t other = 0; other < this->settings.nodes; ++other) {
            const bool isSameCentre = other % centres == node % centres;
            const bool isLinked
                    = !this->settings.isTree || (this->isLeader(node) && this->isLeader(other))
                      || (isSameCentre && (this->isLeader(node) || this->isLeader(other)));
            if (other != node && isLinked)
                to.push_back(other);
        }
        return to;
    }

    void send(std::size_t from, std::size_t to, const std::vector<std::size_t> &changes)
    {
        const std::size_t size = emptyBytes + changes.size() * this->settings.changeBytes;
        this->bytes[from] += size;
        if (this->random.chance(this->settings.loss))
            return;
        this->bytes[to] += size;
        this->push(this->now + this->settings.nearDelay + this->upTo(this->settings.jitter),
                   Event{{}, 0, Kind::Arrival, to, from, changes});
    }

    void handle(const Event &event, TimePoint end)
    {
        if (event.kind == Kind::Heartbeat)
            this->heartbeat(event.node);
        else if (event.kind == Kind::Publish)
            this->publish(end);
        else
            this->arrive(event);
    }

    void heartbeat(std::size_t node)
    {
        std::vector<std::size_t> changes;
        for (auto &[change, left] : this->pending[node]) {
            changes.push_back(change);
            --left;
        }
        std::erase_if(this->pending[node], [](const auto &each) { return each.second <= 0; });
        for (const std::size_t to : this->links(node))
            this->send(node, to, changes);
        this->push(this->now + this->settings.heartbeatPeriod,
                   Event{{}, 0, Kind::Heartbeat, node, 0, {}});
    }

    void publish(TimePoint end)
    {
        const std::size_t origin = this->random.below(this->settings.nodes);
        if (this->now + settleTime < end) {
            this->changes.push_back(Change{this->now, 1, -1});
            this->take(origin, this->changes.size() - 1);
        }
        const double wait = this->random.exponential(1.0 / this->settings.changesPerSecond);
        this->push(this->now + Duration(static_cast<std::int64_t>(wait * 1e6)),
                   Event{{}, 0, Kind::Publish, 0, 0, {}});
    }

    void take(std::size_t node, std::size_t change)
    {
        this->held[node][change] = true;
        this->pending[node][change] = repetitions - 1;
        for (const std::size_t to : this->links(node))
            this->send(node, to, {change});
    }

    void arrive(const Event &event)
    {
        for (const std::size_t change : event.changes) {
            if (std::exchange(this->held[event.node][change], true))
                continue;
            Change &arrived = this->changes[change];
            if (++arrived.holders == this->settings.nodes)
                arrived.seconds = toSeconds(this->now - arrived.publishedAt);
            if (this->settings.isTree && this->isLeader(event.node))
                this->take(event.node, change);
        }
    }

    SpreadResult result(Duration duration) const
    {
        SpreadResult found;
        for (const std::uint64_t each : this->bytes) {
            const double perSecond = static_cast<double>(each) / toSeconds(duration);
            found.meanBytesPerSecond += perSecond / static_cast<double>(this->bytes.size());
            found.maxBytesPerSecond = std::max(found.maxBytesPerSecond, perSecond);
        }
        std::vector<double> times;
        for (const Change &change : this->changes) {
            if (change.seconds >= 0)
                times.push_back(change.seconds);
            else
                ++found.incomplete;
        }
        summarize(std::move(times), found);
        return found;
    }

    HeartbeatSettings settings;
    Random random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<std::uint64_t> bytes;
    std::vector<std::map<std::size_t, bool>> held;
    std::vector<std::map<std::size_t, int>> pending;
    std::vector<Change> changes;
    TimePoint now{};
    std::uint64_t nextNumber = 0;
};

} // namespace bamboochute::bench
