/// @file
/// @brief Routes one request, sends it to upstreams and relays the answer to the caller.
#pragma once

#include "caller/caller_request.hpp"
#include "caller/event_stream.hpp"
#include "core/inbound_budget.hpp"
#include "core/log.hpp"
#include "forwarding/forwarded_request.hpp"
#include "gateway/gateway.hpp"
#include "gateway/silence_watch.hpp"
#include "gateway/stream_continuation.hpp"
#include "upstream/upstream_call.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::gateway {

/// @brief How one attempt to get an answer from an upstream ended.
enum class AttemptOutcome {
    /// The caller got the whole answer, or disconnected.
    Finished,
    /// The upstream did not run the request and never will.
    NotRun,
    /// The request may have run, but no part of an answer was sent to the caller.
    MayHaveRun,
    /// A stream broke after some of its events were sent to the caller.
    StreamBroken,
    /// Another upstream has taken the request; the current attempt is that of the other one.
    Replaced,
};

/// @brief Name for the labels of metrics.
std::string_view attemptOutcomeName(AttemptOutcome outcome) noexcept;

/// @brief Handles one request from its routing to the end of its answer; lives as long as the
/// request.
class RequestExchange
{
public:
    /// @param place of the caller's connection; others may have it while the answer is not read
    /// @param isFromInstance the request came from another instance, which forwards it
    RequestExchange(Gateway &gateway, upstream::HttpStream &caller, ConnectionPlace &place,
                    const caller::CallerRequest &request, bool isFromInstance);
    ~RequestExchange();
    RequestExchange(const RequestExchange &) = delete;
    RequestExchange &operator=(const RequestExchange &) = delete;

    /// @brief Handles the request until the caller has its answer or has disconnected.
    upstream::Awaitable<void> run();

    /// @brief Answers bytes that could not be parsed as a request with an error.
    upstream::Awaitable<void> refuseUnread(const Error &error);

    /// @brief Ends the request because the process stops: it is answered if it has no answer yet,
    /// and its stream is cut if that has begun.
    void abort();

    /// @brief Whether the caller's connection may be used for another request.
    bool isKeepAlive() const noexcept { return this->keepAlive; }

    /// @brief What the caller has got, once run() or refuseUnread() has returned.
    RequestEnd requestEnd() const noexcept
    {
        return this->end.value_or(this->isCallerGone ? RequestEnd::CallerGone
                                                     : RequestEnd::Unanswered);
    }

private:
    using HeadText = std::string;

    /// The selected upstream, or why there is none.
    struct UpstreamSelection
    {
        std::optional<UpstreamId> upstream;
        std::optional<Error> refusal;
        /// Retry-After of a refusal.
        Duration retryAfter{};
        /// This instance was cut off from the upstreams while the request waited.
        bool isCutOff = false;
    };

    /// Where a request goes next: to an upstream of this instance's own choice, to a helper, or
    /// nowhere.
    struct NextHop
    {
        std::optional<Endpoint> helper;
        bool isUnavailable = false;
    };

    /// A request that was sent, or is being sent, to one upstream or through one other instance.
    struct Attempt
    {
        UpstreamId upstream;
        /// Instance that sends the request on.
        std::optional<Endpoint> helper;
        SoftwareVersion version;
        UpstreamProcess process;
        Endpoint endpoint;
        /// Number of the attempt within the request, from one.
        std::uint32_t number = 0;
        TimePoint sentAt{};
        /// When the last bytes of the answer were read; zero before.
        TimePoint heardAt{};
        /// When to note that nothing was heard, if that is still so.
        TimePoint linkCheckAt = TimePoint::max();
        /// Requests that waited at the upstream when this one was sent to it.
        std::uint32_t waitingAhead = 0;
        std::unique_ptr<upstream::UpstreamCall> call;
        /// Where the reading of the answer ended; unset while no head was read.
        std::optional<upstream::AnswerEnd> answerEnd;
        /// No connection could be made, so that nothing was sent.
        bool isUnreached = false;
        /// Time for which the answer may still wait for memory.
        Duration roomTimeLeft = answerRoomTimeout;
        /// Requests per second that the answer said the upstream takes.
        std::optional<double> upstreamLimit;
    };

