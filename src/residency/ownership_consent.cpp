#include "residency/ownership_consent.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::residency {

namespace {

/// Rounds whose answers are accepted; those of earlier ones are no longer valid.
constexpr std::size_t maxRounds = 16;

} // namespace

void OwnershipConsent::recordMember(const InstanceId &instance, const Endpoint &endpoint,
                                    TimePoint now)
{
    if (this->isForgetting)
        this->forgetSilent(now);
    if (this->memberStates.size() >= this->settings.maxMembers
        && this->memberStates.count(instance) == 0)
        return;
    Member &member = this->memberStates[instance];
    member.endpoint = endpoint;
    member.heardAt = now;
}

bool OwnershipConsent::isSilent(const Member &member, TimePoint now) const
{
    return member.heardAt + this->settings.memberMemory < now;
}

void OwnershipConsent::forgetSilent(TimePoint now)
{
    std::erase_if(this->memberStates,
                  [&](const auto &item) { return this->isSilent(item.second, now); });
}

std::vector<InstanceId> OwnershipConsent::recentMembers(TimePoint now) const
{
    std::vector<InstanceId> instances;
    for (const auto &[instance, member] : this->memberStates) {
        if (!this->isSilent(member, now))
            instances.push_back(instance);
    }
    return instances;
}

bool OwnershipConsent::recordCandidate(const InstanceId &instance, const Endpoint &endpoint,
                                       std::uint64_t process, TimePoint now)
{
    this->recordMember(instance, endpoint, now);
    const auto member = this->memberStates.find(instance);
    if (member == this->memberStates.end())
        return false;
    if (std::exchange(member->second.process, process) == process)
        return true;
    member->second.consentedAt.reset();
    member->second.isFinal = false;
    // An answer of the earlier process may still come.
    member->second.answeredRound = this->lastRound + 1;
    return true;
}

ConsentQuery OwnershipConsent::beginRound(Fence fence, Duration storeLostFor, TimePoint now)
{
    this->rounds.push_back({++this->lastRound, now});
    if (this->rounds.size() > maxRounds)
        this->rounds.pop_front();
    return {fence, this->lastRound, storeLostFor};
}

std::vector<Endpoint> OwnershipConsent::members() const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[instance, member] : this->memberStates)
        endpoints.push_back(member.endpoint);
    return endpoints;
}

void OwnershipConsent::recordAnswer(const ConsentAnswer &answer, Fence fence)
{
    const auto member = this->memberStates.find(answer.sender);
    const auto round
            = std::find_if(this->rounds.begin(), this->rounds.end(),
                           [&answer](const Round &one) { return one.number == answer.round; });
    if (answer.fence != fence || member == this->memberStates.end() || round == this->rounds.end()
        || answer.round < member->second.answeredRound)
        return;
    member->second.answeredRound = answer.round;
    member->second.isFinal = answer.isFinal;
    if (answer.isGranted)
        member->second.consentedAt = round->begunAt;
    else
        member->second.consentedAt.reset();
}

bool OwnershipConsent::isValid(TimePoint now) const
{
    return !this->memberStates.empty()
           && std::all_of(
                   this->memberStates.begin(), this->memberStates.end(), [&](const auto &item) {
                       const auto &consentedAt = item.second.consentedAt;
                       return consentedAt && now < *consentedAt + this->validTime(item.second);
                   });
}

std::size_t OwnershipConsent::finalCount() const
{
    return static_cast<std::size_t>(std::count_if(
            this->memberStates.begin(), this->memberStates.end(),
            [](const auto &item) { return item.second.consentedAt && item.second.isFinal; }));
}

void OwnershipConsent::discardAnswers()
{
    this->rounds.clear();
    for (auto &[instance, member] : this->memberStates) {
        member.consentedAt.reset();
        member.answeredRound = 0;
    }
}

Duration OwnershipConsent::validTime(const Member &member) const
{
    const Duration granted = member.isFinal ? this->settings.finalTime : this->settings.grantTime;
    return std::chrono::duration_cast<Duration>(granted * this->settings.validShare);
}

} // namespace bamboochute::residency
