/// @file
/// @brief One request: routed, sent to upstreams, and its answer relayed to the caller.
#pragma once

#include "caller/caller_request.hpp"
#include "caller/event_stream.hpp"
#include "core/log.hpp"
#include "gateway/gateway.hpp"
#include "upstream/upstream_call.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bamboochute::gateway {

/// @brief How one attempt at an upstream ended.
enum class AttemptOutcome {
    /// The caller has the whole answer, or has left, or its connection failed.
    Finished,
    /// The upstream did not run the request and never will.
    NotRun,
    /// The request may have run; nothing of an answer has reached the caller.
    MayHaveRun,
    /// A stream broke after some of its events had reached the caller.
    StreamBroken,
};

/// @brief Carries one request to its end; lives as long as the request.
class RequestExchange
{
public:
    RequestExchange(Gateway &gateway, upstream::HttpStream &caller,
                    const caller::CallerRequest &request);
    ~RequestExchange();
    RequestExchange(const RequestExchange &) = delete;
    RequestExchange &operator=(const RequestExchange &) = delete;

    /// @brief Answers the request.
    upstream::Awaitable<void> run();

    /// @brief Refuses what could not be read as a request.
    upstream::Awaitable<void> refuseUnread(const Error &error);

    /// @brief Whether the caller's connection can be used for another request.
    bool isKeepAlive() const noexcept { return this->keepAlive; }

private:
    using HeadText = std::string;

    /// An upstream, or why there is none.
    struct UpstreamSelection
    {
        std::optional<UpstreamId> upstream;
        std::optional<Error> refusal;
        /// When a refused caller may come back.
        Duration retryAfter{};
    };

    bool selectService();
    void watchCaller();
    void handleCallerDisconnect();
    TimePoint now() const { return SteadyClock().now(); }
    Duration timeLeft() const { return this->deadline - this->now(); }

    upstream::Awaitable<void> runAttempts();
    upstream::Awaitable<UpstreamSelection> selectUpstream();
    upstream::Awaitable<UpstreamSelection> waitForTarget();
    SelectionQuery buildSelectionQuery() const;
    bool isEngineTarget() const;
    bool isTargetReported() const;
    bool isTargetHeldOnlyByTried() const;
    std::optional<Duration> computeQueueRetryAfter(const UpstreamId &id) const;
    bool hasAlternative() const;
    bool acquireRetry(AttemptOutcome end);

    upstream::Awaitable<AttemptOutcome> runAttempt(const UpstreamId &id);
    upstream::Awaitable<AttemptOutcome> callUpstream(const UpstreamTable::Entry &entry);
    upstream::Awaitable<AttemptOutcome> relayAnswer();
    upstream::Awaitable<AttemptOutcome> relayWholeAnswer();
    upstream::Awaitable<AttemptOutcome> relayEventStream();
    AttemptOutcome handleCallFailure(const upstream::CallError &error);
    AttemptOutcome handleUpstreamRefusal(const AnswerAttributes &attributes, int status);
    HeadText buildUpstreamHead(const UpstreamTable::Entry &entry) const;
    TimePoint firstEventDeadline() const;
    TimePoint nextEventDeadline() const;
    void recordFault(UpstreamFault fault, std::string_view reason);
    void recordSuccess();
    void recordEventTime();
    void recordLatencies() const;

    upstream::Awaitable<void> finishFailedRequest();
    upstream::Awaitable<void> refuse(const Error &error, std::optional<Duration> retryAfter);
    upstream::Awaitable<bool> writeToCaller(std::string_view head, std::string_view body);
    std::string buildAnswerHead(int status, const upstream::HeaderList &headers) const;
    void log(LogLevel level, std::string_view message, std::string_view reason,
             const LogField &extra) const;
    LogField durationField() const;

    Gateway &gateway;
    upstream::HttpStream &caller;
    const caller::CallerRequest &request;
    RequestAttributes attributes;
    RouteIndexPointer index;
    const Route *route = nullptr;
    const Service *service = nullptr;
    ServiceTarget target;
    TimePoint deadline{};
    bool keepAlive = false;
    bool isCallerGone = false;
    std::vector<UpstreamId> triedUpstreams;
    /// Upstreams that the request may have run at.
    std::uint32_t possibleRuns = 0;
    /// Answers by which upstreams said that they did not run it.
    std::uint32_t notRunAnswers = 0;
    std::uint32_t sends = 0;
    /// Upstreams that could serve the request when one was chosen last.
    std::size_t candidateCount = 0;
    UpstreamId currentUpstream;
    TimePoint sentAt{};
    /// Requests that waited at the upstream when this one was sent there.
    std::uint32_t waitingAhead = 0;
    std::optional<upstream::UpstreamCall> call;
    caller::EventStream events;
    bool isAnswerBegun = false;
    /// When the caller got the first event, and the last one so far.
    TimePoint firstEventAt{};
    TimePoint lastEventAt{};
    Duration longestEventGap{};
    bool hasTimedOut = false;
    /// An upstream's own failure, relayed when no other upstream does better.
    std::optional<std::pair<std::string, std::string>> upstreamErrorAnswer;
    std::string lastFault;
};

} // namespace bamboochute::gateway
