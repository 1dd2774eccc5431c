/// @file
/// @brief What a pool controller remembers; private to the sources of the controller.
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

/// @brief What is known of one replica beside its placement.
struct ReplicaState
{
    TimePoint loadedAt;
    TimePoint lastUsed;
    /// Set while instances stop routing to it before its unload.
    std::optional<TimePoint> drainingSince;
    /// Whether the drain frees memory for another target and can't be called off.
    bool isEvicted = false;
    std::map<InstanceId, std::uint32_t> running;
    TimePoint retryNotBefore;
};

/// @brief Where the question for an upstream's exact inventory stands.
enum class InventoryRequest { None, Scheduled, Sent };

/// @brief What is known of one upstream beside its record.
struct UpstreamRuntime
{
    bool isLeaving = false;
    bool isGone = false;
    Fence orderFence;
    InventoryRequest inventoryRequest = InventoryRequest::None;
    TimePoint inventoryRequestNotBefore;
    /// When the last inventory was taken.
    TimePoint inventoryAt;
    TimePoint changedAt;
    UpstreamCondition condition;
    std::map<Target, ReplicaState> replicas;
    /// No load of the target is tried there before this time.
    std::map<Target, TimePoint> loadNotBefore;
    std::vector<Target> published;
    bool isPublished = false;
    bool isPublishDue = false;
};

/// @brief An order whose record is not yet written.
struct QueuedOrder
{
    Order order;
    std::uint64_t version = 0;
    CheckpointLocation location = CheckpointLocation::Remote;
};

/// @brief An order whose end has not come.
struct SentOrder
{
    Order order;
    TimePoint at;
    CheckpointLocation location = CheckpointLocation::Remote;
};

/// @brief Memory that victims are making free for a target.
struct Reservation
{
    UpstreamId upstream;
    Bytes memory;
    TimePoint until;
};

/// @brief Latest word of a former owner that gave up.
struct GivenUpOwnership
{
    Fence fence;
    std::vector<std::uint64_t> unresolvedOrders;
};

struct PoolController::State
{
    explicit State(PoolControllerSettings given);

    // pool_controller.cpp: events, publishing, submitting.
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
    void count(const char *name, std::uint64_t amount = 1) { this->counters[name] += amount; }
    bool isDeciding() const { return this->ownership.isOwner() && !this->isStopping; }

    // pool_takeover.cpp: from winning the pool to giving it up.
    void startOwnership();
    void restoreRecords();
    void endOwnership();
    void startHandOver();
    void continueHandOver();
    void announceGivenUp();
    void handleProcessTerminated(const InstanceProcess &sender);
    void handleOwnershipGivenUp(const OwnershipGivenUp &event);
    void handleUpstreamLeaving(const UpstreamId &upstream);
    void handleUpstreamGone(const UpstreamId &upstream);
    void handleUpstreamReturned(const UpstreamId &upstream);

    // pool_orders.cpp: orders from the decision to their end.
    OrderId nextOrderId(const UpstreamId &upstream);
    void orderLoad(const UpstreamId &upstream, const Target &target, CheckpointLocation location);
    void orderLoadAgain(const UpstreamId &upstream, const Target &target);
    void orderUnload(const UpstreamId &upstream, const Target &target);
    void queueOrder(Order order, CheckpointLocation location);
    void withdrawQueuedOrders(const UpstreamId &upstream);
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
    bool hasActiveOrder(const UpstreamId &upstream, const Target &target) const;
    bool hasOrderInFlight(const UpstreamId &upstream) const;
    bool enforcesFencing(const UpstreamId &upstream) const;
    void reconcilePlacements();
    void reconcilePlacement(const UpstreamId &upstream, const Placement &placement);

    // pool_loading.cpp: from demand to load.
    void decideLoads();
    void serveDemand(const WaitingDemand &demand);
    bool serveFromReplicas(const WaitingDemand &demand);
    void serveBaseDemand(const WaitingDemand &demand);
    void placeTarget(const WaitingDemand &demand, bool mayEvict);
    bool placeReservedTarget(const WaitingDemand &demand);
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

    // pool_unloading.cpp: from idle to unload.
    void decideUnloads();
    void considerKeepAlive(const UpstreamId &upstream, const Placement &placement);
    bool mayUnload(const UpstreamId &upstream, const Placement &placement) const;
    bool isRetired(const Target &target) const;
    bool isSurplus(const UpstreamId &upstream, const Target &target) const;
    bool awaitsSuccessor(const Placement &placement);
    void startDrain(const UpstreamId &upstream, const Target &target, bool isEvicted);
    void finishDrains(const UpstreamId &upstream);
    std::vector<Victim> findVictims() const;
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
    std::map<Target, TimePoint> preloadKeptUntil;
    std::map<Target, TimePoint> retiredAt;
    std::map<Target, TimePoint> lastRefusalAt;
    /// Load time by target and place, as seen.
    std::map<Target, std::map<CheckpointLocation, Duration>> measuredLoadTimes;
    std::map<CheckpointLocation, Duration> averageLoadTimes;
    std::vector<QueuedOrder> queuedOrders;
    std::map<OrderId, SentOrder> inFlight;
    /// This process's orders that ended unconfirmed, with their upstream.
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
    std::uint64_t ownershipTag = 0;
    std::uint64_t writerTag = 0;
    std::uint32_t waitingModelLoads = 0;
};

} // namespace bamboochute::decision
