/// @file
/// @brief Decision whether a request with an operation key is dispatched, replayed or refused.
#pragma once

#include "admission/operation_record.hpp"
#include "core/clock.hpp"
#include "core/metrics.hpp"

#include <variant>

namespace bamboochute::admission {

/// @brief The operation is claimed for this request: dispatch it once, then call
/// OperationClaims::settle().
struct Dispatch
{
    /// Time until which the key is remembered at least; the answer tells it in
    /// operationExpiresHeader.
    TimePoint expires;
    auto operator<=>(const Dispatch &) const = default;
};

/// @brief The operation ran before: send its recorded answer.
struct Replay
{
    OperationOutcome outcome;
    auto operator<=>(const Replay &) const = default;
};

/// @brief Dispatch the request, replay the recorded answer, or refuse with OperationInProgress,
/// OperationOutcomeUnknown, OperationKeyReused or ClaimUnavailable.
using ClaimDecision = std::variant<Dispatch, Replay, Error>;

/// @brief Result of a dispatched operation: its answer, OutcomeUnknown, or Released when it is
/// known that the operation did not run.
using Settlement = std::variant<OperationOutcome, OutcomeUnknown, Released>;

/// @brief State to record for a settlement; an answer above maxRecordedBodyBytes or
/// maxRecordedHeaderBytes becomes OutcomeTooLarge.
OperationState recordedState(const Settlement &settlement);

/// @brief Bytes of body and headers that an outcome holds until it is recorded; zero for other
/// states.
std::size_t outcomeBytes(const OperationState &state);

/// @brief Decision on a repeated request whose operation is recorded with this state.
ClaimDecision decisionForRepeat(const OperationState &state);

/// @brief Counts a decision in the metric bamboochute_claims_total.
void countDecision(Metrics &metrics, const ClaimDecision &decision);

} // namespace bamboochute::admission
