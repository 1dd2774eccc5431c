#include "caller/admission_control.hpp"

#include "caller/classification.hpp"
#include "core/invariant.hpp"
#include "core/overloaded.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

/// Weight of the newest value in the exponential moving average.
constexpr double smoothingFactor = 0.1;
/// Bound of the memory: the smoothed times are cleared when there are this many targets.
constexpr std::size_t maxTrackedTargets = 1 << 15;

TimePoint currentTime()
{
    return SteadyClock().now();
}

void updateSmoothedSeconds(std::map<Target, double> &seconds, const Target &target,
                           Duration latency)
{
    if (seconds.size() >= maxTrackedTargets)
        seconds.clear();
    const auto [entry, isNew] = seconds.try_emplace(target, toSeconds(latency));
    if (!isNew)
        entry->second += smoothingFactor * (toSeconds(latency) - entry->second);
}

} // namespace

AdmissionControl::AdmissionControl(DataCentreId dataCentre, std::uint64_t seed, const Ports &ports,
                                   Metrics &metrics)
    : ports(ports)
    , ejector(metrics)
    , router(std::move(dataCentre), seed)
    , retries(metrics, seed)
{}

void AdmissionControl::update(const TrafficSnapshotPointer &newSnapshot)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        const bool hasNewClasses
                = !this->snapshot || this->snapshot->configuration != newSnapshot->configuration;
        this->snapshot = newSnapshot;
        if (hasNewClasses) {
            for (const Deployment &deployment : newSnapshot->configuration->deployments)
                this->queueOf(deployment.id).configure(deployment.callerClasses);
        }
        this->router.update(newSnapshot->routing);
        this->router.setShare(newSnapshot->instanceIndex, newSnapshot->instanceCount);
        this->ejector.update(*newSnapshot->routing);
        std::vector<UpstreamId> known;
        known.reserve(newSnapshot->routing->upstreams.size());
        for (const auto &[id, state] : newSnapshot->routing->upstreams)
            known.push_back(id);
        this->retries.retainUpstreams(known);
        this->processQueues(currentTime(), deferred);
        this->demandMissingColdStarts(deferred);
    }
    runDeferred(deferred);
}

admission::RequestQueue &AdmissionControl::queueOf(const DeploymentId &deployment)
{
    return this->queues.try_emplace(deployment, std::vector<CallerClass>()).first->second;
}

std::vector<UpstreamId> AdmissionControl::candidates(const Target &target) const
{
    const std::optional<PoolId> pool = servicePool(target);
    return pool ? this->router.services(*pool) : this->router.replicas(target);
}

admission::RouteQuery AdmissionControl::routeQuery(const DeploymentId &deploymentId,
                                                   const CallerClassId &classId,
                                                   const Target &target,
                                                   std::uint64_t prefixHash) const
{
    admission::RouteQuery query;
    query.candidates = this->candidates(target);
    query.prefix = prefixHash;
    const std::uint32_t slots = this->router.slots(query.candidates);
    for (const Deployment &deployment : this->snapshot->configuration->deployments) {
        if (deployment.id != deploymentId)
            continue;
        const std::vector<CallerClass> &classes = deployment.callerClasses;
        for (const CallerClass &callerClass : classes) {
            if (callerClass.id != classId)
                continue;
            query.headroom = admission::headroomFor(callerClass, classes, slots);
            query.overflow = admission::overflowFor(callerClass, classes);
        }
    }
    return query;
}

UpstreamPointer AdmissionControl::pickUpstream(const admission::RouteQuery &query, TimePoint now)
{
    const std::optional<UpstreamId> picked = this->router.pick(query, this->ejector, now);
    if (!picked)
        return nullptr;
    this->router.recordStart(*picked, now);
    this->ejector.recordStart(*picked, now);
    const auto found = this->snapshot->routing->upstreams.find(*picked);
    BC_INVARIANT(found != this->snapshot->routing->upstreams.end(),
                 "the picked upstream is not in the routing table");
    return UpstreamPointer(this->snapshot->routing, &found->second);
}

