#include "peer/gossip.hpp"

#include "core/invariant.hpp"
#include "core/overloaded.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace bamboochute::peer {

namespace {

/// Size of the UDP and IPv4 headers, in bytes.
constexpr std::size_t headerBytes = 28;
/// Maximum number of datagrams sent immediately in answer to a pull; the rest is sent later.
constexpr std::size_t maxDatagramsPerAnswer = 4;
/// Maximum bytes of urgent changes that are sent at a time.
constexpr std::size_t maxUrgentBytes = 1000;
/// Number of members in the same data centre that urgent changes are sent to.
constexpr std::size_t urgentFanOutSameDataCentre = 2;
/// Number of further members, in any data centre, that urgent changes are sent to.
constexpr std::size_t urgentFanOutAnywhere = 1;

/// Removes records and updates that do not fit because of long names; they are sent again later.
void dropExcessUpdates(Datagram &datagram)
{
    while (estimateBytes(datagram) > maxDatagramBytes && !datagram.records.empty())
        datagram.records.pop_back();
    while (estimateBytes(datagram) > maxDatagramBytes && !datagram.members.empty())
        datagram.members.pop_back();
}

} // namespace

Gossip::Gossip(GossipSettings settings, KeyRing keys, MemberIdentity self,
               std::vector<Endpoint> seeds, std::uint64_t seed)
    : settings(settings)
    , keys(std::move(keys))
    , members(settings.membership, std::move(self), std::move(seeds), seed)
    , state(settings.dissemination)
    , budget(settings.bytesPerSecond, settings.burstBytes)
    , random(seed ^ 0x5bd1e995U)
{}

GossipActions Gossip::onBytes(TimePoint now, std::string_view bytes, const Endpoint &source)
{
    GossipActions actions;
    this->totals.receivedBytes += bytes.size() + headerBytes;
    ++this->totals.receivedDatagrams;
    const DecodedDatagram decoded
            = decodeDatagram(bytes, this->keys, this->members.self().datagramEndpoint);
    if (!decoded.datagram) {
        ++this->totals.dropped.at(static_cast<std::size_t>(decoded.dropReason));
        return actions;
    }
    const Datagram &datagram = *decoded.datagram;
    if (!this->replayFilter.accept(datagram.sender, datagram.incarnation, datagram.sequence)) {
        ++this->totals.dropped.at(static_cast<std::size_t>(DatagramDropReason::Replayed));
        return actions;
    }
    for (StateChanged &change : this->state.receive(now, datagram))
        actions.emplace_back(std::move(change));
    this->applyMembershipActions(now, this->members.onDatagram(now, datagram, source), actions);
    this->sendPulledRanges(now, datagram.sender, actions);
    // With less than half of the burst left, changes wait for the next tick to share a datagram.
    if (this->budget.available(now) * 2 >= this->settings.burstBytes)
        this->sendUrgent(now, false, actions);
    return actions;
}

GossipActions Gossip::onPlatformList(TimePoint now, const std::vector<ListedInstance> &list)
{
    GossipActions actions;
    this->applyMembershipActions(now, this->members.onPlatformList(now, list), actions);
    return actions;
}

GossipActions Gossip::onPortRefused(TimePoint now, const Endpoint &endpoint)
{
    GossipActions actions;
    this->applyMembershipActions(now, this->members.onPortRefused(now, endpoint), actions);
    return actions;
}

GossipActions Gossip::onTick(TimePoint now)
{
    GossipActions actions;
    this->applyMembershipActions(now, this->members.onTick(now), actions);
    this->sendUrgent(now, false, actions);
    this->sendPulls(now, actions);
    return actions;
}

Result<GossipActions> Gossip::publish(TimePoint now, const StateKey &key, Fence fence,
                                      std::string payload)
{
    BOOST_OUTCOME_TRY(this->state.publish(key, fence, std::move(payload)));
    GossipActions actions;
    this->sendUrgent(now, true, actions);
    return actions;
}

Result<GossipActions> Gossip::erase(TimePoint now, const StateKey &key, Fence fence)
{
    BOOST_OUTCOME_TRY(this->state.erase(key, fence));
    GossipActions actions;
    this->sendUrgent(now, true, actions);
    return actions;
}

