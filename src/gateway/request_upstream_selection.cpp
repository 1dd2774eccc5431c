#include "gateway/exchange_limits.hpp"
#include "gateway/log_fields.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using upstream::Awaitable;

/// Time to wait for a promise of the placement owner before the request is refused.
constexpr Duration ownerReplyTimeout = std::chrono::milliseconds(700);
/// Share of the time for a request that is kept for its answer; the rest may be spent waiting for
/// the target.
constexpr double reservedAnswerShare = 0.15;
/// Older reports of an engine's queue are ignored; the placement owner sends one every second.
constexpr Duration queueReportMaxAge = std::chrono::seconds(3);
/// Lower bound of Retry-After when an engine's queue is too long.
constexpr Duration minQueueRetryAfter = std::chrono::milliseconds(300);
/// Times that a request waits for a permit: others may take the one that it waits for.
constexpr std::uint32_t maxPermitWaits = 3;
/// Retry-After while the placement owner does not respond; a new owner takes over within seconds.
constexpr Duration noOwnerRetryAfter = std::chrono::milliseconds(1500);

} // namespace

SelectionQuery RequestExchange::buildSelectionQuery() const
{
    SelectionQuery query;
    const UpstreamTable &table = this->gateway.table;
    query.candidates = this->isEngineTarget() ? table.findHolding(this->service->id,
                                                                  this->target.target, this->now())
                                              : table.findServing(this->service->id);
    this->removeOtherVersions(query.candidates);
    std::erase_if(query.candidates, [this](const UpstreamTable::Entry *entry) {
        return this->isUnreached(*entry) || this->pauseOf(*entry).has_value();
    });
    query.excluded = this->triedUpstreams;
    query.excluded.insert(query.excluded.end(), this->exhaustedUpstreams.begin(),
                          this->exhaustedUpstreams.end());
    this->passOverUnrecorded(query.candidates);
    if (this->gateway.pace.isEnabled()) {
        this->passOverLimited(query.candidates);
        query.pace = &this->gateway.pace;
    }
    if (this->isEngineTarget()) {
        query.affinityKey = this->attributes.sharedPromptHash;
        // The placement owner can have the target loaded at another upstream. One that was given up
        // for its silence is avoided because of that.
        query.isHealthRequired = !this->mustReturn;
    }
    return query;
}

/// Upstreams of the service that may get the request, whatever they hold.
std::vector<const UpstreamTable::Entry *> RequestExchange::findServing() const
{
    std::vector<const UpstreamTable::Entry *> serving
            = this->gateway.table.findServing(this->service->id);
    this->removeOtherVersions(serving);
    return serving;
}

/// Removes the upstreams at which the stream can't go on because of their software version, or
/// because no further one may run the request.
void RequestExchange::removeOtherVersions(std::vector<const UpstreamTable::Entry *> &entries) const
{
    if (this->mustReturn)
        std::erase_if(entries, [this](const UpstreamTable::Entry *entry) {
            return entry->process() != this->givenUp;
        });
    if (!this->requiredVersion)
        return;
    std::erase_if(entries, [this](const UpstreamTable::Entry *entry) {
        const SoftwareVersion version = entry->softwareVersion();
        return version.isEmpty() || version != *this->requiredVersion;
    });
}

/// Removes the upstreams of versions that the store does not hold yet if others can take a stream
/// that begins: an instance that starts must know of the version when the caller takes it up.
void RequestExchange::passOverUnrecorded(std::vector<const UpstreamTable::Entry *> &entries) const
{
    if (!this->route->isResumable || this->requiredVersion)
        return;
    const auto isUnrecorded = [this](const UpstreamTable::Entry *entry) {
        const SoftwareVersion version = entry->softwareVersion();
        return !version.isEmpty()
               && this->gateway.versions.isUnrecorded(this->service->id, version, this->now());
    };
    const bool hasOthers
            = std::any_of(entries.begin(), entries.end(), [&](const UpstreamTable::Entry *entry) {
                  const UpstreamId &id = entry->registered.id;
                  return !isUnrecorded(entry) && !this->isExcluded(id)
                         && !this->gateway.health.isAvoided(id, this->now());
              });
    if (hasOthers)
        std::erase_if(entries, isUnrecorded);
}

