/// @file
/// @brief Internal state of a pool controller; included only by its sources.
#pragma once

#include "decision/demand.hpp"
#include "decision/keep_alive.hpp"
#include "decision/ledger.hpp"
#include "decision/ledger_writer.hpp"
#include "decision/ownership.hpp"
#include "decision/placement.hpp"
#include "decision/pool_controller.hpp"
#include "store/pacing.hpp"

#include <set>

namespace bamboochute::decision {

/// @brief State of one replica beside its placement in the ledger.
struct ReplicaState
{
    TimePoint loadedAt;
    TimePoint lastUsed;
    /// Since when instances are to stop routing to it before its unload; empty while it is routed.
    std::optional<TimePoint> drainingSince;
    /// Whether the drain can't be cancelled, as when it frees memory for another target.
    bool isDrainFinal = false;
    /// Running requests by instance, as last reported.
    std::map<InstanceId, std::uint32_t> running;
    /// No order for the replica is repeated before this time.
    TimePoint retryNotBefore;
};

/// @brief State of the request for an upstream's exact inventory.
enum class InventoryRequest { None, Scheduled, Sent };

/// @brief State of one upstream beside its ledger record.
struct UpstreamRuntime
{
    /// The platform is about to reclaim the upstream.
    bool isLeaving = false;
    /// The upstream's process has ended.
    bool isGone = false;
    /// Fencing number of the next orders to the upstream.
    Fence orderFence;
    InventoryRequest inventoryRequest = InventoryRequest::None;
    TimePoint inventoryRequestNotBefore;
    /// When the last inventory was applied.
    TimePoint inventoryAt;
    /// When the upstream's record last changed.
    TimePoint changedAt;
    UpstreamCondition condition;
    std::map<Target, ReplicaState> replicas;
    /// No load of the target is ordered there before this time.
    std::map<Target, TimePoint> loadNotBefore;
    /// Targets published last.
    std::vector<Target> published;
    bool isPublished = false;
    bool isPublishDue = false;
};

/// @brief An order that waits for the write of its record.
struct QueuedOrder
{
    Order order;
    /// Version of the upstream's record that contains the order.
    std::uint64_t version = 0;
    CheckpointLocation location = CheckpointLocation::Remote;
};

/// @brief An order that was sent and has no result yet.
struct SentOrder
{
    Order order;
    /// When it was sent.
    TimePoint at;
    CheckpointLocation location = CheckpointLocation::Remote;
};

/// @brief Memory reserved for a target while its victims are evicted.
struct Reservation
{
    UpstreamId upstream;
    Bytes memory;
    TimePoint until;
};

/// @brief Latest announcement of a former owner that gave the pool up.
struct GivenUpOwnership
{
    Fence fence;
    std::vector<std::uint64_t> unresolvedOrders;
};

/// @brief State and event handlers of a pool controller.
struct PoolController::State
{
    explicit State(PoolControllerSettings given);

    // pool_controller.cpp: event dispatch, publishing, transactions.
    void dispatchEvent(const Event &event);
    void configure(const ConfigurationPointer &configuration);
    void handleTransactionFinished(const TransactionFinished &event);
    void handleReport(const ReportReceived &event);
    void handleUsage(const UsageReported &event);
    void checkReport(const ReportReceived &event, UpstreamRuntime &runtime);
    void emitActions();
    void publishPlacements();
    std::vector<Target> servableTargets(const UpstreamId &upstream) const;
    UpstreamRuntime &runtimeOf(const UpstreamId &upstream) { return this->runtime[upstream]; }
    std::uint64_t markChanged(const UpstreamId &upstream, bool isUrgent);
    void incrementCounter(const char *name, std::uint64_t amount = 1)
    {
        this->counters[name] += amount;
    }
    bool isDeciding() const { return this->ownership.isOwner() && !this->isStopping; }

    // pool_takeover.cpp: start and end of the ownership, terminated processes and upstreams.
    void startOwnership();
    void restoreRecords();
    void endOwnership();
    void startHandOver();
    void continueHandOver();
    void announceGivenUp();
    void handleProcessTerminated(const InstanceProcess &process);
    void handleOwnershipGivenUp(const OwnershipGivenUp &event);
    void handleUpstreamLeaving(const UpstreamId &upstream);
    void handleUpstreamGone(const UpstreamId &upstream);
    void handleUpstreamReturned(const UpstreamId &upstream);

    // pool_orders.cpp: orders from the decision to their result.
    OrderId nextOrderId(const UpstreamId &upstream);
    void orderLoad(const UpstreamId &upstream, const Target &target, CheckpointLocation location);
    void orderLoadAgain(const UpstreamId &upstream, const Target &target);
    void orderUnload(const UpstreamId &upstream, const Target &target);
    void queueOrder(Order order, CheckpointLocation location);
    void withdrawQueuedOrders(const UpstreamId &upstream);
    /// Withdraws queued loads at upstreams that ignore fencing numbers.
    void withdrawUnfencedLoads();
    void sendReadyOrders();
    void requestInventories();
    void scheduleInventoryRequest(const UpstreamId &upstream, Duration pause);
    void handleOrderFinished(const OrderFinished &event);
    void handleLoadFinished(const SentOrder &sent, OrderOutcome outcome);
    void handleUnloadFinished(const SentOrder &sent, OrderOutcome outcome);
    void handleInventoryFinished(const SentOrder &sent, const OrderFinished &event);
    void handleUnconfirmedOrder(const SentOrder &sent);
    void handleStaleOrder(const SentOrder &sent);
    /// Whether an order for the target is queued or in flight.
    bool hasActiveOrder(const UpstreamId &upstream, const Target &target) const;
    bool hasOrderInFlight(const UpstreamId &upstream) const;
    bool enforcesFencing(const UpstreamId &upstream) const;
    /// Orders loads and unloads again that are unconfirmed and have no active order.
    void reconcilePlacements();
    void reconcilePlacement(const UpstreamId &upstream, const Placement &placement);