UpstreamPointer AdmissionControl::tryAdmit(const AdmissionRequest &request)
{
    const std::lock_guard lock(this->mutex);
    ++this->usageOf(request.deployment, request.target).arrived;
    if (this->queueOf(request.deployment).waitingCount(request.target) > 0)
        return nullptr;
    UpstreamPointer picked = this->pickUpstream(this->routeQuery(request), currentTime());
    if (!picked)
        return nullptr;
    ++this->usageOf(request.deployment, request.target).inFlight;
    return picked;
}

Result<Ticket> AdmissionControl::enqueue(const AdmissionRequest &request,
                                         AdmissionCallback admitted)
{
    Deferred deferred;
    Ticket publicTicket;
    {
        const std::lock_guard lock(this->mutex);
        const bool hasNoUpstream = this->candidates(request.target).empty();
        if (const auto pool = servicePool(request.target); pool && hasNoUpstream)
            return Error(ErrorKind::UpstreamUnavailable,
                         fmt::format("pool \"{}\" has no service", pool->value()));
        admission::WaitingRequest waiting;
        waiting.callerClass = request.callerClass;
        waiting.target = request.target;
        waiting.deadline = request.deadline;
        waiting.expectedService = this->expectedServiceTime(request.target, request.isStream);
        waiting.bytes = request.bytes;
        BOOST_OUTCOME_TRY(
                ticket, this->queueOf(request.deployment).offer(std::move(waiting), currentTime()));
        this->lastTicket = this->lastTicket.next();
        publicTicket = this->lastTicket;
        const WaiterKey key{request.deployment, ticket};
        this->keyByTicket.emplace(publicTicket, key);
        Waiter &waiter = this->waiters[key];
        waiter = Waiter{publicTicket, request, std::move(admitted), false};
        ++this->usageOf(request.deployment, request.target).waiting;
        if (hasNoUpstream)
            this->demandColdStart(waiter, deferred);
        this->processQueues(currentTime(), deferred);
    }
    runDeferred(deferred);
    return publicTicket;
}

bool AdmissionControl::cancelWait(Ticket ticket)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->keyByTicket.find(ticket);
        if (found == this->keyByTicket.end())
            return false;
        const WaiterKey key = found->second;
        this->queueOf(key.deployment).remove(key.ticket);
        this->waiters.at(key).admitted = [](const Result<UpstreamPointer> &) {};
        this->resolveWaiter(key, Error(ErrorKind::CallerGone), deferred);
    }
    runDeferred(deferred);
    return true;
}

void AdmissionControl::recordFirstAttempt(const CallerClassId &callerClass,
                                          const UpstreamId &upstream)
{
    const std::lock_guard lock(this->mutex);
    this->retries.recordFirstAttempt(callerClass, upstream);
}

RoutedRetryDecision AdmissionControl::decideRetry(const AdmissionRequest &request,
                                                  admission::FailedAttempt attempt,
                                                  const std::vector<UpstreamId> &tried)
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = currentTime();
    admission::RouteQuery query = this->routeQuery(request);
    query.excluded = tried;
    std::optional<UpstreamId> next = this->router.pick(query, this->ejector, now);
    if (!next) {
        query.excluded.clear();
        next = this->router.pick(query, this->ejector, now);
    }
    if (!next)
        return admission::RetryRefusal::UpstreamBudgetExhausted;
    attempt.nextUpstream = *next;
    attempt.expectedService = this->expectedServiceTime(request.target, request.isStream);
    const admission::RetryDecision decision = this->retries.decide(attempt, now);
    if (const auto *refusal = std::get_if<admission::RetryRefusal>(&decision))
        return *refusal;
    this->router.recordStart(*next, now);
    this->ejector.recordStart(*next, now);
    ++this->usageOf(request.deployment, request.target).inFlight;
    const auto found = this->snapshot->routing->upstreams.find(*next);
    BC_INVARIANT(found != this->snapshot->routing->upstreams.end(),
                 "the picked upstream is not in the routing table");
    return RetryGrant{UpstreamPointer(this->snapshot->routing, &found->second),
                      std::get<admission::RetryAfterDelay>(decision).delay};
}

