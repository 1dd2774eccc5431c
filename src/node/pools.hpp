/// @file
/// @brief All pools at this instance: their drivers, their candidates and what they spread.
#pragma once

#include "node/control_context.hpp"
#include "node/demand_desk.hpp"
#include "node/gossip_driver.hpp"
#include "node/pool_driver.hpp"
#include "node/upstream_orders.hpp"

#include <map>
#include <memory>
#include <vector>

namespace bamboochute::node {

/// @brief What the pools tell the rest of the control thread.
struct PoolsCallbacks
{
    /// An owner here refuses demand.
    std::function<void(const decision::RefuseDemand &)> onRefuse;
    /// An owner here has published placements.
    std::function<void()> onPublished;
};

/// @brief Keeps a driver for each pool of the configuration and brings news to all of them.
class Pools
{
public:
    Pools(ControlContext &context, platform::KeyValueClient &keyValue, GossipDriver &gossip,
          peer::CallClient &calls, UpstreamOrders &orders, PoolsCallbacks callbacks);

    /// @brief Creates and removes drivers, and tells each one of the configuration.
    void setConfiguration(const ConfigurationPointer &configuration);

    /// @brief Tells the drivers which instance is the candidate, and who is unreachable or gone.
    void onMembersChanged();
    void onMemberChanged(const peer::MemberChanged &changed);

    /// @brief A former owner of a pool says that it gave up.
    void onGaveUp(const peer::OwnershipGivenUpReport &gaveUp);

    /// @brief Feeds an event to the driver of one pool, if there is one.
    void handle(const PoolId &pool, const decision::Event &event);

    /// @brief Feeds an event to all drivers.
    void handleAll(const decision::Event &event);

    /// @brief Tells the drivers that time has passed.
    /// @param isOwner which drivers: those that own their pool, or the others
    void tick(bool isOwner);

    /// @brief Gives all pools back; the instance stops.
    void handOver();

    /// @brief Whether this instance owns any pool.
    bool ownsAny() const;

    PoolDriver *find(const PoolId &pool);
    const std::map<PoolId, std::shared_ptr<PoolDriver>> &all() const { return this->drivers; }

    /// @brief The owner of a pool as the spread state names it.
    std::optional<OwnerPlace> ownerOf(const PoolId &pool) const;

private:
    PoolCallbacks callbacksFor();
    void publish(const decision::PublishPlacements &placements);
    void announce(const decision::AnnounceOwner &owner);
    void tell(const decision::AnnounceOwnershipGivenUp &gaveUp);
    void updateCandidate(const PoolId &pool, PoolDriver &driver);

    ControlContext &context;
    platform::KeyValueClient &keyValue;
    GossipDriver &gossip;
    peer::CallClient &calls;
    UpstreamOrders &orders;
    PoolsCallbacks callbacks;
    ConfigurationPointer configuration;
    std::map<PoolId, std::shared_ptr<PoolDriver>> drivers;
    std::map<PoolId, bool> candidacy;
    std::map<PoolId, Fence> takenStreams;
    bool isStopping = false;
};

} // namespace bamboochute::node