    // pool_loading.cpp: loads for demand, or refusals of it.
    void decideLoads();
    void serveDemand(const WaitingDemand &demand);
    /// Returns whether the existing replicas suffice for the demand; cancels drains that may be
    /// cancelled.
    bool serveFromReplicas(const WaitingDemand &demand);
    void serveBaseDemand(const WaitingDemand &demand);
    void placeTarget(const WaitingDemand &demand, bool mayEvict);
    /// Returns whether memory is reserved for the target; then loads it there once that is
    /// possible.
    bool placeReservedTarget(const WaitingDemand &demand);
    /// Orders a load; returns false when the weight store's limits don't allow it yet.
    bool startLoad(const WaitingDemand &demand, const UpstreamId &upstream,
                   CheckpointLocation location);
    void refuseUnreachableDeadline(const WaitingDemand &demand, TimePoint readyAt);
    bool isBlockedByOutage(const Target &target) const;
    void refuseWhileUnloading(const WaitingDemand &demand, const UpstreamId &upstream);
    void refuseInOutage(const WaitingDemand &demand);
    void preloadFollower(const Target &usedTarget);
    void loadMinReplicas();
    std::uint32_t countLoadsInTransit(store::LoadKind kind) const;
    LoadTimes loadTimesOf(const Target &target) const;
    std::map<UpstreamId, UpstreamCondition> upstreamConditions() const;
    void recordLoadTime(const SentOrder &sent);

    // pool_unloading.cpp: unloads of idle, evicted and retired targets.
    void decideUnloads();
    void drainIfUnneeded(const UpstreamId &upstream, const Placement &placement);
    bool mayUnload(const UpstreamId &upstream, const Placement &placement) const;
    /// Whether the configuration doesn't name the target any more.
    bool isRetired(const Target &target) const;
    /// Whether the replica exceeds the target's replica bound.
    bool isSurplus(const UpstreamId &upstream, const Target &target) const;
    bool awaitsSuccessor(const Placement &placement);
    void startDrain(const UpstreamId &upstream, const Target &target, bool isDrainFinal);
    void finishDrains(const UpstreamId &upstream);
    std::vector<Victim> findVictims() const;
    /// Accelerators of the upstream in proportion to the memory's share of its memory.
    double acceleratorShare(const UpstreamId &upstream, Bytes memory) const;
    std::uint32_t countRunningRequests(const UpstreamId &upstream, const Target &target) const;

    PoolControllerSettings settings;
    Ledger ledger;
    Ownership ownership;
    LedgerWriter writer;
    DemandTable demand;
    KeepAlivePredictor predictor;
    store::Pacer pacer;
    std::map<UpstreamId, UpstreamRuntime> runtime;
    std::map<Target, Reservation> reservations;
    /// Preloaded targets stay loaded until this time.
    std::map<Target, TimePoint> preloadKeptUntil;
    /// When targets that the configuration doesn't name any more were first seen as such.
    std::map<Target, TimePoint> retiredAt;
    std::map<Target, TimePoint> lastRefusalAt;
    /// Smoothed load times by target and checkpoint location.
    std::map<Target, std::map<CheckpointLocation, Duration>> measuredLoadTimes;
    /// Smoothed load times over all models.
    std::map<CheckpointLocation, Duration> averageLoadTimes;
    std::vector<QueuedOrder> queuedOrders;
    std::map<OrderId, SentOrder> inFlight;
    /// This process's orders with the outcome Unconfirmed, with their upstream.
    std::map<OrderId, UpstreamId> unresolvedOrders;
    std::map<InstanceProcess, GivenUpOwnership> givenUpOwnerships;
    std::map<InstanceId, Incarnation> terminatedProcesses;
    std::map<std::string, std::uint64_t> counters;
    Actions actions;
    TimePoint now;
    TimePoint nextUnloadScan;
    TimePoint ownedSince;
    std::optional<TimePoint> stoppingSince;
    bool isStopping = false;
    std::uint64_t lastOrderNumber = 0;
    std::uint64_t lastTag = 0;
    std::uint64_t lastPublishSequence = 0;
    /// Tags of the transactions in flight; zero when there is none.
    std::uint64_t ownershipTag = 0;
    std::uint64_t writerTag = 0;
    /// Model loads that wait for the weight store, as counted during one pass over the demand.
    std::uint32_t waitingModelLoads = 0;
};

} // namespace bamboochute::decision
