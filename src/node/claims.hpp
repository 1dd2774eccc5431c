/// @file
/// @brief Runs the operation claims of this instance on the control thread.
#pragma once

#include "admission/operation_claims.hpp"
#include "caller/ports.hpp"
#include "node/control_context.hpp"
#include "platform/key_value_client.hpp"

#include <memory>

namespace bamboochute::node {

/// @brief Satisfies caller::ClaimPort; its state machine belongs to the control thread.
class Claims
{
public:
    /// @param context of the control thread
    /// @param keyValue where claims are recorded
    /// @param knownGone whether a claimant's process has ended
    Claims(ControlContext &context, platform::KeyValueClient &keyValue,
           admission::KnownGone knownGone);
    ~Claims();
    Claims(const Claims &) = delete;
    Claims &operator=(const Claims &) = delete;

    /// @brief Asks to run an operation; safe to call from any thread.
    void claim(caller::Ticket ticket, admission::ClaimRequest request,
               caller::ClaimCallback decided);

    /// @brief Tells that the caller has gone; safe to call from any thread.
    void abandon(caller::Ticket ticket);

    /// @brief Tells what became of a dispatched operation; safe to call from any thread.
    void settle(caller::Ticket ticket, admission::Settlement settlement);

    /// @brief Shares the fleet's budget for claims among the live instances.
    void setInstanceCount(std::size_t instances);

    /// @brief Claims that are not settled yet.
    std::size_t open() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

static_assert(caller::ClaimPort<Claims>);

} // namespace bamboochute::node
