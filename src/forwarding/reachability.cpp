#include "forwarding/reachability.hpp"

#include <algorithm>

namespace bamboochute::forwarding {

void Reachability::recordAnswer(TimePoint begunAt, TimePoint now)
{
    this->lastReachedBegin = std::max(this->lastReachedBegin, begunAt);
    this->lastAnsweredBegin = std::max(this->lastAnsweredBegin, begunAt);
    // A connection that was open before a cut may live on.
    const bool endsSilence = this->isSilent && begunAt > this->suspectedSince;
    if (this->decided == ReachabilityState::CutOff && !endsSilence)
        return;
    this->lastEvidenceAt = now;
    this->lastHeardAt = now;
    if (now - begunAt <= this->limits.promptTime)
        this->lastPromptAnswerAt = now;
    if (this->decided == ReachabilityState::CutOff) {
        this->returnedAt = now;
        this->endCut(now);
        return;
    }
    // Where upstreams are slow for everybody, answers come late, but they come.
    const bool isRefuted = this->isSilent || begunAt > this->suspectedSince;
    if (this->decided == ReachabilityState::Suspected && isRefuted)
        this->refuteSuspicion(now);
}

void Reachability::recordFailure(TimePoint begunAt, TimePoint now)
{
    if (this->decided != ReachabilityState::Reachable || begunAt < this->lastReachedBegin)
        return;
    this->decided = ReachabilityState::Suspected;
    this->suspectedSince = begunAt;
    this->failedRounds = 0;
    this->nextRoundAt = std::max(now, this->lastRoundAt + this->limits.minRoundInterval);
}

void Reachability::recordSilence(TimePoint begunAt, TimePoint now)
{
    const bool isQuiet
            = this->lastHeardAt == TimePoint() || now - this->lastHeardAt >= this->limits.quietTime;
    const bool isUnreachable = this->decided == ReachabilityState::CutOff || this->failedRounds > 0;
    if (this->isSilent || isUnreachable || !isQuiet || begunAt < this->lastAnsweredBegin
        || now < this->nextSilenceAt)
        return;
    this->decided = ReachabilityState::Suspected;
    this->isSilent = true;
    this->suspectedSince = begunAt;
    this->failedRounds = 0;
    this->nextRoundAt = now;
}

void Reachability::expectChange(TimePoint now)
{
    if (this->decided == ReachabilityState::Reachable)
        return;
    const TimePoint earliest = this->isSilent ? this->earliestRound() : now;
    this->nextRoundAt = std::min(this->nextRoundAt, std::max(now, earliest));
}

void Reachability::recordHeldProbe(TimePoint begunAt, TimePoint now)
{
    this->lastEvidenceAt = now;
    this->lastReachedBegin = std::max(this->lastReachedBegin, begunAt);
    const bool isSuspected = this->decided == ReachabilityState::Suspected && !this->isSilent;
    if (isSuspected && begunAt >= this->suspectedSince)
        this->refuteSuspicion(now);
}

void Reachability::recordRound(TimePoint begunAt, std::size_t probes, std::size_t held,
                               bool isHelped, TimePoint now, ProbeKind kind)
{
    this->lastRoundAt = begunAt;
    if (kind == ProbeKind::Answer)
        this->lastAnswerRoundAt = begunAt;
    if (held > 0) {
        this->lastEvidenceAt = now;
        this->lastReachedBegin = std::max(this->lastReachedBegin, begunAt);
    }
    if (held > 0 && kind == ProbeKind::Answer) {
        this->lastHeardAt = now;
        this->lastPromptAnswerAt = now;
        this->lastAnsweredBegin = std::max(this->lastAnsweredBegin, begunAt);
    }
    if (this->decided != ReachabilityState::Reachable && kind != this->probeKind()) {
        // A connection that holds says nothing about silence, but what can't be reached can't
        // answer.
        const bool isUnreachable = kind == ProbeKind::Connection && held == 0 && probes > 0;
        if (!isUnreachable) {
            this->nextRoundAt = now;
            return;
        }
        this->isSilent = false;
        this->failedRounds = 0;
    }
    switch (this->decided) {
    case ReachabilityState::Suspected: {
        // What held before the call began may not hold any more.
        const bool isEarlier = begunAt < this->suspectedSince && held > 0;
        if (isEarlier && !this->isSilent)
            this->nextRoundAt = std::max(now, begunAt + this->limits.minRoundInterval);
        else
            this->recordSuspectedRound(held > 0 || probes == 0, isHelped, now);
        break;
    }
    case ReachabilityState::CutOff: {
        const double needed = this->limits.goodShare * static_cast<double>(probes);
        const bool isGood = held > 0 && static_cast<double>(held) >= needed;
        this->goodRounds = isGood ? this->goodRounds + 1 : 0;
        this->nextRoundAt = now + this->limits.probeInterval;
        if (this->goodRounds >= this->neededRounds)
            this->returnedAt = now;
        if (this->goodRounds >= this->neededRounds || (this->goodRounds > 0 && !isHelped))
            this->endCut(now);
        break;
    }
    default:
        this->nextRoundAt = TimePoint::max();
        break;
    }
}

void Reachability::recordSuspectedRound(bool isGood, bool isHelped, TimePoint now)
{
    if (isGood) {
        this->refuteSuspicion(now);
        return;
    }
    ++this->failedRounds;
    // Upstreams may be silent to everybody.
    const bool isDecidable = !this->isSilent || isHelped;
    if (isDecidable && this->failedRounds >= this->limits.roundsToCutOff)
        this->beginCut(now);
    else
        this->nextRoundAt = now + this->nextSuspicionInterval();
}

/// Pause until the next round of a suspicion after one that failed.
Duration Reachability::nextSuspicionInterval() const
{
    Duration interval = this->limits.suspicionInterval;
    if (!this->isSilent)
        return interval;
    for (std::uint32_t i = 1;
         i < this->failedRounds && interval < this->limits.maxSuspicionInterval; ++i)
        interval *= 2;
    return std::min(interval,
                    std::max(this->limits.maxSuspicionInterval, this->limits.suspicionInterval));
}

void Reachability::refuteSuspicion(TimePoint now)
{
    if (this->isSilent) {
        const bool isRepeated = this->refutedAt != TimePoint()
                                && now - this->refutedAt <= 2 * this->limits.maxRefutedPause;
        this->silencePause
                = isRepeated ? std::min(2 * this->silencePause, this->limits.maxRefutedPause)
                             : this->limits.refutedPause;
        this->refutedAt = now;
        this->nextSilenceAt = now + this->silencePause;
    }
    this->endSuspicion();
}

void Reachability::beginCut(TimePoint now)
{
    const bool isFlapping
            = this->returnedAt != TimePoint() && now < this->returnedAt + this->limits.flapTime;
    this->neededRounds
            = isFlapping ? std::min(2 * std::max(this->neededRounds, this->limits.roundsToReturn),
                                    this->limits.maxRoundsToReturn)
                         : this->limits.roundsToReturn;
    this->decided = ReachabilityState::CutOff;
    this->cutBegin = this->suspectedSince;
    this->isCutConfirmed = false;
    this->goodRounds = 0;
    this->nextRoundAt = now + this->limits.probeInterval;
}

void Reachability::endCut(TimePoint now)
{
    this->cutEnd = now;
    this->endSuspicion();
}

bool Reachability::wasCutOff(TimePoint at) const
{
    const bool isOpen = this->decided == ReachabilityState::CutOff;
    return this->isCutConfirmed && at >= this->cutBegin && (isOpen || at <= this->cutEnd);
}

void Reachability::endSuspicion()
{
    this->decided = ReachabilityState::Reachable;
    this->isSilent = false;
    this->failedRounds = 0;
    this->nextRoundAt = TimePoint::max();
}

TimePoint Reachability::nextRound() const
{
    return this->nextRoundAt;
}

ReachabilityState Reachability::state(TimePoint now) const
{
    if (this->decided == ReachabilityState::Reachable && this->ownShare(now) < 1)
        return ReachabilityState::Returning;
    return this->decided;
}

double Reachability::ownShare(TimePoint now) const
{
    if (this->decided == ReachabilityState::CutOff)
        return 0;
    if (this->returnedAt == TimePoint())
        return 1;
    const double passed = toSeconds(now - this->returnedAt) / toSeconds(this->limits.returnTime);
    return std::clamp(passed, 0.0, 1.0);
}

} // namespace bamboochute::forwarding
