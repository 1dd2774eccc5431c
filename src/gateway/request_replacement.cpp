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
using upstream::PeerActivity;

/// Interval at which the silent upstream is looked at while another one is asked.
constexpr Duration silentUpstreamPollInterval = std::chrono::milliseconds(20);

} // namespace

/// When to stop waiting for more of the answer, to look for another upstream; the request's
/// deadline if it can't be sent to another one.
TimePoint RequestExchange::silenceDeadline() const
{
    const TimePoint end = this->mayReplaceUpstream()
                                  ? std::min(this->deadline, this->silence.nextCheck())
                                  : this->deadline;
    return this->isUnheard() ? std::min(end, this->attempt.linkCheckAt) : end;
}

/// Whether another upstream is to be asked to take the request now. While all upstreams may be
/// silent to this instance, that run is left for another instance.
bool RequestExchange::isReplacementDue()
{
    if (this->now() < this->silence.nextCheck())
        return false;
    if (this->mayReplaceUpstream() && !this->gateway.forwarding.isUnanswered(this->service->id))
        return true;
    this->silence.recordNotReplaced(this->now());
    return false;
}

/// Whether the request may be sent to another upstream while the current one may still run it.
bool RequestExchange::mayReplaceUpstream() const
{
    const bool isContinuable = !this->isAnswerBegun || this->continuation.isContinuable();
    return !this->attempt.helper && this->route->mayRetry() && isContinuable
           && this->possibleRuns + 1 < this->route->maxUpstreams
           && this->gateway.budget.remaining(this->service->id, this->now()) >= 1;
}

/// Whether a call has failed only because its upstream says nothing, with time left.
bool RequestExchange::isSilence(const upstream::CallError &error) const
{
    return error.failure == CallFailure::TimedOut && this->timeLeft() >= minSendTime
           && !this->isEnding();
}

/// Asks another upstream to take the request from the current one, which is silent. It is given up
/// only when the other one has taken the request, or its own connection has ended meanwhile.
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
    const auto isQuarantined = [this] {
        return this->gateway.quarantine.isRefused(this->service->id, this->subjects);
    };
    if (isQuarantined())
        co_return false;
    const std::optional<UpstreamId> id = co_await this->selectReplacement();
    const UpstreamTable::Entry *entry = id ? this->gateway.table.find(*id) : nullptr;
    if (entry == nullptr || isQuarantined() || this->isEnding()
        || this->attempt.call->activity() != PeerActivity::Silent
        || !this->gateway.budget.takeRetry(this->service->id, this->now())
        || !this->admitByQuarantine())
        co_return false;
    Attempt silent = std::exchange(this->attempt, Attempt());
    this->silentCall = silent.call.get();
    this->askedReplacements.push_back(*id);
    const HeadText head = this->beginAttempt(*entry);
    const bool isTaken = co_await this->sendToReplacement(head);
    this->silentCall = nullptr;
    if (!isTaken) {
        this->endAttempt();
        this->attempt = std::move(silent);
        co_return false;
    }
    this->events.discardPartialEvent();
    std::swap(this->attempt, silent);
    this->recordReplacedAttempt();
    this->endAttempt();
    this->attempt = std::move(silent);
    this->silence = this->makeSilenceWatch();
    co_return true;
}

/// Records the failure of the current attempt, which is that of the silent upstream.
void RequestExchange::recordReplacedAttempt()
{
    // It may go on with the request until it notices that its connection is closed.
    ++this->possibleRuns;
    this->triedUpstreams.push_back(this->attempt.upstream);
    this->givenUp = this->attempt.process;
    if (this->attempt.call->activity() != PeerActivity::Lost) {
        this->recordFault(UpstreamFault::Slow, "silent; another upstream has taken the request");
        return;
    }
    this->recordFault(UpstreamFault::Broken, "the connection ended before the answer was complete");
    this->checkForCrash();
}

