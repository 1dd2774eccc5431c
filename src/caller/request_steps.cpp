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

/// admit, route, dispatch, relay and settle; the request has been claimed if it must be.
Awaitable<void> runClaimed(Exchange &exchange, const ClassifiedRequest &request, Claim &claim)
{
    const AdmissionRequest admission = admissionRequest(request, exchange.request.body.size());
    UpstreamPointer upstream = admitNow(exchange, admission);
    if (!upstream) {
        Result<UpstreamPointer> admitted = co_await waitForAdmission(exchange, admission);
        if (!admitted)
            co_return co_await exchange.refuse(admitted.error());
        upstream = std::move(admitted).value();
    }

    if (claim.hasLapsed(SteadyClock().now())) {
        UpstreamSlot unused(*exchange.thread.server.admission, admission, std::move(upstream));
        co_return co_await exchange.refuse(
                Error(ErrorKind::ClaimUnavailable, "the claim lapsed before the dispatch"));
    }

    Result<Dispatched> dispatched
            = co_await dispatch(exchange, request, admission, std::move(upstream));
    if (!dispatched) {
        claim.fail(exchange.runState);
        co_return co_await exchange.refuse(dispatched.error());
    }

    if (dispatched.value().isStream)
        co_return co_await relayStream(exchange, request, admission, std::move(dispatched).value());
    dispatched.value().slot->giveBack();
    Answer answer = answerFrom(dispatched.value());
    claim.complete(answer);
    co_await exchange.writer.write(answer);
}

/// claim, then the steps that may run the request.
Awaitable<void> runClassified(Exchange &exchange, const ClassifiedRequest &request)
{
    if (!request.operationKey()) {
        Claim none;
        co_return co_await runClaimed(exchange, request, none);
    }
    Result<ClaimedOrReplayed> claimed = co_await claimOperation(exchange, request);
    if (!claimed)
        co_return co_await exchange.refuse(claimed.error());
    if (const auto *replay = std::get_if<Answer>(&claimed.value()))
        co_await exchange.writer.write(*replay);
    else
        co_await runClaimed(exchange, request, std::get<Claim>(claimed.value()));
}

} // namespace

Awaitable<void> runRequest(Exchange &exchange)
{
    exchange.thread.server.requestMetrics.requests.add();
    if (!exchange.snapshot)
        co_return co_await answerWithoutSnapshot(exchange);
    const Result<Classified> classified = classify(exchange.request, *exchange.snapshot,
                                                   exchange.thread.server.settings.limits);
    if (!classified)
        co_return co_await exchange.refuse(classified.error());
    if (const auto *local = std::get_if<LocalCall>(&classified.value()))
        co_await answerLocally(exchange, *local);
    else
        co_await runClassified(exchange, std::get<ClassifiedRequest>(classified.value()));
}

} // namespace bamboochute::caller
