/// @file
/// @brief The owner's work: collects engine reports, plans the placement, sends orders to engines
/// and informs the other instances.
#pragma once

#include "core/metrics.hpp"
#include "gateway/gateway.hpp"
#include "residency/demand_tally.hpp"
#include "residency/engine_orders.hpp"
#include "residency/engine_process_watch.hpp"
#include "residency/owner_election.hpp"
#include "residency/peer_messages.hpp"
#include "residency/planner.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bamboochute::residency {

/// @brief Calls to engines.
struct EnginePort
{
    template<typename T>
    using Awaitable = upstream::Awaitable<T>;

    /// Requests an engine's report.
    std::function<Awaitable<Result<EngineReport>>(gateway::RegisteredUpstream)> report;
    /// Sends an order to an engine.
    std::function<Awaitable<OrderAnswer>(gateway::RegisteredUpstream, EngineOrder)> order;
};

/// @brief Timing and bounds of the owner's plans, report requests and messages.
struct DriverSettings
{
    /// Pause between two plans.
    Duration planInterval = std::chrono::milliseconds(100);
    /// Pause between two report requests to an engine to which none of the next two applies.
    Duration reportInterval = std::chrono::milliseconds(2000);
    /// Pause between two report requests to an engine at which requests wait.
    Duration queuedReportInterval = std::chrono::milliseconds(500);
    /// Pause between two report requests to an engine whose state is uncertain: it has not
    /// reported, its last report failed, the end of an order is not confirmed, or an instance
    /// suspects it.
    Duration urgentReportInterval = std::chrono::milliseconds(120);
    /// Delay after which a change of what an engine holds is sent a second time.
    Duration residencyRepeatDelay = std::chrono::milliseconds(900);
    /// Pause between two messages with the load of all engines.
    Duration loadMessageInterval = std::chrono::milliseconds(1000);
    /// Time from the acquisition of the ownership until the number of instances is announced; two
    /// demand reports of each.
    Duration instanceCountDelay = std::chrono::milliseconds(1200);
    /// Time from the acquisition of the ownership for which the load of all engines is also sent to
    /// instances that have not reported: those that the store turns away can't know of the owner.
    Duration announcementTime = std::chrono::seconds(5);
    /// Pause between two messages on how far the platform's store has been followed.
    Duration watchProgressInterval = std::chrono::milliseconds(400);
    /// A forwarded change is repeated with these messages for this time, as datagrams get lost.
    Duration forwardRepeatTime = std::chrono::milliseconds(900);
    /// Changes that are repeated at a time. Further ones are not forwarded: beyond this number a
    /// store query by each instance costs less.
    std::size_t maxForwardedChanges = 12;
    /// Time after the last answer to an order during which a report with fewer accepted orders than
    /// were counted is taken for outdated; later it is accepted.
    Duration staleReportTime = std::chrono::milliseconds(1200);
    /// Pause after an order that the engine answered with a conflict.
    Duration conflictRetryDelay = std::chrono::milliseconds(40);
    /// Conflicts in a row after which no order is sent until the engine has reported.
    std::uint32_t maxConflicts = 2;
    /// Failed report requests in a row after which an engine is not used for placement.
    std::uint32_t maxFailedReports = 2;
    /// Time beyond its expected end after which a load that no report confirmed is assumed
    /// complete and a report is requested. A load from the weight store is never assumed complete.
    Duration loadCompletionMargin = std::chrono::milliseconds(15);
};

/// @brief Carries out the placement of all services while this instance is its owner; used on the
/// loop's thread only.
class PlacementDriver
{
public:
    PlacementDriver(boost::asio::io_context &loop, gateway::Gateway &gateway,
                    OwnerElection &election, EnginePort port, InstanceId self, Metrics &metrics,
                    DriverSettings settings = {});

    /// @brief Starts planning; has no effect on engines while another instance is the owner.
    void start();

    /// @brief Ends the planning after the current pause.
    void stop() { this->isStopped = true; }

    /// @brief Handles the demand report of an instance.
    /// @param from address to which the owner's messages for the instance are sent
    void receiveDemand(const DemandMessage &message, const Endpoint &from);

    /// @brief Returns how far this instance has followed the platform's store; nothing when it has
    /// no complete copy or can't reach the store. Set before start().
    std::function<std::optional<StoreWatchProgress>()> watchProgress;

    /// @brief Forwards a registration change to all instances if this one is the owner.
    void forwardChange(ForwardedChange change);

    /// @brief Returns the instances that a former owner listed; set before start().
    std::function<std::vector<Endpoint>()> knownInstances;

