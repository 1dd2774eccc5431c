#include "caller/admit.hpp"

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

/// How late a waiting request may be answered.
constexpr Duration maxLateness = std::chrono::milliseconds(50);

using Admitted = Result<UpstreamPointer>;

/// Gives back a slot that came after its request had gone.
void dropSlot(AdmissionControl &admission, const AdmissionRequest &request,
              const UpstreamPointer &upstream)
{
    admission.finished({request.deployment, request.target, upstream->spec.id, CallVerdict::Neutral,
                        Duration::zero(), request.isStream});
}

Awaitable<Admitted> waitForSlot(Exchange &exchange, const AdmissionRequest &request)
{
    AdmissionControl &admission = *exchange.thread.server.admission;
    const auto slot = std::make_shared<OneShot<Admitted>>(exchange.thread.context);
    const Result<Ticket> ticket = admission.wait(
            request, [slot](Result<UpstreamPointer> result) { slot->complete(std::move(result)); });
    if (!ticket)
        co_return ticket.error();
    exchange.onCancel([&admission, &exchange, slot, ticket = ticket.value()] {
        if (admission.leave(ticket))
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
                            request.deadline,       request.prefix(),        bytes,
                            request.isStream()};
}

UpstreamPointer admitNow(Exchange &exchange, const AdmissionRequest &request)
{
    if (SteadyClock().now() >= request.deadline)
        return nullptr;
    return exchange.thread.server.admission->admitNow(request);
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