Result<GossipActions> Gossip::takeOver(TimePoint now, const StreamKey &stream, Fence fence)
{
    BOOST_OUTCOME_TRY(this->state.takeOver(stream, fence));
    GossipActions actions;
    this->sendUrgent(now, true, actions);
    return actions;
}

GossipActions Gossip::announceLeaving(TimePoint now)
{
    GossipActions actions;
    this->applyMembershipActions(now, this->members.announceLeaving(), actions);
    return actions;
}

GossipActions Gossip::leave(TimePoint now)
{
    GossipActions actions;
    this->applyMembershipActions(now, this->members.leave(), actions);
    return actions;
}

void Gossip::replaceKeys(KeyRing keys)
{
    this->keys = std::move(keys);
}

void Gossip::applyMembershipActions(TimePoint now, MembershipActions from, GossipActions &actions)
{
    for (MembershipAction &action : from) {
        std::visit(Overloaded{
                           [&](SendDatagram &message) {
                               this->send(now, std::move(message), actions);
                           },
                           [&](MemberChanged &change) {
                               this->forgetInstanceState(change.member);
                               actions.emplace_back(std::move(change));
                           },
                           [&](DeclaredGoneByPeers &gone) { actions.emplace_back(gone); },
                   },
                   action);
    }
}

void Gossip::forgetInstanceState(const Member &member)
{
    if (member.state != MemberState::Gone)
        return;
    const StreamKey inForce{Topic::InForceRevision, member.identity.instance.value()};
    // The state of a later process of the instance is kept.
    const bool isOfThisProcess
            = this->state.digest(inForce).fence.value() <= member.identity.incarnation.value();
    if (isOfThisProcess)
        this->state.forget(inForce);
}

void Gossip::send(TimePoint now, SendDatagram message, GossipActions &actions)
{
    Datagram &datagram = message.datagram;
    dropExcessUpdates(datagram);
    const std::size_t fixedBytes = estimateBytes(datagram);
    const std::size_t room = maxDatagramBytes - std::min(maxDatagramBytes, fixedBytes);
    const std::size_t budgetBytes = this->budget.available(now);
    const std::size_t left = budgetBytes - std::min(budgetBytes, fixedBytes + headerBytes);
    if (left < room && this->state.hasQueued())
        ++this->totals.deferred;
    this->state.fill(now, datagram, message.receiver, std::min(room, left));
    this->sendFilled(now, std::move(message), actions);
}

void Gossip::sendFilled(TimePoint now, SendDatagram message, GossipActions &actions)
{
    message.datagram.sequence = this->nextSequence++;
    std::string bytes = encodeDatagram(message.datagram, this->keys, message.to);
    BC_INVARIANT(bytes.size() <= maxDatagramBytes, "a datagram is not fragmented");
    this->budget.spend(now, bytes.size() + headerBytes);
    this->totals.sentBytes += bytes.size() + headerBytes;
    ++this->totals.sentDatagrams;
    actions.emplace_back(SendBytes{std::move(message.to), std::move(bytes)});
}

SendDatagram Gossip::makeUpdateDatagram(const Member &receiver) const
{
    SendDatagram message;
    message.to = receiver.identity.datagramEndpoint;
    message.receiver = receiver.identity.instance;
    message.datagram.kind = DatagramKind::Updates;
    message.datagram.sender = this->members.self().instance;
    message.datagram.incarnation = this->members.self().incarnation;
    return message;
}

void Gossip::sendUrgent(TimePoint now, bool isOrigin, GossipActions &actions)
{
    if (!this->state.hasUnsentUrgent())
        return;
    // Leaving upstreams and configuration may overdraw the budget; placements may not.
    const bool isWithinBudget = this->budget.available(now) >= maxDatagramBytes;
    const Topic leastUrgent = isWithinBudget ? Topic::Placements : Topic::ConfigurationRoot;
    if (!isWithinBudget)
        ++this->totals.deferred;
    const std::vector<Member> receivers = this->chooseUrgentReceivers(isOrigin);
    if (receivers.empty())
        return;
    const std::vector<StateDelta> urgent = this->state.takeUrgent(maxUrgentBytes, leastUrgent);
    if (urgent.empty())
        return;
    for (const Member &receiver : receivers) {
        SendDatagram message = this->makeUpdateDatagram(receiver);
        message.datagram.deltas = urgent;
        this->sendFilled(now, std::move(message), actions);
    }
}

