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
enum class Inquiry { None, Wanted, Sent };

/// @brief What is known of one upstream beside its record.
struct UpstreamRuntime
{
    bool isLeaving = false;
    bool isGone = false;
    Fence wireFence;
    Inquiry inquiry = Inquiry::None;
    TimePoint inquiryNotBefore;
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
struct WaitingOrder
{
    Order order;
    std::uint64_t version = 0;
    CheckpointLocation place = CheckpointLocation::Remote;
};

/// @brief An order whose end has not come.
struct SentOrder
{
    Order order;
    TimePoint at;
    CheckpointLocation place = CheckpointLocation::Remote;
};

/// @brief Memory that victims are making free for a target.
struct Reservation
{
    UpstreamId upstream;
    Bytes memory;
    TimePoint until;
};

/// @brief Latest word of a former owner that gave up.
struct GivenUp
{
    Fence fence;
    std::vector<std::uint64_t> unresolvedOrders;
};

struct PoolController::State
{
    explicit State(PoolControllerSettings given);

    // pool_controller.cpp: events, publishing, submitting.
    void take(const Event &event);
    void configure(const ConfigurationPointer &configuration);
    void takeTransaction(const TransactionFinished &event);
    void takeReport(const ReportReceived &event);
    void takeUsage(const UsageReported &event);
    void checkReport(const ReportReceived &event, UpstreamRuntime &runtime);
    void pump();
    void publish();
    std::vector<Target> servedAt(const UpstreamId &upstream) const;
    UpstreamRuntime &runtimeOf(const UpstreamId &upstream) { return this->runtime[upstream]; }
    std::uint64_t touch(const UpstreamId &upstream, bool isUrgent);
    void count(const char *name, std::uint64_t amount = 1) { this->counters[name] += amount; }
    bool isDeciding() const { return this->ownership.isOwner() && !this->isStopping; }

    // pool_takeover.cpp: from winning the pool to giving it up.
    void won();
    void adoptRecords();
    void lost();
    void handOver();
    void continueHandOver();
    void tellGaveUp();
    void instanceGone(const InstanceProcess &sender);
    void instanceGaveUp(const OwnershipGivenUp &event);
    void upstreamLeaving(const UpstreamId &upstream);
    void upstreamGone(const UpstreamId &upstream);
    void upstreamReturned(const UpstreamId &upstream);

    // pool_orders.cpp: orders from the decision to their end.
    OrderId nextOrderId(const UpstreamId &upstream);
    void orderLoad(const UpstreamId &upstream, const Target &target, CheckpointLocation place);
    void orderLoadAgain(const UpstreamId &upstream, const Target &target);
    void orderUnload(const UpstreamId &upstream, const Target &target);
    void wait(Order order, CheckpointLocation place);
    void withdrawWaiting(const UpstreamId &upstream);
    void withdrawUnfenced();
    void sendReady();
    void askInventories();
    void wantInventory(const UpstreamId &upstream, Duration pause);
    void orderFinished(const OrderFinished &event);
    void loadFinished(const SentOrder &sent, OrderOutcome outcome);
    void unloadFinished(const SentOrder &sent, OrderOutcome outcome);
    void inventoryFinished(const SentOrder &sent, const OrderFinished &event);
    void orderUnconfirmed(const SentOrder &sent);
    void orderStale(const SentOrder &sent);
    bool isActive(const UpstreamId &upstream, const Target &target) const;
    bool hasInFlight(const UpstreamId &upstream) const;
    bool keepsFence(const UpstreamId &upstream) const;
    void repair();
    void repairPlacement(const UpstreamId &upstream, const Placement &placement);

    // pool_loading.cpp: from demand to load.
    void decideLoads();
    void meet(const WaitingDemand &demand);
    bool isMet(const WaitingDemand &demand);
    void meetBase(const WaitingDemand &demand);
    void place(const WaitingDemand &demand, bool mayEvict);
    bool placeReserved(const WaitingDemand &demand);
    bool startLoad(const WaitingDemand &demand, const UpstreamId &upstream,
                   CheckpointLocation place);
    void refuseHopeless(const WaitingDemand &demand, TimePoint readyAt);
    bool isBlockedByOutage(const Target &target) const;
    void refuseWhileUnloading(const WaitingDemand &demand, const UpstreamId &upstream);
    void refuseInOutage(const WaitingDemand &demand);
    void loadAhead(const Target &used);
    void loadMinimum();
    std::uint32_t inTransit(store::LoadKind kind) const;
    LoadTimes loadTimesOf(const Target &target) const;
    std::map<UpstreamId, UpstreamCondition> conditions() const;
    void learn(const SentOrder &sent);

    // pool_unloading.cpp: from idle to unload.
    void decideUnloads();
    void considerKeepAlive(const UpstreamId &upstream, const Placement &placement);
    bool mayGo(const UpstreamId &upstream, const Placement &placement) const;
    bool isRetired(const Target &target) const;
    bool isSurplus(const UpstreamId &upstream, const Target &target) const;
    bool awaitsSuccessor(const Placement &placement);
    void startDrain(const UpstreamId &upstream, const Target &target, bool isEvicted);
    void finishDrains(const UpstreamId &upstream);
    std::vector<Victim> victims() const;
    double accelerators(const UpstreamId &upstream, Bytes memory) const;
    std::uint32_t running(const UpstreamId &upstream, const Target &target) const;

    PoolControllerSettings settings;
    Ledger ledger;
    Ownership ownership;
    LedgerWriter writer;
    DemandTable demand;
    KeepAlivePredictor predictor;
    store::Pacer pacer;
    std::map<UpstreamId, UpstreamRuntime> runtime;
    std::map<Target, Reservation> reservations;
    std::map<Target, TimePoint> aheadUntil;
    std::map<Target, TimePoint> retiredAt;
    std::map<Target, TimePoint> refusedAt;
    /// Load time by target and place, as seen.
    std::map<Target, std::map<CheckpointLocation, Duration>> seenLoadTimes;
    std::map<CheckpointLocation, Duration> usualLoadTimes;
    std::vector<WaitingOrder> waiting;
    std::map<OrderId, SentOrder> inFlight;
    /// This process's orders that ended unconfirmed, with their upstream.
    std::map<OrderId, UpstreamId> unresolvedOrders;
    std::map<InstanceProcess, GivenUp> givenUp;
    std::map<InstanceId, Incarnation> goneInstances;
    std::map<std::string, std::uint64_t> counters;
    Actions actions;
    TimePoint now;
    TimePoint nextUnloadScan;
    TimePoint ownedSince;
    std::optional<TimePoint> stoppingSince;
    bool isStopping = false;
    std::uint64_t orderCount = 0;
    std::uint64_t tagCount = 0;
    std::uint64_t publishCount = 0;
    std::uint64_t ownershipTag = 0;
    std::uint64_t writerTag = 0;
    std::uint32_t waitingModelLoads = 0;
};

} // namespace bamboochute::decision
