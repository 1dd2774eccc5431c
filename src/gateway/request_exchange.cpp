#include "gateway/request_exchange.hpp"

#include "core/log.hpp"
#include "gateway/exchange_limits.hpp"
#include "gateway/request_fingerprint.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using upstream::appendHeader;
using upstream::Awaitable;
using upstream::CallResult;
using upstream::sameHeaderName;

/// Size limit for one event of a stream.
constexpr std::size_t maxEventBytes = 256 << 10;
/// A request is refused after more than this many answers that an upstream did not run it.
constexpr std::uint32_t maxNotRunAnswers = 4;
/// Retry-After while no configuration is known; a new process reads it right after its start.
constexpr Duration notReadyRetryAfter = std::chrono::milliseconds(500);

} // namespace

RequestExchange::RequestExchange(Gateway &gateway, upstream::HttpStream &caller,
                                 ConnectionPlace &place, const caller::CallerRequest &request,
                                 bool isFromInstance)
    : gateway(gateway)
    , caller(caller)
    , place(place)
    , request(request)
    , answerMemory(gateway.inbound.requests(), MemoryUse::Admitted)
    , isFromInstance(isFromInstance)
    , index(gateway.index)
    , events(maxEventBytes, false)
{
    this->gateway.exchanges.insert(this);
}

RequestExchange::~RequestExchange()
{
    this->caller.setPeerClosedHandler(nullptr);
    if (this->hasHelperPlace)
        this->gateway.forwarding.releasePlace();
    this->gateway.exchanges.erase(this);
}

Awaitable<void> RequestExchange::run()
{
    co_await this->runRouted();
    this->releaseQuota();
    if (this->requestEnd() == RequestEnd::Unanswered)
        this->log(LogLevel::Error, "request ended without an answer", "unanswered",
                  this->durationField());
}

/// Routes the request and sees to its answer.
Awaitable<void> RequestExchange::runRouted()
{
    this->keepAlive = this->request.isKeepAlive && !this->gateway.isDraining();
    this->attributes = this->gateway.codec.readRequest(this->request.headers());
    if (this->isFromInstance) {
        const bool isAccepted = co_await this->acceptForwarded();
        if (!isAccepted)
            co_return;
    }
    this->callerIdentity = this->attributes.caller.empty() ? this->caller.peerAddress()
                                                           : this->attributes.caller;
    this->fingerprints = computeFingerprints({this->request.message.method,
                                              this->request.headers().find("host"),
                                              this->request.message.target, this->callerIdentity,
                                              this->request.body, this->attributes.contentHash});
    this->subjects = makeSubjects(this->attributes.promptParts, this->fingerprints);
    if (!this->index) {
        co_await this->refuse(
                Error(ErrorKind::NotReady, "no routing configuration has been received yet"),
                notReadyRetryAfter);
        co_return;
    }
    this->route = this->sentRoute ? &*this->sentRoute
                                  : this->index->find(this->request.headers().find("host"),
                                                      this->request.message.target);
    if (this->route == nullptr) {
        co_await this->refuse(Error(ErrorKind::UnknownPath, "no route matches host and path"),
                              std::nullopt);
        co_return;
    }
    if (!this->identifyWorkspace()) {
        co_await this->refuse(
                Error(ErrorKind::Unauthenticated, "the request has no key of a workspace"),
                std::nullopt);
        co_return;
    }
    if (const std::optional<Duration> retryAfter = this->takeQuota()) {
        co_await this->refuse(
                Error(ErrorKind::QuotaExceeded, "the quota of the workspace is used up"),
                *retryAfter);
        co_return;
    }
    this->deadline = this->request.arrival
                     + std::min(this->attributes.callerTimeout.value_or(this->route->timeout),
                                this->route->timeout);
    if (this->isResumption() && this->route->isResumable)
        this->continuation = StreamContinuation(this->attributes.lastEventId);
    this->watchCaller();
    if (this->isResumption() && !this->isQuarantined())
        co_await this->findStreamOrigin();
    if (!this->selectService()) {
        co_await this->refuse(
                Error(ErrorKind::NotReady,
                      "the service of the route is missing from the routing configuration"),
                notReadyRetryAfter);
        co_return;
    }
    if (this->applyStreamOrigin())
        co_await this->runAttempts();
    else
        co_await this->refuse(Error(ErrorKind::UpstreamUnavailable,
                                    "the software version that began the stream is not known"),
                              noUpstreamRetryAfter);
    this->caller.setPeerClosedHandler(nullptr);
    this->recordLatencies();
    if (this->isCallerGone) {
        this->keepAlive = false;
        this->log(LogLevel::Info, "caller disconnected", "caller_gone", this->durationField());
        if (!this->end && !this->isAnswerBegun)
            co_await this->answerDepartedCaller();
    }
}

