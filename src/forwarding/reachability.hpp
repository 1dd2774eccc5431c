/// @file
/// @brief Decides whether this instance is cut off from all upstreams of a service; the time is
/// always a parameter.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace bamboochute::forwarding {

/// @brief What an instance believes about its own links to the upstreams.
enum class ReachabilityState {
    /// Upstreams of the service answer, or there is no reason to doubt it.
    Reachable,
    /// A call failed without reaching an upstream, and none has answered a later call yet.
    Suspected,
    /// No upstream of the service can be reached.
    CutOff,
    /// They can be reached again; this instance's own links get a growing share of the requests.
    Returning
};

/// @brief What an upstream has to do for a probe to count.
enum class ProbeKind {
    /// Hold a connection.
    Connection,
    /// Answer a request.
    Answer
};

/// @brief When an instance counts as cut off, and how it returns.
struct ReachabilityLimits
{
    /// Rounds of probes in a row without a connection after which an instance is cut off.
    std::uint32_t roundsToCutOff = 2;
    /// Pause between two rounds while the state is in doubt.
    Duration suspicionInterval = std::chrono::milliseconds(100);
    /// Least time between two first rounds; suspicions in between don't start another one.
    Duration minRoundInterval = std::chrono::milliseconds(300);
    /// Pause between two rounds while the instance is cut off.
    Duration probeInterval = std::chrono::milliseconds(500);
    /// Good rounds in a row that end a cut; doubled, up to the larger number, when the last cut
    /// ended less than flapTime ago.
    std::uint32_t roundsToReturn = 2;
    std::uint32_t maxRoundsToReturn = 8;
    Duration flapTime = std::chrono::seconds(10);
    /// Time within which an answer shows other instances that upstreams are not slow for everybody.
    Duration promptTime = std::chrono::milliseconds(400);
    /// Share of a round's connections that have to hold for the round to be good.
    double goodShare = 0.5;
    /// Time in which the share of requests on the instance's own links rises from nothing to all.
    Duration returnTime = std::chrono::seconds(2);
    /// Time without an answer of any upstream of the service before a silent one raises a
    /// suspicion.
    Duration quietTime = std::chrono::milliseconds(500);
    /// Longest pause between two rounds of a suspicion of silence that is neither refuted nor
    /// confirmed; the first is suspicionInterval, and each further one twice the one before.
    Duration maxSuspicionInterval = std::chrono::seconds(2);
    /// Time after a refuted suspicion of silence until the next one; doubled, up to the larger one,
    /// if that is refuted as well.
    Duration refutedPause = std::chrono::seconds(1);
    Duration maxRefutedPause = std::chrono::seconds(16);
    /// Least time between two rounds that need an answer and that another instance's question calls
    /// for.
    Duration minAnswerRoundInterval = std::chrono::seconds(1);
    auto operator<=>(const ReachabilityLimits &) const = default;
};

/// @brief State of this instance's links to the upstreams of one service, from the outcomes of its
/// calls and of probes; not thread-safe.
class Reachability
{
public:
    explicit Reachability(ReachabilityLimits limits = {})
        : limits(limits)
    {}

    /// @brief Records that an upstream has answered.
    /// @param begunAt when the call was begun
    void recordAnswer(TimePoint begunAt, TimePoint now);

    /// @brief Records a call that failed without an answer, because no connection could be made or
    /// it was lost before the first byte.
    /// @param begunAt when the call was begun
    void recordFailure(TimePoint begunAt, TimePoint now);

    /// @brief Records a call on which nothing was heard for as long as its upstream may be silent.
    /// It raises a suspicion of silence unless an upstream has answered a call that began later, or
    /// any call of late.
    /// @param begunAt when the call was begun
    void recordSilence(TimePoint begunAt, TimePoint now);

    /// @brief Records that a connection of a round that is still open holds. It ends a suspicion of
    /// failed connections that a call raised which began before the round.
    /// @param begunAt when the round was begun
    void recordHeldProbe(TimePoint begunAt, TimePoint now);

    /// @brief Records the outcome of a round of probes.
    /// @param begunAt when the round was begun
    /// @param probes number of upstreams that were tried
    /// @param held number of those whose connection held, or that answered
    /// @param isHelped whether another instance reaches the service: then a cut ends slowly, and
    /// otherwise with the first good round
    /// @param kind what the probes needed. While silence is suspected, or the reason of a cut, only
    /// answers count, and a cut begins only if another instance reaches the service.
    void recordRound(TimePoint begunAt, std::size_t probes, std::size_t held, bool isHelped,
                     TimePoint now, ProbeKind kind = ProbeKind::Connection);

