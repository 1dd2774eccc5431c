/// @file
/// @brief The step "dispatch": calls upstreams until one answers or no attempt is allowed.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"
#include "caller/upstream_slot.hpp"
#include "upstream/upstream_call.hpp"

#include <memory>
#include <optional>
#include <string>

namespace bamboochute::caller {

/// @brief An upstream's answer: read whole, or a stream of which only the header is read.
struct UpstreamAnswer
{
    std::unique_ptr<UpstreamSlot> slot;
    std::unique_ptr<upstream::UpstreamCall> call;
    /// Whole body of an answer; empty for a stream.
    std::string body;
    bool isStream = false;
};

/// @brief Calls the admitted upstream, and retries as far as the retry policy allows.
/// @param exchange whose runState is raised once an upstream may have run the request
/// @param request as it was classified
/// @param admission as the request was admitted
/// @param first upstream whose slot is taken
/// @return the answer; else the error of the last attempt, RetryBudgetExhausted, or the reason of
/// the cancellation
upstream::Awaitable<Result<UpstreamAnswer>> dispatch(Exchange &exchange,
                                                     const ClassifiedRequest &request,
                                                     const AdmissionRequest &admission,
                                                     UpstreamPointer first);

/// @brief One attempt at one upstream.
struct Attempt
{
    UpstreamAnswer result;
    /// Nothing when the attempt succeeded.
    std::optional<admission::FailureReason> failure;
    /// Set when failure is set.
    Error error;
};

/// @brief Sends the request to an upstream and reads the answer, of a stream only the header.
/// @param exchange request and connection of the caller
/// @param request as it was classified
/// @param admission as the request was admitted
/// @param upstream whose slot is taken
/// @param resumeAfter identifier of the event after which a broken stream is resumed; empty to
/// request it from the start
upstream::Awaitable<Attempt> attemptCall(Exchange &exchange, const ClassifiedRequest &request,
                                         const AdmissionRequest &admission,
                                         UpstreamPointer upstream, std::string_view resumeAfter);

/// @brief Closes the idle connections to an upstream after a call to it timed out: they may have
/// fallen silent together with the call's.
/// @param error of the call; nothing is done for other failures
void closeIdleAfterTimeout(Exchange &exchange, const UpstreamSpec &upstream,
                           const upstream::CallError &error);

} // namespace bamboochute::caller