/// Finds the workspace of the caller by its key, or by what the instance says that has checked it.
/// @return false when the route needs a key that the request does not have
bool RequestExchange::identifyWorkspace()
{
    if (this->forwarded && this->forwarded->workspace) {
        this->workspaceId = *this->forwarded->workspace;
        this->workspace = this->index->workspace(this->workspaceId);
        return true;
    }
    if (this->route->isPublic || !this->index->hasWorkspaces())
        return true;
    this->workspace = this->index->findWorkspace(this->attributes.key);
    if (this->workspace == nullptr)
        return false;
    this->workspaceId = this->workspace->id;
    return true;
}

/// Takes the request from the quota of its workspace, at the instance that has it from the caller.
/// @return when to come back if the quota is used up
std::optional<Duration> RequestExchange::takeQuota()
{
    if (this->workspace == nullptr || (this->forwarded && this->forwarded->workspace))
        return std::nullopt;
    const std::optional<double> tokens = this->attributes.hasTokenCounts
                                                 ? std::optional(1.0 * this->attributes.promptTokens
                                                                 + this->attributes.maxOutputTokens)
                                                 : std::nullopt;
    const double units = requestUnits(this->workspace->quota, tokens);
    const QuotaDecision decision
            = this->gateway.quotas.admit(this->workspaceId, units, this->now());
    const std::string_view label = decision.isAdmitted ? "yes" : "no";
    if (this->workspace->quota.isLimited())
        this->gateway.metrics
                .counter("bamboochute_quota_requests_total",
                         fmt::format("workspace=\"{}\",admitted=\"{}\"", this->workspaceId.value(),
                                     label))
                .add();
    if (!decision.isAdmitted)
        return decision.retryAfter;
    this->quotaUnits = units;
    this->quotaTakenAt = this->now();
    return std::nullopt;
}

/// Returns what was taken for a request that was not sent to any upstream.
void RequestExchange::releaseQuota()
{
    if (this->quotaUnits > 0 && this->sends == 0)
        this->gateway.quotas.release(this->workspaceId, this->quotaUnits, this->quotaTakenAt);
}

/// Priority of the request; zero is the most urgent.
std::uint32_t RequestExchange::priority() const
{
    // An instance that has identified the workspace states the urgency that it has found.
    if (this->sentRoute && this->forwarded->workspace)
        return this->route->priority;
    return this->index->findUrgency(this->workspace, *this->route);
}

/// Selects the service of the request; returns false when the configuration lacks the service.
bool RequestExchange::selectService()
{
    this->service = this->pickService();
    if (this->service == nullptr)
        return false;
    this->target = ServiceTarget{this->service->id, this->attributes.target};
    return true;
}

/// Counts the request once at the instance that sends it to upstreams.
void RequestExchange::countRequest()
{
    if (std::exchange(this->isCounted, true))
        return;
    this->gateway.budget.recordRequest(this->service->id, this->now());
    if (this->isEngineTarget())
        this->gateway.demand.recordArrival(this->target);
}

/// Picks the service that began a resumed stream if the route still has it, else one of the route's
/// services by weight.
const Service *RequestExchange::pickService()
{
    const std::optional<StreamOrigin> origin
            = this->gateway.origins.find(this->attributes.resumedRequest);
    std::uint64_t total = 0;
    for (const WeightedService &weighted : this->route->services) {
        const bool isChosen
                = this->forwarded && weighted.service.value() == this->forwarded->service;
        if (isChosen || (origin && weighted.service == origin->service))
            return this->index->service(weighted.service);
        total += weighted.weight;
    }
    std::uint64_t point = this->gateway.random.below(total);
    for (const WeightedService &weighted : this->route->services) {
        if (point < weighted.weight)
            return this->index->service(weighted.service);
        point -= weighted.weight;
    }
    return nullptr;
}

void RequestExchange::watchCaller()
{
    this->caller.setPeerClosedHandler([this] { this->handleCallerDisconnect(); });
    this->caller.readAhead();
    if (this->caller.isPeerClosed())
        this->handleCallerDisconnect();
}

void RequestExchange::handleCallerDisconnect()
{
    this->isCallerGone = true;
    this->cancelAttempts();
    this->gateway.notifyChange();
}

void RequestExchange::abort()
{
    this->keepAlive = false;
    this->cancelAttempts();
}

void RequestExchange::cancelAttempts()
{
    if (this->attempt.call)
        this->attempt.call->cancel();
    if (this->silentCall != nullptr)
        this->silentCall->cancel();
}