void Gossip::sendPulls(TimePoint now, GossipActions &actions)
{
    for (const InstanceId &instance : this->state.membersToPullFrom(now)) {
        const std::optional<Member> member = this->members.find(instance);
        if (member && this->budget.available(now) >= maxDatagramBytes)
            this->send(now, this->makeUpdateDatagram(*member), actions);
    }
}

void Gossip::sendPulledRanges(TimePoint now, const InstanceId &receiver, GossipActions &actions)
{
    const std::optional<Member> member = this->members.find(receiver);
    for (std::size_t i = 0; i < maxDatagramsPerAnswer && member; ++i) {
        const bool isWithinBudget = this->budget.available(now) >= maxDatagramBytes;
        if (!this->state.hasPullFrom(receiver) || !isWithinBudget)
            return;
        this->send(now, this->makeUpdateDatagram(*member), actions);
    }
}

std::vector<Member> Gossip::chooseUrgentReceivers(bool isOrigin)
{
    std::vector<Member> reachable;
    for (Member &member : this->members.members()) {
        if (isReachable(member.state))
            reachable.push_back(std::move(member));
    }
    for (std::size_t i = reachable.size(); i > 1; --i)
        std::swap(reachable[i - 1], reachable[this->random.below(i)]);
    std::vector<Member> chosen;
    std::map<DataCentreId, std::size_t> chosenPerDataCentre;
    const DataCentreId &ownDataCentre = this->members.self().dataCentre;
    std::size_t chosenAnywhere = 0;
    for (const Member &member : reachable) {
        std::size_t &chosenInDataCentre = chosenPerDataCentre[member.identity.dataCentre];
        const std::size_t wanted = member.identity.dataCentre == ownDataCentre
                                           ? urgentFanOutSameDataCentre
                                           : (isOrigin ? 1 : 0);
        if (chosenInDataCentre < wanted) {
            ++chosenInDataCentre;
            chosen.push_back(member);
        } else if (chosenAnywhere < urgentFanOutAnywhere) {
            ++chosenAnywhere;
            chosen.push_back(member);
        }
    }
    return chosen;
}

void Gossip::exportMetrics(Metrics &metrics) const
{
    const auto set = [&](std::string_view name, const std::string &labels, std::uint64_t value) {
        Counter &counter = metrics.counter(name, labels);
        counter.add(value - std::min(value, counter.value()));
    };
    set("bamboochute_peer_bytes_total", "direction=\"sent\"", this->totals.sentBytes);
    set("bamboochute_peer_bytes_total", "direction=\"received\"", this->totals.receivedBytes);
    set("bamboochute_peer_datagrams_total", "direction=\"sent\"", this->totals.sentDatagrams);
    set("bamboochute_peer_datagrams_total", "direction=\"received\"",
        this->totals.receivedDatagrams);
    set("bamboochute_peer_deferred_total", "", this->totals.deferred);
    for (std::size_t i = 0; i < datagramDropReasonCount; ++i) {
        const auto dropReason = static_cast<DatagramDropReason>(i);
        set("bamboochute_peer_refused_total",
            fmt::format("reason=\"{}\"", datagramDropReasonName(dropReason)),
            this->totals.dropped.at(i));
    }
    for (std::size_t i = 0; i < membershipEventCount; ++i) {
        const auto which = static_cast<MembershipEvent>(i);
        set("bamboochute_membership_total", fmt::format("event=\"{}\"", membershipEventName(which)),
            this->members.count(which));
    }
    for (std::size_t i = 0; i < disseminationEventCount; ++i) {
        const auto which = static_cast<DisseminationEvent>(i);
        set("bamboochute_dissemination_total",
            fmt::format("event=\"{}\"", disseminationEventName(which)), this->state.count(which));
    }
    const auto reachable = static_cast<std::int64_t>(this->members.reachableCount());
    metrics.gauge("bamboochute_members_reachable").set(reachable);
}

} // namespace bamboochute::peer