/// Selects another upstream that takes the request now, and gets a permit if it has named a limit.
Awaitable<std::optional<UpstreamId>> RequestExchange::selectReplacement()
{
    this->exhaustedUpstreams.clear();
    while (true) {
        SelectionQuery query = this->buildSelectionQuery();
        query.excluded.push_back(this->attempt.upstream);
        query.excluded.insert(query.excluded.end(), this->askedReplacements.begin(),
                              this->askedReplacements.end());
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

/// Sends the request to the upstream of the current attempt, and waits until it has answered, the
/// silent one has gone on or ended, or a stream that has begun has to go on at one of them.
/// @return whether the upstream has the request now
Awaitable<bool> RequestExchange::sendToReplacement(const HeadText &head)
{
    upstream::UpstreamCall &call = *this->attempt.call;
    const TimePoint acceptedAt = this->now() + this->gateway.settings.silence.acceptTime;
    const CallResult<void> sent
            = co_await call.send(head, this->request.body, std::min(this->deadline, acceptedAt),
                                 upstream::ConnectionUse::Fresh);
    if (!sent) {
        this->recordReplacementFailure(sent.error());
        co_return false;
    }
    while (true) {
        call.setDeadline(std::min(this->deadline, this->now() + silentUpstreamPollInterval));
        const CallResult<void> read = co_await call.readHead();
        const PeerActivity silentActivity = this->silentCall->activity();
        if (silentActivity == PeerActivity::GoesOn || this->isEnding()
            || this->timeLeft() < minSendTime) {
            ++this->possibleRuns;
            if (silentActivity == PeerActivity::GoesOn)
                this->log(LogLevel::Info, "silent upstream goes on", "kept", this->durationField());
            co_return false;
        }
        if (read) {
            const bool isUsable = this->isAnswerUsable();
            if (isUsable && this->isAnswerBegun)
                this->reserveReturnRetry();
            co_return isUsable;
        }
        if (read.error().failure != CallFailure::TimedOut) {
            this->recordReplacementFailure(read.error());
            co_return false;
        }
        this->recordSilentLink();
        const bool isRunLeft = this->possibleRuns + 2 < this->route->maxUpstreams;
        if (isRunLeft && !this->isAnswerBegun && this->canTurnToHelper()) {
            ++this->possibleRuns;
            co_return false;
        }
        const bool mustDecide = this->isAnswerBegun && this->now() >= acceptedAt;
        if (silentActivity == PeerActivity::Lost)
            co_return true;
        if (mustDecide && !this->reserveReturnRetry()) {
            ++this->possibleRuns;
            this->log(LogLevel::Info, "silent upstream kept", "no_retry_left",
                      this->durationField());
            co_return false;
        }
        if (mustDecide)
            co_return true;
    }
}

/// Takes the retry with which a stream can go back to its silent upstream if the other one ends
/// before its first event.
/// @return false if no retry is left
bool RequestExchange::reserveReturnRetry()
{
    if (!this->hasReturnRetry)
        this->hasReturnRetry = this->gateway.budget.takeRetry(this->service->id, this->now());
    return this->hasReturnRetry;
}

/// Gives that retry back, once the other upstream has sent an event.
void RequestExchange::releaseReturnRetry()
{
    if (std::exchange(this->hasReturnRetry, false))
        this->gateway.budget.returnRetry(this->service->id, this->now());
}

/// Makes the silent upstream that was given up selectable again; the only one if no other may run
/// the request.
void RequestExchange::allowReturn()
{
    this->hasReturnRetry = false;
    std::erase(this->triedUpstreams, this->givenUp.upstream);
    this->mustReturn = this->possibleRuns >= this->route->maxUpstreams;
    this->log(LogLevel::Info, "stream may go back to its silent upstream", "retry_reserved",
              {"silent_upstream", this->givenUp.upstream.value()});
}

/// Whether the head of the current attempt's answer begins an answer to the request; records the
/// fault of the upstream if it does not.
bool RequestExchange::isAnswerUsable()
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
    const std::optional<std::string> defect
            = this->isStreamAnswer(answer.status)
                      ? this->continuation.findDefect(this->readHead(answerAttributes))
                      : std::nullopt;
    if (!isOther && answerAttributes.isSigned && answer.status < firstServerError && !defect)
        return true;
    ++this->possibleRuns;
    this->triedUpstreams.push_back(this->attempt.upstream);
    const bool isServerError = answerAttributes.isSigned && answer.status >= firstServerError;
    this->recordFault(
            isServerError ? UpstreamFault::ServerError : UpstreamFault::Malformed,
            defect.value_or(fmt::format("the answer with status {} is not an answer to the request",
                                        answer.status)));
    return false;
}

void RequestExchange::recordReplacementFailure(const upstream::CallError &error)
{
    if (error.isAnythingWritten)
        ++this->possibleRuns;
    else
        this->gateway.budget.returnRetry(this->service->id, this->now());
    if (error.failure == CallFailure::Cancelled)
        return;
    this->recordLostLink(error);
    if (!error.isAnythingWritten) {
        this->unreachedProcesses.push_back(this->attempt.process);
        this->recordFault(UpstreamFault::Unreachable, error.message);
        return;
    }
    this->triedUpstreams.push_back(this->attempt.upstream);
    if (error.failure == CallFailure::TimedOut) {
        this->recordFault(UpstreamFault::Slow, error.message);
        return;
    }
    const bool isLost = error.failure == CallFailure::ConnectionLost;
    this->recordFault(isLost ? UpstreamFault::Broken : UpstreamFault::Malformed, error.message);
    if (isLost)
        this->checkForCrash();
}

SilenceWatch RequestExchange::makeSilenceWatch() const
{
    return SilenceWatch(this->gateway.settings.silence, this->route->objective,
                        this->route->maxEventGap, this->now());
}

} // namespace bamboochute::gateway