bool RequestExchange::isEngineTarget() const
{
    return this->service->engine.has_value() && !this->target.target.model.isEmpty();
}

/// Whether none of the route's services would get the request because of the quarantine.
bool RequestExchange::isQuarantined() const
{
    const auto &services = this->route->services;
    return std::all_of(services.begin(), services.end(), [this](const WeightedService &weighted) {
        return this->gateway.quarantine.isRefused(weighted.service, this->subjects);
    });
}

/// Returns whether the quarantine lets the request be sent; if not, keeps the refusal.
bool RequestExchange::admitByQuarantine()
{
    const QuarantineDecision decision
            = this->gateway.quarantine.admit(this->service->id, this->subjects);
    if (decision.kind != QuarantineDecision::Kind::Refused)
        return true;
    this->quarantineRefusal = decision;
    this->lastFault = decision.subject.kind == SubjectKind::Request
                              ? std::string("this request crashes upstreams")
                              : fmt::format("requests with the prompt part \"{}\" crash upstreams",
                                            decision.subject.id);
    return false;
}

Awaitable<void> RequestExchange::runAttempts()
{
    while (!this->isCallerGone) {
        const NextHop next = co_await this->chooseNextHop();
        if (this->isCallerGone)
            co_return;
        if (!next.helper)
            this->countRequest();
        const bool isRefused
                = this->gateway.quarantine.isRefused(this->service->id, this->subjects);
        if (isRefused && !this->admitByQuarantine())
            break;
        if (next.isUnavailable) {
            this->lastFault = "this instance is cut off from the upstreams, and no other one helps";
            break;
        }
        if (next.helper && this->gateway.endingRequests) {
            this->lastFault = stoppingReason;
            break;
        }
        if (next.helper) {
            const AttemptOutcome outcome = co_await this->runForwarded(*next.helper);
            if (outcome == AttemptOutcome::Finished || this->isCallerGone)
                co_return;
            if (!this->acquireRetry(outcome))
                break;
            continue;
        }
        UpstreamSelection selection = co_await this->selectPermittedUpstream();
        if (this->isCallerGone)
            co_return;
        const bool isForHelper
                = !selection.upstream && (selection.isCutOff || co_await this->turnToHelpers());
        if (this->isCallerGone)
            co_return;
        if (isForHelper)
            continue;
        if (!selection.upstream && this->possibleRuns == 0 && !this->isAnswerBegun) {
            co_await this->refuse(*selection.refusal, selection.retryAfter);
            co_return;
        }
        if (!selection.upstream)
            break;
        if (this->gateway.endingRequests) {
            this->lastFault = stoppingReason;
            break;
        }
        // The request may have been quarantined while it waited for an upstream.
        if (!this->admitByQuarantine())
            break;
        const AttemptOutcome outcome = co_await this->runAttempt(*selection.upstream);
        if (outcome == AttemptOutcome::Finished || this->isCallerGone)
            co_return;
        if (!this->acquireRetry(outcome))
            break;
    }
    if (!this->isCallerGone)
        co_await this->finishFailedRequest();
}

/// Returns whether the request may be sent again, and takes the retry from the budget.
bool RequestExchange::acquireRetry(AttemptOutcome outcome)
{
    if (this->gateway.endingRequests)
        return false;
    if (this->isAnswerBegun && !this->continuation.isContinuable())
        return false;
    if (this->timeLeft() < minSendTime) {
        this->hasTimedOut = true;
        return false;
    }
    if (this->hasReturnRetry) {
        this->allowReturn();
        return true;
    }
    if (outcome == AttemptOutcome::NotRun) {
        // If no connection was made, no upstream got the request: sending it again is not a retry.
        const bool hasReachedUpstream
                = !this->attempt.isUnreached && (this->notRunAnswers > 0 || this->possibleRuns > 0);
        return this->notRunAnswers <= maxNotRunAnswers
               && (!hasReachedUpstream
                   || this->gateway.budget.takeRetry(this->service->id, this->now()));
    }
    return this->route->mayRetry() && this->possibleRuns < this->route->maxUpstreams
           && this->gateway.budget.takeRetry(this->service->id, this->now());
}

Awaitable<AttemptOutcome> RequestExchange::runAttempt(const UpstreamId &id)
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(id);
    if (entry == nullptr)
        co_return AttemptOutcome::NotRun;
    this->events.discardPartialEvent();
    AttemptOutcome outcome = co_await this->sendAndReceive(this->beginAttempt(*entry));
    while (outcome == AttemptOutcome::Replaced)
        outcome = co_await this->receiveAnswer();
    this->endAttempt();
    this->releaseAnswer();
    if (outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::StreamBroken)
        ++this->possibleRuns;
    co_return outcome;
}

