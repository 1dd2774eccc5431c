#include "caller/admission_control.hpp"

#include "caller/classification.hpp"
#include "core/invariant.hpp"
#include "core/overloaded.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

/// Share of the newest answer in the smoothed time.
constexpr double smoothing = 0.1;
/// Targets whose times and usage are remembered.
constexpr std::size_t maxTrackedTargets = 1 << 15;

TimePoint timeNow()
{
    return SteadyClock().now();
}

void smooth(std::map<Target, double> &seconds, const Target &target, Duration latency)
{
    if (seconds.size() >= maxTrackedTargets)
        seconds.clear();
    const auto [place, isNew] = seconds.try_emplace(target, toSeconds(latency));
    if (!isNew)
        place->second += smoothing * (toSeconds(latency) - place->second);
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
        this->pump(timeNow(), deferred);
        this->demandMissing(deferred);
    }
    run(deferred);
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

admission::RouteQuery AdmissionControl::query(const DeploymentId &deploymentId,
                                              const CallerClassId &classId, const Target &target,
                                              std::uint64_t prefix) const
{
    admission::RouteQuery query;
    query.candidates = this->candidates(target);
    query.prefix = prefix;
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

UpstreamPointer AdmissionControl::pick(const admission::RouteQuery &query, TimePoint now)
{
    const std::optional<UpstreamId> picked = this->router.pick(query, this->ejector, now);
    if (!picked)
        return nullptr;
    this->router.recordStart(*picked, now);
    this->ejector.recordStart(*picked, now);
    const auto found = this->snapshot->routing->upstreams.find(*picked);
    BC_INVARIANT(found != this->snapshot->routing->upstreams.end(), "picked upstream is unknown");
    return UpstreamPointer(this->snapshot->routing, &found->second);
}

UpstreamPointer AdmissionControl::admitNow(const AdmissionRequest &request)
{
    const std::lock_guard lock(this->mutex);
    ++this->usageOf(request.deployment, request.target).arrived;
    if (this->queueOf(request.deployment).waitingCount(request.target) > 0)
        return nullptr;
    UpstreamPointer picked = this->pick(this->query(request), timeNow());
    if (!picked)
        return nullptr;
    ++this->usageOf(request.deployment, request.target).inFlight;
    return picked;
}

Result<Ticket> AdmissionControl::wait(const AdmissionRequest &request, AdmissionCallback admitted)
{
    Deferred deferred;
    Ticket publicTicket;
    {
        const std::lock_guard lock(this->mutex);
        const bool hasNone = this->candidates(request.target).empty();
        if (const auto pool = servicePool(request.target); pool && hasNone)
            return Error(ErrorKind::UpstreamUnavailable,
                         fmt::format("pool \"{}\" has no service", pool->value()));
        admission::WaitingRequest waiting;
        waiting.callerClass = request.callerClass;
        waiting.target = request.target;
        waiting.deadline = request.deadline;
        waiting.expectedService = this->expectedService(request.target, request.isStream);
        waiting.bytes = request.bytes;
        BOOST_OUTCOME_TRY(ticket,
                          this->queueOf(request.deployment).offer(std::move(waiting), timeNow()));
        this->lastTicket = this->lastTicket.next();
        publicTicket = this->lastTicket;
        const QueuePlace place{request.deployment, ticket};
        this->places.emplace(publicTicket, place);
        Waiter &waiter = this->waiters[place];
        waiter = Waiter{publicTicket, request, std::move(admitted), false};
        ++this->usageOf(request.deployment, request.target).waiting;
        if (hasNone)
            this->demand(waiter, deferred);
        this->pump(timeNow(), deferred);
    }
    run(deferred);
    return publicTicket;
}

bool AdmissionControl::leave(Ticket ticket)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->places.find(ticket);
        if (found == this->places.end())
            return false;
        const QueuePlace place = found->second;
        this->queueOf(place.deployment).remove(place.ticket);
        this->waiters.at(place).admitted = [](const Result<UpstreamPointer> &) {};
        this->answer(place, Error(ErrorKind::CallerGone), deferred);
    }
    run(deferred);
    return true;
}

void AdmissionControl::firstAttempt(const CallerClassId &callerClass, const UpstreamId &upstream)
{
    const std::lock_guard lock(this->mutex);
    this->retries.recordFirstAttempt(callerClass, upstream);
}

