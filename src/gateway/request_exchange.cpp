#include "gateway/request_exchange.hpp"

#include "caller/answer.hpp"
#include "core/log.hpp"
#include "gateway/exchange_limits.hpp"

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

/// Longest body of an answer that is no stream.
constexpr std::size_t maxAnswerBytes = 8 << 20;
/// Longest event of a stream.
constexpr std::size_t maxEventBytes = 256 << 10;
/// Answers of upstreams that they did not run a request, before it is refused.
constexpr std::uint32_t maxRefusals = 4;
/// Time that is left at least when a request is sent.
constexpr Duration minSendTime = std::chrono::milliseconds(20);
/// Answers without a verdict are waited for at least so long before another upstream is asked.
constexpr Duration minPatience = std::chrono::milliseconds(150);
/// Objectives that an upstream has for an answer before another one is asked.
constexpr double patienceObjectives = 1.5;
/// Longest pauses, by the route, that an upstream has between events before another one is asked.
constexpr double patienceGaps = 3.0;
/// When callers may come back if no configuration is known yet; a new process reads it at once.
constexpr Duration notReadyRetry = std::chrono::milliseconds(500);
/// Time in which a caller takes an answer to what could not be read as a request.
constexpr Duration refusalWriteTime = std::chrono::seconds(5);
constexpr int statusOk = 200;
constexpr int firstServerError = 500;

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
{}

RequestExchange::~RequestExchange()
{
    this->caller.onPeerClosed(nullptr);
}

Awaitable<void> RequestExchange::refuseUnread(const Error &error)
{
    this->keepAlive = false;
    co_await this->refuse(error, std::nullopt);
}

Awaitable<void> RequestExchange::run()
{
    this->keepAlive = this->request.isKeepAlive && !this->gateway.isDraining();
    this->attributes = this->gateway.codec.readRequest(this->request.headers());
    if (!this->index) {
        co_await this->refuse(Error(ErrorKind::NotReady, "no configuration is known yet"),
                              notReadyRetry);
        co_return;
    }
    this->route
            = this->index->find(this->request.headers().find("host"), this->request.message.target);
    if (this->route == nullptr) {
        co_await this->refuse(Error(ErrorKind::UnknownPath, "no route matches host and path"),
                              std::nullopt);
        co_return;
    }
    if (!this->begin()) {
        co_await this->refuse(Error(ErrorKind::NotReady, "the route's service is not known"),
                              notReadyRetry);
        co_return;
    }
    this->watchCaller();
    co_await this->runAttempts();
    this->caller.onPeerClosed(nullptr);
    this->recordLatencies();
    if (this->isCallerGone) {
        this->keepAlive = false;
        this->log(LogLevel::Info, "caller left", "caller_gone", this->tookField());
    }
}

/// Chooses the service and counts the request; false when the service is not known.
bool RequestExchange::begin()
{
    std::uint64_t total = 0;
    for (const WeightedService &weighted : this->route->services)
        total += weighted.weight;
    std::uint64_t point = this->gateway.random.below(total);
    for (const WeightedService &weighted : this->route->services) {
        if (point < weighted.weight) {
            this->service = this->index->service(weighted.service);
            break;
        }
        point -= weighted.weight;
    }
    if (this->service == nullptr)
        return false;
    this->target = ServiceTarget{this->service->id, this->attributes.target};
    const Duration patience = this->attributes.patience.value_or(this->route->timeout);
    this->deadline = this->request.arrival + std::min(patience, this->route->timeout);
    this->gateway.budget.request(this->service->id, this->now());
    if (this->isEngineTarget())
        this->gateway.demand.arrived(this->target);
    return true;
}

void RequestExchange::watchCaller()
{
    this->caller.onPeerClosed([this] { this->callerLeft(); });
    this->caller.readAhead();
    if (this->caller.isPeerClosed())
        this->callerLeft();
}

void RequestExchange::callerLeft()
{
    this->isCallerGone = true;
    if (this->call)
        this->call->cancel();
    this->gateway.changed();
}

bool RequestExchange::isEngineTarget() const
{
    return this->service->engine.has_value() && !this->target.target.model.isEmpty();
}

