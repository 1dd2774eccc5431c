/// @file
/// @brief Placements and outstanding orders of a pool, with the promises asserted at each change.
#pragma once

#include "decision/pool_view.hpp"
#include "decision/values.hpp"

#include <map>
#include <memory>
#include <vector>

namespace bamboochute::decision {

using PoolViewPointer = std::shared_ptr<const PoolView>;

/// @brief What an inventory contradicted or added.
struct InventoryFindings
{
    /// Targets that the configuration doesn't name.
    std::uint32_t unknownTargets = 0;
    /// Targets that no record showed.
    std::uint32_t unrecordedTargets = 0;
    /// Recorded placements that are not there.
    std::uint32_t missingTargets = 0;
    /// The inventory claims more than fits; nothing more may be loaded there.
    bool exceedsCapacity = false;
    auto operator<=>(const InventoryFindings &) const = default;
};

/// @brief One book for both bounds: replicas of each target and memory of each upstream.
///
/// A placement counts from the decision to load until the confirmation of its unload, and as long
/// as an order for it is outstanding.
class Ledger
{
public:
    /// @brief Takes a new configuration; placements stay as they are.
    void configure(PoolViewPointer view);

    const PoolViewPointer &view() const noexcept { return this->poolView; }

    /// @brief Forgets everything, as a process does that owns nothing.
    void clear();

    /// @brief Takes over a record that was read from the key-value service.
    void restoreRecord(UpstreamRecord record);

    const std::map<UpstreamId, UpstreamRecord> &records() const noexcept
    {
        return this->recordsByUpstream;
    }

    /// @brief The record of one upstream; an empty one when there is none yet.
    const UpstreamRecord &record(const UpstreamId &upstream) const;

    /// @brief The placement of a target, or null.
    const Placement *find(const UpstreamId &upstream, const Target &target) const;

    /// @brief Memory held by placements.
    Bytes usedMemory(const UpstreamId &upstream) const;

    /// @brief Memory that a load may be decided for; zero at an unaccounted or distrusted upstream.
    Bytes availableMemory(const UpstreamId &upstream) const;

    /// @brief Replicas of a target that are, or may be, loaded or loading.
    std::uint32_t replicas(const Target &target) const;

    /// @brief The outstanding order with this name, or null.
    const OutstandingOrder *findOrder(const UpstreamId &upstream, const OrderId &order) const;

    /// @brief Whether an order for the target at the upstream is outstanding.
    bool isOutstanding(const UpstreamId &upstream, const Target &target) const;

    /// @brief Whether a load may be decided: bounds, memory and base.
    bool canLoad(const UpstreamId &upstream, const Target &target) const;

    /// @brief Decides a load; from now on it counts.
    void decideLoad(const UpstreamId &upstream, const Target &target, const OrderId &order);

    /// @brief Orders a placement's load again; it counts already.
    void repeatLoad(const UpstreamId &upstream, const Target &target, const OrderId &order);

    /// @brief Decides an unload, or orders it again; the placement goes on counting.
    void decideUnload(const UpstreamId &upstream, const Target &target, const OrderId &order);

    /// @brief The order's load is confirmed.
    void confirmLoad(const UpstreamId &upstream, const OrderId &order);

    /// @brief The order's unload is confirmed; frees the placement unless loads are outstanding.
    void confirmUnload(const UpstreamId &upstream, const OrderId &order);

    /// @brief The order was surely not carried out; a load that nobody else ordered is forgotten.
    void withdrawOrder(const UpstreamId &upstream, const OrderId &order);

    /// @brief Records a raised fencing number.
    void raiseFence(const UpstreamId &upstream, Fence fence);

    /// @brief Marks that targets may be loaded there which no record shows.
    void markMayHoldUnrecordedTargets(const UpstreamId &upstream);

    /// @brief Takes the exact inventory of an upstream.
    ///
    /// Behind a fence that the upstream keeps, orders below it are void and what the inventory
    /// doesn't show is free. Elsewhere outstanding orders go on counting.
    /// @param fence fencing number that the upstream confirmed
    InventoryFindings applyInventory(const UpstreamId &upstream, Fence fence,
                                     const std::vector<InventoryEntry> &inventory);

    /// @brief Voids a sender's outstanding orders, except those named.
    /// @param upTo orders with a higher fencing number stay
    /// @return upstreams whose records changed
    std::vector<UpstreamId> voidOrders(const InstanceProcess &sender, Fence maxFence,
                                       const std::vector<std::uint64_t> &unresolvedOrders);

    /// @brief Voids the outstanding orders of a process that is known to be gone, and of earlier
    /// processes under its name.
    std::vector<UpstreamId> voidOrdersOfTerminated(const InstanceProcess &sender);

    /// @brief The process of the upstream is gone with what it had loaded.
    ///
    /// Loads that may still reach a process under the same name go on counting: those of other
    /// senders, and those named.
    /// @param self this process
    /// @param inFlight this process's orders whose end has not come
    void discardContents(const UpstreamId &upstream, const InstanceProcess &self,
                         const std::vector<OrderId> &inFlight);

    /// @brief Sets or lifts a ban on new loads.
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
