/// @file
/// @brief What a pool controller is told.
#pragma once

#include "decision/values.hpp"
#include "platform/key_value.hpp"

#include <variant>
#include <vector>

namespace bamboochute::decision {

/// @brief A configuration is in force.
struct ConfigurationChanged
{
    ConfigurationPointer configuration;
};

/// @brief Membership says whether this instance should own the pool when nobody does.
struct CandidacyChanged
{
    bool isCandidate = false;
};

/// @brief Membership gives an instance up for now; it may only be paused.
struct InstanceSuspected
{
    InstanceId instance;
};

/// @brief The suspicion was wrong.
struct InstanceAlive
{
    InstanceId instance;
};

/// @brief No process with this or an earlier incarnation runs under the name any more.
struct ProcessTerminated
{
    InstanceProcess sender;
};

/// @brief A former owner says that it will never again send an order with this fencing number or a
/// lower one, and that only the orders named may still be carried out.
struct OwnershipGivenUp
{
    InstanceProcess sender;
    Fence fence;
    std::vector<std::uint64_t> unresolvedOrders;
};

/// @brief The answer to a SubmitTransaction; exactly one comes for each.
struct TransactionFinished
{
    std::uint64_t tag = 0;
    /// KeyValueUnavailable: had no effect; KeyValueOutcomeUnknown: may have one, also later.
    Result<platform::TransactionResponse> result;
};

/// @brief The end of an order; exactly one comes for each SendOrder.
struct OrderFinished
{
    OrderId id;
    UpstreamId upstream;
    OrderOutcome outcome = OrderOutcome::Unconfirmed;
    /// Exact inventory, with RaiseFence that was done.
    std::optional<std::vector<InventoryEntry>> inventory;
};

enum class CheckpointLocation { Memory, Disk, Remote };

/// @brief A checkpoint that an upstream says it has at hand.
struct CachedCheckpoint
{
    Target target;
    CheckpointLocation location = CheckpointLocation::Disk;
};

/// @brief What an upstream said of itself; late and not to be relied on.
struct ReportReceived
{
    UpstreamId upstream;
    /// When the upstream made the report, on this process's time scale.
    TimePoint madeAt;
    std::vector<InventoryEntry> inventory;
    std::vector<CachedCheckpoint> cached;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// @brief How many requests wait at one instance for one target; replaces what it said before.
struct DemandReported
{
    InstanceId instance;
    Target target;
    /// Zero when none waits any more.
    std::uint32_t waiting = 0;
    TimePoint earliestDeadline;
    /// Highest weight of the caller classes of those who wait.
    std::uint32_t weight = 1;
    /// Upstreams that are likely to hold the prefixes of those who wait.
    std::vector<UpstreamId> prefixHints;
};

/// @brief Use of a replica by one instance since its last report.
///
/// Repeated at least every three seconds while requests run there: a new owner unloads nothing in
/// its first five seconds, and then only where nobody has said that something runs.
struct UsageReported
{
    InstanceId instance;
    UpstreamId upstream;
    Target target;
    std::uint32_t started = 0;
    /// Requests that run there now.
    std::uint32_t running = 0;
    TimePoint lastUsed;
};

/// @brief A loaded target did not answer as a loaded one does.
struct ReplicaFailed
{
    UpstreamId upstream;
    Target target;
};

/// @brief The platform reclaims the upstream soon: nothing new goes there.
struct UpstreamLeaving
{
    UpstreamId upstream;
};

/// @brief The process of the upstream is known to be gone, with all that it had loaded.
struct UpstreamGone
{
    UpstreamId upstream;
};

/// @brief The upstream, or a new one under its name, may be used (again).
struct UpstreamReturned
{
    UpstreamId upstream;
};

/// @brief Time has passed; wanted about every 100 ms.
struct Tick
{};

/// @brief The instance stops: give the pool back.
struct HandOverRequested
{};

using Event
        = std::variant<ConfigurationChanged, CandidacyChanged, InstanceSuspected, InstanceAlive,
                       ProcessTerminated, OwnershipGivenUp, TransactionFinished, OrderFinished,
                       ReportReceived, DemandReported, UsageReported, ReplicaFailed,
                       UpstreamLeaving, UpstreamGone, UpstreamReturned, Tick, HandOverRequested>;

} // namespace bamboochute::decision
