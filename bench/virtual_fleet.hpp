/// @file
/// @brief Many gossiping instances in virtual time, over a network that loses, delays and cuts.
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

/// @brief How the network treats datagrams.
struct NetworkSettings
{
    double loss = 0;
    double duplication = 0;
    /// One-way delay within a data centre.
    Duration nearDelay = std::chrono::microseconds(300);
    /// One-way delay between regions.
    Duration farDelay = std::chrono::milliseconds(40);
    /// Most that is added at random.
    Duration jitter = std::chrono::milliseconds(2);
};

/// @brief Where the instances are.
struct FleetShape
{
    std::size_t nodes = 12;
    std::size_t dataCentres = 4;
    std::size_t regions = 1;
    peer::GossipSettings gossip;
};

/// @brief What an instance has found, for the experiment to judge.
struct Observation
{
    TimePoint at{};
    std::size_t node = 0;
    std::variant<peer::MemberChanged, peer::StateChanged, peer::DeclaredGoneByPeers> what;
};

/// @brief The fleet; every step is decided by the seed.
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

    /// @brief Starts a process on a node; a later one under the name has a later incarnation.
    void start(std::size_t node)
    {
        Node &started = this->nodes[node];
        ++started.incarnation;
        started.isRunning = true;
        started.isHostUp = true;
        started.pausedUntil = TimePoint{};
        started.held.clear();
        started.gossip = std::make_unique<peer::Gossip>(this->shape.gossip, this->keys(),
                                                        this->identity(node), this->seeds(node),
                                                        this->random());
        ++started.life;
        const auto phase = Duration(static_cast<std::int64_t>(
                this->random.below(static_cast<std::uint64_t>(tickPeriod.count()))));
        this->scheduleTick(node, this->time + phase);
    }

    /// @brief Starts a process under the incarnation of the present one; a fault of the platform.
    void restartWithPreviousIncarnation(std::size_t node)
    {
        this->nodes[node].incarnation -= 2;
        this->start(node);
    }

    bool isPaused(std::size_t node) const { return this->time < this->nodes[node].pausedUntil; }

    /// @brief Ends a process without a word.
    /// @param isHostUp whether the host still answers, and refuses what comes to the port
    void kill(std::size_t node, bool isHostUp)
    {
        this->nodes[node].isRunning = false;
        this->nodes[node].isHostUp = isHostUp;
        ++this->nodes[node].life;
    }

    /// @brief Stops a process for a time; what arrives waits in its socket's buffer.
    void pause(std::size_t node, Duration duration)
    {
        this->nodes[node].pausedUntil = this->time + duration;
    }

    /// @brief Ends a process in the orderly way.
    void leave(std::size_t node)
    {
        this->carryOut(node, this->nodes[node].gossip->leave(this->time));
        this->kill(node, true);
    }

    /// @brief Cuts the network between nodes of different groups; an empty function heals it.
    void partition(std::function<std::size_t(std::size_t node)> groupOf)
    {
        this->group = std::move(groupOf);
    }

    void setLoss(double loss) { this->network.loss = loss; }

    /// @brief Runs until a time.
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

    void run(Duration duration) { this->runUntil(this->time + duration); }

    /// @brief Carries out what the gossip of a node wants done.
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

    /// @brief Publishes state at a node.
    void publish(std::size_t node, const peer::StateKey &key, Fence fence, std::string payload)
    {
        auto actions = this->gossip(node).publish(this->time, key, fence, std::move(payload));
        if (actions)
            this->carryOut(node, std::move(actions).value());
    }

    /// @brief Gives a node a reading of the platform's list.
    void applyPlatformList(std::size_t node, const std::vector<peer::ListedInstance> &list)
    {
        this->carryOut(node, this->gossip(node).onPlatformList(this->time, list));
    }

    /// @brief The true list of the processes that run.
    std::vector<peer::ListedInstance> listRunningInstances() const
    {
        std::vector<peer::ListedInstance> all;
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            if (this->nodes[node].isRunning)
                all.push_back(this->platformListEntry(node));
        }
        return all;
    }

    /// @brief A line of the platform's list.
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

    /// @brief Bytes sent and received by all nodes since the last reset, dropped ones included.
    std::uint64_t bytes() const
    {
        std::uint64_t total = 0;
        for (const Node &node : this->nodes)
            total += node.gossip->traffic().sentBytes + node.gossip->traffic().receivedBytes;
        return total;
    }

    /// Gets each observation, if set.
    std::function<void(const Observation &)> onObservation;

