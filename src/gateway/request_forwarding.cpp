#include "caller/answer.hpp"
#include "core/log.hpp"
#include "gateway/exchange_limits.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using forwarding::ForwardedRequest;
using upstream::appendHeader;
using upstream::Awaitable;
using upstream::CallResult;

forwarding::ForwardedRoute describeRoute(const Route &route)
{
    return {route.id.value(),   std::string(requestKindName(route.kind)),
            route.isResumable,  route.objective,
            route.maxEventGap,  route.maxFirstEventDelay,
            route.maxUpstreams, route.priority};
}

/// Makes the sender's route of a forwarded request; unset if the sender does not tell it, or names
/// a kind that this build doesn't know.
std::optional<Route> makeSentRoute(const ForwardedRequest &request)
{
    if (!request.route)
        return std::nullopt;
    const forwarding::ForwardedRoute &sent = *request.route;
    const std::optional<RequestKind> kind = findRequestKind(sent.kind);
    if (!kind)
        return std::nullopt;
    Route route;
    route.id = RouteId(sent.id);
    route.kind = *kind;
    route.isResumable = sent.isResumable;
    route.timeout = request.remaining;
    route.objective = sent.objective;
    route.maxEventGap = sent.maxEventGap;
    route.maxFirstEventDelay = sent.maxFirstEventDelay;
    route.maxUpstreams = sent.maxUpstreams;
    route.priority = sent.priority;
    route.services = {{ServiceId(request.service), 1}};
    return route;
}

} // namespace

/// Takes over the state of a request that another instance forwards to this one.
/// @return false if it was refused
Awaitable<bool> RequestExchange::acceptForwarded()
{
    const Result<ForwardedRequest> state = forwarding::decodeForwardedRequest(
            this->request.headers().find(forwarding::forwardedHeader));
    if (!state) {
        co_await this->refuse(state.error(), std::nullopt);
        co_return false;
    }
    this->forwarded = state.value();
    this->attributes.callerTimeout = this->forwarded->remaining;
    this->attributes.caller = this->forwarded->caller;
    if (!this->forwarded->lastEventId.empty())
        this->attributes.lastEventId = this->forwarded->lastEventId;
    this->requiredVersion = this->forwarded->version;
    this->possibleRuns = this->forwarded->possibleRuns;
    this->triedUpstreams = this->forwarded->tried;
    this->isCounted = this->forwarded->isCounted;
    const bool isOlder
            = this->index && this->index->configuration().version < this->forwarded->configuration;
    const bool isServiceKnown
            = this->index && this->index->service(ServiceId(this->forwarded->service)) != nullptr;
    if (isOlder)
        this->sentRoute = makeSentRoute(*this->forwarded);
    const bool isUnknown = isOlder && (!this->sentRoute || !isServiceKnown);
    if (this->gateway.isDraining())
        this->notTakenReason = "stopping";
    else if (!this->index || isUnknown)
        this->notTakenReason = "configuration";
    else if (!this->gateway.forwarding.takePlace())
        this->notTakenReason = "full";
    else
        this->hasHelperPlace = true;
    if (this->hasHelperPlace)
        co_return true;
    co_await this->refuse(Error(ErrorKind::UpstreamUnavailable,
                                fmt::format("not taken: {}", this->notTakenReason)),
                          noUpstreamRetryAfter);
    co_return false;
}

/// Whether the request came from another instance, was not sent to an upstream here, and failed
/// because this instance may be cut off itself.
bool RequestExchange::isHelperCutOff() const
{
    return this->forwarded && this->service != nullptr
           && this->possibleRuns == this->forwarded->possibleRuns && this->notRunAnswers == 0
           && this->gateway.forwarding.isInDoubt(this->service->id);
}

/// Whether an upstream that the request has not failed at may get it now.
bool RequestExchange::hasOwnUpstream() const
{
    const SelectionQuery query = this->buildSelectionQuery();
    return std::any_of(query.candidates.begin(), query.candidates.end(),
                       [&](const UpstreamTable::Entry *entry) {
                           const UpstreamId &id = entry->registered.id;
                           const bool isAvoided
                                   = query.isHealthRequired
                                     && this->gateway.health.isAvoided(id, this->now());
                           return !isAvoided && !this->isExcluded(id);
                       });
}

/// Waits until it is known whether the connections that could not be made were refused by crashed
/// upstreams or behind a cut. One that hung has taken that time already.
Awaitable<void> RequestExchange::waitForFirstRound()
{
    const ForwardingSettings &settings = this->gateway.forwarding.limits();
    TimePoint until = this->deadline - minSendTime;
    if (this->hungConnects > 0 && !this->forwarded)
        until = this->now();
    else if (this->hungConnects > 0)
        until = std::min(until, this->now() + 2 * settings.holdTime);
    co_await this->gateway.forwarding.waitForFirstRound(this->service->id, until,
                                                        [this] { return this->isEnding(); });
}

