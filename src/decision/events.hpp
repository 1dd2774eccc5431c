/// @file
/// @brief Events that are passed to a pool controller.
#pragma once

#include "decision/values.hpp"
#include "platform/key_value.hpp"

#include <variant>
#include <vector>

namespace bamboochute::decision {

/// @brief A new configuration is in force.
struct ConfigurationChanged
{
    ConfigurationPointer configuration;
};

/// @brief Membership selected or deselected this instance to take the pool when it has no owner.
struct CandidacyChanged
{
    bool isCandidate = false;
};

/// @brief Membership suspects an instance of having failed; it may only be paused.
struct InstanceSuspected
{
    InstanceId instance;
};

/// @brief A suspected instance is alive.
struct InstanceAlive
{
    InstanceId instance;
};

/// @brief No process with this or an earlier incarnation of the instance runs any more.
struct ProcessTerminated
{
    InstanceProcess process;
};

/// @brief A former owner gave the pool up: it sends no more orders with this or a lower fencing
/// number, and of those it sent only the listed ones may still be executed.
struct OwnershipGivenUp
{
    InstanceProcess sender;
    Fence fence;
    /// Values of OrderId::number.
    std::vector<std::uint64_t> unresolvedOrders;
};

/// @brief The result of a SubmitTransaction; exactly one follows each.
struct TransactionFinished
{
    std::uint64_t tag = 0;
    /// Error KeyValueUnavailable: the transaction had no effect. Error KeyValueOutcomeUnknown: it
    /// may have taken effect or may still do so later.
    Result<platform::TransactionResponse> result;
};

/// @brief The result of a SendOrder; exactly one follows each.
struct OrderFinished
{
    OrderId id;
    UpstreamId upstream;
    OrderOutcome outcome = OrderOutcome::Unconfirmed;
    /// Exact inventory; set when a RaiseFence order is Done.
    std::optional<std::vector<InventoryEntry>> inventory;
};

/// @brief Where an upstream loads a checkpoint from: its own memory or disk, or the weight store.
enum class CheckpointLocation { Memory, Disk, Remote };

/// @brief A checkpoint that an upstream reports to have cached.
struct CachedCheckpoint
{
    Target target;
    CheckpointLocation location = CheckpointLocation::Disk;
};

/// @brief Periodic report of an upstream; may be outdated or wrong.
struct ReportReceived
{
    UpstreamId upstream;
    /// When the upstream made the report, on this process's clock.
    TimePoint madeAt;
    std::vector<InventoryEntry> inventory;
    std::vector<CachedCheckpoint> cached;
    /// Requests that the upstream works on.
    std::uint32_t running = 0;
    /// Requests queued at the upstream.
    std::uint32_t waiting = 0;
};

/// @brief Requests that wait at one instance for one target; replaces its previous report.
struct DemandReported
{
    InstanceId instance;
    Target target;
    /// Number of waiting requests; zero when none waits any more.
    std::uint32_t waiting = 0;
    TimePoint earliestDeadline;
    /// Highest weight of the caller classes of the waiting requests.
    std::uint32_t weight = 1;
    /// Upstreams that are likely to have the prefixes of the waiting requests in their cache.
    std::vector<UpstreamId> prefixHints;
};

/// @brief Use of a replica by one instance since its last report.
///
/// Repeated at least every three seconds while requests run there: a new owner unloads nothing in
/// its first five seconds, and afterwards only replicas for which no instance reported running
/// requests.
struct UsageReported
{
    InstanceId instance;
    UpstreamId upstream;
    Target target;
    /// Requests started since the last report.
    std::uint32_t started = 0;
    /// Requests that run there now.
    std::uint32_t running = 0;
    TimePoint lastUsed;
};

/// @brief A target that counts as loaded did not respond as a loaded one does.
struct ReplicaFailed
{
    UpstreamId upstream;
    Target target;
};

/// @brief The platform is about to reclaim the upstream: nothing more is loaded there.
struct UpstreamLeaving
{
    UpstreamId upstream;
};

/// @brief The upstream's process has ended; everything that it had loaded is lost.
struct UpstreamGone
{
    UpstreamId upstream;
};

/// @brief The upstream, or a new process under its name, can be used (again).
struct UpstreamReturned
{
    UpstreamId upstream;
};

/// @brief Periodic timer event; expected about every 100 ms.
struct Tick
{};

/// @brief The instance stops and hands the pool over.
struct HandOverRequested
{};

using Event
        = std::variant<ConfigurationChanged, CandidacyChanged, InstanceSuspected, InstanceAlive,
                       ProcessTerminated, OwnershipGivenUp, TransactionFinished, OrderFinished,
                       ReportReceived, DemandReported, UsageReported, ReplicaFailed,
                       UpstreamLeaving, UpstreamGone, UpstreamReturned, Tick, HandOverRequested>;

} // namespace bamboochute::decision