    upstream::Awaitable<bool> acceptForwarded();
    bool isHelperCutOff() const;
    upstream::Awaitable<NextHop> chooseNextHop();
    bool hasOwnUpstream() const;
    upstream::Awaitable<void> waitForFirstRound();
    upstream::Awaitable<bool> turnToHelpers();
    upstream::Awaitable<AttemptOutcome> runForwarded(Endpoint helper);
    HeadText buildForwardedHead() const;
    AttemptOutcome handleHelperFailure(const upstream::CallError &error);
    upstream::Awaitable<std::optional<AttemptOutcome>> relayHelperAnswer();
    bool bindHelperVersion();
    void recordLostLink(const upstream::CallError &error);
    bool isUnheard() const;
    void recordSilentLink();
    bool canTurnToHelper() const;
    bool turnFromSilentLink();

    bool identifyWorkspace();
    std::optional<Duration> takeQuota();
    void releaseQuota();
    std::uint32_t priority() const;
    bool selectService();
    void countRequest();
    const Service *pickService();
    upstream::Awaitable<void> findStreamOrigin();
    upstream::Awaitable<void> askForOrigin();
    upstream::Awaitable<void> confirmVersions();
    bool applyStreamOrigin();
    std::optional<SoftwareVersion> findSoleVersion() const;
    bool bindStreamVersion();
    void announceVersion(const SoftwareVersion &version);
    void watchCaller();
    void handleCallerDisconnect();
    TimePoint now() const { return SteadyClock().now(); }
    Duration timeLeft() const { return this->deadline - this->now(); }

    upstream::Awaitable<void> runRouted();
    upstream::Awaitable<void> runAttempts();
    bool isQuarantined() const;
    bool admitByQuarantine();
    upstream::Awaitable<UpstreamSelection> selectPermittedUpstream();
    upstream::Awaitable<UpstreamSelection> selectUpstream();
    upstream::Awaitable<UpstreamSelection> waitForTarget();
    SelectionQuery buildSelectionQuery() const;
    bool isExcluded(const UpstreamId &id) const;
    std::optional<Duration> pauseOf(const UpstreamTable::Entry &entry) const;
    std::optional<Duration> findPauseEnd() const;
    upstream::Awaitable<void> waitForPauseEnd();
    upstream::Awaitable<bool> waitForPermit(Duration nextIn);
    std::vector<const UpstreamTable::Entry *> findServing() const;
    void removeOtherVersions(std::vector<const UpstreamTable::Entry *> &entries) const;
    bool isEngineTarget() const;
    /// Whether no upstream may be asked any more.
    bool isEnding() const { return this->isCallerGone || this->gateway.endingRequests; }
    void cancelAttempts();
    /// Whether the caller takes up a stream whose first events it has.
    bool isResumption() const
    {
        return this->route->kind == RequestKind::Stream && !this->attributes.lastEventId.empty();
    }
    void passOverUnrecorded(std::vector<const UpstreamTable::Entry *> &entries) const;
    void passOverLimited(std::vector<const UpstreamTable::Entry *> &entries) const;
    void recordPace() const;
    bool isReplaceable(const UpstreamId &id) const;
    bool isUnreached(const UpstreamTable::Entry &entry) const;
    bool isGone(const UpstreamTable::Entry &entry) const;
    bool wasTried(const UpstreamId &id) const;
    TimePoint targetWaitDeadline() const;
    upstream::Awaitable<void> waitForCrashVerdict();
    TimePoint nextHolderTry() const;
    bool hasHolderEnded() const;
    bool isVersionGone() const;
    bool isReturnLost() const;
    bool isTargetReported() const;
    bool isTargetHeldOnlyByExcluded() const;
    std::optional<Duration> computeQueueRetryAfter(const UpstreamId &id) const;
    bool acquireRetry(AttemptOutcome outcome);

