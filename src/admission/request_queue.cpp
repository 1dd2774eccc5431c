#include "admission/request_queue.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bamboochute::admission {

namespace {

/// Number of drain rates above which those without waiting requests are erased.
constexpr std::size_t maxDrainRates = 4096;
constexpr std::chrono::seconds minRetryAfter{1};
constexpr std::chrono::seconds maxRetryAfter{60};
/// Minimum cost of a dispatch, so that requests without a known service time count as well.
constexpr double minCostSeconds = 0.001;

std::chrono::seconds clampedRetryAfter(Duration wait)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    return std::clamp(seconds, minRetryAfter, maxRetryAfter);
}

Duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

RequestQueue::RequestQueue(std::vector<CallerClass> classes, QueueLimits limits)
    : limits(limits)
{
    BC_INVARIANT(limits.ageingInterval > 1,
                 "the ageing interval is above 1, so that weights apply to some dispatches");
    this->configure(std::move(classes));
}

void RequestQueue::configure(std::vector<CallerClass> classes)
{
    for (auto entry = this->classQueues.begin(); entry != this->classQueues.end();) {
        const bool isKept = std::any_of(classes.begin(), classes.end(),
                                        [&](const auto &each) { return each.id == entry->first; });
        const bool isIdle = entry->second.count == 0;
        if (!isKept)
            entry->second.settings.maxQueued = 0;
        entry = !isKept && isIdle ? this->classQueues.erase(entry) : std::next(entry);
    }
    for (CallerClass &callerClass : classes) {
        ClassQueue &classQueue = this->classQueues[callerClass.id];
        classQueue.settings = std::move(callerClass);
        classQueue.settings.weight = std::max(1U, classQueue.settings.weight);
    }
}

Result<Ticket> RequestQueue::offer(WaitingRequest request, TimePoint now)
{
    if (std::optional<Error> error = this->admissionError(request, now))
        return *std::move(error);
    this->lastTicket = this->lastTicket.next();
    this->insert(QueuedRequest{this->lastTicket, now, std::move(request)});
    return this->lastTicket;
}

std::vector<ExpiredRequest> RequestQueue::expire(TimePoint now)
{
    std::vector<ExpiredRequest> all;
    while (!this->byLatestStart.empty() && this->byLatestStart.begin()->latestStart <= now) {
        const Ticket ticket = this->byLatestStart.begin()->ticket;
        const Duration waited = now - this->byTicket.at(ticket).arrival;
        all.push_back(
                this->takeExpired(ticket, ErrorKind::DeadlineExceededInQueue,
                                  fmt::format("request waited {:.3f} s for an upstream and can't "
                                              "meet its deadline any more",
                                              toSeconds(waited)),
                                  waited));
    }
    BC_INVARIANT(this->byLatestStart.size() == this->byTicket.size(),
                 "every waiting request has an expiry time");
    return all;
}

std::optional<QueuedRequest> RequestQueue::remove(Ticket ticket)
{
    if (this->byTicket.find(ticket) == this->byTicket.end())
        return std::nullopt;
    return this->take(ticket);
}

std::optional<TimePoint> RequestQueue::nextExpiry() const
{
    if (this->byLatestStart.empty())
        return std::nullopt;
    return this->byLatestStart.begin()->latestStart;
}

std::vector<ExpiredRequest> RequestQueue::expireUnreachable(const Target &target, TimePoint ready,
                                                            TimePoint now)
{
    std::vector<Ticket> unreachable;
    for (const auto &[id, classQueue] : this->classQueues) {
        const auto found = classQueue.waiting.find(target);
        if (found == classQueue.waiting.end())
            continue;
        for (const Position &position : found->second) {
            if (position.latestStart >= ready)
                break;
            unreachable.push_back(position.ticket);
        }
    }
    std::vector<ExpiredRequest> all;
    const std::string message
            = fmt::format("model \"{}\" is expected to be loaded in {:.1f} s, after the deadline",
                          target.model.value(), toSeconds(ready - now));
    all.reserve(unreachable.size());
    for (const Ticket ticket : unreachable)
        all.push_back(
                this->takeExpired(ticket, ErrorKind::DeadlineUnreachable, message, ready - now));
    return all;
}

