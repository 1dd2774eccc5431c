/// @file
/// @brief Publishes what the control thread knows to the traffic threads.
#pragma once

#include "caller/server.hpp"
#include "node/configuration_driver.hpp"
#include "node/control_context.hpp"
#include "node/gossip_driver.hpp"
#include "node/upstream_watch.hpp"

#include <memory>

namespace bamboochute::node {

/// @brief Builds a snapshot soon after something has changed; many changes make one snapshot.
class SnapshotPublisher
{
public:
    SnapshotPublisher(ControlContext &context, ConfigurationDriver &configuration,
                      GossipDriver &gossip, UpstreamWatch &upstreams, caller::Server &server);
    ~SnapshotPublisher();
    SnapshotPublisher(const SnapshotPublisher &) = delete;
    SnapshotPublisher &operator=(const SnapshotPublisher &) = delete;

    /// @brief Notes that something has changed.
    void changed();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