/// Removes the upstreams that have started or recovered and have no place for the request if others
/// can take it, and those that are probed if it must run at most once.
void RequestExchange::passOverLimited(std::vector<const UpstreamTable::Entry *> &entries) const
{
    const bool mayBeRetried = this->route->kind != RequestKind::NonIdempotent;
    PaceMeter &pace = this->gateway.pace;
    if (!mayBeRetried)
        std::erase_if(entries, [&](const UpstreamTable::Entry *entry) {
            return pace.isProbed(entry->process(), this->now());
        });
    const auto hasPlace = [&](const UpstreamTable::Entry *entry) {
        return pace.hasPlace(entry->process(), mayBeRetried, this->now());
    };
    const bool hasOthers
            = std::any_of(entries.begin(), entries.end(), [&](const UpstreamTable::Entry *entry) {
                  const UpstreamId &id = entry->registered.id;
                  return hasPlace(entry) && !this->isExcluded(id)
                         && !this->gateway.health.isAvoided(id, this->now());
              });
    std::erase_if(entries, [&](const UpstreamTable::Entry *entry) {
        if (hasPlace(entry))
            return false;
        pace.recordWanted(this->service->id, entry->process());
        return hasOthers;
    });
}

/// Time until an upstream takes requests again from this instance; unset when it does.
std::optional<Duration> RequestExchange::pauseOf(const UpstreamTable::Entry &entry) const
{
    return this->gateway.pauses.waitFor(entry.process(), this->now());
}

/// Time until the first of the upstreams for the request that all pause takes requests again; unset
/// when there are none, or not all of them pause.
std::optional<Duration> RequestExchange::findPauseEnd() const
{
    std::optional<Duration> earliest;
    for (const UpstreamTable::Entry *entry : this->findServing()) {
        if (this->isExcluded(entry->registered.id) || this->isUnreached(*entry)
            || (this->isEngineTarget() && !entry->residency.holds(this->target.target)))
            continue;
        const std::optional<Duration> pause = this->pauseOf(*entry);
        if (!pause)
            return std::nullopt;
        earliest = std::min(earliest.value_or(*pause), *pause);
    }
    return earliest;
}

/// Whether the next attempt of the request is not to be made at an upstream.
bool RequestExchange::isExcluded(const UpstreamId &id) const
{
    const auto &exhausted = this->exhaustedUpstreams;
    return this->wasTried(id)
           || std::find(exhausted.begin(), exhausted.end(), id) != exhausted.end();
}

/// Whether an upstream has read the request, or has refused it for good.
bool RequestExchange::wasTried(const UpstreamId &id) const
{
    const auto &tried = this->triedUpstreams;
    return std::find(tried.begin(), tried.end(), id) != tried.end();
}

/// Whether the request could not be brought to the present process of an upstream, and can't be
/// yet.
bool RequestExchange::isUnreached(const UpstreamTable::Entry &entry) const
{
    const UpstreamProcess process = entry.process();
    const auto contains = [&process](const std::vector<UpstreamProcess> &processes) {
        return std::find(processes.begin(), processes.end(), process) != processes.end();
    };
    if (contains(this->replacedProcesses))
        return true;
    // Another upstream can take a request that needs no model.
    return contains(this->unreachedProcesses)
           && (!this->isEngineTarget()
               || this->gateway.health.isUnreachable(entry.registered.id, this->now())
               || this->gateway.quarantine.crashDetector().hasEnded(process));
}

/// Whether an upstream's process has probably ended, and with it what it held.
bool RequestExchange::isGone(const UpstreamTable::Entry &entry) const
{
    return this->isUnreached(entry)
           || this->gateway.health.isUnreachable(entry.registered.id, this->now())
           || this->gateway.quarantine.crashDetector().hasEnded(entry.process());
}

