#include "node/pools.hpp"

#include "core/log.hpp"
#include "node/members.hpp"
#include "node/placement_stream.hpp"
#include "node/routing_builder.hpp"

#include <algorithm>
#include <set>

namespace bamboochute::node {

namespace {

constexpr Duration gaveUpTimeout = std::chrono::seconds(1);

peer::StateKey placementKey(const PoolId &pool, const std::string &item)
{
    return {placementStream(pool), item};
}

} // namespace

Pools::Pools(ControlContext &context, platform::KeyValueClient &keyValue, GossipDriver &gossip,
             peer::CallClient &calls, UpstreamOrders &orders, PoolsCallbacks callbacks)
    : context(context)
    , keyValue(keyValue)
    , gossip(gossip)
    , calls(calls)
    , orders(orders)
    , callbacks(std::move(callbacks))
{}

void Pools::setConfiguration(const ConfigurationPointer &changed)
{
    this->configuration = changed;
    this->orders.setConfiguration(changed);
    const std::set<PoolId> pools = enginePools(*changed);
    std::erase_if(this->drivers, [&](const auto &entry) { return !pools.contains(entry.first); });
    std::erase_if(this->candidateByPool,
                  [&](const auto &entry) { return !pools.contains(entry.first); });
    for (const PoolId &pool : pools) {
        auto &driver = this->drivers[pool];
        if (!driver)
            driver = std::make_shared<PoolDriver>(this->context, pool, this->keyValue,
                                                  this->makeDriverCallbacks());
        driver->handle(decision::ConfigurationChanged{changed});
    }
    this->onMembersChanged();
}

void Pools::onMembersChanged()
{
    for (const auto &[pool, driver] : this->drivers)
        this->updateCandidate(pool, *driver);
}

void Pools::updateCandidate(const PoolId &pool, PoolDriver &driver)
{
    const auto instances = usableInstances(this->gossip.gossip().membership(), this->isStopping);
    const auto chosen = rendezvousInstance(instances, pool.value(), 0);
    const bool isCandidate = chosen == this->context.settings.instance;
    const auto known = this->candidateByPool.find(pool);
    if (known != this->candidateByPool.end() && known->second == isCandidate)
        return;
    this->candidateByPool[pool] = isCandidate;
    driver.handle(decision::CandidacyChanged{isCandidate});
}

void Pools::onMemberChanged(const peer::MemberChanged &changed)
{
    const peer::Member &member = changed.member;
    const InstanceId &instance = member.identity.instance;
    const std::uint64_t incarnation = member.identity.incarnation.value();
    if (incarnation > 0)
        this->handleAll(decision::ProcessTerminated{{instance, Incarnation(incarnation - 1)}});
    switch (member.state) {
    case peer::MemberState::Alive:
        if (changed.previousState != peer::MemberState::Alive)
            this->handleAll(decision::InstanceAlive{instance});
        break;
    case peer::MemberState::Suspected:
        break;
    case peer::MemberState::Unreachable:
        this->handleAll(decision::InstanceSuspected{instance});
        break;
    case peer::MemberState::Gone:
        this->handleAll(decision::InstanceSuspected{instance});
        this->handleAll(decision::ProcessTerminated{{instance, member.identity.incarnation}});
        break;
    }
    this->onMembersChanged();
}

void Pools::onGaveUp(const peer::OwnershipGivenUpReport &gaveUp)
{
    this->handle(gaveUp.pool, decision::OwnershipGivenUp{{gaveUp.instance, gaveUp.incarnation},
                                                         gaveUp.fence,
                                                         gaveUp.unresolvedOrders});
}

void Pools::handle(const PoolId &pool, const decision::Event &event)
{
    if (PoolDriver *driver = this->find(pool))
        driver->handle(event);
}

void Pools::handleAll(const decision::Event &event)
{
    for (const auto &[pool, driver] : this->drivers)
        driver->handle(event);
}

void Pools::tick(bool isOwner)
{
    for (const auto &[pool, driver] : this->drivers) {
        if (driver->controller().isOwner() == isOwner)
            driver->handle(decision::Tick{});
    }
}

void Pools::handOverPools()
{
    this->isStopping = true;
    this->onMembersChanged();
    this->handleAll(decision::HandOverRequested{});
}

bool Pools::ownsAnyPool() const
{
    return std::any_of(this->drivers.begin(), this->drivers.end(),
                       [](const auto &entry) { return entry.second->controller().isOwner(); });
}

PoolDriver *Pools::find(const PoolId &pool)
{
    const auto found = this->drivers.find(pool);
    return found == this->drivers.end() ? nullptr : found->second.get();
}

std::optional<OwnerAddress> Pools::ownerOf(const PoolId &pool) const
{
    const peer::Gossip &state = this->gossip.gossip();
    const auto entry = state.dissemination().find(placementKey(pool, std::string(ownerItem)));
    const auto owner = entry ? parseOwnerAnnouncement(entry->payload) : std::nullopt;
    if (!owner)
        return std::nullopt;
    const auto endpoint = callEndpointOf(state.membership(), owner->instance);
    if (!endpoint)
        return std::nullopt;
    return OwnerAddress{owner->instance, *endpoint};
}

PoolDriverCallbacks Pools::makeDriverCallbacks()
{
    PoolDriverCallbacks driverCallbacks;
    driverCallbacks.sendOrder = [this](const decision::Order &order, auto done) {
        this->orders.send(order, std::move(done));
    };
    driverCallbacks.publishPlacements = [this](const auto &each) { this->publishPlacements(each); };
    driverCallbacks.refuseDemand
            = [this](const auto &each) { this->callbacks.onRefuseDemand(each); };
    driverCallbacks.announceOwner = [this](const auto &each) { this->announceOwner(each); };
    driverCallbacks.announceOwnershipGivenUp
            = [this](const auto &each) { this->announceOwnershipGivenUp(each); };
    return driverCallbacks;
}

void Pools::publishPlacements(const decision::PublishPlacements &placements)
{
    std::set<std::string> wanted;
    for (const Target &target : placements.loaded)
        wanted.insert(serializePlacementItem({placements.upstream, target}));
    std::set<std::string> present;
    const auto entries
            = this->gossip.gossip().dissemination().entries(placementStream(placements.pool));
    for (const peer::StateDelta &entry : entries) {
        const auto item = parsePlacementItem(entry.key.item);
        if (item && item->upstream == placements.upstream)
            present.insert(entry.key.item);
    }
    for (const std::string &item : wanted) {
        if (!present.contains(item))
            this->gossip.publish(placementKey(placements.pool, item), placements.fence, {});
    }
    for (const std::string &item : present) {
        if (!wanted.contains(item))
            this->gossip.erase(placementKey(placements.pool, item), placements.fence);
    }
    this->callbacks.onPlacementsPublished();
}

void Pools::announceOwner(const decision::AnnounceOwner &owner)
{
    logEvent(LogLevel::Info, "pool is owned by this instance",
             {{"pool", owner.pool.value()}, {"fence", std::to_string(owner.fence.value())}});
    Fence &takenOverFence = this->takenOverStreams[owner.pool];
    if (takenOverFence < owner.fence) {
        takenOverFence = owner.fence;
        this->gossip.takeOver(placementStream(owner.pool), owner.fence);
    }
    this->gossip.publish(
            placementKey(owner.pool, std::string(ownerItem)), owner.fence,
            serializeOwnerAnnouncement({owner.owner.instance, owner.owner.incarnation}));
}

void Pools::announceOwnershipGivenUp(const decision::AnnounceOwnershipGivenUp &gaveUp)
{
    const peer::OwnershipGivenUpReport message{gaveUp.pool, gaveUp.fence, gaveUp.sender.instance,
                                               gaveUp.sender.incarnation, gaveUp.unresolvedOrders};
    for (const peer::Member &member : this->gossip.gossip().membership().members()) {
        if (isUsable(member))
            this->calls.call(member.identity.callEndpoint, message, gaveUpTimeout,
                             [](const Result<peer::OwnershipGivenUpAnswer> &) {});
    }
}

} // namespace bamboochute::node
