/// @file
/// @brief The owner's work: asks engines for reports, plans, orders, and tells the instances.
#pragma once

#include "core/metrics.hpp"
#include "gateway/gateway.hpp"
#include "residency/demand_tally.hpp"
#include "residency/engine_orders.hpp"
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

    std::function<Awaitable<Result<EngineReport>>(gateway::RegisteredUpstream)> report;
    std::function<Awaitable<OrderAnswer>(gateway::RegisteredUpstream, EngineOrder)> order;
};

/// @brief How often the owner looks, asks and tells.
struct DriverSettings
{
    Duration tickInterval = std::chrono::milliseconds(100);
    /// Pause between two reports of an engine that does nothing unusual.
    Duration reportInterval = std::chrono::milliseconds(2000);
    /// Pause between two reports of an engine at which requests wait.
    Duration queuedReportInterval = std::chrono::milliseconds(500);
    /// Pause between two reports of an engine whose order is awaited.
    Duration urgentReportInterval = std::chrono::milliseconds(120);
    /// A change of what an engine holds is told a second time after this pause.
    Duration residencyRepeatDelay = std::chrono::milliseconds(900);
    /// Pause between two statements on the load of all engines.
    Duration loadMessageInterval = std::chrono::milliseconds(1000);
    /// Pause between two statements on how far the platform's state has been followed.
    Duration watchProgressInterval = std::chrono::milliseconds(400);
    /// A change is passed on again with these statements for so long, as datagrams get lost.
    Duration forwardRepeatTime = std::chrono::milliseconds(900);
    /// Changes that are passed on at a time; beyond that a call of each instance costs less.
    std::size_t maxForwardedChanges = 12;
    /// A report that shows fewer accepted orders than were counted is believed after this time.
    Duration staleReportTime = std::chrono::milliseconds(1200);
    /// Pause after an order that was in conflict.
    Duration conflictRetryDelay = std::chrono::milliseconds(40);
    /// Conflicts in a row after which a new report is awaited.
    std::uint32_t maxConflicts = 2;
    /// An engine is not used for placement after so many reports in a row have failed.
    std::uint32_t maxFailedReports = 2;
    /// Time beyond the expected end after which a load that was not seen to end is asked about.
    Duration loadCompletionMargin = std::chrono::milliseconds(15);
};

/// @brief Drives the placement of all services while this instance owns it; one thread.
class PlacementDriver
{
public:
    PlacementDriver(boost::asio::io_context &loop, gateway::Gateway &gateway,
                    OwnerElection &election, EnginePort port, InstanceId self, Metrics &metrics,
                    DriverSettings settings = {});

    void start();
    void stop() { this->isStopped = true; }

    /// @brief Takes what an instance tells.
    void receiveDemand(const DemandMessage &message, const Endpoint &from);

    /// @brief How far this instance has followed the platform's state; nothing when it has lost
    /// it. Set before start().
    std::function<std::optional<StoreWatchProgress>()> watchProgress;

    /// @brief Passes a change of the platform's state on to all instances while this one is the
    /// owner.
    void forwardChange(ForwardedChange change);

    /// @brief Sends a message to instances; set before start().
    std::function<void(const std::vector<Endpoint> &to, const OwnerMessage &message)> send;

private:
    /// What is known of one engine, beyond its registration.
    struct Engine
    {
        EngineReport report;
        bool hasReport = false;
        TimePoint reportRequestedAt{};
        bool isReportRequested = false;
        std::uint32_t failedReports = 0;
        /// An instance could not use it; a report is awaited.
        bool isSuspected = false;
        bool isOrderInFlight = false;
        /// When the accepted order is expected to be complete.
        TimePoint busyUntil{};
        TimePoint orderedAt{};
        /// What is loaded, and from where; the model is empty when nothing is.
        PlannedOrder loading;
        /// Whether a report showed the end of the last order.
        bool isLastOrderConfirmed = true;
        /// A report said that an order is in progress, or orders were refused for that.
        bool isBusy = false;
        std::uint32_t conflicts = 0;
        TimePoint nextOrderAfter{};
        /// What the instances were told, and when it is told once more because datagrams get lost.
        gateway::Residency sentResidency;
        std::optional<TimePoint> resendAt;
    };
    struct Pool
    {
        ResidencyPlanner planner;
        DemandTally demand;
        gateway::EngineSpec spec;
    };

    upstream::Awaitable<void> run();
    upstream::Awaitable<void> requestReport(gateway::RegisteredUpstream upstream);
    upstream::Awaitable<void> sendOrder(PlannedOrder planned, gateway::RegisteredUpstream upstream);
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
    void logReport(const UpstreamId &id, const EngineReport &report) const;
    void applyAcceptedOrder(const PlannedOrder &planned, Engine &engine, TimePoint now);
    void applyToResidency(const PlannedOrder &planned, gateway::Residency &residency) const;
    upstream::Awaitable<void> publishResidencyAt(UpstreamId id, TimePoint time);
    void publishResidency(const UpstreamId &id, Engine &engine);
    void sendResidency(const UpstreamId &id, const Engine &engine);
    void sendPromises(const gateway::ServiceId &service, const Pool &pool, TimePoint now);
    void sendLoads(TimePoint now);
    void sendWatchProgress(TimePoint now);
    void broadcast(const OwnerMessage &message);
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
    /// Waits that nothing cuts short.
    gateway::ChangeSignal uninterrupted;
    std::map<gateway::ServiceId, Pool> pools;
    std::map<UpstreamId, Engine> engines;
    struct ReportingInstance
    {
        Endpoint endpoint;
        TimePoint reportedAt{};
    };
    std::map<InstanceId, ReportingInstance> reportingInstances;
    struct Forwarded
    {
        ForwardedChange change;
        TimePoint forwardedAt{};
    };
    std::vector<Forwarded> forwarded;
    TimePoint loadsSentAt{};
    TimePoint watchProgressSentAt{};
    Fence currentTerm;
    bool isStopped = false;
};

} // namespace bamboochute::residency