/// Selects an upstream and, if it has named a limit, gets a permit to send the request there; goes
/// on to the next best one while there is none.
Awaitable<RequestExchange::UpstreamSelection> RequestExchange::selectPermittedUpstream()
{
    this->exhaustedUpstreams.clear();
    std::optional<std::pair<Duration, UpstreamProcess>> nextPermit;
    while (true) {
        UpstreamSelection selection = co_await this->selectUpstream();
        const UpstreamTable::Entry *entry
                = selection.upstream ? this->gateway.table.find(*selection.upstream) : nullptr;
        const bool isWaiting = !selection.upstream && nextPermit
                               && this->gateway.brittle.isBrittle(nextPermit->second)
                               && co_await this->waitForPermit(nextPermit->first);
        if (isWaiting) {
            this->exhaustedUpstreams.clear();
            nextPermit.reset();
            continue;
        }
        if (!selection.upstream && nextPermit) {
            const auto &[nextIn, process] = *nextPermit;
            selection.refusal = Error(ErrorKind::NoCapacity,
                                      fmt::format("upstream {} takes no more requests now",
                                                  process.upstream.value()));
            // The target may be loaded elsewhere before that.
            selection.retryAfter
                    = std::min(this->gateway.upstreamLimits.recordRefusal(process, nextIn),
                               this->isEngineTarget() ? selection.retryAfter : Duration::max());
        }
        if (entry == nullptr || this->isCallerGone)
            co_return selection;
        const UpstreamProcess process = entry->process();
        const PermitDecision permit = co_await this->gateway.upstreamLimits.acquire(process);
        if (permit.isGranted)
            co_return selection;
        this->exhaustedUpstreams.push_back(process.upstream);
        if (!nextPermit || permit.nextIn < nextPermit->first)
            nextPermit.emplace(permit.nextIn, process);
    }
}

/// Waits for the next permit if the request can still be answered within its objective.
/// @return false if it is not worth waiting
Awaitable<bool> RequestExchange::waitForPermit(Duration nextIn)
{
    const TimePoint until = this->now() + nextIn;
    const TimePoint latest
            = std::min(this->deadline, this->request.arrival + this->route->objective);
    if (this->permitWaits >= maxPermitWaits || until > latest)
        co_return false;
    ++this->permitWaits;
    const auto isGivenUp
            = [this] { return this->isEnding() || this->gateway.refusingWaitingRequests; };
    while (this->now() < until && !isGivenUp())
        co_await this->gateway.change.wait(until);
    co_return !isGivenUp();
}

/// Waits while all upstreams for the request pause, as long as it can still be answered in time.
Awaitable<void> RequestExchange::waitForPauseEnd()
{
    const TimePoint latest
            = std::min(this->deadline, this->request.arrival + this->route->objective);
    while (!this->isEnding() && !this->gateway.refusingWaitingRequests) {
        const std::optional<Duration> pause = this->findPauseEnd();
        if (!pause || this->now() + *pause > latest)
            co_return;
        co_await this->gateway.change.wait(this->now() + *pause);
    }
}

Awaitable<RequestExchange::UpstreamSelection> RequestExchange::selectUpstream()
{
    UpstreamSelection selection;
    co_await this->waitForPauseEnd();
    if (this->gateway.endingRequests) {
        selection.refusal = Error(ErrorKind::Draining, "this instance is shutting down");
        co_return selection;
    }
    const SelectionQuery query = this->buildSelectionQuery();
    this->candidateCount = query.candidates.size();
    selection.upstream
            = this->gateway.selector.pickUpstream(query, this->gateway.health, this->now());
    if (selection.upstream && this->sends == 0) {
        const std::optional<Duration> retryAfter
                = this->computeQueueRetryAfter(*selection.upstream);
        if (retryAfter) {
            this->attempt.waitingAhead
                    = this->gateway.table.find(*selection.upstream)->load.waiting;
            selection.refusal
                    = Error(ErrorKind::NoCapacity,
                            fmt::format("{} requests wait at upstream {}",
                                        this->attempt.waitingAhead, selection.upstream->value()));
            selection.retryAfter = *retryAfter;
            selection.upstream.reset();
        }
        co_return selection;
    }
    if (selection.upstream)
        co_return selection;
    const std::optional<Duration> pause = this->findPauseEnd();
    if (pause) {
        selection.refusal = Error(ErrorKind::NoCapacity, "all upstreams asked for a pause");
        selection.retryAfter = *pause
                               + Duration(this->gateway.random.below(
                                       static_cast<std::uint64_t>(minQueueRetryAfter.count())));
        co_return selection;
    }
    if (this->isEngineTarget()) {
        selection = co_await this->waitForTarget();
        co_return selection;
    }
    selection.refusal
            = Error(ErrorKind::UpstreamUnavailable, "no upstream of the service is available");
    selection.retryAfter = noUpstreamRetryAfter;
    co_return selection;
}

