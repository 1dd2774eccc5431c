#include "caller/dispatch.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

using Timer = upstream::asio::basic_waitable_timer<
        std::chrono::steady_clock, upstream::asio::wait_traits<std::chrono::steady_clock>,
        upstream::Executor>;

Awaitable<void> waitFor(Exchange &exchange, Duration delay)
{
    Timer timer(*exchange.thread.ioContext);
    timer.expires_after(delay);
    upstream::error_code ignored;
    co_await timer.async_wait(upstream::asio::redirect_error(upstream::UseAwaitable(), ignored));
}

/// The error for the caller when a failed attempt is not repeated.
Error finalError(const Attempt &attempt, admission::RetryRefusal refusal)
{
    const bool isBudget = refusal == admission::RetryRefusal::ClassBudgetExhausted
                          || refusal == admission::RetryRefusal::UpstreamBudgetExhausted;
    if (isBudget && attempt.error.row().runState == RunState::NotRun)
        return Error(ErrorKind::RetryBudgetExhausted, attempt.error.message());
    return attempt.error;
}

/// Whether no further attempt is made, because the server stops or nobody needs the answer.
bool isAbandoned(const Exchange &exchange, const ClassifiedRequest &request)
{
    return exchange.isStopping() || (exchange.isCallerGone() && request.isIdempotent());
}

/// Whether the attempt failed with a server error of a plain service; the caller gets it unchanged.
bool isServiceAnswer(const ClassifiedRequest &request, const Attempt &attempt)
{
    return std::holds_alternative<ServiceCall>(request.call)
           && attempt.failure == admission::FailureReason::ServerError;
}

} // namespace

Awaitable<Result<UpstreamAnswer>> dispatch(Exchange &exchange, const ClassifiedRequest &request,
                                           const AdmissionRequest &admission, UpstreamPointer first)
{
    AdmissionControl &control = *exchange.thread.server.admission;
    control.recordFirstAttempt(admission.callerClass, first->spec.id);
    std::vector<UpstreamId> tried;
    UpstreamPointer next = std::move(first);
    while (true) {
        tried.push_back(next->spec.id);
        Attempt attempt = co_await attemptCall(exchange, request, admission, next, {});
        if (!attempt.failure)
            co_return std::move(attempt.result);
        attempt.result.slot->release();
        if (isAbandoned(exchange, request))
            co_return exchange.cancelReason();
        admission::FailedAttempt failed;
        failed.reason = *attempt.failure;
        failed.callerClass = admission.callerClass;
        failed.isIdempotent = request.isIdempotent();
        failed.attempts = static_cast<std::uint32_t>(tried.size());
        failed.deadline = request.deadline;
        const RoutedRetryDecision decision = control.decideRetry(admission, failed, tried);
        if (const auto *refusal = std::get_if<admission::RetryRefusal>(&decision)) {
            if (isServiceAnswer(request, attempt))
                co_return std::move(attempt.result);
            co_return finalError(attempt, *refusal);
        }
        const auto &grant = std::get<RetryGrant>(decision);
        co_await waitFor(exchange, grant.delay);
        if (isAbandoned(exchange, request)) {
            const UpstreamSlot unused(control, admission, grant.upstream);
            co_return exchange.cancelReason();
        }
        next = grant.upstream;
    }
}

} // namespace bamboochute::caller