    upstream::Awaitable<AttemptOutcome> runAttempt(const UpstreamId &id);
    HeadText beginAttempt(const UpstreamTable::Entry &entry);
    void endAttempt();
    upstream::Awaitable<AttemptOutcome> sendAndReceive(HeadText head);
    upstream::Awaitable<AttemptOutcome> receiveAnswer();
    upstream::Awaitable<std::optional<upstream::CallResult<bool>>> readMoreBody();
    upstream::Awaitable<AttemptOutcome> relayAnswer();
    upstream::Awaitable<AttemptOutcome> relayWholeAnswer();
    upstream::Awaitable<bool> reserveAnswer(std::size_t bytes);
    void releaseAnswer();
    AttemptOutcome handleMemoryShortage();
    std::size_t keptAnswerBytes() const;
    std::size_t streamBytes() const;
    upstream::Awaitable<AttemptOutcome> relayEventStream();
    bool isStreamAnswer(int status) const;
    StreamHead readHead(const AnswerAttributes &attributes) const;
    std::optional<AttemptOutcome> beginStreamAnswer(const AnswerAttributes &attributes);
    std::optional<AttemptOutcome> findEndDefect();
    void checkForCrash();
    AttemptOutcome handleBrokenStream(UpstreamFault fault, std::string_view reason);
    AttemptOutcome handleCallFailure(const upstream::CallError &error);
    void recordAnswer(const AnswerAttributes &attributes);
    AttemptOutcome handleUpstreamRefusal(const AnswerAttributes &attributes, int status);
    HeadText buildUpstreamHead(const UpstreamTable::Entry &entry) const;
    HeadText
    buildCallerHead(const std::function<bool(std::string_view name)> &isForwardedHeader) const;
    std::string buildStreamHead();
    const std::string &resumePoint() const;

    TimePoint silenceDeadline() const;
    bool mayReplaceUpstream() const;
    bool isReplacementDue();
    bool isSilence(const upstream::CallError &error) const;
    upstream::Awaitable<bool> replaceSilentUpstream();
    upstream::Awaitable<bool> askReplacement();
    upstream::Awaitable<std::optional<UpstreamId>> selectReplacement();
    upstream::Awaitable<bool> sendToReplacement(const HeadText &head);
    bool isAnswerUsable();
    bool reserveReturnRetry();
    void releaseReturnRetry();
    void allowReturn();
    void recordReplacedAttempt();
    void recordReplacementFailure(const upstream::CallError &error);
    SilenceWatch makeSilenceWatch() const;

    void recordFault(UpstreamFault fault, std::string_view reason);
    void recordSuccess();
    void recordCompletion();
    void recordEventTime();
    void recordAnswerEnd();
    void recordLatencies() const;

    upstream::Awaitable<void> finishFailedRequest();
    upstream::Awaitable<void> answerDepartedCaller();
    upstream::Awaitable<void> refuse(const Error &error, std::optional<Duration> retryAfter);
    upstream::Awaitable<bool> writeRefusal(const Error &error, std::optional<Duration> retryAfter);
    upstream::Awaitable<bool> writeToCaller(std::string_view head, std::string_view body);
    std::string buildAnswerHead(int status, const upstream::HeaderList &headers);
    void appendConnectionHeader(HeadText &head);
    void log(LogLevel level, std::string_view message, std::string_view reason,
             const LogField &extra) const;
    LogField durationField() const;
    Duration upstreamSilence() const;