    /// @brief Sends a message to instances; set before start().
    std::function<void(const std::vector<Endpoint> &to, const OwnerMessage &message)> send;

private:
    /// State of one engine beyond its registration.
    struct Engine
    {
        /// The last report, with the orders that were accepted since.
        EngineReport report;
        /// Whether a report of the present process is known and no order made it uncertain.
        bool hasReport = false;
        TimePoint reportRequestedAt{};
        bool isReportRequested = false;
        std::uint32_t failedReportsInRow = 0;
        /// Whether an instance could not use it and no report has come since.
        bool isSuspected = false;
        /// Whether the process that is registered was replaced by another one.
        EngineProcessWatch process;
        bool isOrderInFlight = false;
        /// When the accepted order is expected to be complete.
        TimePoint busyUntil{};
        /// When the last order was answered, or sending it failed.
        TimePoint orderAnsweredAt{};
        /// Order of the model load in progress; its target has no model when there is none.
        PlannedOrder loading;
        /// Whether a report confirmed the end of the last order.
        bool isLastOrderConfirmed = true;
        /// Whether the last report showed an order in progress, or several orders in a row were
        /// refused for that.
        bool isReportedBusy = false;
        std::uint32_t conflictsInRow = 0;
        /// No order is sent before this time.
        TimePoint nextOrderAfter{};
        /// Models and adapters that were last sent to the instances, and when they are sent once
        /// more because datagrams get lost.
        gateway::Residency sentResidency;
        std::optional<TimePoint> resendAt;
    };
    /// Planning state of all engines of one service.
    struct Pool
    {
        ResidencyPlanner planner;
        DemandTally demand;
        gateway::EngineSpec spec;
    };

    upstream::Awaitable<void> run();
    upstream::Awaitable<void> requestReport(gateway::RegisteredUpstream upstream);
    upstream::Awaitable<void> sendOrder(PlannedOrder planned, gateway::RegisteredUpstream upstream);
    void handleOrderAnswer(const PlannedOrder &planned,
                           const gateway::RegisteredUpstream &registered, Engine &engine,
                           const EngineOrder &order, OrderAnswer answer);
    void planAllPools();
    void sendPeriodicMessages();
    void planPool(const gateway::Service &service, Pool &pool);
    void requestReportIfDue(const gateway::UpstreamTable::Entry &entry, Engine &engine,
                            TimePoint now);
    void assumeLoadComplete(const UpstreamId &id, Engine &engine, TimePoint now);
    void recordStoreLoadEnd(const UpstreamId &id, const Engine &engine, TimePoint now);
    UpstreamSnapshot makeSnapshot(const gateway::UpstreamTable::Entry &entry, const Engine &engine,
                                  TimePoint now) const;
    void applyReport(const UpstreamId &id, Engine &engine, EngineReport report, TimePoint now);
    void discardReplaced(const UpstreamId &id, Engine &engine,
                         const gateway::ResidencyVersion &version);
    void logReport(const UpstreamId &id, const EngineReport &report) const;
    void applyAcceptedOrder(const PlannedOrder &planned, Engine &engine, TimePoint now);
    void applyToResidency(const PlannedOrder &planned, gateway::Residency &residency) const;
    upstream::Awaitable<void> publishResidencyAt(UpstreamId id, TimePoint time);
    void publishResidency(const UpstreamId &id, Engine &engine);
    void publishKnownResidency(const UpstreamId &id, Engine &engine);
    void sendResidency(const UpstreamId &id, const Engine &engine);
    void sendPromises(const gateway::ServiceId &service, const Pool &pool, TimePoint now);
    void sendLoads(TimePoint now);
    std::vector<Endpoint> listInstances() const;
    void sendWatchProgress(TimePoint now);
    void broadcast(const OwnerMessage &message);
    void announceOwnership(const OwnerMessage &message, TimePoint now);
    OwnerMessage makeMessage() const;
    void removeUnregisteredEngines();

    boost::asio::io_context &loop;
    gateway::Gateway &gateway;
    OwnerElection &election;
    EnginePort port;
    InstanceId self;
    Metrics &metrics;
    DriverSettings settings;
    gateway::ChangeSignal wake;
    /// Never notified: for delays that must not be cut short.
    gateway::ChangeSignal publishTimer;
    std::map<gateway::ServiceId, Pool> pools;
    std::map<UpstreamId, Engine> engines;
    /// Instance that sent a demand report within the timeout.
    struct ReportingInstance
    {
        Endpoint endpoint;
        TimePoint reportedAt{};
    };
    std::map<InstanceId, ReportingInstance> reportingInstances;
    /// Forwarded change that is still repeated.
    struct RepeatedChange
    {
        ForwardedChange change;
        TimePoint forwardedAt{};
    };
    std::vector<RepeatedChange> repeatedChanges;
    TimePoint loadsSentAt{};
    /// Fencing number and begin of the ownership in which messages are sent.
    Fence messagesFence;
    TimePoint messagesBegunAt{};
    TimePoint watchProgressSentAt{};
    /// Fencing number of the ownership to which the engines' state belongs.
    Fence ownershipFence;
    bool isStopped = false;
};

} // namespace bamboochute::residency
