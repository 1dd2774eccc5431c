/// @file
/// @brief Runs the state machine of operation claims on the control thread.
#pragma once

#include "admission/operation_claims.hpp"
#include "caller/ports.hpp"
#include "node/control_context.hpp"
#include "platform/key_value_client.hpp"

#include <memory>

namespace bamboochute::node {

/// @brief Satisfies caller::ClaimPort: carries out the actions of admission::OperationClaims.
///
/// A claim records in the key-value service that an operation is run, so that it runs at most once.
/// The state machine is only touched on the control thread.
class Claims
{
public:
    /// @param context of the control thread
    /// @param keyValue records the claims; must outlive the object
    /// @param knownGone tells whether a claimant's process is known to have ended
    Claims(ControlContext &context, platform::KeyValueClient &keyValue,
           admission::KnownGone knownGone);
    ~Claims();
    Claims(const Claims &) = delete;
    Claims &operator=(const Claims &) = delete;

    /// @brief Claims the right to run an operation; safe to call from any thread.
    /// @param ticket identifies the claim in later calls
    /// @param request key and fingerprint of the operation, deadline and retention
    /// @param decided called once on the control thread, unless the claim is abandoned before
    void claim(caller::Ticket ticket, admission::ClaimRequest request,
               caller::ClaimCallback decided);

    /// @brief Gives up a claim whose caller has disconnected; safe to call from any thread.
    void abandon(caller::Ticket ticket);

    /// @brief Reports the result of a dispatched operation; safe to call from any thread.
    void settle(caller::Ticket ticket, admission::Settlement settlement);

    /// @brief Sets this instance's share of the fleet's transaction budget for claims.
    /// @param instances live instances, this one included; the budget is divided evenly among them
    void setInstanceCount(std::size_t instances);

    /// @brief Number of claims that are not settled yet.
    std::size_t openClaims() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

static_assert(caller::ClaimPort<Claims>);

} // namespace bamboochute::node
