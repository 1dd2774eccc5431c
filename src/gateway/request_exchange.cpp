#include "gateway/request_exchange.hpp"

#include "caller/answer.hpp"
#include "core/log.hpp"
#include "gateway/exchange_limits.hpp"
#include "gateway/log_fields.hpp"
#include "gateway/request_fingerprint.hpp"

#include <algorithm>
#include <array>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

namespace asio = upstream::asio;
using upstream::appendHeader;
using upstream::Awaitable;
using upstream::CallResult;
using upstream::sameHeaderName;
using upstream::StreamStatus;

/// Size limit for the body of an answer that is not a stream.
constexpr std::size_t maxAnswerBytes = 8 << 20;
/// Size limit for one event of a stream.
constexpr std::size_t maxEventBytes = 256 << 10;
/// A request is refused after more than this many answers that an upstream did not run it.
constexpr std::uint32_t maxNotRunAnswers = 4;
/// Retry-After while no configuration is known; a new process reads it right after its start.
constexpr Duration notReadyRetryAfter = std::chrono::milliseconds(500);
/// Time for a caller to read the answer to a request that was not routed and so has no deadline.
constexpr Duration refusalWriteTimeout = std::chrono::seconds(5);
/// Least time for a caller to read what is written to it, also when its deadline has passed.
constexpr Duration minWriteTime = std::chrono::seconds(1);
constexpr std::string_view stoppingReason = "this instance is shutting down";

asio::const_buffer toBuffer(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string statusLine(int status)
{
    const auto reason
            = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return fmt::format("HTTP/1.1 {} {}\r\n", status,
                       std::string_view(reason.data(), reason.size()));
}

} // namespace

RequestExchange::RequestExchange(Gateway &gateway, upstream::HttpStream &caller,
                                 const caller::CallerRequest &request)
    : gateway(gateway)
    , caller(caller)
    , request(request)
    , index(gateway.index)
    , events(maxEventBytes, true)
{
    this->gateway.exchanges.insert(this);
}

RequestExchange::~RequestExchange()
{
    this->caller.setPeerClosedHandler(nullptr);
    this->gateway.exchanges.erase(this);
}

Awaitable<void> RequestExchange::refuseUnread(const Error &error)
{
    this->keepAlive = false;
    co_await this->refuse(error, std::nullopt);
}

Awaitable<void> RequestExchange::run()
{
    co_await this->runRouted();
    if (this->requestEnd() == RequestEnd::Unanswered)
        this->log(LogLevel::Error, "request ended without an answer", "unanswered",
                  this->durationField());
}

