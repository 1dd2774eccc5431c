/// @file
/// @brief Reads upstreams' reports at the owner, and the platform's list of instances.
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

/// @brief Knows which upstreams leave, which are gone, and how loaded they say they are.
class UpstreamWatch
{
public:
    /// @param onNews called when the routing table may have to change
    UpstreamWatch(ControlContext &context, Timers &timers, GossipDriver &gossip, Pools &pools,
                  UpstreamOrders &orders, std::function<void()> onNews);
    ~UpstreamWatch();
    UpstreamWatch(const UpstreamWatch &) = delete;
    UpstreamWatch &operator=(const UpstreamWatch &) = delete;

    void start();
    void setConfiguration(ConfigurationPointer configuration);

    /// @brief Takes a change of the spread state; topics of no concern are passed over.
    void onStateChanged(const peer::StateDelta &delta);

    /// @brief Marks an upstream as leaving because an operator says so.
    /// @return false when the configuration has no such upstream
    bool drain(const UpstreamId &upstream);

    const UpstreamNews &news() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