private:
    static constexpr Duration tickPeriod = std::chrono::milliseconds(25);

    enum class EventKind : std::uint8_t { Delivery, Refusal, Tick };

    struct Event
    {
        TimePoint at{};
        std::uint64_t number = 0;
        EventKind kind = EventKind::Tick;
        /// Node at which it happens.
        std::size_t node = 0;
        /// Node that sent or refused the datagram.
        std::size_t other = 0;
        /// Process for which the tick was planned.
        std::uint64_t life = 0;
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
        std::uint64_t life = 0;
        bool isRunning = false;
        bool isHostUp = true;
        TimePoint pausedUntil{};
        std::vector<Event> held;
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

    std::vector<Endpoint> seeds(std::size_t node) const
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
        this->schedule(Event{at, 0, EventKind::Tick, node, node, this->nodes[node].life, nullptr});
    }

    template<typename What>
    void observe(std::size_t node, What what)
    {
        if (this->onObservation)
            this->onObservation(Observation{this->time, node, std::move(what)});
    }

    bool isCut(std::size_t from, std::size_t to) const
    {
        return this->group && this->group(from) != this->group(to);
    }

    Duration delay(std::size_t from, std::size_t to)
    {
        const bool isNear = this->regionOf(from) == this->regionOf(to);
        const Duration base = isNear ? this->network.nearDelay : this->network.farDelay;
        const auto most = static_cast<std::uint64_t>(this->network.jitter.count()) + 1;
        return base + Duration(static_cast<std::int64_t>(this->random.below(most)));
    }

    void send(std::size_t from, peer::SendBytes message)
    {
        const std::size_t to = this->nodeAt(message.to);
        const auto bytes = std::make_shared<const std::string>(std::move(message.bytes));
        const std::size_t copies = this->random.chance(this->network.duplication) ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            if (this->isCut(from, to) || this->random.chance(this->network.loss))
                continue;
            this->schedule(Event{this->time + this->delay(from, to), 0, EventKind::Delivery, to,
                                 from, 0, bytes});
        }
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Delivery:
            this->deliver(event);
            break;
        case EventKind::Refusal:
            this->refuse(event);
            break;
        case EventKind::Tick:
            this->tick(event);
            break;
        }
    }

    void deliver(const Event &event)
    {
        Node &node = this->nodes[event.node];
        if (!node.isRunning) {
            const bool isRefused = node.isHostUp && !this->isCut(event.node, event.other);
            if (isRefused && !this->random.chance(this->network.loss))
                this->schedule(Event{this->time + this->delay(event.node, event.other), 0,
                                     EventKind::Refusal, event.other, event.node, 0, nullptr});
            return;
        }
        if (this->time < node.pausedUntil) {
            node.held.push_back(event);
            return;
        }
        this->carryOut(event.node,
                       node.gossip->onBytes(this->time, *event.bytes, this->endpoint(event.other)));
    }

    void refuse(const Event &event)
    {
        Node &node = this->nodes[event.node];
        if (node.isRunning && this->time >= node.pausedUntil)
            this->carryOut(event.node,
                           node.gossip->onPortRefused(this->time, this->endpoint(event.other)));
    }

    void tick(const Event &event)
    {
        Node &node = this->nodes[event.node];
        if (!node.isRunning || node.life != event.life)
            return;
        if (this->time < node.pausedUntil) {
            this->scheduleTick(event.node, node.pausedUntil);
            return;
        }
        for (const Event &held : std::exchange(node.held, {}))
            this->deliver(held);
        this->carryOut(event.node, node.gossip->onTick(this->time));
        this->scheduleTick(event.node, this->time + tickPeriod);
    }

    FleetShape shape;
    NetworkSettings network;
    Random random;
    std::vector<Node> nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::function<std::size_t(std::size_t)> group;
    TimePoint time{std::chrono::seconds(1000)};
    std::uint64_t nextNumber = 0;
};

} // namespace bamboochute::bench
