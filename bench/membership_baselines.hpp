/// @file
/// @brief Two other methods of spreading state, for comparison with gossip: heartbeats in a full
/// mesh and in a tree by data centre.
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

/// @brief Settings of heartbeats over fixed links, which carry each change three times.
struct HeartbeatSettings
{
    std::size_t nodes = 12;
    std::size_t dataCentres = 4;
    /// False: every node is linked to every other one. True: nodes are linked to the first node of
    /// their data centre, and these first nodes to one another.
    bool isTree = false;
    double loss = 0;
    double changesPerSecond = 1.6;
    std::size_t changeBytes = 90;
    Duration heartbeatPeriod = std::chrono::milliseconds(500);
    Duration nearDelay = std::chrono::microseconds(300);
    Duration jitter = std::chrono::milliseconds(2);
};

/// @brief Bytes per node and times until changes reached all nodes.
struct SpreadResult
{
    double meanBytesPerSecond = 0;
    double maxBytesPerSecond = 0;
    double medianSeconds = 0;
    double maxSeconds = 0;
    /// Changes that did not reach all nodes within the run.
    std::size_t incomplete = 0;
};

/// @brief Sets the median and the maximum of the times that changes took to reach all nodes.
/// @param times times in seconds
inline void summarizeTimes(std::vector<double> times, SpreadResult &result)
{
    std::sort(times.begin(), times.end());
    if (times.empty())
        return;
    result.medianSeconds = times[times.size() / 2];
    result.maxSeconds = times.back();
}

/// @brief Simulates the heartbeats of a fleet in virtual time.
class HeartbeatFleet
{
public:
    HeartbeatFleet(HeartbeatSettings settings, std::uint64_t seed)
        : settings(settings)
        , random(seed)
        , bytes(settings.nodes)
        , known(settings.nodes)
        , pending(settings.nodes)
    {}

    SpreadResult run(Duration duration)
    {
        const TimePoint end = TimePoint{} + duration;
        for (std::size_t node = 0; node < this->settings.nodes; ++node)
            this->schedule(TimePoint{} + this->randomDuration(this->settings.heartbeatPeriod),
                           Event{{}, 0, Kind::Heartbeat, node, 0, {}});
        this->schedule(TimePoint{}, Event{{}, 0, Kind::Publish, 0, 0, {}});
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event, end);
        }
        return this->summarizeRun(duration);
    }

private:
    enum class Kind { Heartbeat, Publish, Arrival };
    /// Header, sender, sequence number and tag, as in the project's own datagrams.
    static constexpr std::size_t emptyDatagramBytes = 28 + 60;
    static constexpr int sendsPerChange = 3;
    /// No changes are published in the last seconds of a run, so that earlier ones can still
    /// arrive.
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

    Duration randomDuration(Duration maximum)
    {
        return Duration(static_cast<std::int64_t>(
                this->random.below(static_cast<std::uint64_t>(maximum.count()) + 1)));
    }

    void schedule(TimePoint at, Event event)
    {
        event.at = at;
        event.number = this->nextNumber++;
        this->events.push(std::move(event));
    }

    bool isLeader(std::size_t node) const { return node < this->settings.dataCentres; }

    std::vector<std::size_t> linkedNodes(std::size_t node) const
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
        const std::size_t size = emptyDatagramBytes + changes.size() * this->settings.changeBytes;
        this->bytes[from] += size;
        if (this->random.chance(this->settings.loss))
            return;
        this->bytes[to] += size;
        this->schedule(this->now + this->settings.nearDelay
                               + this->randomDuration(this->settings.jitter),
                       Event{{}, 0, Kind::Arrival, to, from, changes});
    }

    void handle(const Event &event, TimePoint end)
    {
        if (event.kind == Kind::Heartbeat)
            this->sendHeartbeats(event.node);
        else if (event.kind == Kind::Publish)
            this->publishChange(end);
        else
            this->receiveChanges(event);
    }

    void sendHeartbeats(std::size_t node)
    {
        std::vector<std::size_t> changes;
        for (auto &[change, remaining] : this->pending[node]) {
            changes.push_back(change);
            --remaining;
        }
        std::erase_if(this->pending[node], [](const auto &each) { return each.second <= 0; });
        for (const std::size_t to : this->linkedNodes(node))
            this->send(node, to, changes);
        this->schedule(this->now + this->settings.heartbeatPeriod,
                       Event{{}, 0, Kind::Heartbeat, node, 0, {}});
    }

    void publishChange(TimePoint end)
    {
        const std::size_t origin = this->random.below(this->settings.nodes);
        if (this->now + settleTime < end) {
            this->changes.push_back(Change{this->now, 1, -1});
            this->acceptChange(origin, this->changes.size() - 1);
        }
        const double wait = this->random.exponential(1.0 / this->settings.changesPerSecond);
        this->schedule(this->now + Duration(static_cast<std::int64_t>(wait * 1e6)),
                       Event{{}, 0, Kind::Publish, 0, 0, {}});
    }

    void acceptChange(std::size_t node, std::size_t change)
    {
        this->known[node][change] = true;
        this->pending[node][change] = sendsPerChange - 1;
        for (const std::size_t to : this->linkedNodes(node))
            this->send(node, to, {change});
    }

    void receiveChanges(const Event &event)
    {
        for (const std::size_t change : event.changes) {
            if (std::exchange(this->known[event.node][change], true))
                continue;
            Change &arrived = this->changes[change];
            if (++arrived.holders == this->settings.nodes)
                arrived.seconds = toSeconds(this->now - arrived.publishedAt);
            if (this->settings.isTree && this->isLeader(event.node))
                this->acceptChange(event.node, change);
        }
    }

    SpreadResult summarizeRun(Duration duration) const
    {
        SpreadResult result;
        for (const std::uint64_t each : this->bytes) {
            const double perSecond = static_cast<double>(each) / toSeconds(duration);
            result.meanBytesPerSecond += perSecond / static_cast<double>(this->bytes.size());
            result.maxBytesPerSecond = std::max(result.maxBytesPerSecond, perSecond);
        }
        std::vector<double> times;
        for (const Change &change : this->changes) {
            if (change.seconds >= 0)
                times.push_back(change.seconds);
            else
                ++result.incomplete;
        }
        summarizeTimes(std::move(times), result);
        return result;
    }

    HeartbeatSettings settings;
    Random random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<std::uint64_t> bytes;
    std::vector<std::map<std::size_t, bool>> known;
    std::vector<std::map<std::size_t, int>> pending;
    std::vector<Change> changes;
    TimePoint now{};
    std::uint64_t nextNumber = 0;
};

} // namespace bamboochute::bench