Awaitable<void> RequestExchange::runAttempts()
{
    while (!this->isCallerGone) {
        Placement placement = co_await this->place();
        if (this->isCallerGone)
            co_return;
        if (!placement.upstream && this->sends == 0) {
            co_await this->refuse(*placement.refusal, placement.retryAfter);
            co_return;
        }
        if (!placement.upstream)
            break;
        const AttemptEnd end = co_await this->attempt(*placement.upstream);
        if (end == AttemptEnd::Finished || this->isCallerGone)
            co_return;
        if (!this->mayTryAgain(end))
            break;
    }
    if (!this->isCallerGone)
        co_await this->finishUnanswered();
}

/// Whether the request can be sent once more, and pays for it.
bool RequestExchange::mayTryAgain(AttemptEnd end)
{
    if (this->left() < minSendTime) {
        this->hasTimedOut = true;
        return false;
    }
    if (end == AttemptEnd::NotRun) {
        // Nothing arrived when no connection was made.
        const bool isArrival = this->refusals > 0 || this->runs > 0;
        return this->refusals <= maxRefusals
               && (!isArrival || this->gateway.budget.take(this->service->id, this->now()));
    }
    return this->route->mayRepeat() && this->runs < this->route->maxUpstreams
           && this->gateway.budget.take(this->service->id, this->now());
}

Awaitable<AttemptEnd> RequestExchange::attempt(const UpstreamId &id)
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(id);
    if (entry == nullptr)
        co_return AttemptEnd::NotRun;
    this->current = id;
    this->sentAt = this->now();
    this->waitingAhead = entry->load.waiting;
    ++this->sends;
    this->gateway.choice.started(id);
    if (this->isEngineTarget())
        this->gateway.demand.started(this->target);
    this->log(LogLevel::Info, "request routed", "sent", {"left_ms", millis(this->left())});
    const AttemptEnd end = co_await this->exchange(*entry);
    this->call.reset();
    this->gateway.choice.finished(id);
    if (this->isEngineTarget())
        this->gateway.demand.finished(this->target);
    if (end == AttemptEnd::MayHaveRun || end == AttemptEnd::StreamBroken)
        ++this->runs;
    co_return end;
}

Awaitable<AttemptEnd> RequestExchange::exchange(const UpstreamTable::Entry &entry)
{
    const HeadText head = this->upstreamHead(entry);
    this->call.emplace(this->gateway.pool, entry.registered.endpoint);
    this->call->allowUnframedAnswer();
    // A fresh connection holds nothing of another request, and its peer is not about to close it.
    const CallResult<void> sent = co_await this->call->send(
            head, this->request.body, this->deadline, upstream::ConnectionUse::Fresh);
    if (!sent)
        co_return this->callFailed(sent.error());
    this->call->setDeadline(this->firstEventLimit());
    const CallResult<void> read = co_await this->call->readHead();
    if (!read)
        co_return this->callFailed(read.error());
    const AttemptEnd end = co_await this->readAnswer();
    co_return end;
}

Awaitable<AttemptEnd> RequestExchange::readAnswer()
{
    const upstream::ParsedMessage &answer = this->call->answer();
    const AnswerAttributes said = this->gateway.codec.readAnswer(answer.status, answer.headers);
    if (!said.request.isEmpty() && said.request != this->attributes.id) {
        this->noteFault(UpstreamFault::Malformed, "answer for another request");
        co_return AttemptEnd::MayHaveRun;
    }
    if (said.isNotRun)
        co_return this->refusedByUpstream(said, answer.status);
    if (!said.isSigned) {
        this->noteFault(UpstreamFault::Malformed, "answer without signature");
        co_return AttemptEnd::MayHaveRun;
    }
    AttemptEnd end = AttemptEnd::Finished;
    if (this->route->kind == RequestKind::Stream && answer.status == statusOk)
        end = co_await this->relayEvents();
    else
        end = co_await this->relayWhole();
    co_return end;
}

