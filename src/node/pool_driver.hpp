/// @file
/// @brief Runs one pool's controller on the control thread: carries out its actions, feeds it
/// events.
#pragma once

#include "decision/pool_controller.hpp"
#include "node/control_context.hpp"
#include "platform/key_value_client.hpp"

#include <functional>
#include <memory>

namespace bamboochute::node {

/// @brief What a pool's driver asks of the rest of the control thread.
struct PoolCallbacks
{
    /// Sends an order and tells its end, once.
    std::function<void(const decision::Order &, std::function<void(decision::OrderFinished)>)>
            sendOrder;
    std::function<void(const decision::PublishPlacements &)> publishPlacements;
    std::function<void(const decision::RefuseDemand &)> refuseDemand;
    std::function<void(const decision::AnnounceOwner &)> announceOwner;
    std::function<void(const decision::AnnounceOwnershipGivenUp &)> tellGaveUp;
};

/// @brief One pool's controller with the services that it needs.
class PoolDriver : public std::enable_shared_from_this<PoolDriver>
{
public:
    /// @param context of the control thread
    /// @param pool whose loads are decided
    /// @param keyValue where ownership and ledger are recorded
    /// @param callbacks what the rest of the control thread does for the pool
    PoolDriver(ControlContext &context, const PoolId &pool, platform::KeyValueClient &keyValue,
               PoolCallbacks callbacks);

    /// @brief Feeds one event and carries out the actions that it causes.
    void handle(const decision::Event &event);

    /// @brief Brings the counters of the pool's decisions up to date.
    void exportMetrics(Metrics &metrics) const;

    const decision::PoolController &controller() const noexcept { return this->decisions; }

private:
    void carryOut(const decision::SubmitTransaction &submit);
    void carryOut(const decision::SendOrder &send);

    PoolId pool;
    ControlContext &context;
    platform::KeyValueClient &keyValue;
    PoolCallbacks callbacks;
    decision::PoolController decisions;
};

} // namespace bamboochute::node