    Gateway &gateway;
    upstream::HttpStream &caller;
    ConnectionPlace &place;
    const caller::CallerRequest &request;
    RequestAttributes attributes;
    /// Memory of an answer that is not a stream.
    MemoryBudget::Holding answerMemory;
    /// Address of the caller's connection, unless the request names its caller.
    std::string callerIdentity;
    RequestFingerprints fingerprints;
    /// What may be to blame if the request crashes an upstream.
    std::vector<QuarantineSubject> subjects;
    const bool isFromInstance;
    /// Its state where it came from, if another instance forwarded it.
    std::optional<forwarding::ForwardedRequest> forwarded;
    /// Its route there, if the configuration there is later than the one here.
    std::optional<Route> sentRoute;
    /// Why this instance does not take it.
    std::string notTakenReason;
    bool hasHelperPlace = false;
    RouteIndexPointer index;
    const Route *route = nullptr;
    /// Workspace of the caller; null if its requests belong to none, or this instance does not know
    /// the one that another instance has identified.
    const Workspace *workspace = nullptr;
    WorkspaceId workspaceId;
    /// Units taken from the quota of the workspace.
    double quotaUnits = 0;
    /// When they were taken.
    TimePoint quotaTakenAt{};
    const Service *service = nullptr;
    ServiceTarget target;
    /// When the answer has to be complete; zero until the request is routed.
    TimePoint deadline{};
    bool keepAlive = false;
    bool isCallerGone = false;
    /// What the caller has got; unset while that is open.
    std::optional<RequestEnd> end;
    /// Upstreams that are not selected again for this request.
    std::vector<UpstreamId> triedUpstreams;
    /// Processes to which no connection could be made. They have not read the request, and may get
    /// it once they can be reached again.
    std::vector<UpstreamProcess> unreachedProcesses;
    /// Processes in whose place another one answered; only a later process of the upstream may get
    /// the request.
    std::vector<UpstreamProcess> replacedProcesses;
    /// Instances that the request was forwarded to.
    std::vector<Endpoint> triedHelpers;
    /// Upstreams to which no connection could be made, or that were silent behind a cut; another
    /// instance may reach them.
    std::vector<UpstreamId> unreachedUpstreams;
    /// Number of connections that could not be made, and more when no upstream is left to try.
    std::uint32_t failedConnects = 0;
    /// Number of those that were not refused.
    std::uint32_t hungConnects = 0;
    /// Whether it was counted for the retry budget and the demand of models.
    bool isCounted = false;
    /// Upstreams that had no permit within their limit for the next attempt.
    std::vector<UpstreamId> exhaustedUpstreams;
    /// Times that it waited for a permit.
    std::uint32_t permitWaits = 0;
    /// Number of upstreams that may have run the request.
    std::uint32_t possibleRuns = 0;
    /// Number of answers that stated that the upstream did not run the request.
    std::uint32_t notRunAnswers = 0;
    /// Number of attempts.
    std::uint32_t sends = 0;
    /// Number of candidates in the last selection.
    std::size_t candidateCount = 0;
    /// The last attempt.
    Attempt attempt;
    /// How long its upstream has been silent.
    SilenceWatch silence;
    /// Call of the silent upstream while another one is asked to take the request.
    upstream::UpstreamCall *silentCall = nullptr;
    /// Upstreams that were asked to take the request from a silent one; each is asked once.
    std::vector<UpstreamId> askedReplacements;
    /// Process of the last silent upstream that was given up.
    UpstreamProcess givenUp;
    /// A retry is taken with which the stream can go back there.
    bool hasReturnRetry = false;
    /// No other upstream may run the request any more.
    bool mustReturn = false;
    /// Version that began the stream, once it has begun; the stream goes on at no other one.
    std::optional<SoftwareVersion> requiredVersion;
    /// False if the record of versions was to be read and could not be.
    bool areVersionsConfirmed = true;
    /// Attempt that brought the first event, counted from one; zero while there is none.
    std::uint32_t beginSend = 0;
    /// Times that the announced version of the stream was corrected.
    std::uint32_t originCorrections = 0;
    caller::EventStream events;
    /// The events that the caller has, and what may follow them.
    StreamContinuation continuation;
    /// A part of an answer was sent to the caller.
    bool isAnswerBegun = false;
    /// When the first and the latest event were sent to the caller; zero before.
    TimePoint firstEventAt{};
    TimePoint lastEventAt{};
    Duration longestEventGap{};
    bool hasTimedOut = false;
    /// Head and body of an upstream's error answer, relayed if no further attempt succeeds.
    std::optional<std::pair<std::string, std::string>> upstreamErrorAnswer;
    std::string lastFault;
    /// Set when the request or a part of its prompt is quarantined.
    std::optional<QuarantineDecision> quarantineRefusal;
};

} // namespace bamboochute::gateway
