/// @file
/// @brief The state that a fleet of the target's size spreads, at the target's rates.
#pragma once

#include "virtual_fleet.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bamboochute::bench {

/// @brief Rates of change over the whole fleet.
struct LoadRates
{
    double wakesPerSecond = 0.8;
    double idlesPerSecond = 0.8;
    double configurationsPerDay = 2200;
    double failuresPerDay = 23;
    double replacementsPerDay = 430;
    std::size_t workers = 1400;
    /// Targets that are loaded on the whole fleet.
    std::size_t loadedTargets = 2900;
    Duration loadSummaryPeriod = std::chrono::seconds(5);
};

/// @brief Drives a fleet with the changes of its pools, configuration and instances.
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

    /// @brief Publishes the placements that are there from the beginning.
    void publishInitial()
    {
        for (std::size_t i = 0; i < this->rates.loadedTargets; ++i)
            this->publishPlacement(i);
    }

    /// @brief Runs the fleet for a time under the rates.
    void run(Duration duration)
    {
        const TimePoint end = this->fleet.now() + duration;
        while (this->fleet.now() < end) {
            this->step();
            this->fleet.run(stepPeriod);
        }
    }

    /// @brief Number of changes of configuration so far.
    std::uint64_t configurations() const { return this->revision; }

private:
    static constexpr Duration stepPeriod = std::chrono::milliseconds(100);
    static constexpr double secondsPerDay = 86400;

    bool happens(double perSecond)
    {
        return this->random.chance(perSecond * toSeconds(stepPeriod));
    }

    void step()
    {
        this->moveOwners();
        if (this->happens(this->rates.wakesPerSecond))
            this->publishPlacement(this->random.below(this->rates.loadedTargets));
        if (this->happens(this->rates.idlesPerSecond))
            this->publishPlacement(this->random.below(this->rates.loadedTargets));
        if (this->happens(this->rates.configurationsPerDay / secondsPerDay))
            this->publishConfiguration();
        if (this->happens(this->rates.failuresPerDay / secondsPerDay))
            this->restart(false);
        if (this->happens(this->rates.replacementsPerDay / secondsPerDay))
            this->restart(true);
        this->restartDue();
        this->publishInForce();
        this->publishLoads();
    }

    /// A pool whose owner does not run gets another one, under a higher fence.
    void moveOwners()
    {
        for (std::size_t pool = 0; pool < this->owners.size(); ++pool) {
            if (this->fleet.isRunning(this->owners[pool]))
                continue;
            this->owners[pool] = this->running();
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

    std::size_t running()
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
        // A CBOR list of the upstream's number and the state, as an owner writes it.
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
        this->fleet.publish(this->running(),
                            peer::StateKey{{peer::Topic::ConfigurationRoot, ""}, ""},
                            Fence(this->revision), hash);
    }

    /// Each instance tells the revision that is in force at it.
    void publishInForce()
    {
        this->inForce.resize(this->fleet.size());
        for (std::size_t node = 0; node < this->fleet.size(); ++node) {
            if (!this->fleet.isRunning(node))
                continue;
            const peer::StreamKey root{peer::Topic::ConfigurationRoot, ""};
            const std::uint64_t held
                    = this->fleet.gossip(node).dissemination().digest(root).fence.value();
            if (held == this->inForce[node])
                continue;
            this->inForce[node] = held;
            const peer::MemberIdentity self = this->fleet.identity(node);
            this->fleet.publish(
                    node, peer::StateKey{{peer::Topic::InForceRevision, self.instance.value()}, ""},
                    Fence(self.incarnation.value()), std::string(3, '\x01'));
        }
    }

    void publishLoads()
    {
        if (this->fleet.now() < this->nextLoadAt)
            return;
        this->nextLoadAt = this->fleet.now() + this->rates.loadSummaryPeriod;
        // Two bytes for the load of each worker.
        const std::size_t bytes = 2 * this->rates.workers / this->owners.size();
        for (std::size_t pool = 0; pool < this->owners.size(); ++pool)
            this->fleet.publish(this->owners[pool],
                                peer::StateKey{{peer::Topic::LoadSummary, poolName(pool)}, ""},
                                Fence(this->fences[pool]), std::string(bytes, '\x55'));
    }

    void restart(bool isPlanned)
    {
        const std::size_t node = this->running();
        if (isPlanned)
            this->fleet.leave(node);
        else
            this->fleet.kill(node, this->random.chance(0.5));
        this->due.emplace_back(this->fleet.now() + std::chrono::seconds(20), node);
    }

    void restartDue()
    {
        for (std::size_t i = 0; i < this->due.size();) {
            if (this->due[i].first > this->fleet.now()) {
                ++i;
                continue;
            }
            this->fleet.start(this->due[i].second);
            this->due.erase(this->due.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    VirtualFleet &fleet;
    LoadRates rates;
    Random random;
    std::vector<std::size_t> owners;
    std::vector<std::uint64_t> fences;
    std::vector<std::uint64_t> inForce;
    std::vector<std::pair<TimePoint, std::size_t>> due;
    std::uint64_t revision = 0;
    TimePoint nextLoadAt{};
};

} // namespace bamboochute::bench
