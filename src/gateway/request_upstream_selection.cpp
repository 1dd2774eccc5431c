#include "gateway/exchange_limits.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using upstream::Awaitable;

/// Time in which the owner of the placement answers a request for a target.
constexpr Duration ownerReplyTimeout = std::chrono::milliseconds(700);
/// Time that is left for the answer when a target becomes available, as a share of the deadline.
constexpr double reservedAnswerShare = 0.15;
/// A report of an engine's queue is relied on for so long; the owner repeats it every second.
constexpr Duration queueReportMaxAge = std::chrono::seconds(3);
/// Least time after which a request that the queue is too long for may come back.
constexpr Duration minQueueRetryAfter = std::chrono::milliseconds(300);
/// When callers may come back while the owner is silent; a new one is there within seconds.
constexpr Duration noOwnerRetryAfter = std::chrono::milliseconds(1500);

} // namespace

SelectionQuery RequestExchange::buildSelectionQuery() const
{
    SelectionQuery query;
    const UpstreamTable &table = this->gateway.table;
    query.candidates = this->isEngineTarget() ? table.findHolding(this->service->id,
                                                                  this->target.target, this->now())
                                              : table.findServing(this->service->id);
    query.excluded = this->triedUpstreams;
    if (this->isEngineTarget()) {
        query.affinityKey = this->attributes.sharedPromptHash;
        // The owner of the placement can bring the target up elsewhere.
        query.isHealthRequired = true;
    }
    return query;
}

/// Whether another healthy upstream could take the request over.
bool RequestExchange::hasAlternative() const
{
    const SelectionQuery query = this->buildSelectionQuery();
    return std::any_of(query.candidates.begin(), query.candidates.end(), [&](const auto *entry) {
        const UpstreamId &id = entry->registered.id;
        return id != this->currentUpstream && !this->gateway.health.isAvoided(id, this->now())
               && std::find(this->triedUpstreams.begin(), this->triedUpstreams.end(), id)
                          == this->triedUpstreams.end();
    });
}

Awaitable<RequestExchange::UpstreamSelection> RequestExchange::selectUpstream()
{
    UpstreamSelection selection;
    const SelectionQuery query = this->buildSelectionQuery();
    this->candidateCount = query.candidates.size();
    selection.upstream
            = this->gateway.selector.pickUpstream(query, this->gateway.health, this->now());
    if (selection.upstream && this->sends == 0) {
        const std::optional<Duration> retryAfter
                = this->computeQueueRetryAfter(*selection.upstream);
        if (retryAfter) {
            this->waitingAhead = this->gateway.table.find(*selection.upstream)->load.waiting;
            selection.refusal = Error(ErrorKind::NoCapacity,
                                      fmt::format("{} requests wait at {}", this->waitingAhead,
                                                  selection.upstream->value()));
            selection.retryAfter = *retryAfter;
            selection.upstream.reset();
        }
        co_return selection;
    }
    if (selection.upstream)
        co_return selection;
    if (this->isEngineTarget()) {
        selection = co_await this->waitForTarget();
        co_return selection;
    }
    selection.refusal
            = Error(ErrorKind::UpstreamUnavailable, "no upstream of the service is there");
    selection.retryAfter = noUpstreamRetryAfter;
    co_return selection;
}

/// When the request may come back if the queue at the engine makes its first event too late;
/// nothing when it may be sent.
std::optional<Duration> RequestExchange::computeQueueRetryAfter(const UpstreamId &id) const
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(id);
    if (!this->isEngineTarget() || entry == nullptr || entry->load.waiting == 0
        || entry->loadReportedAt + queueReportMaxAge < this->now())
        return std::nullopt;
    const EngineQueue queue{entry->load.waiting, this->index->countLessUrgentPriorities(
                                                         this->service->id, this->route->priority)};
    const std::optional<Duration> lateness = this->gateway.forecast.predictLateness(
            this->service->id, queue, this->route->objective);
    if (!lateness)
        return std::nullopt;
    // Spread over twice the time, so that those who are refused together don't return together.
    const Duration pause = std::max(minQueueRetryAfter, *lateness);
    return pause + Duration(this->gateway.random.below(static_cast<std::uint64_t>(pause.count())));
}

