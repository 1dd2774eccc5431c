#include "peer/membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboochute::peer {

namespace {

/// Consecutive readings of the platform's list without a member before it may be declared gone.
constexpr std::uint32_t absencesForGone = 3;
/// Maximum number of endpoints of the platform's list that are kept for contacting.
constexpr std::size_t maxListedEndpoints = 4096;

} // namespace

MembershipActions Membership::onPlatformList(TimePoint now, const std::vector<ListedInstance> &list)
{
    MembershipActions actions;
    if (this->hasLeft)
        return actions;
    this->listedEndpoints.clear();
    std::set<InstanceId> present;
    for (const ListedInstance &listed : list) {
        present.insert(listed.instance);
        this->applyListedInstance(now, listed, actions);
    }
    this->countAbsences(now, present);
    return actions;
}

void Membership::applyListedInstance(TimePoint now, const ListedInstance &listed,
                                     MembershipActions &actions)
{
    const bool isContactable = listed.state != ListedState::Terminated
                               && !listed.datagramEndpoint.address.empty()
                               && this->listedEndpoints.size() < maxListedEndpoints;
    if (isContactable)
        this->listedEndpoints.push_back(listed.datagramEndpoint);
    MemberEntry *entry = this->table.find(listed.instance);
    if (entry == nullptr || entry->member.state == MemberState::Gone)
        return;
    entry->wasListed = true;
    entry->absences = 0;
    const bool isReplaced = entry->launchNumber != 0 && listed.launchNumber > entry->launchNumber;
    const GoneEvidence before = entry->listedEvidence;
    if (entry->launchNumber == 0)
        entry->launchNumber = listed.launchNumber;
    if (isReplaced)
        entry->listedEvidence = GoneEvidence::ListedReplaced;
    else if (listed.state == ListedState::Terminated && this->isListTrustedFor(now, *entry))
        entry->listedEvidence = GoneEvidence::ListedTerminated;
    else if (listed.state != ListedState::Terminated)
        entry->isListDoubted = false;
    const bool isNewEvidence
            = entry->listedEvidence != before && entry->listedEvidence != GoneEvidence::None;
    if (isNewEvidence && isReachable(entry->member.state)) {
        entry->launchNumber = std::max(entry->launchNumber, listed.launchNumber);
        this->startProbe(now, listed.instance, actions);
    }
}

bool Membership::isListTrustedFor(TimePoint now, const MemberEntry &entry) const
{
    if (!entry.isListDoubted)
        return true;
    // The member answered while it was listed as terminated, so the list was wrong about it. It is
    // trusted again after the member has been unreachable for the absence timeout.
    return entry.member.state == MemberState::Unreachable
           && now - entry.stateSince >= this->settings.absenceTimeout;
}

void Membership::countAbsences(TimePoint now, const std::set<InstanceId> &present)
{
    std::size_t known = 0;
    std::size_t missing = 0;
    for (const auto &[instance, entry] : this->table.all()) {
        const bool counts = entry.wasListed && entry.member.state != MemberState::Gone;
        known += counts ? 1 : 0;
        missing += counts && !present.contains(instance) ? 1 : 0;
    }
    // A reading that lacks more than half of the fleet indicates a faulty list, not a faulty fleet.
    if (missing * 2 > known)
        return;
    for (auto &[instance, entry] : this->table.all()) {
        if (!entry.wasListed || present.contains(instance))
            continue;
        if (entry.absences++ == 0)
            entry.absentSince = now;
    }
}

bool Membership::isAbsenceConclusive(TimePoint now, const MemberEntry &entry) const
{
    const Duration needed = this->settings.absenceTimeout;
    const bool isLongAbsent
            = entry.absences >= absencesForGone && now - entry.absentSince >= needed;
    if (!isLongAbsent || now - entry.stateSince < needed)
        return false;
    // Unless another member of its data centre is alive, the data centre may be partitioned from
    // this instance.
    return std::any_of(this->table.all().begin(), this->table.all().end(), [&](const auto &each) {
        const MemberEntry &other = each.second;
        return other.member.identity.dataCentre == entry.member.identity.dataCentre
               && other.member.state == MemberState::Alive;
    });
}

void Membership::declareListedGone(TimePoint now, MembershipActions &actions)
{
    std::vector<std::pair<InstanceId, GoneEvidence>> ended;
    for (const InstanceId &instance : this->table.membersInState(MemberState::Unreachable)) {
        const MemberEntry &entry = *this->table.find(instance);
        if (entry.listedEvidence != GoneEvidence::None)
            ended.emplace_back(instance, entry.listedEvidence);
        else if (this->isAbsenceConclusive(now, entry))
            ended.emplace_back(instance, GoneEvidence::ListedTerminated);
    }
    for (const auto &[instance, evidence] : ended)
        this->declareGone(now, instance, evidence, actions);
}

} // namespace bamboochute::peer
