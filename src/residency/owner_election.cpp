#include "residency/owner_election.hpp"

#include "core/log.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::residency {

namespace {

/// Pause after a call that failed.
constexpr Duration retryPause = std::chrono::milliseconds(250);
/// How long the election sleeps when it has nothing to do.
constexpr Duration idlePause = std::chrono::seconds(10);

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
    this->lastSign = bootNow();
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
}

void OwnerElection::resign()
{
    this->isResigned = true;
    this->change.notifyAll();
}

void OwnerElection::handleOwnerRecord(std::optional<ObservedOwner> owner)
{
    const bool isChange = this->seen != owner || !this->isRecordKnown;
    this->isRecordKnown = true;
    this->seen = std::move(owner);
    const bool isOther = this->seen && this->seen->record.nonce != this->settings.self.nonce;
    if (this->lease.isClaimed() && isOther && this->seen->fence > this->lease.fence())
        this->lose("another owner was seen");
    if (!isChange)
        return;
    this->change.notifyAll();
    if (this->onChange)
        this->onChange();
}

void OwnerElection::ownerHeard(Fence fence)
{
    if (fence != this->lease.fence())
        this->lastSign = bootNow();
}

void OwnerElection::fenced()
{
    if (this->lease.isClaimed())
        this->lose("an engine knows a higher fencing number");
}

bool OwnerElection::mayOrder() const
{
    const TimePoint now = bootNow();
    if (this->lease.mayOrder(now))
        return true;
    return this->settings.areEnginesFenced && this->isUnreachable && this->lease.isClaimed()
           && now < this->lastContact + this->settings.maxSilence;
}

bool OwnerElection::isOwner() const
{
    return this->lease.isHeld(bootNow()) || this->mayOrder();
}

void OwnerElection::lose(std::string_view reason)
{
    logEvent(LogLevel::Warning, "placement ownership lost",
             {{"reason", std::string(reason)},
              {"fence", std::to_string(this->lease.fence().value())}});
    this->lease.lost();
    this->isUnreachable = false;
    if (this->onChange)
        this->onChange();
}

/// Whether the place is empty, or held by an earlier process of this instance.
bool OwnerElection::maySeize() const
{
    if (!this->isRecordKnown || this->lease.isClaimed())
        return false;
    return !this->seen
           || (this->seen->record.instance == this->settings.self.instance
               && this->seen->record.nonce != this->settings.self.nonce);
}

upstream::Awaitable<void> OwnerElection::run()
{
    while (!this->isResigned) {
        if (this->lease.isClaimed())
            co_await this->renew();
        else if (this->maySeize())
            co_await this->stand();
        else
            co_await this->change.wait(steadyNow() + idlePause);
    }
    if (this->lease.isClaimed()) {
        const std::uint64_t id = this->leaseId;
        this->lose("this instance stops");
        co_await this->port.release(id);
    }
}

upstream::Awaitable<void> OwnerElection::renew()
{
    const auto pause = std::chrono::duration_cast<Duration>(this->settings.times.timeToLive
                                                            * this->settings.times.renewShare);
    if (!this->lease.isRenewalDue(bootNow())) {
        co_await this->change.wait(steadyNow() + pause / 2);
        co_return;
    }
    const TimePoint sentAt = bootNow();
    const Result<bool> renewed = co_await this->port.renew(this->leaseId);
    if (!this->lease.isClaimed())
        co_return;
    if (renewed) {
        this->lease.renewed(sentAt);
        this->lastContact = sentAt;
        this->isUnreachable = false;
        co_return;
    }
    if (renewed.error().kind() == ErrorKind::NotOwner) {
        this->lose("the lease has ended");
        co_return;
    }
    if (!std::exchange(this->isUnreachable, true))
        logEvent(LogLevel::Warning, "lease not renewed", {{"error", renewed.error().message()}});
    co_await this->change.wait(steadyNow() + retryPause);
}

upstream::Awaitable<void> OwnerElection::stand()
{
    if (!this->seen) {
        const auto delay
                = this->settings.campaignDelay
                  + Duration(this->random.below(
                          static_cast<std::uint64_t>(this->settings.maxStagger.count()) + 1));
        co_await this->change.wait(steadyNow() + delay);
        if (!this->maySeize() || this->isResigned)
            co_return;
    }
    const std::optional<Fence> replaces
            = this->seen ? std::optional<Fence>(this->seen->fence) : std::nullopt;
    this->settings.self.nonce = this->random();
    const OwnerRecord mine = this->settings.self;
    const Result<OwnershipGrant> grant
            = co_await this->port.acquire(mine, this->settings.times.timeToLive, replaces);
    if (!grant) {
        if (grant.error().kind() != ErrorKind::KeyValueConflict)
            logEvent(LogLevel::Warning, "placement ownership not taken",
                     {{"error", grant.error().message()}});
        co_await this->change.wait(steadyNow() + retryPause);
        co_return;
    }
    const InstanceId &former = grant.value().formerHolder;
    const bool isFirst = former.isEmpty() || former == this->settings.self.instance;
    const TimePoint orderFrom
            = isFirst ? bootNow()
                      : firstOrderAt(this->settings.times, this->settings.areEnginesFenced,
                                     bootNow(), this->lastSign);
    this->lease.granted(grant.value().fence, grant.value().sentAt, orderFrom);
    this->leaseId = grant.value().lease;
    this->lastContact = grant.value().sentAt;
    this->seen = ObservedOwner{mine, grant.value().fence};
    logEvent(LogLevel::Info, "placement ownership taken",
             {{"fence", std::to_string(grant.value().fence.value())}, {"former", former.value()}});
    if (this->onChange)
        this->onChange();
}

} // namespace bamboochute::residency
