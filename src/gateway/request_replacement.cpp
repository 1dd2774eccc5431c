#include "gateway/exchange_limits.hpp"
#include "gateway/log_fields.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using upstream::Awaitable;
using upstream::CallFailure;
using upstream::CallResult;

/// Interval at which the silent upstream is looked at while another one is asked.
constexpr Duration silentUpstreamPollInterval = std::chrono::milliseconds(20);

} // namespace

/// When to stop waiting for more of the answer, to look for another upstream; the request's
/// deadline if it can't be sent to another one.
TimePoint RequestExchange::silenceDeadline() const
{
    return this->mayReplaceUpstream() ? std::min(this->deadline, this->silence.nextCheck())
                                      : this->deadline;
}

/// Whether the request may be sent to another upstream while the current one may still run it.
bool RequestExchange::mayReplaceUpstream() const
{
    return this->route->mayRetry() && this->possibleRuns + 1 < this->route->maxUpstreams
           && this->gateway.budget.remaining(this->service->id, this->now()) >= 1;
}

/// Whether a call has failed only because its upstream says nothing, with time left.
bool RequestExchange::isSilence(const upstream::CallError &error) const
{
    return error.failure == CallFailure::TimedOut && this->timeLeft() >= minSendTime
           && !this->isCallerGone && !this->isAborted;
}

/// Asks other upstreams to take the request from the current one, which is silent. It is given up
/// only when another one has accepted the request.
/// @return whether the current attempt is now that of another upstream
Awaitable<bool> RequestExchange::replaceSilentUpstream()
{
    this->attempt.call->setDeadline(this->deadline);
    this->attempt.call->readAhead();
    const bool isReplaced = this->mayReplaceUpstream() && co_await this->askReplacement();
    if (!isReplaced)
        this->silence.recordNotReplaced(this->now());
    co_return isReplaced;
}

Awaitable<bool> RequestExchange::askReplacement()
{
    const std::optional<UpstreamId> id = co_await this->selectReplacement();
    const UpstreamTable::Entry *entry = id ? this->gateway.table.find(*id) : nullptr;
    const bool isRefused
            = this->gateway.quarantine.isRefused(this->service->id, this->attributes.promptParts);
    if (entry == nullptr || isRefused || this->isCallerGone || this->isAborted
        || this->attempt.call->hasInput()
        || !this->gateway.budget.takeRetry(this->service->id, this->now()) || !this->admitPrompt())
        co_return false;
    Attempt silent = std::exchange(this->attempt, Attempt());
    const HeadText head = this->beginAttempt(*entry);
    const bool isAccepted = co_await this->sendToReplacement(head, *silent.call);
    if (!isAccepted) {
        this->endAttempt();
        this->attempt = std::move(silent);
        co_return false;
    }
    // The upstream may go on with the request until it notices that its connection is closed.
    ++this->possibleRuns;
    this->events.discardPartialEvent();
    std::swap(this->attempt, silent);
    this->triedUpstreams.push_back(this->attempt.upstream);
    this->recordFault(UpstreamFault::Broken, "silent; another upstream has taken the request");
    this->endAttempt();
    this->attempt = std::move(silent);
    this->silence = this->makeSilenceWatch();
    co_return true;
}

/// Selects another upstream that takes the request now, and gets a permit if it has named a limit.
Awaitable<std::optional<UpstreamId>> RequestExchange::selectReplacement()
{
    this->exhaustedUpstreams.clear();
    while (true) {
        SelectionQuery query = this->buildSelectionQuery();
        query.excluded.push_back(this->attempt.upstream);
        query.isHealthRequired = true;
        this->candidateCount = query.candidates.size();
        const std::optional<UpstreamId> id
                = this->gateway.selector.pickUpstream(query, this->gateway.health, this->now());
        const UpstreamTable::Entry *entry = id ? this->gateway.table.find(*id) : nullptr;
        if (entry == nullptr)
            co_return std::nullopt;
        const UpstreamProcess process = entry->process();
        const PermitDecision permit = co_await this->gateway.upstreamLimits.acquire(process);
        if (permit.isGranted)
            co_return id;
        this->exhaustedUpstreams.push_back(process.upstream);
    }
}

/// Sends the request to the upstream of the current attempt and waits until it has answered or has
/// let the time pass in which it could refuse.
/// @return whether it has accepted the request, and the silent upstream has not gone on meanwhile
Awaitable<bool> RequestExchange::sendToReplacement(const HeadText &head,
                                                   const upstream::UpstreamCall &silent)
{
    upstream::UpstreamCall &call = *this->attempt.call;
    const CallResult<void> sent = co_await call.send(head, this->request.body, this->deadline,
                                                     upstream::ConnectionUse::Fresh);
    if (!sent) {
        this->recordReplacementFailure(sent.error());
        co_return false;
    }
    const TimePoint acceptedAt = this->now() + this->gateway.settings.silence.acceptTime;
    while (!this->isCallerGone && !this->isAborted) {
        call.setDeadline(std::min(acceptedAt, this->now() + silentUpstreamPollInterval));
        const CallResult<void> read = co_await call.readHead();
        if (read)
            co_return this->isAcceptance();
        if (read.error().failure != CallFailure::TimedOut) {
            this->recordReplacementFailure(read.error());
            co_return false;
        }
        if (silent.hasInput()) {
            ++this->possibleRuns;
            this->log(LogLevel::Info, "silent upstream goes on", "kept", this->durationField());
            co_return false;
        }
        if (this->now() >= acceptedAt)
            co_return true;
    }
    co_return true;
}

/// Whether the head of the current attempt's answer shows that the upstream serves the request.
bool RequestExchange::isAcceptance()
{
    const upstream::ParsedMessage &answer = this->attempt.call->answer();
    const AnswerAttributes answerAttributes
            = this->gateway.codec.readAnswer(answer.status, answer.headers);
    const bool isOther = !answerAttributes.request.isEmpty()
                         && answerAttributes.request != this->attributes.id;
    if (!isOther && answerAttributes.isNotRun) {
        this->recordAnswer(answerAttributes);
        this->handleUpstreamRefusal(answerAttributes, answer.status);
        return false;
    }
    const bool isContinuable = !this->isAnswerBegun || answer.status == statusOk;
    if (!isOther && answerAttributes.isSigned && answer.status < firstServerError && isContinuable)
        return true;
    ++this->possibleRuns;
    this->triedUpstreams.push_back(this->attempt.upstream);
    const bool isServerError = answerAttributes.isSigned && answer.status >= firstServerError;
    this->recordFault(
            isServerError ? UpstreamFault::ServerError : UpstreamFault::Malformed,
            fmt::format("the answer with status {} is none to the request", answer.status));
    return false;
}

void RequestExchange::recordReplacementFailure(const upstream::CallError &error)
{
    if (error.failure == CallFailure::Cancelled)
        return;
    this->triedUpstreams.push_back(this->attempt.upstream);
    if (!error.isAnythingWritten) {
        this->recordFault(UpstreamFault::Unreachable, error.message);
        return;
    }
    ++this->possibleRuns;
    this->recordFault(error.failure == CallFailure::ConnectionLost ? UpstreamFault::Broken
                                                                   : UpstreamFault::Malformed,
                      error.message);
    if (error.failure == CallFailure::ConnectionLost)
        this->checkForCrash();
}

SilenceWatch RequestExchange::makeSilenceWatch() const
{
    return SilenceWatch(this->gateway.settings.silence, this->route->objective,
                        this->route->maxEventGap, this->now());
}

} // namespace bamboochute::gateway
