/// @file
/// @brief Reports the demand and usage of this instance to the owners of the pools.
#pragma once

#include "node/cold_starts.hpp"
#include "node/control_context.hpp"
#include "node/pool_driver.hpp"
#include "peer/call_client.hpp"
#include "peer/call_messages.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bamboochute::node {

/// @brief Instance that owns a pool, and its address for calls.
struct OwnerAddress
{
    InstanceId instance;
    Endpoint callEndpoint;
    auto operator<=>(const OwnerAddress &) const = default;
};

/// @brief Lookups in the rest of the control thread.
struct DemandReporterCallbacks
{
    /// The pool that serves a target here; nothing when none does.
    std::function<std::optional<PoolId>(const Target &)> poolOf;
    /// The driver of a pool at this instance; null when the configuration has no such pool.
    std::function<PoolDriver *(const PoolId &)> driverOf;
    /// Another instance that owns a pool; nothing when none is known.
    std::function<std::optional<OwnerAddress>(const PoolId &)> ownerOf;
};

/// @brief Sends reports to owners, and answers reports for pools owned here; control thread only.
class DemandReporter
{
public:
    DemandReporter(ControlContext &context, ColdStarts &coldStarts, peer::CallClient &calls,
                   DemandReporterCallbacks callbacks);
    ~DemandReporter();
    DemandReporter(const DemandReporter &) = delete;
    DemandReporter &operator=(const DemandReporter &) = delete;

    /// @brief Starts reporting all waiting demand periodically.
    void start();

    /// @brief Reports the demand for a target after a short delay, together with other changes.
    void onDemandChanged(const Target &target);

    /// @brief Reports the usage of targets since the last report to the pool's owner.
    void reportUsage(const PoolId &pool, const std::vector<peer::TargetUsage> &usages);

    /// @brief Handles another instance's demand.
    /// @return recent refusals for its targets, or NotOwner when the pool is not owned here
    peer::DemandAnswer onDemandReport(const InstanceId &from, const peer::DemandReport &report);

    /// @brief Handles another instance's usage.
    /// @return NotOwner when the pool is not owned here
    peer::UsageAnswer onUsageReport(const InstanceId &from, const peer::UsageReport &report);

    /// @brief For a pool owned here: refuses requests that wait for a target, here at once, at
    /// other instances in the answer to their next report.
    void onRefuseDemand(const decision::RefuseDemand &refusal);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
