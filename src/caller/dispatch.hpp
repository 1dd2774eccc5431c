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

/// @brief An upstream's answer: whole, or a stream that has begun.
struct Dispatched
{
    std::unique_ptr<UpstreamSlot> slot;
    std::unique_ptr<upstream::UpstreamCall> call;
    /// Body of an answer that is not a stream.
    std::string body;
    bool isStream = false;
};

/// @brief Calls the admitted upstream, and others after it as far as retries are allowed.
/// @param exchange its runState is raised once anything of the request was written
/// @param request what is asked
/// @param admission as it was admitted
/// @param first upstream whose slot is taken
upstream::Awaitable<Result<Dispatched>> dispatch(Exchange &exchange,
                                                 const ClassifiedRequest &request,
                                                 const AdmissionRequest &admission,
                                                 UpstreamPointer first);

/// @brief One attempt at one upstream.
struct Attempt
{
    Dispatched result;
    /// Nothing when the upstream answered.
    std::optional<admission::FailureReason> failure;
    Error error;
};

/// @brief Makes one attempt.
/// @param resumeAfter event after which a broken stream is asked for again; empty for the start
upstream::Awaitable<Attempt> attemptCall(Exchange &exchange, const ClassifiedRequest &request,
                                         const AdmissionRequest &admission,
                                         UpstreamPointer upstream, std::string_view resumeAfter);

} // namespace bamboochute::caller
