/// @file
/// @brief A fleet of gossiping instances in virtual time, over a network that loses, duplicates and
/// delays datagrams and can be partitioned.
#pragma once

#include "core/random.hpp"
#include "peer/gossip.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bamboochute::bench {

/// @brief Datagram loss, duplication and delays of the simulated network.
struct NetworkSettings
{
    /// Shares of datagrams that are lost and that are delivered twice, from 0 to 1.
    double loss = 0;
    double duplication = 0;
    /// One-way delay within a region.
    Duration nearDelay = std::chrono::microseconds(300);
    /// One-way delay between regions.
    Duration farDelay = std::chrono::milliseconds(40);
    /// Maximum of the random delay that is added.
    Duration jitter = std::chrono::milliseconds(2);
};

/// @brief Number of instances, and how they are spread over data centres and regions.
struct FleetShape
{
    std::size_t nodes = 12;
    std::size_t dataCentres = 4;
    std::size_t regions = 1;
    peer::GossipSettings gossip;
};

/// @brief A change that the gossip of an instance reported.
struct Observation
{
    TimePoint at{};
    std::size_t node = 0;
    std::variant<peer::MemberChanged, peer::StateChanged, peer::DeclaredGoneByPeers> what;
};

/// @brief Simulated fleet; a run is determined by its seed.
class VirtualFleet
{
public:
    VirtualFleet(FleetShape shape, NetworkSettings network, std::uint64_t seed)
        : shape(shape)
        , network(network)
        , random(seed)
    {
        for (std::size_t node = 0; node < shape.nodes; ++node) {
            this->nodes.emplace_back();
            this->start(node);
        }
    }

    /// @brief Starts a process on a node, with a higher incarnation than the one before it.
    void start(std::size_t node)
    {
        Node &started = this->nodes[node];
        ++started.incarnation;
        started.isRunning = true;
        started.isHostUp = true;
        started.pausedUntil = TimePoint{};
        started.bufferedDeliveries.clear();
        started.gossip = std::make_unique<peer::Gossip>(this->shape.gossip, this->keys(),
                                                        this->identity(node),
                                                        this->seedEndpoints(node), this->random());
        ++started.processNumber;
        const auto phase = Duration(static_cast<std::int64_t>(
                this->random.below(static_cast<std::uint64_t>(tickPeriod.count()))));
        this->scheduleTick(node, this->time + phase);
    }

    /// @brief Replaces a process by one with an incarnation that is lower by one, which simulates a
    /// fault of the platform.
    void restartWithPreviousIncarnation(std::size_t node)
    {
        this->nodes[node].incarnation -= 2;
        this->start(node);
    }

    bool isPaused(std::size_t node) const { return this->time < this->nodes[node].pausedUntil; }

    /// @brief Ends a process without notifying the other members.
    /// @param isHostUp whether the host stays up and refuses datagrams to the port
    void kill(std::size_t node, bool isHostUp)
    {
        this->nodes[node].isRunning = false;
        this->nodes[node].isHostUp = isHostUp;
        ++this->nodes[node].processNumber;
    }

    /// @brief Pauses a process; datagrams that arrive meanwhile wait in its socket's buffer.
    void pause(std::size_t node, Duration duration)
    {
        this->nodes[node].pausedUntil = this->time + duration;
    }

    /// @brief Ends a process after it has announced that it leaves.
    void leave(std::size_t node)
    {
        this->carryOut(node, this->nodes[node].gossip->leave(this->time));
        this->kill(node, true);
    }

    /// @brief Drops datagrams between nodes of different groups.
    /// @param groupOf returns the group of a node; an empty function ends the partition
    void partition(std::function<std::size_t(std::size_t node)> groupOf)
    {
        this->partitionGroup = std::move(groupOf);
    }

    /// @param loss share of datagrams that the network loses from now on, from 0 to 1
    void setLoss(double loss) { this->network.loss = loss; }

    /// @brief Handles the events up to a time, and advances the clock to it.
    void runUntil(TimePoint until)
    {
        while (!this->events.empty() && this->events.top().at <= until) {
            const Event event = this->events.top();
            this->events.pop();
            this->time = event.at;
            this->handle(event);
        }
        this->time = until;
    }

    /// @brief Handles the events of a duration, and advances the clock by it.
    void run(Duration duration) { this->runUntil(this->time + duration); }