RetryAnswer AdmissionControl::retry(const AdmissionRequest &request,
                                    admission::FailedAttempt attempt,
                                    const std::vector<UpstreamId> &tried)
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = timeNow();
    admission::RouteQuery query = this->query(request);
    query.excluded = tried;
    std::optional<UpstreamId> next = this->router.pick(query, this->ejector, now);
    if (!next) {
        query.excluded.clear();
        next = this->router.pick(query, this->ejector, now);
    }
    if (!next)
        return admission::RetryRefusal::UpstreamBudgetExhausted;
    attempt.nextUpstream = *next;
    attempt.expectedService = this->expectedService(request.target, request.isStream);
    const admission::RetryDecision decision = this->retries.decide(attempt, now);
    if (const auto *refusal = std::get_if<admission::RetryRefusal>(&decision))
        return *refusal;
    this->router.recordStart(*next, now);
    this->ejector.recordStart(*next, now);
    ++this->usageOf(request.deployment, request.target).inFlight;
    const auto found = this->snapshot->routing->upstreams.find(*next);
    BC_INVARIANT(found != this->snapshot->routing->upstreams.end(), "picked upstream is unknown");
    return RetryGrant{UpstreamPointer(this->snapshot->routing, &found->second),
                      std::get<admission::RetryAfterDelay>(decision).delay};
}

bool AdmissionControl::takeAgain(const AdmissionRequest &request, const UpstreamPointer &upstream)
{
    const std::lock_guard lock(this->mutex);
    if (!this->snapshot->routing->upstreams.contains(upstream->spec.id))
        return false;
    this->router.recordStart(upstream->spec.id, timeNow());
    this->ejector.recordStart(upstream->spec.id, timeNow());
    ++this->usageOf(request.deployment, request.target).inFlight;
    return true;
}

void AdmissionControl::finished(const FinishedCall &call)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        const TimePoint now = timeNow();
        this->router.recordFinish(call.upstream);
        switch (call.verdict) {
        case CallVerdict::Succeeded:
            this->ejector.recordSuccess(call.upstream, call.latency, now);
            smooth(call.isStream ? this->streamSeconds : this->plainSeconds, call.target,
                   call.latency);
            break;
        case CallVerdict::Failed:
            this->ejector.recordFailure(call.upstream, now);
            break;
        case CallVerdict::Neutral:
            this->ejector.recordCancellation(call.upstream);
            break;
        }
        --this->usageOf(call.deployment, call.target).inFlight;
        this->pump(now, deferred);
    }
    run(deferred);
}

void AdmissionControl::tick()
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        this->pump(timeNow(), deferred);
    }
    run(deferred);
}

void AdmissionControl::refuseAll(const Error &error)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        while (!this->waiters.empty()) {
            const QueuePlace place = this->waiters.begin()->first;
            this->queueOf(place.deployment).remove(place.ticket);
            this->answer(place, error, deferred);
        }
    }
    run(deferred);
}

Ticket AdmissionControl::newTicket()
{
    const std::lock_guard lock(this->mutex);
    this->lastTicket = this->lastTicket.next();
    return this->lastTicket;
}

std::size_t AdmissionControl::waiting() const
{
    const std::lock_guard lock(this->mutex);
    return this->waiters.size();
}

std::vector<TargetUsage> AdmissionControl::takeUsage()
{
    const std::lock_guard lock(this->mutex);
    std::vector<TargetUsage> taken;
    for (auto place = this->usage.begin(); place != this->usage.end();) {
        TargetUsage &counted = place->second;
        taken.push_back(counted);
        counted.arrived = 0;
        const bool isIdle = counted.inFlight == 0 && counted.waiting == 0;
        place = isIdle ? this->usage.erase(place) : std::next(place);
    }
    return taken;
}

Duration AdmissionControl::expectedService(const Target &target, bool isStream) const
{
    const std::map<Target, double> &seconds = isStream ? this->streamSeconds : this->plainSeconds;
    const auto found = seconds.find(target);
    const double expected = found == seconds.end() ? 0.0 : found->second;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected));
}

void AdmissionControl::pump(TimePoint now, Deferred &deferred)
{
    if (this->waiters.empty())
        return;
    for (auto &[deployment, queue] : this->queues)
        this->pumpDeployment(deployment, queue, now, deferred);
}

