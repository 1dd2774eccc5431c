/// @file
/// @brief Publishes snapshots of the control thread's state to the traffic threads.
#pragma once

#include "caller/server.hpp"
#include "node/configuration_driver.hpp"
#include "node/control_context.hpp"
#include "node/gossip_driver.hpp"
#include "node/upstream_monitor.hpp"

#include <memory>

namespace bamboochute::node {

/// @brief Builds and publishes a snapshot shortly after a change; changes within the delay share
/// one.
///
/// Control thread only; the constructor's references must outlive the object.
class SnapshotPublisher
{
public:
    SnapshotPublisher(ControlContext &context, ConfigurationDriver &configuration,
                      GossipDriver &gossip, UpstreamMonitor &upstreams, caller::Server &server);
    ~SnapshotPublisher();
    SnapshotPublisher(const SnapshotPublisher &) = delete;
    SnapshotPublisher &operator=(const SnapshotPublisher &) = delete;

    /// @brief Schedules a snapshot after a change of the state; does nothing when one is scheduled.
    void schedulePublish();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
