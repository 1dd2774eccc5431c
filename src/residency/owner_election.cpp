#include "residency/owner_election.hpp"

#include "core/log.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::residency {

namespace {

/// Delay after a failed call to the store.
constexpr Duration retryDelay = std::chrono::milliseconds(250);
/// Maximum time between two checks while another instance is the owner.
constexpr Duration idleInterval = std::chrono::seconds(10);

TimePoint steadyNow()
{
    return SteadyClock().now();
}

TimePoint bootNow()
{
    return BootClock().now();
}

} // namespace

OwnerElection::OwnerElection(boost::asio::io_context &loop, ElectionSettings settings,
                             OwnershipPort port)
    : loop(loop)
    , settings(std::move(settings))
    , port(std::move(port))
    , change(loop)
    , random(this->settings.seed)
    , lease(this->settings.times)
{}

void OwnerElection::start()
{
    this->lastHeard = bootNow();
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
}

void OwnerElection::resign()
{
    this->isResigned = true;
    this->change.notifyAll();
}

void OwnerElection::handleOwnerRecord(std::optional<ObservedOwner> owner)
{
    const bool hasChanged = this->observedOwner != owner || !this->isRecordKnown;
    this->isRecordKnown = true;
    this->observedOwner = std::move(owner);
    const bool isOtherOwner
            = this->observedOwner && this->observedOwner->record.nonce != this->settings.self.nonce;
    if (this->lease.isGranted() && isOtherOwner && this->observedOwner->fence > this->lease.fence())
        this->dropOwnership("a newer owner record was read");
    if (!hasChanged)
        return;
    this->change.notifyAll();
    if (this->onChange)
        this->onChange();
}

void OwnerElection::handleOwnerMessage(Fence fence)
{
    if (fence != this->lease.fence())
        this->lastHeard = bootNow();
}

void OwnerElection::handleFencedOrder()
{
    if (this->lease.isGranted())
        this->dropOwnership("an engine knows a higher fencing number");
}

bool OwnerElection::maySendOrders() const
{
    const TimePoint now = bootNow();
    if (this->lease.maySendOrders(now))
        return true;
    return this->settings.areEnginesFenced && this->isStoreUnreachable && this->lease.isGranted()
           && now < this->lastStoreContact + this->settings.maxTimeWithoutStore;
}

bool OwnerElection::isOwner() const
{
    return this->lease.isHeld(bootNow()) || this->maySendOrders();
}

void OwnerElection::dropOwnership(std::string_view reason)
{
    logEvent(LogLevel::Warning, "placement ownership lost",
             {{"reason", std::string(reason)},
              {"fence", std::to_string(this->lease.fence().value())}});
    this->lease.recordLoss();
    this->isStoreUnreachable = false;
    if (this->onChange)
        this->onChange();
}

/// Whether there is no owner, or the owner is an earlier process of this instance.
bool OwnerElection::mayCampaign() const
{
    if (!this->isRecordKnown || this->lease.isGranted())
        return false;
    return !this->observedOwner
           || (this->observedOwner->record.instance == this->settings.self.instance
               && this->observedOwner->record.nonce != this->settings.self.nonce);
}

upstream::Awaitable<void> OwnerElection::run()
{
    while (!this->isResigned) {
        if (this->lease.isGranted())
            co_await this->renew();
        else if (this->mayCampaign())
            co_await this->campaign();
        else
            co_await this->change.wait(steadyNow() + idleInterval);
    }
    if (this->lease.isGranted()) {
        const std::uint64_t id = this->leaseId;
        this->dropOwnership("this instance is shutting down");
        co_await this->port.release(id);
    }
}

upstream::Awaitable<void> OwnerElection::renew()
{
    const auto renewalInterval = std::chrono::duration_cast<Duration>(
            this->settings.times.timeToLive * this->settings.times.renewShare);
    if (!this->lease.isRenewalDue(bootNow())) {
        co_await this->change.wait(steadyNow() + renewalInterval / 2);
        co_return;
    }
    const TimePoint sentAt = bootNow();
    const Result<bool> renewed = co_await this->port.renew(this->leaseId);
    if (!this->lease.isGranted())
        co_return;
    if (renewed) {
        this->lease.recordRenewal(sentAt);
        this->lastStoreContact = sentAt;
        this->isStoreUnreachable = false;
        co_return;
    }
    if (renewed.error().kind() == ErrorKind::NotOwner) {
        this->dropOwnership("the lease has ended");
        co_return;
    }
    if (!std::exchange(this->isStoreUnreachable, true))
        logEvent(LogLevel::Warning, "placement lease not renewed; retrying",
                 {{"error", renewed.error().message()}});
    co_await this->change.wait(steadyNow() + retryDelay);
}

upstream::Awaitable<void> OwnerElection::campaign()
{
    if (!this->observedOwner) {
        const auto delay
                = this->settings.campaignDelay
                  + Duration(this->random.below(
                          static_cast<std::uint64_t>(this->settings.maxCampaignJitter.count())
                          + 1));
        co_await this->change.wait(steadyNow() + delay);
        if (!this->mayCampaign() || this->isResigned)
            co_return;
    }
    const std::optional<Fence> replacedFence
            = this->observedOwner ? std::optional<Fence>(this->observedOwner->fence) : std::nullopt;
    this->settings.self.nonce = this->random();
    const OwnerRecord ownRecord = this->settings.self;
    const Result<OwnershipGrant> grant = co_await this->port.acquire(
            ownRecord, this->settings.times.timeToLive, replacedFence);
    if (!grant) {
        if (grant.error().kind() != ErrorKind::KeyValueConflict)
            logEvent(LogLevel::Warning, "placement ownership not acquired; retrying",
                     {{"error", grant.error().message()}});
        co_await this->change.wait(steadyNow() + retryDelay);
        co_return;
    }
    const InstanceId &formerHolder = grant.value().formerHolder;
    const bool hadNoOtherHolder
            = formerHolder.isEmpty() || formerHolder == this->settings.self.instance;
    const TimePoint earliestOrder
            = hadNoOtherHolder
                      ? bootNow()
                      : earliestOrderTime(this->settings.times, this->settings.areEnginesFenced,
                                          bootNow(), this->lastHeard);
    this->lease.recordGrant(grant.value().fence, grant.value().sentAt, earliestOrder);
    this->leaseId = grant.value().lease;
    this->lastStoreContact = grant.value().sentAt;
    this->observedOwner = ObservedOwner{ownRecord, grant.value().fence};
    logEvent(LogLevel::Info, "placement ownership acquired",
             {{"fence", std::to_string(grant.value().fence.value())},
              {"former", formerHolder.value()}});
    if (this->onChange)
        this->onChange();
}

} // namespace bamboochute::residency