void AdmissionControl::pumpDeployment(const DeploymentId &deployment,
                                      admission::RequestQueue &queue, TimePoint now,
                                      Deferred &deferred)
{
    this->refuse(deployment, queue.expire(now), deferred);
    const auto canDispatch
            = [this, &deployment, now](const Target &target, const CallerClassId &callerClass) {
                  return this->router.canPick(this->query(deployment, callerClass, target, 0),
                                              this->ejector, now);
              };
    while (queue.size() > 0) {
        const std::optional<admission::QueuedRequest> next = queue.takeNext(now, canDispatch);
        if (!next)
            return;
        const QueuePlace place{deployment, next->ticket};
        const AdmissionRequest &request = this->waiters.at(place).request;
        const UpstreamPointer picked = this->pick(this->query(request), now);
        BC_INVARIANT(picked != nullptr, "a request left the queue without an upstream");
        ++this->usageOf(deployment, request.target).inFlight;
        this->answer(place, picked, deferred);
    }
}

void AdmissionControl::refuse(const DeploymentId &deployment,
                              const std::vector<admission::ExpiredRequest> &expired,
                              Deferred &deferred)
{
    for (const admission::ExpiredRequest &left : expired)
        this->answer(QueuePlace{deployment, left.request.ticket}, left.error, deferred);
}

void AdmissionControl::answer(const QueuePlace &place, Result<UpstreamPointer> result,
                              Deferred &deferred)
{
    const auto found = this->waiters.find(place);
    BC_INVARIANT(found != this->waiters.end(), "a waiting request is answered twice");
    Waiter waiter = std::move(found->second);
    this->waiters.erase(found);
    this->places.erase(waiter.publicTicket);
    --this->usageOf(place.deployment, waiter.request.target).waiting;
    if (waiter.hasDemand)
        deferred.emplace_back(
                [this, ticket = waiter.publicTicket] { this->ports.withdrawColdStart(ticket); });
    deferred.emplace_back([admitted = std::move(waiter.admitted), result = std::move(result)] {
        admitted(result);
    });
}

void AdmissionControl::demand(Waiter &waiter, Deferred &deferred)
{
    if (servicePool(waiter.request.target))
        return;
    waiter.hasDemand = true;
    const ColdStartDemand demand{waiter.request.deployment, waiter.request.callerClass,
                                 waiter.request.target, waiter.request.deadline};
    deferred.emplace_back([this, ticket = waiter.publicTicket, demand] {
        const std::weak_ptr<AdmissionControl> self = this->weak_from_this();
        this->ports.demandColdStart(ticket, demand, [self, ticket](const ColdStartAnswer &answer) {
            if (const auto alive = self.lock())
                alive->coldStartAnswered(ticket, answer);
        });
    });
}

void AdmissionControl::demandMissing(Deferred &deferred)
{
    for (auto &[place, waiter] : this->waiters) {
        if (!waiter.hasDemand && this->candidates(waiter.request.target).empty())
            this->demand(waiter, deferred);
    }
}

void AdmissionControl::coldStartAnswered(Ticket ticket, const ColdStartAnswer &given)
{
    Deferred deferred;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->places.find(ticket);
        if (found == this->places.end())
            return;
        const QueuePlace place = found->second;
        admission::RequestQueue &queue = this->queueOf(place.deployment);
        std::visit(Overloaded{[&](const ColdStartExpected &expected) {
                                  const Target target = this->waiters.at(place).request.target;
                                  this->refuse(place.deployment,
                                               queue.expireUnreachable(target, expected.ready,
                                                                       timeNow()),
                                               deferred);
                              },
                              [&](const Error &error) {
                                  queue.remove(place.ticket);
                                  this->answer(place, error, deferred);
                              }},
                   given);
    }
    run(deferred);
}

TargetUsage &AdmissionControl::usageOf(const DeploymentId &deployment, const Target &target)
{
    TargetUsage &counted = this->usage[UsageKey{deployment, target}];
    counted.deployment = deployment;
    counted.target = target;
    return counted;
}

void AdmissionControl::run(Deferred &deferred)
{
    for (const std::function<void()> &call : deferred)
        call();
}

} // namespace bamboochute::caller
