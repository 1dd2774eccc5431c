/// @file
/// @brief Placements and outstanding orders of a pool; asserts replica and memory bounds.
#pragma once

#include "decision/pool_view.hpp"
#include "decision/values.hpp"

#include <map>
#include <memory>
#include <vector>

namespace bamboochute::decision {

using PoolViewPointer = std::shared_ptr<const PoolView>;

/// @brief Differences between an inventory and the ledger.
struct InventoryFindings
{
    /// Targets that the configuration doesn't name.
    std::uint32_t unknownTargets = 0;
    /// Targets that no record showed.
    std::uint32_t unrecordedTargets = 0;
    /// Recorded placements that are not there.
    std::uint32_t missingTargets = 0;
    /// Whether the inventory reports more memory than the upstream has; then nothing more may be
    /// loaded there.
    bool exceedsCapacity = false;
    auto operator<=>(const InventoryFindings &) const = default;
};

/// @brief Keeps the replicas of each target and the memory of each upstream within their bounds.
///
/// A placement counts towards both bounds from the decision to load until the confirmation of its
/// unload, and as long as an order for it is outstanding. Breaking a bound is an invariant failure.
/// Not thread-safe.
class Ledger
{
public:
    /// @brief Applies a new configuration; placements stay as they are.
    void configure(PoolViewPointer view);

    const PoolViewPointer &view() const noexcept { return this->poolView; }

    /// @brief Removes all records, as when the process doesn't own the pool.
    void clear();

    /// @brief Replaces an upstream's record by one read from the key-value service.
    void restoreRecord(UpstreamRecord record);

    const std::map<UpstreamId, UpstreamRecord> &records() const noexcept
    {
        return this->recordsByUpstream;
    }

    /// @brief Returns the record of one upstream; an empty one when there is none.
    const UpstreamRecord &record(const UpstreamId &upstream) const;

    /// @brief Returns the placement of a target at an upstream, or null.
    const Placement *find(const UpstreamId &upstream, const Target &target) const;

    /// @brief Returns the memory held by an upstream's placements.
    Bytes usedMemory(const UpstreamId &upstream) const;

    /// @brief Returns the memory available for loads; zero at a distrusted upstream and at one that
    /// may hold unrecorded targets.
    Bytes availableMemory(const UpstreamId &upstream) const;

    /// @brief Returns the number of replicas of a target that are, or may be, loaded or loading.
    std::uint32_t replicas(const Target &target) const;

    /// @brief Returns the outstanding order with this identifier, or null.
    const OutstandingOrder *findOrder(const UpstreamId &upstream, const OrderId &order) const;

    /// @brief Whether any order for the target at the upstream is outstanding.
    bool isOutstanding(const UpstreamId &upstream, const Target &target) const;

    /// @brief Whether a load may be decided: the target is not there yet, replica and memory bounds
    /// allow it, and an adapter's base model is loaded.
    bool canLoad(const UpstreamId &upstream, const Target &target) const;

    /// @brief Adds a placement and its load order; it counts towards the bounds from now on.
    void decideLoad(const UpstreamId &upstream, const Target &target, const OrderId &order);

    /// @brief Adds a further load order for an existing placement.
    void repeatLoad(const UpstreamId &upstream, const Target &target, const OrderId &order);

    /// @brief Adds an unload order for a placement, which still counts towards the bounds.
    void decideUnload(const UpstreamId &upstream, const Target &target, const OrderId &order);

    /// @brief Marks the placement of a load order as loaded and removes the order.
    void confirmLoad(const UpstreamId &upstream, const OrderId &order);

    /// @brief Removes the unload orders of the order's target, and its placement unless loads of it
    /// are outstanding.
    void confirmUnload(const UpstreamId &upstream, const OrderId &order);

    /// @brief Removes an order that certainly had no effect, and the placement that it added unless
    /// other orders for it are outstanding.
    void withdrawOrder(const UpstreamId &upstream, const OrderId &order);

    /// @brief Records a raised fencing number of an upstream.
    void raiseFence(const UpstreamId &upstream, Fence fence);

    /// @brief Marks an upstream as possibly holding targets that no record shows.
    void markMayHoldUnrecordedTargets(const UpstreamId &upstream);

    /// @brief Updates an upstream's placements from its exact inventory.
    ///
    /// If the upstream enforces fencing numbers, orders with lower ones are void, and placements
    /// that the inventory doesn't show are removed. Otherwise placements with outstanding orders
    /// are kept.
    /// @param fence fencing number that the upstream confirmed; an inventory with a lower one than
    /// recorded is ignored
    /// @return differences from the placements before
    InventoryFindings applyInventory(const UpstreamId &upstream, Fence fence,
                                     const std::vector<InventoryEntry> &inventory);

    /// @brief Removes a sender's outstanding orders that can't be executed any more.
    /// @param maxFence orders with a higher fencing number are kept
    /// @param unresolvedOrders numbers of orders that are kept
    /// @return upstreams whose records changed
    std::vector<UpstreamId> voidOrders(const InstanceProcess &sender, Fence maxFence,
                                       const std::vector<std::uint64_t> &unresolvedOrders);

    /// @brief Removes the outstanding orders of a terminated process and of earlier processes of
    /// its instance.
    /// @return upstreams whose records changed
    std::vector<UpstreamId> voidOrdersOfTerminated(const InstanceProcess &process);

    /// @brief Removes the placements of an upstream whose process has ended.
    ///
    /// Loads that may still reach a new process of the same name keep counting: those of other
    /// senders, and those in `inFlight`.
    /// @param self this process
    /// @param inFlight this process's orders without a result yet
    void discardPlacements(const UpstreamId &upstream, const InstanceProcess &self,
                           const std::vector<OrderId> &inFlight);

    /// @brief Sets whether new loads at the upstream are forbidden because its inventory is not
    /// credible.
    void setDistrusted(const UpstreamId &upstream, bool isDistrusted);
    bool isDistrusted(const UpstreamId &upstream) const;

private:
    UpstreamRecord &recordFor(const UpstreamId &upstream);
    Bytes capacity(const UpstreamId &upstream) const;
    bool enforcesFencing(const UpstreamId &upstream) const;
    bool mayHoldUnrecordedReplica(const UpstreamRecord &record, const Target &target) const;
    bool isBaseLoaded(const UpstreamId &upstream, const Target &target) const;
    void checkBounds(const UpstreamId &upstream, const Target &target) const;
    void addOrder(UpstreamRecord &record, OutstandingOrder order);
    void removePlacement(UpstreamRecord &record, const Target &target);
    Placement placementFor(const InventoryEntry &entry, const UpstreamRecord &record,
                           Bytes remaining, InventoryFindings &findings) const;

    PoolViewPointer poolView = std::make_shared<PoolView>();
    std::map<UpstreamId, UpstreamRecord> recordsByUpstream;
    std::map<UpstreamId, bool> distrusted;
};

} // namespace bamboochute::decision