/// Routes the request and sees to its answer.
Awaitable<void> RequestExchange::runRouted()
{
    this->keepAlive = this->request.isKeepAlive && !this->gateway.isDraining();
    this->attributes = this->gateway.codec.readRequest(this->request.headers());
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
    this->route
            = this->index->find(this->request.headers().find("host"), this->request.message.target);
    if (this->route == nullptr) {
        co_await this->refuse(Error(ErrorKind::UnknownPath, "no route matches host and path"),
                              std::nullopt);
        co_return;
    }
    this->deadline = this->request.arrival
                     + std::min(this->attributes.callerTimeout.value_or(this->route->timeout),
                                this->route->timeout);
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

/// Selects the service of the request and counts the request; returns false when the configuration
/// lacks the service.
bool RequestExchange::selectService()
{
    this->service = this->pickService();
    if (this->service == nullptr)
        return false;
    this->target = ServiceTarget{this->service->id, this->attributes.target};
    this->gateway.budget.recordRequest(this->service->id, this->now());
    if (this->isEngineTarget())
        this->gateway.demand.recordArrival(this->target);
    return true;
}

/// Picks the service that began a resumed stream if the route still has it, else one of the route's
/// services by weight.
const Service *RequestExchange::pickService()
{
    const std::optional<StreamOrigin> origin
            = this->gateway.origins.find(this->attributes.resumedRequest);
    std::uint64_t total = 0;
    for (const WeightedService &weighted : this->route->services) {
        if (origin && weighted.service == origin->service)
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

/// Asks the other instances for the origin of the stream that the caller takes up, unless it is
/// known, and waits for it.
Awaitable<void> RequestExchange::findStreamOrigin()
{
    const RequestId &begun = this->attributes.resumedRequest;
    const auto isKnown = [&] { return this->gateway.origins.find(begun).has_value(); };
    // Nobody remembers a longer id, and it could exceed a datagram.
    const bool isTooLong = begun.value().size() > StreamOriginLimits().maxRequestIdBytes;
    if (begun.isEmpty() || isTooLong || isKnown() || !this->gateway.onOriginWanted)
        co_return;
    const TimePoint begin = this->now();
    const TimePoint giveUpAt = std::min(this->deadline, begin + originQueryTimeout);
    bool isRepeated = false;
    ++this->gateway.originWaits;
    while (!isKnown() && !this->isCallerGone && this->now() < giveUpAt) {
        this->gateway.onOriginWanted(begun, isRepeated);
        isRepeated = true;
        const TimePoint askAgainAt = std::min(giveUpAt, this->now() + originQueryInterval);
        while (!isKnown() && !this->isCallerGone && this->now() < askAgainAt)
            co_await this->gateway.change.wait(askAgainAt);
    }
    --this->gateway.originWaits;
    this->log(LogLevel::Info, "asked for the origin of a stream", isKnown() ? "known" : "unknown",
              {"waited_ms", formatMilliseconds(this->now() - begin)});
}

/// Binds a resumed stream to the version that began it; returns false when that is not known.
bool RequestExchange::applyStreamOrigin()
{
    if (!this->isResumption())
        return true;
    const std::optional<StreamOrigin> origin
            = this->gateway.origins.find(this->attributes.resumedRequest);
    // Another service than the one that began it may follow only where the route has changed.
    if (origin && origin->service != this->service->id)
        return true;
    this->requiredVersion
            = origin ? origin->version : this->gateway.table.onlyVersion(this->service->id);
    return this->requiredVersion.has_value();
}

/// Binds the stream to the version of the current upstream, once a part of it was received; returns
/// false if the stream began at another version.
///
/// If the upstream has started again since the request was sent, and not with the same version,
/// either of the two processes may have sent the part, so that the version is not known any more.
bool RequestExchange::bindStreamVersion()
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(this->attempt.upstream);
    SoftwareVersion version = this->attempt.version;
    if (entry != nullptr && entry->softwareVersion() != version)
        version = entry->process() == this->attempt.process ? entry->softwareVersion()
                                                            : SoftwareVersion();
    if (this->requiredVersion == version)
        return true;
    if (this->requiredVersion && this->beginSend != this->attempt.number)
        return false;
    this->announceVersion(version);
    return true;
}

/// Binds the stream to a version and tells it to other instances; no upstream has an empty one.
void RequestExchange::announceVersion(const SoftwareVersion &version)
{
    if (this->requiredVersion)
        ++this->originCorrections;
    this->requiredVersion = version;
    this->beginSend = this->attempt.number;
    if (!this->route->isResumable)
        return;
    const StreamOrigin origin{this->attributes.id, this->service->id, version,
                              this->originCorrections};
    this->gateway.origins.record(origin, this->now());
    if (this->gateway.onStreamBegun)
        this->gateway.onStreamBegun(origin);
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
        const bool isRefused
                = this->gateway.quarantine.isRefused(this->service->id, this->subjects);
        if (isRefused && !this->admitByQuarantine())
            break;
        UpstreamSelection selection = co_await this->selectPermittedUpstream();
        if (this->isCallerGone)
            co_return;
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
    if (this->timeLeft() < minSendTime) {
        this->hasTimedOut = true;
        return false;
    }
    if (outcome == AttemptOutcome::NotRun) {
        // If no connection was made, no upstream got the request: sending it again is not a retry.
        const bool hasReachedUpstream = this->notRunAnswers > 0 || this->possibleRuns > 0;
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
    this->attempt.waitingAhead = entry.load.waiting;
    this->attempt.call = std::make_unique<upstream::UpstreamCall>(this->gateway.pool,
                                                                  entry.registered.endpoint);
    this->attempt.call->allowUnframedAnswer();
    this->gateway.selector.recordStart(this->attempt.upstream);
    this->gateway.pauses.recordSend(this->attempt.process, this->now());
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

/// Reads the answer of the current attempt and relays it.
Awaitable<AttemptOutcome> RequestExchange::receiveAnswer()
{
    while (true) {
        this->attempt.call->setDeadline(this->silenceDeadline());
        const CallResult<void> read = co_await this->attempt.call->readHead();
        if (read)
            break;
        if (!this->isSilence(read.error()))
            co_return this->handleCallFailure(read.error());
        const bool isReplaced = co_await this->replaceSilentUpstream();
        if (isReplaced)
            co_return AttemptOutcome::Replaced;
    }
    this->attempt.heardAt = this->now();
    this->silence.recordBytes(this->now());
    const AttemptOutcome outcome = co_await this->relayAnswer();
    co_return outcome;
}

/// Reads more of the current attempt's answer.
/// @return as UpstreamCall::readBody(); nothing when another upstream has taken the request
Awaitable<std::optional<CallResult<bool>>> RequestExchange::readMoreBody()
{
    while (true) {
        this->attempt.call->setDeadline(this->silenceDeadline());
        CallResult<bool> more = co_await this->attempt.call->readBody();
        if (more) {
            this->attempt.heardAt = this->now();
            this->silence.recordBytes(this->now());
        }
        if (more || !this->isSilence(more.error()))
            co_return more;
        const bool isReplaced = co_await this->replaceSilentUpstream();
        if (isReplaced)
            co_return std::nullopt;
    }
}

Awaitable<AttemptOutcome> RequestExchange::relayAnswer()
{
    const upstream::ParsedMessage &answer = this->attempt.call->answer();
    const AnswerAttributes answerAttributes
            = this->gateway.codec.readAnswer(answer.status, answer.headers);
    if (!answerAttributes.request.isEmpty() && answerAttributes.request != this->attributes.id) {
        this->recordFault(UpstreamFault::Malformed, "the answer belongs to another request");
        co_return AttemptOutcome::MayHaveRun;
    }
    this->recordAnswer(answerAttributes);
    if (answerAttributes.isNotRun)
        co_return this->handleUpstreamRefusal(answerAttributes, answer.status);
    if (!answerAttributes.isSigned) {
        this->recordFault(UpstreamFault::Malformed, "the answer has no signature");
        co_return AttemptOutcome::MayHaveRun;
    }
    AttemptOutcome outcome = AttemptOutcome::Finished;
    if (this->route->kind == RequestKind::Stream && answer.status == statusOk)
        outcome = co_await this->relayEventStream();
    else
        outcome = co_await this->relayWholeAnswer();
    co_return outcome;
}

/// Takes over what the answer says about its upstream, unless another process has sent it.
void RequestExchange::recordAnswer(const AnswerAttributes &attributes)
{
    const bool isOtherProcess
            = !attributes.answeredBy.isEmpty() && attributes.answeredBy != this->attempt.upstream;
    if (isOtherProcess)
        return;
    this->attempt.upstreamLimit = attributes.requestsPerSecond;
    this->gateway.recordAnswer(this->attempt.process, attributes);
}

AttemptOutcome RequestExchange::handleUpstreamRefusal(const AnswerAttributes &attributes,
                                                      int status)
{
    ++this->notRunAnswers;
    const bool isOtherProcess
            = !attributes.answeredBy.isEmpty() && attributes.answeredBy != this->attempt.upstream;
    if (this->isEngineTarget() && !isOtherProcess) {
        // The upstream may be loading or unloading the target, so it may be tried again later.
        this->gateway.table.recordRefusal(this->attempt.upstream, this->target.target,
                                          this->now() + refusedTargetRetryDelay);
        this->lastFault = "the upstream refused the model or adapter";
        this->log(LogLevel::Info, "upstream refused the model or adapter", "target",
                  {"status", std::to_string(status)});
        return AttemptOutcome::NotRun;
    }
    // After a pause the upstream may be tried again.
    if (isOtherProcess || !attributes.pause)
        this->triedUpstreams.push_back(this->attempt.upstream);
    if (isOtherProcess)
        this->recordFault(UpstreamFault::Unreachable,
                          "another process answers at the address of the upstream");
    else
        this->recordFault(UpstreamFault::Full, "the upstream has no capacity left");
    return AttemptOutcome::NotRun;
}

AttemptOutcome RequestExchange::handleCallFailure(const upstream::CallError &error)
{
    using upstream::CallFailure;
    if (error.failure == CallFailure::Cancelled && !this->isCallerGone) {
        this->lastFault = stoppingReason;
        if (!error.isAnythingWritten)
            return AttemptOutcome::NotRun;
        return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
    }
    if (error.failure == CallFailure::Cancelled)
        return AttemptOutcome::Finished;
    this->recordAnswerEnd();
    if (this->isAnswerBegun)
        this->bindStreamVersion();
    this->triedUpstreams.push_back(this->attempt.upstream);
    if (!error.isAnythingWritten) {
        this->recordFault(UpstreamFault::Unreachable, error.message);
        return AttemptOutcome::NotRun;
    }
    if (error.failure == CallFailure::TimedOut && this->timeLeft() < minSendTime) {
        this->hasTimedOut = true;
        this->recordFault(UpstreamFault::Slow, "no complete answer by the deadline of the request");
    } else {
        this->recordFault(error.failure == CallFailure::Malformed
                                          || error.failure == CallFailure::Oversized
                                  ? UpstreamFault::Malformed
                                  : UpstreamFault::Broken,
                          error.message);
    }
    if (error.failure == CallFailure::ConnectionLost)
        this->checkForCrash();
    return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
}

Awaitable<AttemptOutcome> RequestExchange::relayWholeAnswer()
{
    const int status = this->attempt.call->answer().status;
    std::string body;
    while (true) {
        const std::optional<CallResult<bool>> more = co_await this->readMoreBody();
        if (!more)
            co_return AttemptOutcome::Replaced;
        if (!*more)
            co_return this->handleCallFailure(more->error());
        if (!more->value())
            break;
        for (const std::string_view piece : this->attempt.call->answer().pieces)
            body += piece;
        if (body.size() > maxAnswerBytes)
            co_return this->handleCallFailure(
                    {upstream::CallFailure::Oversized, true,
                     fmt::format("the answer's body is longer than {} bytes", maxAnswerBytes),
                     false});
    }
    this->recordAnswerEnd();
    std::string head = this->buildAnswerHead(status, this->attempt.call->answer().headers);
    appendHeader(head, "Content-Length", std::to_string(body.size()));
    head += "\r\n";
    this->attempt.call->cancel();
    if (status >= firstServerError) {
        this->recordFault(UpstreamFault::ServerError, fmt::format("status {}", status));
        this->triedUpstreams.push_back(this->attempt.upstream);
        this->upstreamErrorAnswer.emplace(std::move(head), std::move(body));
        if (this->isAnswerBegun)
            co_return AttemptOutcome::StreamBroken;
        co_return AttemptOutcome::MayHaveRun;
    }
    if (this->isAnswerBegun) {
        // The stream was to be continued, but the upstream's answer is not a stream.
        this->triedUpstreams.push_back(this->attempt.upstream);
        co_return AttemptOutcome::StreamBroken;
    }
    this->recordSuccess();
    this->recordCompletion();
    if (co_await this->writeToCaller(head, body))
        this->end = RequestEnd::Answered;
    this->log(LogLevel::Info, "request answered", std::to_string(status), this->durationField());
    co_return AttemptOutcome::Finished;
}

Awaitable<AttemptOutcome> RequestExchange::relayEventStream()
{
    std::string head;
    if (!this->isAnswerBegun) {
        head = this->buildAnswerHead(statusOk, this->attempt.call->answer().headers);
        appendHeader(head, "Transfer-Encoding", "chunked");
        head += "\r\n";
    }
    bool isFirst = true;
    while (true) {
        const std::optional<CallResult<bool>> more = co_await this->readMoreBody();
        if (!more)
            co_return AttemptOutcome::Replaced;
        if (!*more)
            co_return this->handleCallFailure(more->error());
        if (!more->value())
            break;
        if (this->requiredVersion && !this->bindStreamVersion())
            co_return this->handleBrokenStream(
                    UpstreamFault::Broken,
                    "the upstream has started again with another software version");
        const auto completeEvents
                = this->events.extractWholeEvents(this->attempt.call->answer().pieces);
        if (!completeEvents)
            co_return this->handleBrokenStream(UpstreamFault::Malformed,
                                               completeEvents.error().message());
        std::string text;
        for (const std::string_view piece : completeEvents.value())
            text += piece;
        if (text.empty())
            continue;
        this->bindStreamVersion();
        if (std::exchange(isFirst, false))
            this->recordSuccess();
        this->isAnswerBegun = true;
        const std::string chunk = fmt::format("{}{:x}\r\n", head, text.size());
        head.clear();
        text += "\r\n";
        const bool isSent = co_await this->writeToCaller(chunk, text);
        if (!isSent)
            co_return AttemptOutcome::Finished;
        this->recordEventTime();
        this->silence.recordEvents(this->now());
    }
    this->recordAnswerEnd();
    const std::optional<std::string> defect = this->findStreamDefect(!isFirst);
    if (defect)
        co_return this->handleBrokenStream(UpstreamFault::Broken, *defect);
    this->recordCompletion();
    // A stream without events is a valid answer.
    this->isAnswerBegun = true;
    if (co_await this->writeToCaller(head, "0\r\n\r\n"))
        this->end = RequestEnd::Answered;
    this->log(LogLevel::Info, "request answered", "stream", this->durationField());
    co_return AttemptOutcome::Finished;
}

/// Returns why a stream that has ended without an error is incomplete; unset when it is complete.
///
/// The host of a crashed process closes its connections in order, which is also how an answer
/// without a length ends.
std::optional<std::string> RequestExchange::findStreamDefect(bool hasEvents) const
{
    if (this->events.isInsideEvent())
        return "the stream ended inside an event";
    const bool isUnframed
            = this->attempt.answerEnd
              && this->attempt.answerEnd->framing == upstream::BodyFraming::ConnectionClose;
    // Only a stream that is resumed after its last event may have no further ones.
    if (isUnframed && !hasEvents && this->resumePoint().empty())
        return "the stream without a length ended before its first event";
    return std::nullopt;
}

AttemptOutcome RequestExchange::handleBrokenStream(UpstreamFault fault, std::string_view reason)
{
    if (this->isAnswerBegun)
        this->bindStreamVersion();
    this->triedUpstreams.push_back(this->attempt.upstream);
    this->recordFault(fault, reason);
    if (fault == UpstreamFault::Broken)
        this->checkForCrash();
    return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
}

/// Finds out whether the upstream of the failed attempt has crashed. One that leaves ends whatever
/// it runs.
void RequestExchange::checkForCrash()
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(this->attempt.upstream);
    if (entry == nullptr || entry->isLeaving())
        return;
    this->gateway.quarantine.checkForCrash({this->attempt.process, this->attempt.endpoint,
                                            this->service->id, this->attributes.id, this->subjects,
                                            this->now() - this->attempt.sentAt});
}

/// Returns the id of the last event that the caller has; empty when the stream begins.
const std::string &RequestExchange::resumePoint() const
{
    return this->events.lastEventId().empty() ? this->attributes.lastEventId
                                              : this->events.lastEventId();
}

RequestExchange::HeadText
RequestExchange::buildUpstreamHead(const UpstreamTable::Entry &entry) const
{
    HeadText head = fmt::format("{} {} HTTP/1.1\r\n", this->request.message.method,
                                this->request.message.target);
    const upstream::HeaderList &headers = this->request.headers();
    const std::string_view nominated = headers.find("connection");
    for (std::size_t i = 0; i < headers.size(); ++i) {
        const upstream::Header header = headers[i];
        const bool isFraming = sameHeaderName(header.name, "content-length")
                               || sameHeaderName(header.name, "expect");
        const bool isNominated = !nominated.empty() && !sameHeaderName(header.name, "host")
                                 && upstream::listContainsName(nominated, header.name);
        if (!isFraming && !isNominated && !upstream::isHopByHop(header.name)
            && this->gateway.codec.isForwardedHeader(header.name))
            appendHeader(head, header.name, header.value);
    }
    if (!this->request.body.empty() || headers.contains("content-length")
        || headers.contains("transfer-encoding"))
        appendHeader(head, "Content-Length", std::to_string(this->request.body.size()));
    UpstreamAttributes upstreamAttributes;
    upstreamAttributes.expectedUpstream = entry.registered.id;
    upstreamAttributes.remaining = std::max(this->timeLeft(), minSendTime);
    upstreamAttributes.priority = this->route->priority;
    upstreamAttributes.lastEventId = this->resumePoint();
    this->gateway.codec.appendHeaders(head, upstreamAttributes);
    head += "\r\n";
    return head;
}

void RequestExchange::recordFault(UpstreamFault fault, std::string_view reason)
{
    this->lastFault = reason;
    const bool isNew = this->gateway.health.recordFault(this->attempt.upstream, fault, this->now());
    this->log(LogLevel::Warning, "attempt failed", upstreamFaultName(fault),
              {"detail", std::string(reason)});
    this->gateway.metrics
            .counter("bamboochute_upstream_faults_total",
                     fmt::format("fault=\"{}\"", upstreamFaultName(fault)))
            .add();
    if (isNew && this->gateway.onUpstreamAvoided)
        this->gateway.onUpstreamAvoided(this->attempt.upstream, fault);
}

void RequestExchange::recordSuccess()
{
    const Duration latency = this->now() - this->attempt.sentAt;
    this->gateway.health.recordSuccess(this->attempt.upstream, latency, this->now());
    if (this->isEngineTarget())
        this->gateway.forecast.recordFirstEvent(this->service->id, this->attempt.waitingAhead,
                                                latency);
}

/// Counts an answer whose end the upstream has stated as evidence that the request is sound.
void RequestExchange::recordCompletion()
{
    if (this->attempt.answerEnd
        && this->attempt.answerEnd->framing != upstream::BodyFraming::ConnectionClose)
        this->gateway.quarantine.recordCompletion(this->service->id, this->subjects);
}

void RequestExchange::recordEventTime()
{
    const TimePoint time = this->now();
    if (this->firstEventAt == TimePoint())
        this->firstEventAt = time;
    else
        this->longestEventGap = std::max(this->longestEventGap, time - this->lastEventAt);
    this->lastEventAt = time;
}

/// Records how the upstream's answer ended, before its connection is closed by this side.
void RequestExchange::recordAnswerEnd()
{
    this->attempt.answerEnd = this->attempt.call->answerEnd();
    if (!this->attempt.answerEnd)
        return;
    this->gateway.metrics
            .counter("bamboochute_answer_ends_total",
                     fmt::format("framing=\"{}\",connection=\"{}\",partial_event=\"{}\"",
                                 upstream::bodyFramingName(this->attempt.answerEnd->framing),
                                 upstream::connectionStateName(this->attempt.answerEnd->connection),
                                 this->events.partialEventBytes() > 0 ? "yes" : "no"))
            .add();
}

void RequestExchange::recordLatencies() const
{
    const KindMetrics &metrics = this->gateway.requestMetrics.forKind(this->route->kind);
    metrics.requestDuration->record(this->now() - this->request.arrival);
    if (metrics.firstEventDelay == nullptr || this->firstEventAt == TimePoint())
        return;
    metrics.firstEventDelay->record(this->firstEventAt - this->request.arrival);
    metrics.longestEventGap->record(this->longestEventGap);
}

/// Ends a request whose attempts have all failed.
Awaitable<void> RequestExchange::finishFailedRequest()
{
    if (this->isAnswerBegun) {
        // Without the last chunk the caller can tell that the stream is incomplete.
        this->keepAlive = false;
        this->end = RequestEnd::Cut;
        this->log(LogLevel::Warning, "stream aborted, caller connection closed", "stream_broken",
                  {"detail", this->lastFault});
        this->gateway.metrics.errors(ErrorKind::StreamBroken).add();
        this->caller.close();
        co_return;
    }
    if (this->upstreamErrorAnswer) {
        const auto &[head, body] = *this->upstreamErrorAnswer;
        if (co_await this->writeToCaller(head, body))
            this->end = RequestEnd::Answered;
        this->log(LogLevel::Warning, "request answered", "upstream_failure",
                  {"detail", this->lastFault});
        co_return;
    }
    if (this->quarantineRefusal && this->possibleRuns == 0) {
        const bool isRequest = this->quarantineRefusal->subject.kind == SubjectKind::Request;
        co_await this->refuse(
                Error(isRequest ? ErrorKind::RequestQuarantined : ErrorKind::PromptQuarantined,
                      this->lastFault),
                this->quarantineRefusal->retryAfter);
        co_return;
    }
    if (this->possibleRuns > 0) {
        const ErrorKind kind
                = this->hasTimedOut ? ErrorKind::UpstreamTimedOut : ErrorKind::UpstreamFailed;
        co_await this->refuse(Error(kind, this->lastFault), std::nullopt);
        co_return;
    }
    co_await this->refuse(Error(this->gateway.endingRequests ? ErrorKind::Draining
                                                             : ErrorKind::UpstreamUnavailable,
                                this->lastFault),
                          noUpstreamRetryAfter);
}

/// Answers a caller that has closed its sending side: it may still read.
Awaitable<void> RequestExchange::answerDepartedCaller()
{
    const std::string reason = "the caller closed its side of the connection";
    if (this->sends == 0)
        co_await this->writeRefusal(Error(ErrorKind::UpstreamUnavailable, reason),
                                    noUpstreamRetryAfter);
    else
        co_await this->writeRefusal(Error(ErrorKind::UpstreamFailed, reason), std::nullopt);
}

Awaitable<void> RequestExchange::refuse(const Error &error, std::optional<Duration> retryAfter)
{
    const ErrorRow &row = error.row();
    this->gateway.metrics.errors(error.kind()).add();
    this->log(LogLevel::Warning,
              row.httpStatus >= firstServerError ? "request failed" : "request refused", row.code,
              {"detail", error.message()});
    if (co_await this->writeRefusal(error, retryAfter))
        this->end = RequestEnd::Refused;
}

/// Writes this instance's own answer; returns whether the connection has taken it.
Awaitable<bool> RequestExchange::writeRefusal(const Error &error,
                                              std::optional<Duration> retryAfter)
{
    const ErrorRow &row = error.row();
    const std::string body = caller::errorBody(error);
    std::string head = statusLine(row.httpStatus);
    appendHeader(head, "Content-Type", "application/json");
    appendHeader(head, "Content-Length", std::to_string(body.size()));
    if (retryAfter)
        appendHeader(head, "Retry-After", fmt::format("{:.2f}", toSeconds(*retryAfter)));
    this->appendConnectionHeader(head);
    head += "\r\n";
    const bool isWritten = co_await this->writeToCaller(head, body);
    co_return isWritten;
}

/// Writes to the caller; returns false when it has disconnected or does not read in time.
Awaitable<bool> RequestExchange::writeToCaller(std::string_view head, std::string_view body)
{
    const std::array<asio::const_buffer, 2> parts{toBuffer(head), toBuffer(body)};
    std::optional<StreamStatus> status = this->caller.tryWrite(parts);
    if (!status) {
        const Duration least = this->deadline == TimePoint() ? refusalWriteTimeout : minWriteTime;
        this->caller.expireAt(std::max(this->deadline, this->now() + least));
        status = co_await this->caller.writeRest(parts);
        this->caller.neverExpire();
    }
    if (*status != StreamStatus::Ok) {
        this->keepAlive = false;
        this->end = *status == StreamStatus::Expired ? RequestEnd::Unread : RequestEnd::CallerGone;
    }
    co_return *status == StreamStatus::Ok;
}

/// Time since the upstream of the current attempt has sent anything.
Duration RequestExchange::upstreamSilence() const
{
    const TimePoint since = std::max(this->attempt.sentAt, this->attempt.heardAt);
    return since == TimePoint() ? Duration(0) : this->now() - since;
}

/// Tells the caller if its connection is closed after the answer; the process may have begun to
/// stop since the request arrived.
void RequestExchange::appendConnectionHeader(HeadText &head)
{
    this->keepAlive = this->keepAlive && !this->gateway.isDraining();
    if (!this->keepAlive)
        appendHeader(head, "Connection", "close");
}

LogField RequestExchange::durationField() const
{
    return {"took_ms", formatMilliseconds(this->now() - this->request.arrival)};
}

std::string RequestExchange::buildAnswerHead(int status, const upstream::HeaderList &headers)
{
    std::string head = statusLine(status);
    for (std::size_t i = 0; i < headers.size(); ++i) {
        const upstream::Header header = headers[i];
        if (!sameHeaderName(header.name, "content-length") && !upstream::isHopByHop(header.name))
            appendHeader(head, header.name, header.value);
    }
    this->appendConnectionHeader(head);
    return head;
}

void RequestExchange::log(LogLevel level, std::string_view message, std::string_view reason,
                          const LogField &extra) const
{
    std::string_view framing;
    std::string_view connection;
    if (this->attempt.answerEnd) {
        framing = upstream::bodyFramingName(this->attempt.answerEnd->framing);
        connection = upstream::connectionStateName(this->attempt.answerEnd->connection);
    }
    logEvent(level, message,
             {{"request", this->attributes.id.value()},
              {"reason", std::string(reason)},
              extra,
              {"route", this->route ? this->route->id.value() : std::string()},
              {"upstream", this->attempt.upstream.value()},
              {"version", this->attempt.version.value()},
              {"resumes", this->attributes.resumedRequest.value()},
              {"resumed_after", this->attributes.lastEventId},
              {"prompt_parts", formatPromptParts(this->attributes.promptParts)},
              {"caller", this->callerIdentity},
              {"fingerprint", formatSubjects(this->subjects, SubjectKind::Request)},
              {"model", this->attributes.target.model.value()},
              {"adapter", this->attributes.target.adapter.value()},
              {"sends", std::to_string(this->sends)},
              {"candidates", std::to_string(this->candidateCount)},
              {"waiting_ahead", std::to_string(this->attempt.waitingAhead)},
              {"left_ms", this->deadline == TimePoint() ? std::string()
                                                        : formatMilliseconds(this->timeLeft())},
              {"upstream_silent_ms", formatMilliseconds(this->upstreamSilence())},
              {"first_event_ms",
               this->firstEventAt == TimePoint()
                       ? std::string()
                       : formatMilliseconds(this->firstEventAt - this->request.arrival)},
              {"longest_gap_ms", formatMilliseconds(this->longestEventGap)},
              {"upstream_limit", this->attempt.upstreamLimit
                                         ? fmt::format("{}", *this->attempt.upstreamLimit)
                                         : std::string()},
              {"framing", std::string(framing)},
              {"connection", std::string(connection)},
              {"partial_event_bytes", std::to_string(this->events.partialEventBytes())},
              {"configuration", this->index ? std::to_string(this->index->configuration().version)
                                            : std::string()}});
}

} // namespace bamboochute::gateway