std::vector<Target> RequestQueue::targets() const
{
    std::set<Target> all;
    for (const auto &[id, classQueue] : this->classQueues) {
        for (const auto &[target, positions] : classQueue.waiting)
            all.insert(target);
    }
    return {all.begin(), all.end()};
}

std::size_t RequestQueue::waitingCount(const Target &target) const
{
    std::size_t count = 0;
    for (const auto &[id, classQueue] : this->classQueues)
        count += this->waitingCount(DrainKey{target, id});
    return count;
}

std::optional<QueuedRequest> RequestQueue::takeCandidate(const std::vector<Candidate> &candidates,
                                                         TimePoint now)
{
    if (candidates.empty())
        return std::nullopt;
    ++this->dispatchCount;
    const bool isAgeingTurn = this->dispatchCount % this->limits.ageingInterval == 0;
    const Candidate &chosen
            = isAgeingTurn ? this->pickLongestUnserved(candidates) : this->pickByWeight(candidates);
    QueuedRequest queued = this->take(chosen.position.ticket);
    BC_INVARIANT(queued.request.latestStart() >= now,
                 "a request is dispatched only while its deadline can be met");
    this->recordDispatch(queued, now);
    return queued;
}

const RequestQueue::Candidate &
RequestQueue::pickLongestUnserved(const std::vector<Candidate> &candidates) const
{
    const auto order = [this](const Candidate &candidate) {
        const ClassQueue &classQueue = this->classQueues.at(*candidate.callerClass);
        return std::pair(classQueue.lastDispatchNumber, candidate.position);
    };
    return *std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto &left, const auto &right) { return order(left) < order(right); });
}

const RequestQueue::Candidate &
RequestQueue::pickByWeight(const std::vector<Candidate> &candidates) const
{
    const auto order = [this](const Candidate &candidate) {
        const ClassQueue &classQueue = this->classQueues.at(*candidate.callerClass);
        return std::pair(classQueue.virtualTimeServed, candidate.position);
    };
    return *std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto &left, const auto &right) { return order(left) < order(right); });
}

void RequestQueue::insert(const QueuedRequest &queued)
{
    ClassQueue &classQueue = this->classQueues.at(queued.request.callerClass);
    if (classQueue.count == 0)
        classQueue.virtualTimeServed = std::max(classQueue.virtualTimeServed, this->virtualTime);
    ++classQueue.count;
    const Position position{queued.request.latestStart(), queued.ticket};
    classQueue.waiting[queued.request.target].insert(position);
    this->byLatestStart.insert(position);
    this->heldBytes += queued.request.bytes;
    this->byTicket.emplace(queued.ticket, queued);
}

QueuedRequest RequestQueue::take(Ticket ticket)
{
    const auto found = this->byTicket.find(ticket);
    BC_INVARIANT(found != this->byTicket.end(), "a ticket that is taken is waiting");
    QueuedRequest queued = std::move(found->second);
    this->byTicket.erase(found);
    const Position position{queued.request.latestStart(), ticket};
    this->byLatestStart.erase(position);
    ClassQueue &classQueue = this->classQueues.at(queued.request.callerClass);
    --classQueue.count;
    const auto positions = classQueue.waiting.find(queued.request.target);
    positions->second.erase(position);
    if (positions->second.empty())
        classQueue.waiting.erase(positions);
    this->heldBytes -= queued.request.bytes;
    return queued;
}

void RequestQueue::recordDispatch(const QueuedRequest &queued, TimePoint now)
{
    ClassQueue &classQueue = this->classQueues.at(queued.request.callerClass);
    classQueue.lastDispatchNumber = this->dispatchCount;
    this->virtualTime = std::max(this->virtualTime, classQueue.virtualTimeServed);
    const double cost = std::max(minCostSeconds, toSeconds(queued.request.expectedService));
    classQueue.virtualTimeServed += cost / classQueue.settings.weight;
    this->totalDrainRate.recordDispatch(now, this->byTicket.size());
    const DrainKey key{queued.request.target, queued.request.callerClass};
    this->drainRates[key].recordDispatch(now, this->waitingCount(key));
    this->eraseIdleDrainRates();
}