/// Makes a new attempt the current one.
/// @return the head of the request to the upstream
RequestExchange::HeadText RequestExchange::beginAttempt(const UpstreamTable::Entry &entry)
{
    this->attempt = Attempt();
    this->attempt.upstream = entry.registered.id;
    this->attempt.version = entry.softwareVersion();
    this->attempt.process = entry.process();
    this->attempt.endpoint = entry.registered.endpoint;
    this->attempt.number = ++this->sends;
    this->attempt.sentAt = this->now();
    this->attempt.linkCheckAt
            = std::min(this->makeSilenceWatch().nextCheck(),
                       this->attempt.sentAt + this->gateway.settings.forwarding.silenceTime);
    this->attempt.waitingAhead = entry.load.waiting;
    this->attempt.call = std::make_unique<upstream::UpstreamCall>(this->gateway.pool,
                                                                  entry.registered.endpoint);
    this->attempt.call->allowUnframedAnswer();
    this->gateway.selector.recordStart(this->attempt.upstream);
    this->gateway.pace.recordStart(this->service->id, this->attempt.process);
    this->gateway.pauses.recordSend(this->attempt.process, this->now());
    this->gateway.brittle.recordSend(this->attempt.process, this->now());
    if (this->isEngineTarget())
        this->gateway.demand.recordStart(this->target);
    this->log(LogLevel::Info, "request routed", "sent", this->durationField());
    return this->buildUpstreamHead(entry);
}

/// Closes the connection of the current attempt and stops counting it as in flight.
void RequestExchange::endAttempt()
{
    this->attempt.call.reset();
    this->gateway.selector.recordFinish(this->attempt.upstream);
    this->gateway.pace.recordFinish(this->service->id, this->attempt.process);
    if (this->isEngineTarget())
        this->gateway.demand.recordFinish(this->target);
}

Awaitable<AttemptOutcome> RequestExchange::sendAndReceive(HeadText head)
{
    // A new connection has no bytes of an earlier request, and the upstream is not about to close
    // it for idleness.
    const CallResult<void> sent = co_await this->attempt.call->send(
            head, this->request.body, this->deadline, upstream::ConnectionUse::Fresh);
    if (!sent)
        co_return this->handleCallFailure(sent.error());
    this->silence = this->makeSilenceWatch();
    const AttemptOutcome outcome = co_await this->receiveAnswer();
    co_return outcome;
}

/// Builds the head of a request without its last line from what the caller sent.
/// @param isForwarded whether a header is passed on
RequestExchange::HeadText RequestExchange::buildCallerHead(
        const std::function<bool(std::string_view name)> &isForwardedHeader) const
{
    HeadText head = fmt::format("{} {} HTTP/1.1\r\n", this->request.message.method,
                                this->request.message.target);
    const upstream::HeaderList &headers = this->request.headers();
    const std::string_view nominated = headers.find("connection");
    for (std::size_t i = 0; i < headers.size(); ++i) {
        const upstream::Header header = headers[i];
        const bool isFraming = sameHeaderName(header.name, "content-length")
                               || sameHeaderName(header.name, "expect");
        const bool isKey = this->index->hasWorkspaces() && this->gateway.codec.isKeyHeader
                           && this->gateway.codec.isKeyHeader(header.name);
        const bool isNominated = !nominated.empty() && !sameHeaderName(header.name, "host")
                                 && upstream::listContainsName(nominated, header.name);
        if (!isFraming && !isKey && !isNominated && !upstream::isHopByHop(header.name)
            && isForwardedHeader(header.name))
            appendHeader(head, header.name, header.value);
    }
    if (!this->request.body.empty() || headers.contains("content-length")
        || headers.contains("transfer-encoding"))
        appendHeader(head, "Content-Length", std::to_string(this->request.body.size()));
    return head;
}

RequestExchange::HeadText
RequestExchange::buildUpstreamHead(const UpstreamTable::Entry &entry) const
{
    HeadText head = this->buildCallerHead([this](std::string_view name) {
        const bool isBetweenInstances = this->forwarded && forwarding::isForwardingHeader(name);
        return !isBetweenInstances && this->gateway.codec.isForwardedHeader(name);
    });
    UpstreamAttributes upstreamAttributes;
    upstreamAttributes.expectedUpstream = entry.registered.id;
    upstreamAttributes.remaining = std::max(this->timeLeft(), minSendTime);
    upstreamAttributes.priority = this->priority();
    upstreamAttributes.lastEventId = this->resumePoint();
    upstreamAttributes.workspace = this->workspaceId;
    this->gateway.codec.appendHeaders(head, upstreamAttributes);
    head += "\r\n";
    return head;
}

} // namespace bamboochute::gateway