AttemptEnd RequestExchange::refusedByUpstream(const AnswerAttributes &attributes, int status)
{
    ++this->refusals;
    const bool isOtherProcess
            = !attributes.answeredBy.isEmpty() && attributes.answeredBy != this->current;
    if (this->isEngineTarget() && !isOtherProcess) {
        // It may be loading or unloading the target; another try there is right later on.
        this->gateway.table.refused(this->current, this->target.target,
                                    this->now() + targetRefusalTime);
        this->lastFault = "refused by upstream";
        this->log(LogLevel::Info, "upstream refused", "target", {"status", std::to_string(status)});
        return AttemptEnd::NotRun;
    }
    this->tried.push_back(this->current);
    if (isOtherProcess)
        this->noteFault(UpstreamFault::Unreachable, "another process has the address");
    else
        this->noteFault(UpstreamFault::Full, "upstream is full");
    return AttemptEnd::NotRun;
}

AttemptEnd RequestExchange::callFailed(const upstream::CallError &error)
{
    using upstream::CallFailure;
    if (error.failure == CallFailure::Cancelled)
        return AttemptEnd::Finished;
    this->tried.push_back(this->current);
    if (!error.isAnythingWritten) {
        this->noteFault(UpstreamFault::Unreachable, error.message);
        return AttemptEnd::NotRun;
    }
    if (error.failure == CallFailure::TimedOut && this->left() < minSendTime) {
        this->hasTimedOut = true;
        this->noteFault(UpstreamFault::Slow, "no answer by the deadline");
    } else {
        this->noteFault(error.failure == CallFailure::Malformed
                                        || error.failure == CallFailure::Oversized
                                ? UpstreamFault::Malformed
                                : UpstreamFault::Broken,
                        error.message);
    }
    return this->isAnswerBegun ? AttemptEnd::StreamBroken : AttemptEnd::MayHaveRun;
}

Awaitable<AttemptEnd> RequestExchange::relayWhole()
{
    const int status = this->call->answer().status;
    const CallResult<std::string> body = co_await this->call->readWholeBody(maxAnswerBytes);
    if (!body)
        co_return this->callFailed(body.error());
    std::string head = this->answerHead(status, this->call->answer().headers);
    appendHeader(head, "Content-Length", std::to_string(body.value().size()));
    head += "\r\n";
    this->call->cancel();
    if (status >= firstServerError) {
        this->noteFault(UpstreamFault::ServerError, fmt::format("status {}", status));
        this->tried.push_back(this->current);
        this->failureAnswer.emplace(std::move(head), body.value());
        if (this->isAnswerBegun)
            co_return AttemptEnd::StreamBroken;
        co_return AttemptEnd::MayHaveRun;
    }
    if (this->isAnswerBegun) {
        // A stream that was to go on got another kind of answer.
        this->tried.push_back(this->current);
        co_return AttemptEnd::StreamBroken;
    }
    this->noteSuccess();
    co_await this->send(head, body.value());
    this->log(LogLevel::Info, "request answered", std::to_string(status), this->tookField());
    co_return AttemptEnd::Finished;
}

Awaitable<AttemptEnd> RequestExchange::relayEvents()
{
    std::string head;
    if (!this->isAnswerBegun) {
        head = this->answerHead(statusOk, this->call->answer().headers);
        appendHeader(head, "Transfer-Encoding", "chunked");
        head += "\r\n";
    }
    this->events.discardPartialEvent();
    bool isFirst = true;
    while (true) {
        const CallResult<bool> more = co_await this->call->readBody();
        if (!more)
            co_return this->callFailed(more.error());
        if (!more.value())
            break;
        const auto whole = this->events.extractWholeEvents(this->call->answer().pieces);
        if (!whole) {
            this->tried.push_back(this->current);
            this->noteFault(UpstreamFault::Malformed, whole.error().message());
            co_return this->isAnswerBegun ? AttemptEnd::StreamBroken : AttemptEnd::MayHaveRun;
        }
        std::string text;
        for (const std::string_view piece : whole.value())
            text += piece;
        if (text.empty())
            continue;
        if (std::exchange(isFirst, false))
            this->noteSuccess();
        this->isAnswerBegun = true;
        const std::string chunk = fmt::format("{}{:x}\r\n", head, text.size());
        head.clear();
        text += "\r\n";
        const bool isSent = co_await this->send(chunk, text);
        if (!isSent)
            co_return AttemptEnd::Finished;
        this->noteEvents();
        this->call->setDeadline(this->nextEventLimit());
    }
    if (!this->isAnswerBegun) {
        // A stream without events is an answer too.
        this->isAnswerBegun = true;
    }
    co_await this->send(head, "0\r\n\r\n");
    this->log(LogLevel::Info, "request answered", "stream", this->tookField());
    co_return AttemptEnd::Finished;
}

