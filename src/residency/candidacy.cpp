#include "residency/candidacy.hpp"

#include <algorithm>

namespace bamboochute::residency {

void Candidacy::recordLastOwner(std::optional<OwnerRecord> record, TimePoint now)
{
    const bool isSameOwnership = this->last && record && this->last->nonce == record->nonce;
    this->last = std::move(record);
    if (isSameOwnership)
        return;
    // Its record may have come and gone unseen.
    if (this->vacantSince)
        this->vacantSince = now;
    this->sentAt.reset();
    this->answeredAt.reset();
    this->noticedAt.reset();
}

void Candidacy::recordOwnerPresence(bool isPresent, TimePoint now)
{
    if (isPresent)
        this->vacantSince.reset();
    else if (!this->vacantSince)
        this->vacantSince = now;
}

bool Candidacy::recordAnswer(const CandidateAnswer &answer, TimePoint now)
{
    if (!this->last || answer.ownership != this->last->nonce
        || answer.process != this->settings.process)
        return false;
    if (!this->answeredAt && answer.isOwner)
        this->noticedAt = now;
    this->answeredAt = now;
    return true;
}

bool Candidacy::isNoticeNeeded() const
{
    return this->last && this->last->instance != this->settings.self
           && this->last->answersCandidates;
}

/// Whether the last owner can't have forgotten this process since its answer.
bool Candidacy::isAnswerFresh() const
{
    return this->answeredAt
           && (!this->vacantSince
               || *this->answeredAt + this->settings.answerLifetime >= *this->vacantSince);
}

bool Candidacy::isCleared(TimePoint now) const
{
    if (!this->isNoticeNeeded() || !this->last->mayOutliveLease() || this->isAnswerFresh())
        return true;
    const std::optional<TimePoint> end = this->clearedAt();
    return !end || now >= *end;
}

/// Whether the last owner does not go on without the consent of this instance.
bool Candidacy::isConsentNeeded() const
{
    const std::vector<InstanceId> &consenters = this->last->consenters;
    return std::find(consenters.begin(), consenters.end(), this->settings.self) != consenters.end();
}

std::optional<TimePoint> Candidacy::clearedAt() const
{
    if (!this->vacantSince)
        return std::nullopt;
    // The store last answered the former owner before its record lapsed.
    const TimePoint end = *this->vacantSince + this->settings.maxTimeWithoutStore;
    if (!this->last || !this->isConsentNeeded())
        return end;
    return std::min(end, this->settings.startedAt + this->settings.finalConsentTime);
}

TimePoint Candidacy::nextNoticeAt() const
{
    if (!this->isNoticeNeeded())
        return TimePoint::max();
    if (!this->sentAt)
        return TimePoint();
    const bool isAnswered = this->answeredAt && *this->answeredAt >= *this->sentAt;
    return isAnswered ? *this->answeredAt + this->settings.refreshInterval
                      : *this->sentAt + this->settings.retryInterval;
}

CandidateNotice Candidacy::makeNotice(TimePoint now)
{
    this->sentAt = now;
    return {this->settings.self, this->settings.process, this->last ? this->last->nonce : 0};
}

} // namespace bamboochute::residency