/// Returns the Retry-After of a request whose first event would be too late because of the engine's
/// queue; unset when the request may be sent.
std::optional<Duration> RequestExchange::computeQueueRetryAfter(const UpstreamId &id) const
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(id);
    if (!this->isEngineTarget() || entry == nullptr || entry->load.waiting == 0
        || entry->loadReportedAt + queueReportMaxAge < this->now())
        return std::nullopt;
    const EngineQueue queue{entry->load.waiting, this->index->countLessUrgentPriorities(
                                                         this->service->id, this->priority())};
    const std::optional<Duration> lateness = this->gateway.forecast.predictLateness(
            this->service->id, queue, this->route->objective);
    if (!lateness)
        return std::nullopt;
    // A random delay of up to the same length keeps callers that are refused together from
    // returning together.
    const Duration pause = std::max(minQueueRetryAfter, *lateness);
    return pause + Duration(this->gateway.random.below(static_cast<std::uint64_t>(pause.count())));
}

/// Whether an upstream had no permit for the request, and another one that takes any number could
/// be given its target.
bool RequestExchange::isReplaceable(const UpstreamId &id) const
{
    if (std::find(this->exhaustedUpstreams.begin(), this->exhaustedUpstreams.end(), id)
        == this->exhaustedUpstreams.end())
        return false;
    const auto serving = this->findServing();
    return std::any_of(serving.begin(), serving.end(), [this](const auto *entry) {
        return !this->gateway.upstreamLimits.isLimited(entry->process());
    });
}

/// Whether an upstream that may get the request is reported to hold the target, even if it recently
/// refused it.
bool RequestExchange::isTargetReported() const
{
    const auto serving = this->findServing();
    return std::any_of(serving.begin(), serving.end(), [this](const auto *entry) {
        const UpstreamId &id = entry->registered.id;
        return entry->residency.holds(this->target.target) && !this->isReplaceable(id)
               && !this->isGone(*entry) && !this->wasTried(id);
    });
}

/// Whether the target is held, but only by upstreams where the request has already failed, or that
/// have no permit for it or pause. What only ended ones held can be loaded elsewhere.
bool RequestExchange::isTargetHeldOnlyByExcluded() const
{
    bool isHeld = false;
    for (const UpstreamTable::Entry *entry : this->findServing()) {
        if (!entry->residency.holds(this->target.target)
            || this->isReplaceable(entry->registered.id))
            continue;
        if (this->isGone(*entry))
            continue;
        isHeld = true;
        if (!this->isExcluded(entry->registered.id) && !this->pauseOf(*entry))
            return false;
    }
    return isHeld;
}

/// Latest time until which the request may wait for its target: its deadline and the patience of
/// its caller, who leaves a stream without a first or a further event.
TimePoint RequestExchange::targetWaitDeadline() const
{
    const auto reservedForAnswer = std::chrono::duration_cast<Duration>(
            (this->deadline - this->request.arrival) * reservedAnswerShare);
    const TimePoint latest = this->deadline - reservedForAnswer;
    if (this->route->maxFirstEventDelay <= Duration(0))
        return latest;
    const auto maxWait = std::chrono::duration_cast<Duration>(this->route->maxFirstEventDelay
                                                              * (1 - reservedAnswerShare));
    return std::min(latest, std::max(this->request.arrival, this->lastEventAt) + maxWait);
}

/// When an upstream that holds the target and could not be reached may be tried again; at the
/// latest time when there is none.
TimePoint RequestExchange::nextHolderTry() const
{
    TimePoint next = TimePoint::max();
    for (const UpstreamTable::Entry *entry : this->findServing()) {
        const UpstreamId &id = entry->registered.id;
        if (entry->residency.holds(this->target.target)
            && this->gateway.health.isUnreachable(id, this->now()))
            next = std::min(next, this->gateway.health.avoidedUntil(id));
    }
    return next;
}

/// Whether an upstream that held the target has probably ended a moment ago.
bool RequestExchange::hasHolderEnded() const
{
    const auto serving = this->findServing();
    return std::any_of(serving.begin(), serving.end(), [this](const auto *entry) {
        return entry->residency.holds(this->target.target) && this->isGone(*entry);
    });
}

/// Whether no upstream of the version that began the stream serves any more.
bool RequestExchange::isVersionGone() const
{
    return this->requiredVersion && this->findServing().empty();
}

/// Whether the stream may go back to its silent upstream only, and that one has ended.
bool RequestExchange::isReturnLost() const
{
    const auto serving = this->findServing();
    return this->mustReturn
           && std::all_of(serving.begin(), serving.end(),
                          [this](const auto *entry) { return this->isGone(*entry); });
}

