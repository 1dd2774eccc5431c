/// @file
/// @brief Load on the gossip of a fleet: state changes and failures at the rates of the target.
#pragma once

#include "virtual_fleet.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bamboochute::bench {

/// @brief Rates of change, summed over the whole fleet.
struct LoadRates
{
    double targetLoadsPerSecond = 0.8;
    double idleTransitionsPerSecond = 0.8;
    double configurationsPerDay = 2200;
    double failuresPerDay = 23;
    double replacementsPerDay = 430;
    std::size_t workers = 1400;
    /// Number of models and adapters that are loaded in the whole fleet.
    std::size_t loadedTargets = 2900;
    Duration loadSummaryPeriod = std::chrono::seconds(5);
};

/// @brief Applies changes of pools, configuration and instances to a fleet.
class FleetLoad
{
public:
    FleetLoad(VirtualFleet &fleet, std::size_t pools, LoadRates rates, std::uint64_t seed)
        : fleet(fleet)
        , rates(rates)
        , random(seed)
        , owners(pools)
        , fences(pools, 1)
    {
        for (std::size_t pool = 0; pool < pools; ++pool)
            this->owners[pool] = pool % fleet.size();
    }

    /// @brief Publishes the initial placements.
    void publishInitial()
    {
        for (std::size_t i = 0; i < this->rates.loadedTargets; ++i)
            this->publishPlacement(i);
    }

    /// @brief Runs the fleet for a duration while changes happen at the given rates.
    void run(Duration duration)
    {
        const TimePoint end = this->fleet.now() + duration;
        while (this->fleet.now() < end) {
            this->applyChanges();
            this->fleet.run(stepPeriod);
        }
    }

    /// @brief Number of configuration changes so far.
    std::uint64_t configurationChanges() const { return this->revision; }

private:
    static constexpr Duration stepPeriod = std::chrono::milliseconds(100);
    static constexpr double secondsPerDay = 86400;

    bool drawEvent(double perSecond)
    {
        return this->random.chance(perSecond * toSeconds(stepPeriod));
    }

    void applyChanges()
    {
        this->moveOwners();
        if (this->drawEvent(this->rates.targetLoadsPerSecond))
            this->publishPlacement(this->random.below(this->rates.loadedTargets));
        if (this->drawEvent(this->rates.idleTransitionsPerSecond))
            this->publishPlacement(this->random.below(this->rates.loadedTargets));
        if (this->drawEvent(this->rates.configurationsPerDay / secondsPerDay))
            this->publishConfiguration();
        if (this->drawEvent(this->rates.failuresPerDay / secondsPerDay))
            this->stopAndScheduleStart(false);
        if (this->drawEvent(this->rates.replacementsPerDay / secondsPerDay))
            this->stopAndScheduleStart(true);
        this->startDueNodes();
        this->publishInForce();
        this->publishLoadSummaries();
    }

    /// Gives each pool whose owner is not running another owner, with a higher fence.
    void moveOwners()
    {
        for (std::size_t pool = 0; pool < this->owners.size(); ++pool) {
            if (this->fleet.isRunning(this->owners[pool]))
                continue;
            this->owners[pool] = this->pickRunningNode();
            ++this->fences[pool];
            for (const peer::Topic topic : {peer::Topic::Placements, peer::Topic::LoadSummary}) {
                const std::size_t owner = this->owners[pool];
                auto actions = this->fleet.gossip(owner).takeOver(
                        this->fleet.now(), peer::StreamKey{topic, poolName(pool)},
                        Fence(this->fences[pool]));
                if (actions)
                    this->fleet.carryOut(owner, std::move(actions).value());
            }
        }
    }

    std::size_t pickRunningNode()
    {
        std::size_t node = this->random.below(this->fleet.size());
        while (!this->fleet.isRunning(node))
            node = this->random.below(this->fleet.size());
        return node;
    }

    static std::string poolName(std::size_t pool) { return "pool-" + std::to_string(pool); }

    void publishPlacement(std::size_t target)
    {
        const std::size_t pool = target % this->owners.size();
        const std::string item
                = "model-" + std::to_string(target % 270) + "@1+adapter-" + std::to_string(target);
        // A CBOR array of the upstream's number and the state, in the format that an owner writes.
        std::string payload("\x82\x19\x01\x02\x01", 5);
        payload[3] = static_cast<char>(this->random.below(250));
        this->fleet.publish(this->owners[pool],
                            peer::StateKey{{peer::Topic::Placements, poolName(pool)}, item},
                            Fence(this->fences[pool]), payload);
    }

    void publishConfiguration()
    {
        ++this->revision;
        const std::string hash(32, static_cast<char>(this->revision & 0x7f));
        this->fleet.publish(this->pickRunningNode(),
                            peer::StateKey{{peer::Topic::ConfigurationRoot, ""}, ""},
                            Fence(this->revision), hash);
    }

    /// Publishes for each instance the configuration revision in force there, if it changed.
    void publishInForce()
    {
        this->inForce.resize(this->fleet.size());
        for (std::size_t node = 0; node < this->fleet.size(); ++node) {
            if (!this->fleet.isRunning(node))
                continue;
            const peer::StreamKey root{peer::Topic::ConfigurationRoot, ""};
            const std::uint64_t revisionInForce
                    = this->fleet.gossip(node).dissemination().digest(root).fence.value();
            if (revisionInForce == this->inForce[node])
                continue;
            this->inForce[node] = revisionInForce;
            const peer::MemberIdentity self = this->fleet.identity(node);
            this->fleet.publish(
                    node, peer::StateKey{{peer::Topic::InForceRevision, self.instance.value()}, ""},
                    Fence(self.incarnation.value()), std::string(3, '\x01'));
        }
    }

    void publishLoadSummaries()
    {
        if (this->fleet.now() < this->nextLoadAt)
            return;
        this->nextLoadAt = this->fleet.now() + this->rates.loadSummaryPeriod;
        // Each worker takes two bytes of a load summary.
        const std::size_t bytes = 2 * this->rates.workers / this->owners.size();
        for (std::size_t pool = 0; pool < this->owners.size(); ++pool)
            this->fleet.publish(this->owners[pool],
                                peer::StateKey{{peer::Topic::LoadSummary, poolName(pool)}, ""},
                                Fence(this->fences[pool]), std::string(bytes, '\x55'));
    }

    void stopAndScheduleStart(bool isPlanned)
    {
        const std::size_t node = this->pickRunningNode();
        if (isPlanned)
            this->fleet.leave(node);
        else
            this->fleet.kill(node, this->random.chance(0.5));
        this->pendingStarts.emplace_back(this->fleet.now() + std::chrono::seconds(20), node);
    }

    void startDueNodes()
    {
        for (std::size_t i = 0; i < this->pendingStarts.size();) {
            if (this->pendingStarts[i].first > this->fleet.now()) {
                ++i;
                continue;
            }
            this->fleet.start(this->pendingStarts[i].second);
            this->pendingStarts.erase(this->pendingStarts.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    VirtualFleet &fleet;
    LoadRates rates;
    Random random;
    std::vector<std::size_t> owners;
    std::vector<std::uint64_t> fences;
    std::vector<std::uint64_t> inForce;
    std::vector<std::pair<TimePoint, std::size_t>> pendingStarts;
    std::uint64_t revision = 0;
    TimePoint nextLoadAt{};
};

} // namespace bamboochute::bench