    /// @brief Carries out actions that the gossip of a node returned.
    void carryOut(std::size_t node, peer::GossipActions actions)
    {
        for (peer::GossipAction &action : actions) {
            if (auto *bytes = std::get_if<peer::SendBytes>(&action))
                this->send(node, std::move(*bytes));
            else if (auto *member = std::get_if<peer::MemberChanged>(&action))
                this->observe(node, std::move(*member));
            else if (auto *state = std::get_if<peer::StateChanged>(&action))
                this->observe(node, std::move(*state));
            else
                this->observe(node, std::get<peer::DeclaredGoneByPeers>(action));
        }
    }

    /// @brief Publishes state at a node; does nothing when its gossip refuses the state.
    void publish(std::size_t node, const peer::StateKey &key, Fence fence, std::string payload)
    {
        auto actions = this->gossip(node).publish(this->time, key, fence, std::move(payload));
        if (actions)
            this->carryOut(node, std::move(actions).value());
    }

    /// @brief Passes a list of instances, as the platform returns it, to a node.
    void applyPlatformList(std::size_t node, const std::vector<peer::ListedInstance> &list)
    {
        this->carryOut(node, this->gossip(node).onPlatformList(this->time, list));
    }

    /// @brief Makes the platform's list of instances that contains exactly the running processes.
    std::vector<peer::ListedInstance> listRunningInstances() const
    {
        std::vector<peer::ListedInstance> all;
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            if (this->nodes[node].isRunning)
                all.push_back(this->platformListEntry(node));
        }
        return all;
    }

    /// @brief Makes the entry of a node in the platform's list of instances.
    peer::ListedInstance platformListEntry(std::size_t node) const
    {
        const peer::MemberIdentity self = this->identity(node);
        return peer::ListedInstance{self.instance, self.dataCentre, self.datagramEndpoint,
                                    peer::ListedState::Live, this->nodes[node].incarnation};
    }

    peer::MemberIdentity identity(std::size_t node) const
    {
        peer::MemberIdentity self;
        self.instance = this->instanceId(node);
        self.incarnation = Incarnation(this->nodes[node].incarnation);
        self.dataCentre = DataCentreId("data-centre-" + std::to_string(this->dataCentreOf(node)));
        self.datagramEndpoint = this->endpoint(node);
        self.callEndpoint = Endpoint{self.datagramEndpoint.address, 7201};
        return self;
    }

    InstanceId instanceId(std::size_t node) const
    {
        return InstanceId("entry-" + std::to_string(node));
    }

    std::size_t dataCentreOf(std::size_t node) const { return node % this->shape.dataCentres; }

    std::size_t regionOf(std::size_t node) const
    {
        return this->dataCentreOf(node) % this->shape.regions;
    }

    peer::Gossip &gossip(std::size_t node) { return *this->nodes[node].gossip; }
    bool isRunning(std::size_t node) const { return this->nodes[node].isRunning; }
    std::size_t size() const { return this->nodes.size(); }
    TimePoint now() const { return this->time; }

    /// @brief Bytes that the running process of each node sent and received, including sent
    /// datagrams that were dropped.
    std::uint64_t bytes() const
    {
        std::uint64_t total = 0;
        for (const Node &node : this->nodes)
            total += node.gossip->traffic().sentBytes + node.gossip->traffic().receivedBytes;
        return total;
    }

    /// Called with each observation, if set.
    std::function<void(const Observation &)> onObservation;

