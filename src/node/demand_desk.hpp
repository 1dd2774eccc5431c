/// @file
/// @brief Brings the demand and usage of this instance to the owners of the pools.
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

/// @brief Where the owner of a pool is.
struct OwnerPlace
{
    InstanceId instance;
    Endpoint callEndpoint;
    auto operator<=>(const OwnerPlace &) const = default;
};

/// @brief What the desk asks of the rest of the control thread.
struct DemandDeskCallbacks
{
    /// The pool that serves a target here.
    std::function<std::optional<PoolId>(const Target &)> poolOf;
    /// The driver of a pool at this instance; null when the configuration has no such pool.
    std::function<PoolDriver *(const PoolId &)> driverOf;
    /// Another instance that owns a pool; nothing when none is known.
    std::function<std::optional<OwnerPlace>(const PoolId &)> ownerOf;
};

/// @brief Sends reports to owners, and answers reports at the owner.
class DemandDesk
{
public:
    DemandDesk(ControlContext &context, ColdStarts &coldStarts, peer::CallClient &calls,
               DemandDeskCallbacks callbacks);
    ~DemandDesk();
    DemandDesk(const DemandDesk &) = delete;
    DemandDesk &operator=(const DemandDesk &) = delete;

    /// @brief Starts repeating the reports of demand that lasts.
    void start();

    /// @brief Reports the demand for a target soon, together with other changes.
    void onDemandChanged(const Target &target);

    /// @brief Reports the use of targets.
    void reportUsage(const PoolId &pool, const std::vector<peer::TargetUsage> &usages);

    /// @brief At the owner: takes another instance's demand.
    peer::DemandAnswer onDemandReport(const InstanceId &from, const peer::DemandReport &report);

    /// @brief At the owner: takes another instance's usage.
    peer::UsageAnswer onUsageReport(const InstanceId &from, const peer::UsageReport &report);

    /// @brief At the owner: refuses those who wait for a target, here and at other instances.
    void onRefuseDemand(const decision::RefuseDemand &refusal);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
