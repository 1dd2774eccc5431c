#include "gateway/exchange_limits.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using upstream::Awaitable;

/// Time in which the owner of the placement answers a request for a target.
constexpr Duration ownerPatience = std::chrono::milliseconds(700);
/// Time that is left for the answer when a target becomes available, as a share of the deadline.
constexpr double reservedShare = 0.15;
/// A report of an engine's queue is relied on for so long; the owner repeats it every second.
constexpr Duration queueReportTime = std::chrono::seconds(3);
/// Least time after which a request that the queue is too long for may come back.
constexpr Duration leastQueueRetry = std::chrono::milliseconds(300);
/// When callers may come back while the owner is silent; a new one is there within seconds.
constexpr Duration noOwnerRetry = std::chrono::milliseconds(1500);

} // namespace

ChoiceQuery RequestExchange::query() const
{
    ChoiceQuery query;
    const UpstreamTable &table = this->gateway.table;
    query.candidates = this->isEngineTarget()
                               ? table.holding(this->service->id, this->target.target, this->now())
                               : table.serving(this->service->id);
    query.excluded = this->tried;
    if (this->isEngineTarget()) {
        query.affinity = this->attributes.sharedPromptHash;
        // The owner of the placement can bring the target up elsewhere.
        query.isHealthRequired = true;
    }
    return query;
}

/// Whether another healthy upstream could take the request over.
bool RequestExchange::hasAlternative() const
{
    const ChoiceQuery query = this->query();
    return std::any_of(query.candidates.begin(), query.candidates.end(), [&](const auto *entry) {
        const UpstreamId &id = entry->registered.id;
        return id != this->current && !this->gateway.health.isAvoided(id, this->now())
               && std::find(this->tried.begin(), this->tried.end(), id) == this->tried.end();
    });
}

Awaitable<RequestExchange::Placement> RequestExchange::place()
{
    Placement placement;
    const ChoiceQuery query = this->query();
    this->candidates = query.candidates.size();
    placement.upstream = this->gateway.choice.pick(query, this->gateway.health, this->now());
    if (placement.upstream && this->sends == 0) {
        const std::optional<Duration> retry = this->queueRetry(*placement.upstream);
        if (retry) {
            this->waitingAhead = this->gateway.table.find(*placement.upstream)->load.waiting;
            placement.refusal = Error(ErrorKind::NoCapacity,
                                      fmt::format("{} requests wait at {}", this->waitingAhead,
                                                  placement.upstream->value()));
            placement.retryAfter = *retry;
            placement.upstream.reset();
        }
        co_return placement;
    }
    if (placement.upstream)
        co_return placement;
    if (this->isEngineTarget()) {
        placement = co_await this->waitForTarget();
        co_return placement;
    }
    placement.refusal
            = Error(ErrorKind::UpstreamUnavailable, "no upstream of the service is there");
    placement.retryAfter = noUpstreamRetry;
    co_return placement;
}

/// When the request may come back if the queue at the engine makes its first event too late;
/// nothing when it may be sent.
std::optional<Duration> RequestExchange::queueRetry(const UpstreamId &id) const
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(id);
    if (!this->isEngineTarget() || entry == nullptr || entry->load.waiting == 0
        || entry->loadAt + queueReportTime < this->now())
        return std::nullopt;
    const EngineQueue queue{entry->load.waiting,
                            this->index->lessUrgentRanks(this->service->id, this->route->priority)};
    const std::optional<Duration> excess
            = this->gateway.forecast.excess(this->service->id, queue, this->route->objective);
    if (!excess)
        return std::nullopt;
    // Spread over twice the time, so that those who are refused together don't return together.
    const Duration pause = std::max(leastQueueRetry, *excess);
    return pause + Duration(this->gateway.random.below(static_cast<std::uint64_t>(pause.count())));
}

/// Whether an upstream is said to hold the target, even if it refused it a moment ago.
bool RequestExchange::isClaimed() const
{
    const auto serving = this->gateway.table.serving(this->service->id);
    return std::any_of(serving.begin(), serving.end(), [this](const auto *entry) {
        return entry->residency.holds(this->target.target);
    });
}

/// Whether the target is held, and only where the request has failed before.
bool RequestExchange::isHeldOnlyByTried() const
{
    bool isHeld = false;
    for (const UpstreamTable::Entry *entry : this->gateway.table.serving(this->service->id)) {
        if (!entry->residency.holds(this->target.target))
            continue;
        isHeld = true;
        const UpstreamId &id = entry->registered.id;
        if (std::find(this->tried.begin(), this->tried.end(), id) == this->tried.end())
            return false;
    }
    return isHeld;
}

/// Waits until an upstream holds the target, as long as the answer can still come in time.
Awaitable<RequestExchange::Placement> RequestExchange::waitForTarget()
{
    const TimePoint began = this->now();
    const auto reserved = std::chrono::duration_cast<Duration>(
            (this->deadline - this->request.arrival) * reservedShare);
    TimePoint latest = this->deadline - reserved;
    if (this->route->maxFirstEventDelay > Duration(0) && !this->isAnswerBegun) {
        const auto patience = std::chrono::duration_cast<Duration>(this->route->maxFirstEventDelay
                                                                   * (1 - reservedShare));
        latest = std::min(latest, this->request.arrival + patience);
    }
    Placement placement;
    placement.refusal = Error(ErrorKind::ColdStartUnavailable, "no upstream holds the target");
    placement.retryAfter = noUpstreamRetry;
    if (this->isHeldOnlyByTried())
        co_return placement;
    DemandTracker &demand = this->gateway.demand;
    demand.waitBegan(this->target, latest);
    if (this->gateway.onTargetWait)
        this->gateway.onTargetWait();
    while (!this->isCallerGone && this->now() < latest) {
        if (this->gateway.refusing) {
            placement.refusal = Error(ErrorKind::Draining, "this instance stops");
            placement.retryAfter = Duration(0);
            break;
        }
        const std::optional<TargetPromise> promise = demand.promise(this->target);
        const bool isClaimed = this->isClaimed();
        if (!isClaimed && promise && promise->readyAt > latest) {
            placement.retryAfter = promise->readyAt - this->now();
            break;
        }
        if (!isClaimed && !promise && this->now() >= began + ownerPatience) {
            placement.refusal = Error(ErrorKind::NotOwner, "the owner of the placement is silent");
            placement.retryAfter = noOwnerRetry;
            break;
        }
        TimePoint until = promise ? latest : std::min(latest, began + ownerPatience);
        if (isClaimed)
            until = std::min(latest, this->now() + targetRefusalTime);
        co_await this->gateway.change.wait(until);
        placement.upstream
                = this->gateway.choice.pick(this->query(), this->gateway.health, this->now());
        if (placement.upstream)
            break;
    }
    demand.waitEnded(this->target, latest);
    this->gateway.latencies.targetWait.record(this->now() - began);
    this->log(LogLevel::Info, "waited for target",
              placement.upstream ? "held" : placement.refusal->row().code,
              {"waited_ms", millis(this->now() - began)});
    co_return placement;
}

} // namespace bamboochute::gateway
