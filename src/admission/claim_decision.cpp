#include "admission/claim_decision.hpp"

#include "core/overloaded.hpp"

#include <fmt/format.h>

namespace bamboochute::admission {

namespace {

std::size_t headerBytes(const OperationOutcome &outcome)
{
    std::size_t bytes = 0;
    for (const OutcomeHeader &header : outcome.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

std::string_view decisionName(const ClaimDecision &decision)
{
    return std::visit(Overloaded{
                              [](const Dispatch &) -> std::string_view { return "dispatch"; },
                              [](const Replay &) -> std::string_view { return "replay"; },
                              [](const Error &error) { return error.row().code; },
                      },
                      decision);
}

} // namespace

OperationState recordedState(const Settlement &settlement)
{
    return std::visit(Overloaded{
                              [](const OperationOutcome &outcome) -> OperationState {
                                  const bool isSmallEnough
                                          = outcome.body.size() <= maxRecordedBodyBytes
                                            && headerBytes(outcome) <= maxRecordedHeaderBytes;
                                  if (isSmallEnough)
                                      return outcome;
                                  return OutcomeTooLarge{outcome.status};
                              },
                              [](const auto &other) -> OperationState { return other; },
                      },
                      settlement);
}

std::size_t outcomeBytes(const OperationState &state)
{
    const auto *outcome = std::get_if<OperationOutcome>(&state);
    return outcome == nullptr ? 0 : outcome->body.size() + headerBytes(*outcome);
}

ClaimDecision decisionForRepeat(const OperationState &state)
{
    return std::visit(
            Overloaded{
                    [](const OperationOutcome &outcome) -> ClaimDecision {
                        return Replay{outcome};
                    },
                    [](const OutcomeTooLarge &large) -> ClaimDecision {
                        return Error(ErrorKind::OperationOutcomeUnknown,
                                     fmt::format("the operation ran with status {}; its answer was "
                                                 "too large to be kept",
                                                 large.status));
                    },
                    [](const Released &) -> ClaimDecision {
                        return Error(ErrorKind::ClaimUnavailable,
                                     "an earlier claim of the operation is being withdrawn");
                    },
                    [](const Claimed &) -> ClaimDecision {
                        return Error(ErrorKind::OperationInProgress,
                                     "the operation is in progress");
                    },
                    [](const OutcomeUnknown &) -> ClaimDecision {
                        return Error(ErrorKind::OperationOutcomeUnknown,
                                     "the operation was dispatched before; whether it ran is not "
                                     "known");
                    },
            },
            state);
}

void countDecision(Metrics &metrics, const ClaimDecision &decision)
{
    const std::string label = fmt::format("decision=\"{}\"", decisionName(decision));
    metrics.counter("bamboochute_claims_total", label).add();
}

} // namespace bamboochute::admission