bool AdmissionControl::acquireSlotAgain(const AdmissionRequest &request,
                                        const UpstreamPointer &upstream)
{
    const std::lock_guard lock(this->mutex);
    if (!this->snapshot->routing->upstreams.contains(upstream->spec.id))
        return false;
    this->router.recordStart(upstream->spec.id, currentTime());
    this->ejector.recordStart(upstream->spec.id, currentTime());
    ++this->usageOf(request.deployment, request.target).inFlight;
    return true;
}

void AdmissionControl::releaseSlot(const FinishedCall &call)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        const TimePoint now = currentTime();
        this->router.recordFinish(call.upstream);
        switch (call.outcome) {
        case CallOutcome::Succeeded:
            this->ejector.recordSuccess(call.upstream, call.latency, now);
            updateSmoothedSeconds(call.isStream ? this->firstByteSeconds : this->answerSeconds,
                                  call.target, call.latency);
            break;
        case CallOutcome::Failed:
            this->ejector.recordFailure(call.upstream, now);
            break;
        case CallOutcome::Neutral:
            this->ejector.recordCancellation(call.upstream);
            break;
        }
        --this->usageOf(call.deployment, call.target).inFlight;
        this->processQueues(now, deferred);
    }
    runDeferred(deferred);
}

void AdmissionControl::expireAndDispatch()
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        this->processQueues(currentTime(), deferred);
    }
    runDeferred(deferred);
}

void AdmissionControl::refuseAll(const Error &error)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        while (!this->waiters.empty()) {
            const WaiterKey key = this->waiters.begin()->first;
            this->queueOf(key.deployment).remove(key.ticket);
            this->resolveWaiter(key, error, deferred);
        }
    }
    runDeferred(deferred);
}

Ticket AdmissionControl::newTicket()
{
    const std::lock_guard lock(this->mutex);
    this->lastTicket = this->lastTicket.next();
    return this->lastTicket;
}

std::size_t AdmissionControl::waitingCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->waiters.size();
}

std::vector<TargetUsage> AdmissionControl::takeUsage()
{
    const std::lock_guard lock(this->mutex);
    std::vector<TargetUsage> taken;
    for (auto entry = this->usage.begin(); entry != this->usage.end();) {
        TargetUsage &targetUsage = entry->second;
        taken.push_back(targetUsage);
        targetUsage.arrived = 0;
        const bool isIdle = targetUsage.inFlight == 0 && targetUsage.waiting == 0;
        entry = isIdle ? this->usage.erase(entry) : std::next(entry);
    }
    return taken;
}

Duration AdmissionControl::expectedServiceTime(const Target &target, bool isStream) const
{
    const std::map<Target, double> &seconds
            = isStream ? this->firstByteSeconds : this->answerSeconds;
    const auto found = seconds.find(target);
    const double expected = found == seconds.end() ? 0.0 : found->second;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected));
}

void AdmissionControl::processQueues(TimePoint now, Deferred &deferred)
{
    if (this->waiters.empty())
        return;
    for (auto &[deployment, queue] : this->queues)
        this->processQueue(deployment, queue, now, deferred);
}

