/// @file
/// @brief Polls upstreams' reports and the platform's list of instances.
#pragma once

#include "node/control_context.hpp"
#include "node/gossip_driver.hpp"
#include "node/pools.hpp"
#include "node/routing_builder.hpp"
#include "node/timers.hpp"
#include "node/upstream_orders.hpp"
#include "platform/instance_list.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace bamboochute::node {

/// @brief Tracks which upstreams are leaving, which have ended, and the load that they report.
///
/// Reports are read from upstreams of pools that this instance owns; other instances learn the load
/// by gossip. Control thread only.
class UpstreamMonitor
{
public:
    /// @param onObservationsChanged called when the routing table may have to change
    UpstreamMonitor(ControlContext &context, Timers &timers, GossipDriver &gossip, Pools &pools,
                    UpstreamOrders &orders, std::function<void()> onObservationsChanged);
    ~UpstreamMonitor();
    UpstreamMonitor(const UpstreamMonitor &) = delete;
    UpstreamMonitor &operator=(const UpstreamMonitor &) = delete;

    /// @brief Starts polling.
    void start();
    void setConfiguration(ConfigurationPointer configuration);

    /// @brief Handles a change of the gossiped state; ignores topics of no concern.
    void onStateChanged(const peer::StateDelta &delta);

    /// @brief Marks an upstream as leaving by an operator's order.
    /// @return false when the configuration has no such upstream
    bool drain(const UpstreamId &upstream);

    const UpstreamObservations &observations() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