/// Decides whether the request goes to an upstream, through another instance, or nowhere.
Awaitable<RequestExchange::NextHop> RequestExchange::chooseNextHop()
{
    ForwardingDriver &driver = this->gateway.forwarding;
    const ServiceId &id = this->service->id;
    const forwarding::HelperLimits &limits = driver.limits().helpers;
    NextHop next;
    if (this->mustReturn)
        co_return next;
    const bool isLinkFailed = this->failedConnects > 0 && driver.isInDoubt(id);
    const bool isOwnLeft = !isLinkFailed || this->hasOwnUpstream();
    if (isLinkFailed && driver.awaitsFirstRound(id)) {
        if (isOwnLeft && this->hungConnects == 0
            && this->failedConnects < 2 * limits.failuresInDoubt)
            co_return next;
        co_await this->waitForFirstRound();
    }
    // A helper would send it to a further upstream.
    if (this->forwarded) {
        next.isUnavailable = !isOwnLeft && driver.isInDoubt(id) && !driver.isUnanswered(id);
        co_return next;
    }
    const std::uint32_t failures = isOwnLeft
                                           ? this->failedConnects
                                           : std::max(this->failedConnects, limits.failuresInDoubt);
    if (!driver.wantsHelper(id, failures))
        co_return next;
    if (this->triedHelpers.size() < limits.maxHelpersPerRequest)
        next.helper = co_await driver.findHelper(id, this->triedHelpers);
    // While it is not certain that this instance is cut off, its own links are tried on. Silent
    // upstreams may have gone on.
    next.isUnavailable = !next.helper && driver.isCutOff(id) && !driver.isUnanswered(id);
    co_return next;
}

/// Whether the request was sent to an upstream, and nothing has come back.
bool RequestExchange::isUnheard() const
{
    return !this->attempt.helper && this->attempt.heardAt == TimePoint();
}

/// Records that nothing was heard for as long as the upstream may be silent, if that is so; this
/// instance's own links may be the reason.
void RequestExchange::recordSilentLink()
{
    if (!this->isUnheard() || this->now() < this->attempt.linkCheckAt)
        return;
    this->attempt.linkCheckAt = this->now() + this->gateway.settings.silence.retryInterval;
    this->gateway.forwarding.recordSilence(this->service->id, this->attempt.sentAt);
}

/// Whether a request whose upstream is silent would get an answer through another instance.
bool RequestExchange::canTurnToHelper() const
{
    const ForwardingDriver &driver = this->gateway.forwarding;
    return !this->forwarded && driver.isUnanswered(this->service->id)
           && driver.isHelped(this->service->id)
           && this->triedHelpers.size() < driver.limits().helpers.maxHelpersPerRequest;
}

/// Records a silence, and returns whether the request leaves its upstream, to go through another
/// instance.
bool RequestExchange::turnFromSilentLink()
{
    this->recordSilentLink();
    return this->canTurnToHelper() && this->mayReplaceUpstream();
}

/// Whether the request, for which no upstream is left, may still go to a helper: it failed to
/// connect while it is not certain whether this instance is cut off.
Awaitable<bool> RequestExchange::turnToHelpers()
{
    const ForwardingDriver &driver = this->gateway.forwarding;
    const std::uint32_t needed = driver.limits().helpers.failuresInDoubt;
    if (this->forwarded || this->failedConnects == 0 || this->failedConnects >= needed
        || !driver.isInDoubt(this->service->id))
        co_return false;
    co_await this->waitForFirstRound();
    if (this->isEnding() || !driver.isInDoubt(this->service->id))
        co_return false;
    this->failedConnects = needed;
    co_return true;
}

/// Sends the request through another instance and relays its answer.
Awaitable<AttemptOutcome> RequestExchange::runForwarded(Endpoint helper)
{
    this->events.discardPartialEvent();
    this->triedHelpers.push_back(helper);
    this->attempt = Attempt();
    this->attempt.helper = helper;
    this->attempt.endpoint = helper;
    this->attempt.number = ++this->sends;
    this->attempt.sentAt = this->now();
    this->attempt.call = std::make_unique<upstream::UpstreamCall>(this->gateway.pool, helper);
    this->gateway.forwarding.helpers.recordStart(helper);
    this->log(LogLevel::Info, "request forwarded", "cut_off", this->durationField());
    const HeadText head = this->buildForwardedHead();
    const CallResult<void> sent = co_await this->attempt.call->send(
            head, this->request.body, this->deadline, upstream::ConnectionUse::Fresh);
    AttemptOutcome outcome = AttemptOutcome::NotRun;
    if (sent)
        outcome = co_await this->receiveAnswer();
    else
        outcome = this->handleHelperFailure(sent.error());
    this->attempt.call.reset();
    this->releaseAnswer();
    this->gateway.forwarding.helpers.recordFinish(helper);
    if (outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::StreamBroken)
        ++this->possibleRuns;
    this->gateway.metrics
            .counter("bamboochute_forwarded_requests_total",
                     fmt::format("outcome=\"{}\"", attemptOutcomeName(outcome)))
            .add();
    co_return outcome;
}

