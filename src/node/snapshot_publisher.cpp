#include "node/snapshot_publisher.hpp"

#include "node/members.hpp"
#include "node/routing_builder.hpp"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::node {

namespace {

constexpr std::chrono::milliseconds publishDelay{1};

} // namespace

struct SnapshotPublisher::State : std::enable_shared_from_this<SnapshotPublisher::State>
{
    State(ControlContext &context, ConfigurationDriver &configuration, GossipDriver &gossip,
          UpstreamMonitor &upstreams, caller::Server &server)
        : configuration(configuration)
        , gossip(gossip)
        , upstreams(upstreams)
        , server(server)
        , timer(context.loop)
    {}

    ConfigurationDriver &configuration;
    GossipDriver &gossip;
    UpstreamMonitor &upstreams;
    caller::Server &server;
    boost::asio::steady_timer timer;
    caller::TrafficSnapshotPointer previous;
    bool isScheduled = false;

    void publish()
    {
        this->isScheduled = false;
        ConfigurationPointer inForce = this->configuration.inForce().configuration();
        if (!inForce)
            inForce = std::make_shared<const Configuration>();
        auto routing = std::make_shared<const RoutingTable>(buildRoutingTable(
                *inForce, this->gossip.gossip().dissemination(), this->upstreams.observations()));
        const bool isReady = this->configuration.inForce().readiness().isReady;
        caller::TrafficSnapshot snapshot
                = caller::makeTrafficSnapshot(inForce, std::move(routing), isReady, this->previous);
        this->setInstanceIndex(snapshot);
        this->previous = std::make_shared<const caller::TrafficSnapshot>(std::move(snapshot));
        this->server.publish(this->previous);
    }

    void setInstanceIndex(caller::TrafficSnapshot &snapshot) const
    {
        const peer::Membership &membership = this->gossip.gossip().membership();
        const auto instances = usableInstances(membership, false);
        const auto self = std::find(instances.begin(), instances.end(), membership.self().instance);
        snapshot.instanceCount = static_cast<std::uint32_t>(instances.size());
        snapshot.instanceIndex = static_cast<std::uint32_t>(self - instances.begin());
    }
};

SnapshotPublisher::SnapshotPublisher(ControlContext &context, ConfigurationDriver &configuration,
                                     GossipDriver &gossip, UpstreamMonitor &upstreams,
                                     caller::Server &server)
    : state(std::make_shared<State>(context, configuration, gossip, upstreams, server))
{}

SnapshotPublisher::~SnapshotPublisher()
{
    this->state->timer.cancel();
}

void SnapshotPublisher::schedulePublish()
{
    if (this->state->isScheduled)
        return;
    this->state->isScheduled = true;
    this->state->timer.expires_after(publishDelay);
    this->state->timer.async_wait([weak = std::weak_ptr(this->state)](const auto &error) {
        const auto self = weak.lock();
        if (!error && self)
            self->publish();
    });
}

} // namespace bamboochute::node