std::optional<Error> RequestQueue::admissionError(const WaitingRequest &request,
                                                  TimePoint now) const
{
    const std::string &className = request.callerClass.value();
    const auto found = this->classQueues.find(request.callerClass);
    if (found == this->classQueues.end())
        return Error(ErrorKind::InvalidField,
                     fmt::format("caller class \"{}\" does not exist", className), "callerClass");
    const ClassQueue &classQueue = found->second;
    if (classQueue.count >= classQueue.settings.maxQueued)
        return this->queueFullError(
                fmt::format("queue of class \"{}\" holds {} requests; at most {} may "
                            "wait",
                            className, classQueue.count, classQueue.settings.maxQueued),
                classQueue, now);
    if (this->heldBytes + request.bytes > this->limits.maxBytes)
        return this->queueFullError(
                fmt::format("waiting requests hold {} bytes; at most {} are allowed",
                            this->heldBytes, this->limits.maxBytes),
                classQueue, now);
    const Duration slack = request.latestStart() - now;
    const Duration wait = this->conservativeWait(request, now);
    if (slack < Duration::zero() || wait > slack)
        return Error(ErrorKind::DeadlineUnreachable,
                     fmt::format("request would wait {:.3f} s and take {:.3f} s; its deadline is "
                                 "in {:.3f} s",
                                 toSeconds(wait), toSeconds(request.expectedService),
                                 toSeconds(request.deadline - now)),
                     "deadline")
                .withRetryAfter(clampedRetryAfter(wait - std::max(slack, Duration::zero())));
    return std::nullopt;
}

Error RequestQueue::queueFullError(std::string message, const ClassQueue &classQueue,
                                   TimePoint now) const
{
    const double rate = this->totalDrainRate.perSecond(now).value_or(classQueue.count + 1.0);
    const double seconds = static_cast<double>(this->byTicket.size()) / rate;
    return Error(ErrorKind::QueueFull, std::move(message))
            .withRetryAfter(clampedRetryAfter(secondsToDuration(seconds)));
}

Duration RequestQueue::conservativeWait(const WaitingRequest &request, TimePoint now) const
{
    const Duration untilReady = std::max(Duration::zero(), request.targetReady - now);
    const Duration wait = this->computeWait(request, now).value_or(Duration::zero());
    const double queuedSeconds
            = this->limits.waitSafetyFactor * toSeconds(wait - std::min(wait, untilReady));
    return untilReady + secondsToDuration(queuedSeconds);
}

std::optional<Duration> RequestQueue::computeWait(const WaitingRequest &request,
                                                  TimePoint now) const
{
    const Duration untilReady = std::max(Duration::zero(), request.targetReady - now);
    const auto drain = this->drainRates.find(DrainKey{request.target, request.callerClass});
    const std::optional<double> rate
            = drain == this->drainRates.end() ? std::nullopt : drain->second.perSecond(now);
    if (!rate)
        return untilReady > Duration::zero() ? std::optional(untilReady) : std::nullopt;
    const double seconds = static_cast<double>(this->countAhead(request)) / *rate;
    return std::max(untilReady, secondsToDuration(seconds));
}

std::size_t RequestQueue::countAhead(const WaitingRequest &request) const
{
    const auto classQueue = this->classQueues.find(request.callerClass);
    if (classQueue == this->classQueues.end())
        return 0;
    const auto positions = classQueue->second.waiting.find(request.target);
    if (positions == classQueue->second.waiting.end())
        return 0;
    const auto firstBehind
            = positions->second.lower_bound(Position{request.latestStart(), Ticket()});
    return static_cast<std::size_t>(std::distance(positions->second.begin(), firstBehind));
}

std::size_t RequestQueue::waitingCount(const DrainKey &key) const
{
    const auto classQueue = this->classQueues.find(key.callerClass);
    if (classQueue == this->classQueues.end())
        return 0;
    const auto positions = classQueue->second.waiting.find(key.target);
    return positions == classQueue->second.waiting.end() ? 0 : positions->second.size();
}

ExpiredRequest RequestQueue::takeExpired(Ticket ticket, ErrorKind kind, std::string message,
                                         Duration retryAfter)
{
    return {this->take(ticket),
            Error(kind, std::move(message)).withRetryAfter(clampedRetryAfter(retryAfter))};
}

void RequestQueue::eraseIdleDrainRates()
{
    if (this->drainRates.size() <= maxDrainRates)
        return;
    std::erase_if(this->drainRates,
                  [this](const auto &entry) { return this->waitingCount(entry.first) == 0; });
}

} // namespace bamboochute::admission