void AdmissionControl::processQueue(const DeploymentId &deployment, admission::RequestQueue &queue,
                                    TimePoint now, Deferred &deferred)
{
    this->refuseExpired(deployment, queue.expire(now), deferred);
    const auto canDispatch
            = [this, &deployment, now](const Target &target, const CallerClassId &callerClass) {
                  return this->router.canPick(this->routeQuery(deployment, callerClass, target, 0),
                                              this->ejector, now);
              };
    while (queue.size() > 0) {
        const std::optional<admission::QueuedRequest> next = queue.takeNext(now, canDispatch);
        if (!next)
            return;
        const WaiterKey key{deployment, next->ticket};
        const AdmissionRequest &request = this->waiters.at(key).request;
        const UpstreamPointer picked = this->pickUpstream(this->routeQuery(request), now);
        BC_INVARIANT(picked != nullptr, "a request left the queue without an upstream");
        ++this->usageOf(deployment, request.target).inFlight;
        this->resolveWaiter(key, picked, deferred);
    }
}

void AdmissionControl::refuseExpired(const DeploymentId &deployment,
                                     const std::vector<admission::ExpiredRequest> &expired,
                                     Deferred &deferred)
{
    for (const admission::ExpiredRequest &refused : expired)
        this->resolveWaiter(WaiterKey{deployment, refused.request.ticket}, refused.error, deferred);
}

void AdmissionControl::resolveWaiter(const WaiterKey &key, Result<UpstreamPointer> result,
                                     Deferred &deferred)
{
    const auto found = this->waiters.find(key);
    BC_INVARIANT(found != this->waiters.end(), "a waiting request is answered twice");
    Waiter waiter = std::move(found->second);
    this->waiters.erase(found);
    this->keyByTicket.erase(waiter.publicTicket);
    --this->usageOf(key.deployment, waiter.request.target).waiting;
    if (waiter.hasDemand)
        deferred.emplace_back(
                [this, ticket = waiter.publicTicket] { this->ports.withdrawColdStart(ticket); });
    deferred.emplace_back([admitted = std::move(waiter.admitted), result = std::move(result)] {
        admitted(result);
    });
}

void AdmissionControl::demandColdStart(Waiter &waiter, Deferred &deferred)
{
    if (servicePool(waiter.request.target))
        return;
    waiter.hasDemand = true;
    const ColdStartDemand demand{waiter.request.deployment, waiter.request.callerClass,
                                 waiter.request.target, waiter.request.deadline};
    deferred.emplace_back([this, ticket = waiter.publicTicket, demand] {
        const std::weak_ptr<AdmissionControl> self = this->weak_from_this();
        this->ports.demandColdStart(ticket, demand, [self, ticket](const ColdStartAnswer &answer) {
            if (const auto control = self.lock())
                control->handleColdStartAnswer(ticket, answer);
        });
    });
}

void AdmissionControl::demandMissingColdStarts(Deferred &deferred)
{
    for (auto &[key, waiter] : this->waiters) {
        if (!waiter.hasDemand && this->candidates(waiter.request.target).empty())
            this->demandColdStart(waiter, deferred);
    }
}

void AdmissionControl::handleColdStartAnswer(Ticket ticket, const ColdStartAnswer &answer)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->keyByTicket.find(ticket);
        if (found == this->keyByTicket.end())
            return;
        const WaiterKey key = found->second;
        admission::RequestQueue &queue = this->queueOf(key.deployment);
        std::visit(Overloaded{[&](const ColdStartExpected &expected) {
                                  const Target target = this->waiters.at(key).request.target;
                                  this->refuseExpired(key.deployment,
                                                      queue.expireUnreachable(target,
                                                                              expected.ready,
                                                                              currentTime()),
                                                      deferred);
                              },
                              [&](const Error &error) {
                                  queue.remove(key.ticket);
                                  this->resolveWaiter(key, error, deferred);
                              }},
                   answer);
    }
    runDeferred(deferred);
}

TargetUsage &AdmissionControl::usageOf(const DeploymentId &deployment, const Target &target)
{
    TargetUsage &targetUsage = this->usage[UsageKey{deployment, target}];
    targetUsage.deployment = deployment;
    targetUsage.target = target;
    return targetUsage;
}

void AdmissionControl::runDeferred(Deferred &deferred)
{
    for (const std::function<void()> &call : deferred)
        call();
}

} // namespace bamboochute::caller