RequestExchange::HeadText RequestExchange::upstreamHead(const UpstreamTable::Entry &entry) const
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
                                 && upstream::isListed(nominated, header.name);
        if (!isFraming && !isNominated && !upstream::isHopByHop(header.name)
            && this->gateway.codec.isPassedOn(header.name))
            appendHeader(head, header.name, header.value);
    }
    if (!this->request.body.empty() || headers.contains("content-length")
        || headers.contains("transfer-encoding"))
        appendHeader(head, "Content-Length", std::to_string(this->request.body.size()));
    UpstreamAttributes said;
    said.expected = entry.registered.id;
    said.remaining = std::max(this->left(), minSendTime);
    said.priority = this->route->priority;
    said.lastEvent = this->events.lastEventId().empty() ? this->attributes.lastEvent
                                                        : this->events.lastEventId();
    this->gateway.codec.appendHeaders(head, said);
    head += "\r\n";
    return head;
}

/// Until when an upstream may take for its first event before another one is asked.
TimePoint RequestExchange::firstEventLimit() const
{
    const bool canMove = this->route->mayRepeat() && this->runs + 1 < this->route->maxUpstreams
                         && this->gateway.budget.left(this->service->id, this->now()) >= 1
                         && this->hasAlternative();
    if (!canMove)
        return this->deadline;
    const auto patience
            = std::chrono::duration_cast<Duration>(this->route->objective * patienceObjectives);
    return std::min(this->deadline, this->now() + std::max(patience, minPatience));
}

TimePoint RequestExchange::nextEventLimit() const
{
    const bool canMove = this->route->mayRepeat() && this->runs + 1 < this->route->maxUpstreams
                         && this->route->maxEventGap > Duration(0) && this->hasAlternative();
    if (!canMove)
        return this->deadline;
    const auto patience
            = std::chrono::duration_cast<Duration>(this->route->maxEventGap * patienceGaps);
    return std::min(this->deadline, this->now() + patience);
}

void RequestExchange::noteFault(UpstreamFault fault, std::string_view reason)
{
    this->lastFault = reason;
    const bool isNew = this->gateway.health.failed(this->current, fault, this->now());
    this->log(LogLevel::Warning, "attempt failed", upstreamFaultName(fault),
              {"detail", std::string(reason)});
    this->gateway.metrics
            .counter("bamboochute_upstream_faults_total",
                     fmt::format("fault=\"{}\"", upstreamFaultName(fault)))
            .add();
    if (isNew && this->gateway.onSuspicion)
        this->gateway.onSuspicion(this->current, fault);
}

void RequestExchange::noteSuccess()
{
    const Duration latency = this->now() - this->sentAt;
    this->gateway.health.succeeded(this->current, latency, this->now());
    if (this->isEngineTarget())
        this->gateway.forecast.observed(this->service->id, this->waitingAhead, latency);
}

void RequestExchange::noteEvents()
{
    const TimePoint time = this->now();
    if (this->firstEventAt == TimePoint())
        this->firstEventAt = time;
    else
        this->longestGap = std::max(this->longestGap, time - this->lastEventAt);
    this->lastEventAt = time;
}

void RequestExchange::recordLatencies() const
{
    const KindMetrics &metrics = this->gateway.latencies.of(this->route->kind);
    metrics.whole->record(this->now() - this->request.arrival);
    if (metrics.firstEvent == nullptr || this->firstEventAt == TimePoint())
        return;
    metrics.firstEvent->record(this->firstEventAt - this->request.arrival);
    metrics.longestGap->record(this->longestGap);
}