/// Whether an upstream is said to hold the target, even if it refused it a moment ago.
bool RequestExchange::isTargetReported() const
{
    const auto serving = this->gateway.table.findServing(this->service->id);
    return std::any_of(serving.begin(), serving.end(), [this](const auto *entry) {
        return entry->residency.holds(this->target.target);
    });
}

/// Whether the target is held, and only where the request has failed before.
bool RequestExchange::isTargetHeldOnlyByTried() const
{
    bool isHeld = false;
    for (const UpstreamTable::Entry *entry : this->gateway.table.findServing(this->service->id)) {
        if (!entry->residency.holds(this->target.target))
            continue;
        isHeld = true;
        const UpstreamId &id = entry->registered.id;
        if (std::find(this->triedUpstreams.begin(), this->triedUpstreams.end(), id)
            == this->triedUpstreams.end())
            return false;
    }
    return isHeld;
}

/// Waits until an upstream holds the target, as long as the answer can still come in time.
Awaitable<RequestExchange::UpstreamSelection> RequestExchange::waitForTarget()
{
    const TimePoint waitStart = this->now();
    const auto reservedForAnswer = std::chrono::duration_cast<Duration>(
            (this->deadline - this->request.arrival) * reservedAnswerShare);
    TimePoint waitDeadline = this->deadline - reservedForAnswer;
    if (this->route->maxFirstEventDelay > Duration(0) && !this->isAnswerBegun) {
        const auto patience = std::chrono::duration_cast<Duration>(this->route->maxFirstEventDelay
                                                                   * (1 - reservedAnswerShare));
        waitDeadline = std::min(waitDeadline, this->request.arrival + patience);
    }
    UpstreamSelection selection;
    selection.refusal = Error(ErrorKind::ColdStartUnavailable, "no upstream holds the target");
    selection.retryAfter = noUpstreamRetryAfter;
    if (this->isTargetHeldOnlyByTried())
        co_return selection;
    DemandTracker &demand = this->gateway.demand;
    demand.recordWaitStart(this->target, waitDeadline);
    if (this->gateway.onTargetWait)
        this->gateway.onTargetWait();
    while (!this->isCallerGone && this->now() < waitDeadline) {
        if (this->gateway.refusingWaitingRequests) {
            selection.refusal = Error(ErrorKind::Draining, "this instance stops");
            selection.retryAfter = Duration(0);
            break;
        }
        const std::optional<TargetPromise> promise = demand.promise(this->target);
        const bool isTargetReported = this->isTargetReported();
        if (!isTargetReported && promise && promise->readyAt > waitDeadline) {
            selection.retryAfter = promise->readyAt - this->now();
            break;
        }
        if (!isTargetReported && !promise && this->now() >= waitStart + ownerReplyTimeout) {
            selection.refusal = Error(ErrorKind::NotOwner, "the owner of the placement is silent");
            selection.retryAfter = noOwnerRetryAfter;
            break;
        }
        TimePoint until
                = promise ? waitDeadline : std::min(waitDeadline, waitStart + ownerReplyTimeout);
        if (isTargetReported)
            until = std::min(waitDeadline, this->now() + refusedTargetRetryDelay);
        co_await this->gateway.change.wait(until);
        selection.upstream = this->gateway.selector.pickUpstream(this->buildSelectionQuery(),
                                                                 this->gateway.health, this->now());
        if (selection.upstream)
            break;
    }
    demand.recordWaitEnd(this->target, waitDeadline);
    this->gateway.requestMetrics.targetWait.record(this->now() - waitStart);
    this->log(LogLevel::Info, "waited for target",
              selection.upstream ? "held" : selection.refusal->row().code,
              {"waited_ms", formatMilliseconds(this->now() - waitStart)});
    co_return selection;
}

} // namespace bamboochute::gateway