private:
    static constexpr Duration tickPeriod = std::chrono::milliseconds(25);

    enum class EventKind : std::uint8_t { Delivery, Refusal, Tick };

    struct Event
    {
        TimePoint at{};
        std::uint64_t number = 0;
        EventKind kind = EventKind::Tick;
        /// Node at which the event happens.
        std::size_t node = 0;
        /// Node that sent or refused the datagram.
        std::size_t other = 0;
        /// Process number for which the tick was scheduled.
        std::uint64_t processNumber = 0;
        std::shared_ptr<const std::string> bytes;

        bool operator>(const Event &than) const
        {
            return std::pair(this->at, this->number) > std::pair(than.at, than.number);
        }
    };

    struct Node
    {
        std::unique_ptr<peer::Gossip> gossip;
        std::uint64_t incarnation = 0;
        std::uint64_t processNumber = 0;
        bool isRunning = false;
        bool isHostUp = true;
        TimePoint pausedUntil{};
        std::vector<Event> bufferedDeliveries;
    };

    peer::KeyRing keys() const
    {
        return peer::KeyRing::parse("1:000102030405060708090a0b0c0d0e0f").value();
    }

    Endpoint endpoint(std::size_t node) const
    {
        return Endpoint{"10.0." + std::to_string(node / 250) + "." + std::to_string(node % 250),
                        7200};
    }

    std::size_t nodeAt(const Endpoint &endpoint) const
    {
        const std::size_t dot = endpoint.address.rfind('.');
        return std::stoul(endpoint.address.substr(5, dot - 5)) * 250
               + std::stoul(endpoint.address.substr(dot + 1));
    }

    std::vector<Endpoint> seedEndpoints(std::size_t node) const
    {
        std::vector<Endpoint> all;
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, this->shape.nodes); ++seed) {
            if (seed != node)
                all.push_back(this->endpoint(seed));
        }
        return all;
    }

    void schedule(Event event)
    {
        event.number = this->nextNumber++;
        this->events.push(std::move(event));
    }

    void scheduleTick(std::size_t node, TimePoint at)
    {
        this->schedule(Event{at, 0, EventKind::Tick, node, node, this->nodes[node].processNumber,
                             nullptr});
    }

    template<typename What>
    void observe(std::size_t node, What what)
    {
        if (this->onObservation)
            this->onObservation(Observation{this->time, node, std::move(what)});
    }

    bool isPartitioned(std::size_t from, std::size_t to) const
    {
        return this->partitionGroup && this->partitionGroup(from) != this->partitionGroup(to);
    }

    Duration randomDelay(std::size_t from, std::size_t to)
    {
        const bool isNear = this->regionOf(from) == this->regionOf(to);
        const Duration base = isNear ? this->network.nearDelay : this->network.farDelay;
        const auto jitterRange = static_cast<std::uint64_t>(this->network.jitter.count()) + 1;
        return base + Duration(static_cast<std::int64_t>(this->random.below(jitterRange)));
    }

    void send(std::size_t from, peer::SendBytes message)
    {
        const std::size_t to = this->nodeAt(message.to);
        const auto bytes = std::make_shared<const std::string>(std::move(message.bytes));
        const std::size_t copies = this->random.chance(this->network.duplication) ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            if (this->isPartitioned(from, to) || this->random.chance(this->network.loss))
                continue;
            this->schedule(Event{this->time + this->randomDelay(from, to), 0, EventKind::Delivery,
                                 to, from, 0, bytes});
        }
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Delivery:
            this->handleDelivery(event);
            break;
        case EventKind::Refusal:
            this->handleRefusal(event);
            break;
        case EventKind::Tick:
            this->handleTick(event);
            break;
        }
    }

    void handleDelivery(const Event &event)
    {
        Node &node = this->nodes[event.node];
        if (!node.isRunning) {
            const bool isRefused = node.isHostUp && !this->isPartitioned(event.node, event.other);
            if (isRefused && !this->random.chance(this->network.loss))
                this->schedule(Event{this->time + this->randomDelay(event.node, event.other), 0,
                                     EventKind::Refusal, event.other, event.node, 0, nullptr});
            return;
        }
        if (this->time < node.pausedUntil) {
            node.bufferedDeliveries.push_back(event);
            return;
        }
        this->carryOut(event.node,
                       node.gossip->onBytes(this->time, *event.bytes, this->endpoint(event.other)));
    }

    void handleRefusal(const Event &event)
    {
        Node &node = this->nodes[event.node];
        if (node.isRunning && this->time >= node.pausedUntil)
            this->carryOut(event.node,
                           node.gossip->onPortRefused(this->time, this->endpoint(event.other)));
    }

    void handleTick(const Event &event)
    {
        Node &node = this->nodes[event.node];
        if (!node.isRunning || node.processNumber != event.processNumber)
            return;
        if (this->time < node.pausedUntil) {
            this->scheduleTick(event.node, node.pausedUntil);
            return;
        }
        for (const Event &delivery : std::exchange(node.bufferedDeliveries, {}))
            this->handleDelivery(delivery);
        this->carryOut(event.node, node.gossip->onTick(this->time));
        this->scheduleTick(event.node, this->time + tickPeriod);
    }

    FleetShape shape;
    NetworkSettings network;
    Random random;
    std::vector<Node> nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::function<std::size_t(std::size_t)> partitionGroup;
    TimePoint time{std::chrono::seconds(1000)};
    std::uint64_t nextNumber = 0;
};

} // namespace bamboochute::bench