/// Gives a request its last answer after its attempts have failed.
Awaitable<void> RequestExchange::finishUnanswered()
{
    if (this->isAnswerBegun) {
        // Without its last chunk the stream is recognisably cut.
        this->keepAlive = false;
        this->log(LogLevel::Warning, "stream broken", "stream_broken", {"detail", this->lastFault});
        this->gateway.metrics.errors(ErrorKind::StreamBroken).add();
        this->caller.close();
        co_return;
    }
    if (this->failureAnswer) {
        const auto &[head, body] = *this->failureAnswer;
        co_await this->send(head, body);
        this->log(LogLevel::Warning, "request answered", "upstream_failure",
                  {"detail", this->lastFault});
        co_return;
    }
    if (this->runs > 0) {
        const ErrorKind kind
                = this->hasTimedOut ? ErrorKind::UpstreamTimedOut : ErrorKind::UpstreamFailed;
        co_await this->refuse(Error(kind, this->lastFault), std::nullopt);
        co_return;
    }
    co_await this->refuse(Error(ErrorKind::UpstreamUnavailable, this->lastFault), noUpstreamRetry);
}

Awaitable<void> RequestExchange::refuse(const Error &error, std::optional<Duration> retryAfter)
{
    const ErrorRow &row = error.row();
    const std::string body = caller::errorBody(error);
    std::string head = statusLine(row.httpStatus);
    appendHeader(head, "Content-Type", "application/json");
    appendHeader(head, "Content-Length", std::to_string(body.size()));
    if (retryAfter)
        appendHeader(head, "Retry-After", fmt::format("{:.2f}", toSeconds(*retryAfter)));
    if (!this->keepAlive)
        appendHeader(head, "Connection", "close");
    head += "\r\n";
    this->gateway.metrics.errors(error.kind()).add();
    this->log(LogLevel::Warning,
              row.httpStatus >= firstServerError ? "request failed" : "request refused", row.code,
              {"detail", error.message()});
    co_await this->send(head, body);
}

/// Writes to the caller; false when it has left or does not read.
Awaitable<bool> RequestExchange::send(std::string_view head, std::string_view body)
{
    const std::array<asio::const_buffer, 2> parts{toBuffer(head), toBuffer(body)};
    std::optional<StreamStatus> status = this->caller.tryWrite(parts);
    if (!status) {
        const TimePoint fallback = this->now() + refusalWriteTime;
        this->caller.expireAt(
                this->deadline == TimePoint() ? fallback : std::max(this->deadline, this->now()));
        status = co_await this->caller.writeRest(parts);
        this->caller.neverExpire();
    }
    if (*status != StreamStatus::Ok)
        this->keepAlive = false;
    co_return *status == StreamStatus::Ok;
}

LogField RequestExchange::tookField() const
{
    return {"took_ms", millis(this->now() - this->request.arrival)};
}

std::string RequestExchange::answerHead(int status, const upstream::HeaderList &headers) const
{
    std::string head = statusLine(status);
    for (std::size_t i = 0; i < headers.size(); ++i) {
        const upstream::Header header = headers[i];
        if (!sameHeaderName(header.name, "content-length") && !upstream::isHopByHop(header.name))
            appendHeader(head, header.name, header.value);
    }
    if (!this->keepAlive)
        appendHeader(head, "Connection", "close");
    return head;
}

void RequestExchange::log(LogLevel level, std::string_view message, std::string_view reason,
                          const LogField &extra) const
{
    logEvent(level, message,
             {{"request", this->attributes.id.value()},
              {"reason", std::string(reason)},
              extra,
              {"route", this->route ? this->route->id.value() : std::string()},
              {"upstream", this->current.value()},
              {"model", this->attributes.target.model.value()},
              {"adapter", this->attributes.target.adapter.value()},
              {"sends", std::to_string(this->sends)},
              {"candidates", std::to_string(this->candidates)},
              {"waiting_ahead", std::to_string(this->waitingAhead)},
              {"first_event_ms", this->firstEventAt == TimePoint()
                                         ? std::string()
                                         : millis(this->firstEventAt - this->request.arrival)},
              {"longest_gap_ms", millis(this->longestGap)},
              {"configuration",
               this->index ? std::to_string(this->index->catalogue().version) : std::string()}});
}

} // namespace bamboochute::gateway
