#include "peer/membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboochute::peer {

namespace {

/// Readings of the platform's list in a row that must lack a member.
constexpr std::uint32_t absencesForGone = 3;
/// Most endpoints of the platform's list that are remembered for contact.
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
        this->takeListed(now, listed, actions);
    }
    this->noteAbsences(now, present);
    return actions;
}

void Membership::takeListed(TimePoint now, const ListedInstance &listed, MembershipActions &actions)
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
    const bool isReplaced = entry->launch != 0 && listed.launch > entry->launch;
    const GoneEvidence before = entry->listed;
    if (entry->launch == 0)
        entry->launch = listed.launch;
    if (isReplaced)
        entry->listed = GoneEvidence::ListedReplaced;
    else if (listed.state == ListedState::Terminated && this->trustsListOf(now, *entry))
        entry->listed = GoneEvidence::ListedTerminated;
    else if (listed.state != ListedState::Terminated)
        entry->isListDoubted = false;
    const bool isNewEvidence = entry->listed != before && entry->listed != GoneEvidence::None;
    if (isNewEvidence && isReachable(entry->member.state)) {
        entry->launch = std::max(entry->launch, listed.launch);
        this->startProbe(now, listed.instance, actions);
    }
}

bool Membership::trustsListOf(TimePoint now, const MemberEntry &entry) const
{
    if (!entry.isListDoubted)
        return true;
    // It answered while it was listed as terminated; a long silence since then renews the trust.
    return entry.member.state == MemberState::Unreachable
           && now - entry.stateSince >= this->settings.absenceTimeout;
}

void Membership::noteAbsences(TimePoint now, const std::set<InstanceId> &present)
{
    std::size_t known = 0;
    std::size_t missing = 0;
    for (const auto &[instance, entry] : this->table.all()) {
        const bool counts = entry.wasListed && entry.member.state != MemberState::Gone;
        known += counts ? 1 : 0;
        missing += counts && !present.contains(instance) ? 1 : 0;
    }
    // A reading that lacks half of the fleet tells of the list's trouble, not of the fleet's.
    if (missing * 2 > known)
        return;
    for (auto &[instance, entry] : this->table.all()) {
        if (!entry.wasListed || present.contains(instance))
            continue;
        if (entry.absences++ == 0)
            entry.absentSince = now;
    }
}

bool Membership::isAbsenceProof(TimePoint now, const MemberEntry &entry) const
{
    const Duration needed = this->settings.absenceTimeout;
    const bool isLongAbsent
            = entry.absences >= absencesForGone && now - entry.absentSince >= needed;
    if (!isLongAbsent || now - entry.stateSince < needed)
        return false;
    // Without an answer from its data centre, the data centre may be cut off from here.
    return std::any_of(this->table.all().begin(), this->table.all().end(), [&](const auto &each) {
        const MemberEntry &other = each.second;
        return other.member.identity.dataCentre == entry.member.identity.dataCentre
               && other.member.state == MemberState::Alive;
    });
}

void Membership::judgeListed(TimePoint now, MembershipActions &actions)
{
    std::vector<std::pair<InstanceId, GoneEvidence>> ended;
    for (const InstanceId &instance : this->table.inState(MemberState::Unreachable)) {
        const MemberEntry &entry = *this->table.find(instance);
        if (entry.listed != GoneEvidence::None)
            ended.emplace_back(instance, entry.listed);
        else if (this->isAbsenceProof(now, entry))
            ended.emplace_back(instance, GoneEvidence::ListedTerminated);
    }
    for (const auto &[instance, evidence] : ended)
        this->declareGone(now, instance, evidence, actions);
}

} // namespace bamboochute::peer
