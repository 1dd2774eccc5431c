#include "core/log.hpp"
#include "gateway/log_fields.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

void RequestExchange::recordFault(UpstreamFault fault, std::string_view reason)
{
    this->lastFault = reason;
    const bool isNew = this->gateway.health.recordFault(this->attempt.upstream, fault, this->now());
    // A request that was only slow may have had little time or waited at a loaded upstream.
    if (fault == UpstreamFault::Full)
        this->gateway.pace.recordRefusal(this->service->id, this->attempt.process);
    else if (fault != UpstreamFault::Slow)
        this->gateway.pace.recordFailure(this->service->id, this->attempt.process);
    this->log(LogLevel::Warning, "attempt failed", upstreamFaultName(fault),
              {"detail", std::string(reason)});
    this->gateway.metrics
            .counter("bamboochute_upstream_faults_total",
                     fmt::format("fault=\"{}\"", upstreamFaultName(fault)))
            .add();
    if (isNew)
        this->gateway.forwarding.recordAvoided(this->service->id, this->attempt.upstream, fault);
}

/// Records a call that failed without an answer, which may be due to this instance's own links.
void RequestExchange::recordLostLink(const upstream::CallError &error)
{
    using upstream::CallFailure;
    const bool isUnheard = this->attempt.heardAt == TimePoint();
    const bool isLost = !error.isAnythingWritten || error.failure == CallFailure::ConnectionLost;
    if (!isUnheard || !isLost || error.failure == CallFailure::Cancelled)
        return;
    if (!error.isAnythingWritten) {
        this->unreachedUpstreams.push_back(this->attempt.upstream);
        ++this->failedConnects;
        if (!error.isRefused)
            ++this->hungConnects;
    }
    this->gateway.forwarding.recordFailure(this->service->id, this->attempt.sentAt);
}

void RequestExchange::recordSuccess()
{
    this->releaseReturnRetry();
    if (this->attempt.helper)
        return;
    const Duration latency = this->now() - this->attempt.sentAt;
    this->gateway.health.recordSuccess(this->attempt.upstream, latency, this->now());
    this->recordPace();
    if (this->isEngineTarget())
        this->gateway.forecast.recordFirstEvent(this->service->id, this->attempt.waitingAhead,
                                                latency);
}

/// Adds the response to the evidence of the upstream's speed, relative to the prompt's tokens.
void RequestExchange::recordPace() const
{
    // From the first events of prompts of 826 tokens, half of which came within 91 ms.
    constexpr Duration timePerRequest = std::chrono::milliseconds(10);
    constexpr Duration timePerToken = std::chrono::microseconds(100);
    Duration measured = this->now() - this->attempt.sentAt;
    Duration expected = timePerRequest;
    if (this->isEngineTarget()) {
        // What waited behind others, or whose work is not known, says nothing about the speed.
        if (this->attempt.waitingAhead > 0 || !this->attributes.hasTokenCounts)
            measured = Duration(0);
        expected += timePerToken * this->attributes.promptTokens;
    }
    this->gateway.pace.recordCompletion(this->service->id, this->attempt.process, measured,
                                        expected);
}

/// Counts an answer whose end the upstream has stated as evidence that the request is sound.
void RequestExchange::recordCompletion()
{
    if (!this->attempt.helper && this->attempt.answerEnd
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

/// Time since the upstream of the current attempt has sent anything.
Duration RequestExchange::upstreamSilence() const
{
    const TimePoint since = std::max(this->attempt.sentAt, this->attempt.heardAt);
    return since == TimePoint() ? Duration(0) : this->now() - since;
}

LogField RequestExchange::durationField() const
{
    return {"took_ms", formatMilliseconds(this->now() - this->request.arrival)};
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
              {"helper", this->attempt.helper ? fmt::format("{}:{}", this->attempt.helper->address,
                                                            this->attempt.helper->port)
                                              : std::string()},
              {"forwarded_by", this->isFromInstance ? this->caller.peerAddress() : std::string()},
              {"version", this->attempt.version.value()},
              {"resumes", this->attributes.resumedRequest.value()},
              {"resumed_after", this->attributes.lastEventId},
              {"prompt_parts", formatPromptParts(this->attributes.promptParts)},
              {"caller", this->callerIdentity},
              {"workspace", this->workspaceId.value()},
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
