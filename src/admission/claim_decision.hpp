/// @file
/// @brief What is decided on a request with an operation key.
#pragma once

#include "admission/operation_record.hpp"
#include "core/clock.hpp"
#include "core/metrics.hpp"

#include <variant>

namespace bamboochute::admission {

/// @brief The request is claimed: dispatch it once, then settle it.
struct Dispatch
{
    /// The key is remembered at least until then; value for operationExpiresHeader.
    TimePoint expires;
    auto operator<=>(const Dispatch &) const = default;
};

/// @brief The operation ran before; this is its answer.
struct Replay
{
    OperationOutcome outcome;
    auto operator<=>(const Replay &) const = default;
};

/// @brief Dispatch, answer again, or refuse with OperationInProgress, OperationOutcomeUnknown,
/// OperationKeyReused or ClaimUnavailable.
using ClaimDecision = std::variant<Dispatch, Replay, Error>;

/// @brief What became of a dispatched operation: its answer, OutcomeUnknown, or Released when it is
/// known that nothing was run.
using Settlement = std::variant<OperationOutcome, OutcomeUnknown, Released>;

/// @brief The state to record for a settlement: answers that are too large are not kept.
OperationState stateOf(const Settlement &settlement);

/// @brief Bytes of an outcome that are held until it is recorded.
std::size_t bytesOf(const OperationState &state);

/// @brief The decision on a repeat of an operation whose record has this state.
ClaimDecision decisionOf(const OperationState &state);

/// @brief Counts a decision under its name.
void countDecision(Metrics &metrics, const ClaimDecision &decision);

} // namespace bamboochute::admission
