/// @file
/// @brief Drivers of all pools at this instance, their candidacy for ownership and what they
/// publish.
#pragma once

#include "node/control_context.hpp"
#include "node/demand_reporter.hpp"
#include "node/gossip_driver.hpp"
#include "node/pool_driver.hpp"
#include "node/upstream_orders.hpp"

#include <map>
#include <memory>
#include <vector>

namespace bamboochute::node {

/// @brief Notifications from Pools to the rest of the control thread.
struct PoolsCallbacks
{
    /// A pool that is owned here refuses waiting requests.
    std::function<void(const decision::RefuseDemand &)> onRefuseDemand;
    /// A pool that is owned here has published placements.
    std::function<void()> onPlacementsPublished;
};

/// @brief Keeps a driver for each engine pool of the configuration and passes events to the
/// drivers.
///
/// Every instance has a driver for every pool; at most one instance owns a pool and decides on it.
/// Control thread only; the constructor's references must outlive the object.
class Pools
{
public:
    Pools(ControlContext &context, platform::KeyValueClient &keyValue, GossipDriver &gossip,
          peer::CallClient &calls, UpstreamOrders &orders, PoolsCallbacks callbacks);

    /// @brief Creates and removes drivers, and passes the configuration to each of them.
    void setConfiguration(const ConfigurationPointer &configuration);

    /// @brief Updates for each pool whether this instance is the candidate for its ownership.
    void onMembersChanged();
    /// @brief Tells the drivers that an instance is alive, suspected or gone, and updates
    /// candidacy.
    void onMemberChanged(const peer::MemberChanged &changed);

    /// @brief Handles the message of a former owner that it gave up a pool.
    void onGaveUp(const peer::OwnershipGivenUpReport &gaveUp);

    /// @brief Passes an event to the driver of one pool; ignored when the pool has no driver.
    void handle(const PoolId &pool, const decision::Event &event);

    /// @brief Passes an event to all drivers.
    void handleAll(const decision::Event &event);

    /// @brief Passes a periodic tick to the drivers.
    /// @param isOwner true for the pools that this instance owns, false for the others
    void tick(bool isOwner);

    /// @brief Hands all owned pools over and withdraws as a candidate, because the instance stops.
    void handOverPools();

    /// @brief Whether this instance owns any pool.
    bool ownsAnyPool() const;

    /// @return the driver of a pool, or null when the configuration has no such pool
    PoolDriver *find(const PoolId &pool);
    const std::map<PoolId, std::shared_ptr<PoolDriver>> &all() const { return this->drivers; }

    /// @brief The owner of a pool as announced by gossip.
    /// @return nothing when no owner is announced, or when it is not a reachable member
    std::optional<OwnerAddress> ownerOf(const PoolId &pool) const;

private:
    PoolDriverCallbacks makeDriverCallbacks();
    void publishPlacements(const decision::PublishPlacements &placements);
    void announceOwner(const decision::AnnounceOwner &owner);
    void announceOwnershipGivenUp(const decision::AnnounceOwnershipGivenUp &gaveUp);
    void updateCandidate(const PoolId &pool, PoolDriver &driver);

    ControlContext &context;
    platform::KeyValueClient &keyValue;
    GossipDriver &gossip;
    peer::CallClient &calls;
    UpstreamOrders &orders;
    PoolsCallbacks callbacks;
    ConfigurationPointer configuration;
    std::map<PoolId, std::shared_ptr<PoolDriver>> drivers;
    std::map<PoolId, bool> candidateByPool;
    std::map<PoolId, Fence> takenOverStreams;
    bool isStopping = false;
};

} // namespace bamboochute::node