RequestExchange::HeadText RequestExchange::buildForwardedHead() const
{
    const CallCodec &codec = this->gateway.codec;
    HeadText head = this->buildCallerHead([&codec](std::string_view name) {
        return !forwarding::isForwardingHeader(name)
               && !(codec.isWorkspaceHeader && codec.isWorkspaceHeader(name));
    });
    // Instances of earlier releases pass it on to the upstream as it is.
    if (codec.appendWorkspace)
        codec.appendWorkspace(head, this->workspaceId);
    ForwardedRequest state;
    state.remaining = std::max(this->timeLeft(), minSendTime);
    state.service = this->service->id.value();
    state.caller = this->callerIdentity;
    state.configuration = this->index->configuration().version;
    state.route = describeRoute(*this->route);
    state.route->priority = this->priority();
    state.possibleRuns = this->possibleRuns;
    state.isCounted = this->isCounted;
    state.lastEventId = this->resumePoint();
    state.version = this->requiredVersion;
    if (this->index->hasWorkspaces())
        state.workspace = this->workspaceId;
    for (const UpstreamId &id : this->triedUpstreams) {
        const auto &unreached = this->unreachedUpstreams;
        if (std::find(unreached.begin(), unreached.end(), id) == unreached.end())
            state.tried.push_back(id);
    }
    appendHeader(head, forwarding::forwardedHeader, forwarding::encodeForwardedRequest(state));
    head += "\r\n";
    return head;
}

/// Records a failed call to a helper.
AttemptOutcome RequestExchange::handleHelperFailure(const upstream::CallError &error)
{
    if (error.failure == upstream::CallFailure::Cancelled) {
        this->lastFault = stoppingReason;
        if (this->isCallerGone)
            return AttemptOutcome::Finished;
    } else {
        const bool isOwnDoing = error.failure == upstream::CallFailure::NoMemory;
        if (!isOwnDoing)
            this->gateway.forwarding.helpers.withdraw(this->service->id.value(),
                                                      *this->attempt.helper);
        this->lastFault = fmt::format("the instance that helped: {}", error.message);
        this->hasTimedOut = error.failure == upstream::CallFailure::TimedOut
                            && this->timeLeft() < minSendTime;
        this->log(LogLevel::Warning, "forwarded request failed",
                  error.isAnythingWritten ? "broken" : "unreachable", {"detail", error.message});
    }
    if (!error.isAnythingWritten)
        return AttemptOutcome::NotRun;
    return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
}

/// Relays an answer of a helper, which is an upstream's or its own; unset if it is a stream.
Awaitable<std::optional<AttemptOutcome>> RequestExchange::relayHelperAnswer()
{
    const upstream::ParsedMessage &answer = this->attempt.call->answer();
    const AnswerAttributes answerAttributes
            = this->gateway.codec.readAnswer(answer.status, answer.headers);
    const bool isSigned = answerAttributes.isSigned;
    const std::string_view notTaken = answer.headers.find(forwarding::notTakenHeader);
    if (!isSigned && !notTaken.empty()) {
        this->lastFault = fmt::format("the instance asked for help did not take it: {}", notTaken);
        this->gateway.forwarding.helpers.withdraw(this->service->id.value(), *this->attempt.helper);
        this->log(LogLevel::Info, "forwarded request not taken", notTaken, this->durationField());
        co_return AttemptOutcome::NotRun;
    }
    if (isSigned)
        this->gateway.forwarding.recordHelp(this->service->id);
    const bool isOwnAnswer = !isSigned && !this->isAnswerBegun;
    if (!isOwnAnswer && this->isStreamAnswer(answer.status))
        co_return this->beginStreamAnswer(answerAttributes);
    CallResult<std::string> body = co_await this->attempt.call->readWholeBody(
            maxAnswerBytes, [this](std::size_t bytes) { return this->reserveAnswer(bytes); });
    if (!body)
        co_return this->handleHelperFailure(body.error());
    const int status = this->attempt.call->answer().status;
    std::string head = this->buildAnswerHead(status, this->attempt.call->answer().headers);
    appendHeader(head, "Content-Length", std::to_string(body.value().size()));
    head += "\r\n";
    if (co_await this->writeToCaller(head, body.value()))
        this->end = isSigned ? RequestEnd::Answered : RequestEnd::Refused;
    this->log(LogLevel::Info, "request answered", std::to_string(status), this->durationField());
    co_return AttemptOutcome::Finished;
}

/// Binds the stream to the version that the helper names, or to none if the helper doesn't know it:
/// then it goes on nowhere. Returns false if it began at another one.
bool RequestExchange::bindHelperVersion()
{
    const SoftwareVersion version(std::string(
            this->attempt.call->answer().headers.find(forwarding::streamVersionHeader)));
    if (this->requiredVersion == version)
        return true;
    if (this->requiredVersion && this->beginSend != this->attempt.number)
        return false;
    this->requiredVersion = version;
    this->beginSend = this->attempt.number;
    return true;
}

std::string_view attemptOutcomeName(AttemptOutcome outcome) noexcept
{
    switch (outcome) {
    case AttemptOutcome::Finished:
        return "finished";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::MayHaveRun:
        return "may_have_run";
    case AttemptOutcome::StreamBroken:
        return "stream_broken";
    default:
        return "replaced";
    }
}

} // namespace bamboochute::gateway
