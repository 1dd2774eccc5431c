/// @file
/// @brief Runs one pool's controller on the control thread.
#pragma once

#include "decision/pool_controller.hpp"
#include "node/control_context.hpp"
#include "platform/key_value_client.hpp"

#include <functional>
#include <memory>

namespace bamboochute::node {

/// @brief Actions of the pool's controller that the rest of the control thread carries out.
struct PoolDriverCallbacks
{
    /// Sends an order to an upstream and calls the function once with the outcome.
    std::function<void(const decision::Order &, std::function<void(decision::OrderFinished)>)>
            sendOrder;
    std::function<void(const decision::PublishPlacements &)> publishPlacements;
    std::function<void(const decision::RefuseDemand &)> refuseDemand;
    std::function<void(const decision::AnnounceOwner &)> announceOwner;
    std::function<void(const decision::AnnounceOwnershipGivenUp &)> announceOwnershipGivenUp;
};

/// @brief Feeds events to one pool's controller and carries out the actions that it returns.
class PoolDriver : public std::enable_shared_from_this<PoolDriver>
{
public:
    /// @param context of the control thread
    /// @param pool whose placements the controller decides
    /// @param keyValue stores ownership and ledger; must outlive the object
    /// @param callbacks carry out the actions other than key-value transactions
    PoolDriver(ControlContext &context, const PoolId &pool, platform::KeyValueClient &keyValue,
               PoolDriverCallbacks callbacks);

    /// @brief Passes an event to the controller and carries out the resulting actions.
    void handle(const decision::Event &event);

    /// @brief Updates the metrics that count the controller's decisions.
    void exportMetrics(Metrics &metrics) const;

    const decision::PoolController &controller() const noexcept { return this->poolController; }

private:
    void carryOut(const decision::SubmitTransaction &submit);
    void carryOut(const decision::SendOrder &send);

    PoolId pool;
    ControlContext &context;
    platform::KeyValueClient &keyValue;
    PoolDriverCallbacks callbacks;
    decision::PoolController poolController;
};

} // namespace bamboochute::node