/// Waits until it is known whether the upstreams that hold the target and broke the request have
/// ended: then another one can be given it.
Awaitable<void> RequestExchange::waitForCrashVerdict()
{
    const TimePoint until = std::min(this->deadline, this->now() + crashVerdictTimeout);
    const CrashDetector &detector = this->gateway.quarantine.crashDetector();
    const auto isUndecided = [&] {
        const auto serving = this->findServing();
        return std::any_of(serving.begin(), serving.end(), [&](const auto *entry) {
            return entry->residency.holds(this->target.target)
                   && this->wasTried(entry->registered.id) && !this->isGone(*entry)
                   && detector.isUndecidedFor(entry->process());
        });
    };
    while (!this->isEnding() && this->now() < until && isUndecided())
        co_await this->gateway.change.wait(until);
}

/// Waits until a usable upstream holds the target, as long as there is time left for the answer.
Awaitable<RequestExchange::UpstreamSelection> RequestExchange::waitForTarget()
{
    const TimePoint waitStart = this->now();
    const TimePoint waitDeadline = this->targetWaitDeadline();
    const bool wasCutOff = this->gateway.forwarding.isCutOff(this->service->id);
    // An upstream that has crashed is back within seconds as a rule, with copies of what it held.
    bool isReturnAwaited = false;
    UpstreamSelection selection;
    selection.refusal = Error(ErrorKind::ColdStartUnavailable,
                              "no usable upstream holds the model or adapter");
    selection.retryAfter = noUpstreamRetryAfter;
    if (this->isTargetHeldOnlyByExcluded())
        co_await this->waitForCrashVerdict();
    if (this->isReturnLost() || this->isTargetHeldOnlyByExcluded())
        co_return selection;
    ServiceTarget wanted = this->target;
    wanted.version = this->requiredVersion.value_or(SoftwareVersion());
    DemandTracker &demand = this->gateway.demand;
    demand.recordWaitStart(wanted, waitDeadline);
    if (this->gateway.onTargetWait)
        this->gateway.onTargetWait();
    while (!this->isCallerGone && this->now() < waitDeadline) {
        if (this->gateway.refusingWaitingRequests) {
            selection.refusal = Error(ErrorKind::Draining, "this instance is shutting down");
            selection.retryAfter = Duration(0);
            break;
        }
        if (!this->forwarded && !wasCutOff
            && this->gateway.forwarding.isCutOff(this->service->id)) {
            selection.isCutOff = true;
            break;
        }
        if (this->isVersionGone()) {
            selection.refusal = Error(ErrorKind::UpstreamUnavailable,
                                      fmt::format("no upstream of software version \"{}\" serves",
                                                  this->requiredVersion->value()));
            break;
        }
        const std::optional<TargetPromise> promise = demand.promise(wanted);
        const bool isTargetReported = this->isTargetReported();
        isReturnAwaited = isReturnAwaited || (this->requiredVersion && this->hasHolderEnded());
        if (!isTargetReported && !isReturnAwaited && promise && promise->readyAt > waitDeadline) {
            selection.retryAfter = promise->readyAt - this->now();
            break;
        }
        if (!isTargetReported && !promise && this->now() >= waitStart + ownerReplyTimeout) {
            selection.refusal = Error(ErrorKind::NotOwner, "the placement owner has not responded");
            selection.retryAfter = noOwnerRetryAfter;
            break;
        }
        TimePoint until
                = promise ? waitDeadline : std::min(waitDeadline, waitStart + ownerReplyTimeout);
        if (isTargetReported)
            until = std::min(waitDeadline, this->now() + refusedTargetRetryDelay);
        else
            until = std::min(until, this->nextHolderTry());
        co_await this->gateway.change.wait(until);
        selection.upstream = this->gateway.selector.pickUpstream(this->buildSelectionQuery(),
                                                                 this->gateway.health, this->now());
        if (selection.upstream)
            break;
    }
    demand.recordWaitEnd(wanted, waitDeadline);
    this->gateway.requestMetrics.targetWait.record(this->now() - waitStart);
    this->log(LogLevel::Info, "waited for target",
              selection.upstream ? "held" : selection.refusal->row().code,
              {"waited_ms", formatMilliseconds(this->now() - waitStart)});
    co_return selection;
}

} // namespace bamboochute::gateway
