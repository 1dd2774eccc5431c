/// @file
/// @brief Measurements of failure detection and state spread under kills, pauses and datagram loss.
#pragma once

#include "membership_baselines.hpp"
#include "virtual_fleet.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace bamboochute::bench {

/// @brief Makes the shape of a fleet of the given size, in the proportions of the target.
inline FleetShape makeFleetShape(std::size_t nodes)
{
    constexpr std::size_t smallFleet = 12;
    FleetShape shape;
    shape.nodes = nodes;
    shape.dataCentres = nodes > smallFleet ? 20 : 4;
    shape.regions = nodes > smallFleet ? 8 : 1;
    return shape;
}

/// @brief Counts how often members were declared unreachable or gone while it exists.
class AlarmCounter
{
public:
    explicit AlarmCounter(VirtualFleet &fleet)
    {
        fleet.onObservation = [this](const Observation &observation) {
            const auto *change = std::get_if<peer::MemberChanged>(&observation.what);
            if (change == nullptr)
                return;
            this->unreachable += change->member.state == peer::MemberState::Unreachable ? 1 : 0;
            this->gone += change->member.state == peer::MemberState::Gone ? 1 : 0;
        };
    }

    std::size_t unreachable = 0;
    std::size_t gone = 0;
};

/// @brief Kills nodes one after another and measures detection.
/// @param loss share of datagrams lost
/// @return longest time in seconds from a kill until all others know; the length of a trial if some
/// never do
inline double measureWorstDetection(std::size_t nodes, double loss, std::size_t kills,
                                    std::uint64_t seed)
{
    constexpr Duration trialTime = std::chrono::seconds(7);
    NetworkSettings network;
    network.loss = loss;
    VirtualFleet fleet(makeFleetShape(nodes), network, seed);
    fleet.run(std::chrono::seconds(10));
    double worst = 0;
    for (std::size_t victim = 1; victim <= kills; ++victim) {
        std::map<std::size_t, TimePoint> detectedAt;
        const InstanceId name = fleet.instanceId(victim);
        fleet.onObservation = [&](const Observation &observation) {
            const auto *change = std::get_if<peer::MemberChanged>(&observation.what);
            if (change != nullptr && change->member.identity.instance == name
                && !peer::isReachable(change->member.state))
                detectedAt.emplace(observation.node, observation.at);
        };
        const TimePoint killedAt = fleet.now();
        // Of every second node the host stays up and refuses datagrams to the port; of the others
        // it goes down too.
        fleet.kill(victim, victim % 2 == 0);
        fleet.run(trialTime);
        std::size_t informed = 0;
        for (const auto &[node, at] : detectedAt) {
            informed += fleet.isRunning(node) ? 1 : 0;
            worst = std::max(worst, toSeconds(at - killedAt));
        }
        if (informed < nodes - victim)
            worst = std::max(worst, toSeconds(trialTime));
    }
    return worst;
}

/// @brief Pauses nodes for three seconds each and counts the alarms that the others raise.
inline AlarmCounter countAlarmsWithPauses(std::size_t nodes, std::size_t pauses, std::uint64_t seed)
{
    VirtualFleet fleet(makeFleetShape(nodes), NetworkSettings{}, seed);
    fleet.run(std::chrono::seconds(10));
    AlarmCounter alarms(fleet);
    for (std::size_t paused = 1; paused <= pauses; ++paused) {
        fleet.pause(paused, std::chrono::seconds(3));
        fleet.run(std::chrono::seconds(6));
    }
    return alarms;
}

/// @brief Counts the false alarms while the network loses datagrams.
/// @param loss share of datagrams lost
inline AlarmCounter countAlarmsUnderLoss(std::size_t nodes, double loss, Duration duration,
                                         std::uint64_t seed)
{
    NetworkSettings network;
    network.loss = loss;
    VirtualFleet fleet(makeFleetShape(nodes), network, seed);
    fleet.run(std::chrono::seconds(15));
    AlarmCounter alarms(fleet);
    fleet.run(duration);
    return alarms;
}

/// @brief Publishes changes of one topic at random nodes and measures the time and bytes until they
/// have reached all others.
/// @param loss share of datagrams lost
inline SpreadResult measureEpidemicSpread(std::size_t nodes, double loss, peer::Topic topic,
                                          double changesPerSecond, Duration duration,
                                          std::uint64_t seed)
{
    NetworkSettings network;
    network.loss = loss;
    network.farDelay = network.nearDelay;
    VirtualFleet fleet(makeFleetShape(nodes), network, seed);
    Random random(seed + 9);
    fleet.run(std::chrono::seconds(20));
    struct Change
    {
        TimePoint publishedAt{};
        std::size_t holders = 1;
        double seconds = -1;
    };
    std::map<std::string, Change> changes;
    fleet.onObservation = [&](const Observation &observation) {
        const auto *state = std::get_if<peer::StateChanged>(&observation.what);
        const auto change = state == nullptr ? changes.end() : changes.find(state->delta.key.item);
        if (change != changes.end() && ++change->second.holders == nodes)
            change->second.seconds = toSeconds(observation.at - change->second.publishedAt);
    };
    const std::uint64_t bytesBefore = fleet.bytes();
    std::vector<peer::GossipTraffic> before;
    for (std::size_t node = 0; node < nodes; ++node)
        before.push_back(fleet.gossip(node).traffic());
    const TimePoint start = fleet.now();
    constexpr Duration step = std::chrono::milliseconds(25);
    constexpr Duration settleTime = std::chrono::seconds(6);
    while (fleet.now() < start + duration) {
        if (random.chance(changesPerSecond * toSeconds(step))) {
            const std::size_t origin = random.below(nodes);
            const std::string item = "change-" + std::to_string(changes.size());
            changes[item].publishedAt = fleet.now();
            const peer::StreamKey stream{topic, "pool-" + std::to_string(origin)};
            fleet.publish(origin, peer::StateKey{stream, item}, Fence(1), std::string(40, 'x'));
        }
        fleet.run(step);
    }
    SpreadResult result;
    result.meanBytesPerSecond = static_cast<double>(fleet.bytes() - bytesBefore)
                                / toSeconds(duration) / static_cast<double>(nodes);
    for (std::size_t node = 0; node < nodes; ++node) {
        const peer::GossipTraffic &after = fleet.gossip(node).traffic();
        const std::uint64_t bytes = after.sentBytes - before[node].sentBytes + after.receivedBytes
                                    - before[node].receivedBytes;
        result.maxBytesPerSecond = std::max(result.maxBytesPerSecond,
                                            static_cast<double>(bytes) / toSeconds(duration));
    }
    fleet.run(settleTime);
    std::vector<double> times;
    for (const auto &[item, change] : changes) {
        if (change.seconds >= 0)
            times.push_back(change.seconds);
        else
            ++result.incomplete;
    }
    summarizeTimes(std::move(times), result);
    return result;
}

} // namespace bamboochute::bench
