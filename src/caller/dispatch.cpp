#include "caller/dispatch.hpp"

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

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
        // Another attempt would need the same memory.
        if (attempt.error.kind() == ErrorKind::MemoryExhausted)
            co_return attempt.error;
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
        co_await waitFor(exchange.thread, grant.delay);
        if (isAbandoned(exchange, request)) {
            const UpstreamSlot unused(control, admission, grant.upstream);
            co_return exchange.cancelReason();
        }
        next = grant.upstream;
    }
}

} // namespace bamboochute::caller
