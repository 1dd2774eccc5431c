#include "caller/admit.hpp"

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

/// Time after its deadline at which a refusal is counted as late.
constexpr Duration maxLateness = std::chrono::milliseconds(50);

using Admitted = Result<UpstreamPointer>;

/// Releases a slot that was granted after its request was cancelled or missed its deadline.
void dropSlot(AdmissionControl &admission, const AdmissionRequest &request,
              const UpstreamPointer &upstream)
{
    admission.releaseSlot({request.deployment, request.target, upstream->spec.id,
                           CallOutcome::Neutral, Duration::zero(), request.isStream});
}

Awaitable<Admitted> waitForSlot(Exchange &exchange, const AdmissionRequest &request)
{
    AdmissionControl &admission = *exchange.thread.server.admission;
    const auto slot = std::make_shared<OneShotChannel<Admitted>>(exchange.thread.ioContext);
    const Result<Ticket> ticket = admission.enqueue(
            request, [slot](Result<UpstreamPointer> result) { slot->complete(std::move(result)); });
    if (!ticket)
        co_return ticket.error();
    exchange.onCancel([&admission, &exchange, slot, ticket = ticket.value()] {
        if (admission.cancelWait(ticket))
            slot->complete(exchange.cancelReason());
    });
    Admitted admitted = co_await slot->wait();
    exchange.onCancel(nullptr);
    co_return admitted;
}

} // namespace

AdmissionRequest admissionRequest(const ClassifiedRequest &request, std::size_t bytes)
{
    return AdmissionRequest{request.deployment->id, request.callerClass->id, request.target,
                            request.deadline,       request.prefixHash(),    bytes,
                            request.isStream()};
}

UpstreamPointer tryAdmit(Exchange &exchange, const AdmissionRequest &request)
{
    if (SteadyClock().now() >= request.deadline)
        return nullptr;
    return exchange.thread.server.admission->tryAdmit(request);
}

Awaitable<Admitted> waitForAdmission(Exchange &exchange, const AdmissionRequest &request)
{
    AdmissionControl &admission = *exchange.thread.server.admission;
    if (SteadyClock().now() >= request.deadline)
        co_return Error(ErrorKind::DeadlineExceededInQueue, "the deadline has passed");
    Admitted admitted = co_await waitForSlot(exchange, request);
    const TimePoint answered = SteadyClock().now();
    if (admitted && (exchange.isCancelled() || answered >= request.deadline)) {
        dropSlot(admission, request, admitted.value());
        co_return exchange.isCancelled()
                ? exchange.cancelReason()
                : Error(ErrorKind::DeadlineExceededInQueue, "the deadline passed while waiting");
    }
    if (!admitted && answered > request.deadline + maxLateness)
        exchange.thread.server.metrics.counter("bamboochute_late_refusals_total").add();
    co_return admitted;
}

} // namespace bamboochute::caller
