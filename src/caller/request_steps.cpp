#include "caller/request_steps.hpp"

#include "caller/admit.hpp"
#include "caller/claim.hpp"
#include "caller/classification.hpp"
#include "caller/dispatch.hpp"
#include "caller/local_answers.hpp"
#include "caller/relay.hpp"

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

/// The steps admit, route, dispatch, relay and settle, for a request that is claimed if it must be.
Awaitable<void> runClaimed(Exchange &exchange, const ClassifiedRequest &request, Claim &claim)
{
    const AdmissionRequest admission = admissionRequest(request, exchange.request.body.size());
    UpstreamPointer upstream = tryAdmit(exchange, admission);
    if (!upstream) {
        Result<UpstreamPointer> admitted = co_await waitForAdmission(exchange, admission);
        if (!admitted)
            co_return co_await exchange.answerError(admitted.error());
        upstream = std::move(admitted).value();
    }

    if (claim.hasExpired(SteadyClock().now())) {
        UpstreamSlot unused(*exchange.thread.server.admission, admission, std::move(upstream));
        co_return co_await exchange.answerError(
                Error(ErrorKind::ClaimUnavailable,
                      "the operation claim expired before the request was dispatched"));
    }

    Result<UpstreamAnswer> upstreamAnswer
            = co_await dispatch(exchange, request, admission, std::move(upstream));
    if (!upstreamAnswer) {
        claim.fail(exchange.runState);
        co_return co_await exchange.answerError(upstreamAnswer.error());
    }

    if (upstreamAnswer.value().isStream)
        co_return co_await relayStream(exchange, request, admission,
                                       std::move(upstreamAnswer).value());
    upstreamAnswer.value().slot->release();
    Answer answer = makeAnswer(upstreamAnswer.value());
    claim.complete(answer);
    co_await exchange.deliver(answer);
}

/// The step claim, then the steps that may run the request.
Awaitable<void> runClassified(Exchange &exchange, const ClassifiedRequest &request)
{
    if (!request.operationKey()) {
        Claim none;
        co_return co_await runClaimed(exchange, request, none);
    }
    Result<ClaimedOrReplayed> claimed = co_await claimOperation(exchange, request);
    if (!claimed)
        co_return co_await exchange.answerError(claimed.error());
    if (const auto *replay = std::get_if<Answer>(&claimed.value()))
        co_await exchange.writer.write(*replay);
    else
        co_await runClaimed(exchange, request, std::get<Claim>(claimed.value()));
}

} // namespace

Awaitable<void> runRequest(Exchange &exchange)
{
    exchange.thread.server.requestMetrics.requests.add();
    if (exchange.isStopping())
        co_return co_await exchange.answerError(exchange.cancelReason());
    if (!exchange.snapshot)
        co_return co_await answerWithoutSnapshot(exchange);
    const Result<Classification> classified = classify(exchange.request, *exchange.snapshot,
                                                       exchange.thread.server.settings.limits);
    if (!classified)
        co_return co_await exchange.answerError(classified.error());
    if (const auto *local = std::get_if<LocalCall>(&classified.value()))
        co_await answerLocally(exchange, *local);
    else
        co_await runClassified(exchange, std::get<ClassifiedRequest>(classified.value()));
}

} // namespace bamboochute::caller