    /// @brief Asks for a round soon: an upstream has started.
    void expectChange(TimePoint now);

    /// @brief When the next round of probes is to begin; TimePoint::max() if none is needed.
    TimePoint nextRound() const;

    /// @brief Earliest time of a round that nothing but another instance's question calls for.
    TimePoint earliestRound(ProbeKind kind = ProbeKind::Connection) const
    {
        return kind == ProbeKind::Answer
                       ? this->lastAnswerRoundAt + this->limits.minAnswerRoundInterval
                       : this->lastRoundAt + this->limits.minRoundInterval;
    }

    /// @brief What the probes of the next round need.
    ProbeKind probeKind() const
    {
        return this->isSilent ? ProbeKind::Answer : ProbeKind::Connection;
    }

    /// @brief Whether the instance may be, or is, cut off because its calls are accepted and not
    /// answered.
    bool isUnanswered() const { return this->isSilent; }

    /// @brief Whether connections have failed and the first round of probes since has not ended:
    /// upstreams may have crashed, or the instance may be cut off.
    bool awaitsFirstRound() const
    {
        return this->decided == ReachabilityState::Suspected && !this->isSilent
               && this->failedRounds == 0;
    }

    ReachabilityState state(TimePoint now) const;

    /// @brief Whether the instance may be cut off: what its calls say of an upstream is doubtful.
    bool isInDoubt(TimePoint now) const
    {
        const ReachabilityState present = this->state(now);
        return present == ReachabilityState::Suspected || present == ReachabilityState::CutOff;
    }

    /// @brief Records that an upstream has answered a request that went through another instance:
    /// the cut is one of this instance's own links, and not the end of the service.
    void recordHelp() { this->isCutConfirmed = this->decided == ReachabilityState::CutOff; }

    /// @brief Whether the instance was cut off at a time while another one was not, as it knows
    /// now: in the present cut, or in the last one.
    bool wasCutOff(TimePoint at) const;

    /// @brief Share of the requests for the instance's own links, from 0 to 1.
    double ownShare(TimePoint now) const;

    /// @brief Whether an upstream has answered, or a probe of that kind was good, within a time.
    bool hasEvidence(Duration maxAge, TimePoint now, ProbeKind kind = ProbeKind::Connection) const
    {
        const TimePoint at
                = kind == ProbeKind::Answer ? this->lastPromptAnswerAt : this->lastEvidenceAt;
        return at != TimePoint() && now - at <= maxAge;
    }

private:
    void beginCut(TimePoint now);
    void endCut(TimePoint now);
    void endSuspicion();
    void refuteSuspicion(TimePoint now);
    Duration nextSuspicionInterval() const;
    void recordSuspectedRound(bool isGood, bool isHelped, TimePoint now);

    ReachabilityLimits limits;
    /// Suspected, CutOff or Reachable; Returning follows from returnedAt.
    ReachabilityState decided = ReachabilityState::Reachable;
    /// Begin of the latest call or round that has shown an upstream, and of the latest that was
    /// answered.
    TimePoint lastReachedBegin{};
    TimePoint lastAnsweredBegin{};
    /// When an upstream was last shown, and when it last answered.
    TimePoint lastEvidenceAt{};
    TimePoint lastHeardAt{};
    /// The same, but only of answers that came within the prompt time.
    TimePoint lastPromptAnswerAt{};
    /// Whether the suspicion or the cut is one of calls that are accepted and not answered.
    bool isSilent = false;
    /// When a silence may raise a suspicion again, the pause until then, and its begin.
    TimePoint nextSilenceAt{};
    Duration silencePause{};
    TimePoint refutedAt{};
    /// Begin of the call that raised the suspicion.
    TimePoint suspectedSince{};
    TimePoint nextRoundAt = TimePoint::max();
    TimePoint lastRoundAt{};
    TimePoint lastAnswerRoundAt{};
    std::uint32_t failedRounds = 0;
    std::uint32_t goodRounds = 0;
    std::uint32_t neededRounds = 0;
    /// When the last cut ended and the share of requests began to grow; zero while there was none.
    TimePoint returnedAt{};
    /// Begin and end of the present or last cut; zero while there was none.
    TimePoint cutBegin{};
    TimePoint cutEnd{};
    /// Whether a request was answered through another instance during that cut.
    bool isCutConfirmed = false;
};

} // namespace bamboochute::forwarding
