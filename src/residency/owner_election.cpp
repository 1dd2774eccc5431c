#include "residency/owner_election.hpp"

#include "core/log.hpp"
#include "gateway/log_fields.hpp"

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

CandidacySettings makeCandidacySettings(const ElectionSettings &settings, std::uint64_t process)
{
    CandidacySettings candidacy;
    candidacy.self = settings.self.instance;
    candidacy.process = process;
    candidacy.startedAt = bootNow();
    candidacy.finalConsentTime = settings.finalConsentTime;
    candidacy.retryInterval = settings.consentInterval;
    candidacy.maxTimeWithoutStore = settings.maxTimeWithoutStore;
    return candidacy;
}

} // namespace

OwnershipGrant prepareGrant(const OwnershipRequest &request,
                            const std::optional<ObservedOwner> &last, std::uint64_t era)
{
    OwnershipGrant grant;
    grant.record = request.self;
    grant.record.storeEra = era;
    std::vector<UsedFence> used{request.highestUsed};
    bool isRefused = false;
    if (last) {
        const std::uint64_t lastEra = last->record.storeEra;
        used.push_back({last->fence, lastEra});
        grant.formerHolder = last->record.instance;
        grant.isFirstOfEra = lastEra != 0 && lastEra != era;
        // Whoever used the number that an engine knows has left no record.
        isRefused = request.refusedNonce != 0 && last->record.nonce == request.refusedNonce;
    } else {
        grant.isFirstOfEra = request.highestUsed.fence != Fence();
    }
    const Fence lowest = lowestSuccessor(used, era);
    grant.record.minFence = isRefused ? Fence(lowest.value() + fenceStepPerEra) : lowest;
    return grant;
}

OwnerElection::OwnerElection(boost::asio::io_context &loop, ElectionSettings settings,
                             OwnershipPort port)
    : loop(loop)
    , settings(std::move(settings))
    , port(std::move(port))
    , change(loop)
    , consentTimer(loop)
    , noticeTimer(loop)
    , random(this->settings.seed)
    , candidacy(makeCandidacySettings(this->settings, this->random()))
    , lease(this->settings.times)
    , consent({this->settings.times.timeToLive, this->settings.times.validShare,
               this->settings.finalConsentTime})
    , startedAt(bootNow())
{
    this->settings.self.answersCandidates = !this->settings.areEnginesFenced;
    this->consent.setForgetting(this->settings.areEnginesFenced);
}

void OwnerElection::start()
{
    this->lastHeard = bootNow();
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
    if (this->settings.areEnginesFenced)
        return;
    boost::asio::co_spawn(this->loop, this->seekConsent(), boost::asio::detached);
    if (this->sendNotice)
        boost::asio::co_spawn(this->loop, this->sendNotices(), boost::asio::detached);
}

void OwnerElection::resign()
{
    this->isResigned = true;
    this->change.notifyAll();
    this->noticeTimer.notifyAll();
}

void OwnerElection::setEligible(bool isAble)
{
    if (std::exchange(this->isEligible, isAble) == isAble)
        return;
    this->change.notifyAll();
}

void OwnerElection::handleOwnerRecord(std::optional<ObservedOwner> owner)
{
    const bool hasChanged = this->observedOwner != owner || !this->isRecordKnown;
    this->isRecordKnown = true;
    this->observedOwner = std::move(owner);
    this->candidacy.recordOwnerPresence(this->observedOwner.has_value(), bootNow());
    if (this->observedOwner)
        this->recordUsedFence(this->observedOwner->fence);
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

void OwnerElection::handleLastOwner(std::optional<OwnerRecord> record)
{
    this->candidacy.recordLastOwner(std::move(record), bootNow());
    this->noticeTimer.notifyAll();
    this->change.notifyAll();
}

void OwnerElection::handleOwnerMessage(Fence fence)
{
    this->recordUsedFence(fence);
    if (fence != this->lease.fence())
        this->lastHeard = bootNow();
}

void OwnerElection::recordUsedFence(Fence fence)
{
    if (fence > this->highestUsed.fence)
        this->highestUsed = {fence, this->storeEra};
}

void OwnerElection::handleStoreEra(std::uint64_t era)
{
    this->storeEra = era;
    this->wasOwnerAtEraBegin = this->lease.isGranted();
    if (this->lease.isGranted())
        this->dropOwnership("the store came back from a copy");
    this->observedOwner.reset();
    this->isRecordKnown = false;
    this->change.notifyAll();
}

void OwnerElection::handleFencedOrder()
{
    if (!this->lease.isGranted())
        return;
    this->refusedNonce = this->settings.self.nonce;
    this->dropOwnership("an engine knows a higher fencing number");
}

bool OwnerElection::maySendOrders() const
{
    const TimePoint now = bootNow();
    return this->lease.maySendOrders(now) || this->mayActWithoutStore();
}

/// Whether this instance may go on as the owner although its lease may have ended: no other one can
/// order meanwhile, or its orders would be refused. The highest fencing number that it knows of is
/// its own unless another one has followed it.
bool OwnerElection::mayActWithoutStore() const
{
    const TimePoint now = bootNow();
    return this->isStoreUnreachable && this->lease.isGranted() && this->lease.isPauseOver(now)
           && now < this->lastStoreContact + this->settings.maxTimeWithoutStore
           && (this->settings.areEnginesFenced
               || (!this->consenters.empty() && this->highestUsed.fence <= this->lease.fence()
                   && this->consent.isValid(now)));
}

void OwnerElection::recordMember(const InstanceId &instance, const Endpoint &endpoint)
{
    if (instance != this->settings.self.instance)
        this->consent.recordMember(instance, endpoint, bootNow());
}

ConsentAnswer OwnerElection::answerConsentQuery(const ConsentQuery &query,
                                                std::optional<Duration> storeSilence)
{
    const TimePoint now = bootNow();
    const bool isReplaced = query.fence < this->highestUsed.fence;
    const bool hasStore = !storeSilence || *storeSilence < query.storeLostFor;
    ConsentAnswer answer{this->settings.self.instance, query.fence, query.round};
    answer.isFinal = this->isResigned;
    answer.isGranted
            = this->isResigned
              || (!isReplaced && !hasStore && !this->lease.isGranted() && !this->isAcquiring);
    if (answer.isGranted)
        this->consentedUntil
                = std::max(this->consentedUntil, now + this->settings.times.timeToLive);
    return answer;
}

std::optional<CandidateAnswer> OwnerElection::answerNotice(const CandidateNotice &notice,
                                                           const Endpoint &from)
{
    const bool isKnown
            = this->consent.recordCandidate(notice.sender, from, notice.process, bootNow());
    this->logConsent();
    if (!isKnown)
        return std::nullopt;
    return CandidateAnswer{notice.process, notice.ownership, this->lease.isGranted()};
}

void OwnerElection::handleNoticeAnswer(const CandidateAnswer &answer)
{
    const bool wasCleared = this->isCleared();
    if (!this->candidacy.recordAnswer(answer, bootNow()))
        return;
    this->noticeTimer.notifyAll();
    if (wasCleared)
        return;
    logEvent(LogLevel::Info, "last owner knows of this candidate",
             {{"last_owner", this->candidacy.lastOwner()->instance.value()},
              {"was_owner", answer.isOwner ? "yes" : "no"}});
    this->change.notifyAll();
}

/// Tells the last owner of this process, which may take the ownership after it.
upstream::Awaitable<void> OwnerElection::sendNotices()
{
    while (!this->isResigned) {
        const TimePoint now = bootNow();
        const TimePoint due = this->candidacy.nextNoticeAt();
        if (due > now) {
            co_await this->noticeTimer.wait(steadyNow() + std::min(due - now, idleInterval));
            continue;
        }
        const CandidateNotice notice = this->candidacy.makeNotice(now);
        this->sendNotice(this->candidacy.lastOwner()->endpoint, notice);
    }
}

/// Whether no owner goes on beside this instance if it takes the ownership.
bool OwnerElection::isCleared() const
{
    return this->settings.areEnginesFenced || this->candidacy.isCleared(bootNow());
}

/// Keeps the owner's record in line with the instances that it has heard of lately. One that the
/// record names is not forgotten before the record is changed: a process of it may rely on that.
upstream::Awaitable<void> OwnerElection::updateConsenters()
{
    const TimePoint now = bootNow();
    std::vector<InstanceId> members = this->consent.recentMembers(now);
    const bool isDue = this->consenters.empty()
                       || now >= this->consentersWrittenAt + this->settings.consentersInterval;
    if (isDue && (members != this->consenters || this->areConsentersUncertain)) {
        this->consentersWrittenAt = now;
        co_await this->recordConsenters(members);
    }
    if (this->consenters == members && !this->areConsentersUncertain)
        this->consent.forgetSilent(now);
}

/// Writes to the store whose consent this instance needs to go on after its lease has ended, so
/// that a process that starts meanwhile knows whether to ask it first.
upstream::Awaitable<void> OwnerElection::recordConsenters(std::vector<InstanceId> instances)
{
    const std::uint64_t nonce = this->settings.self.nonce;
    this->areConsentersUncertain = true;
    const Result<bool> isWritten = co_await this->port.recordConsenters(nonce, instances);
    if (!isWritten)
        logEvent(LogLevel::Warning, "last owner's record not updated",
                 {{"may_outlive_lease", instances.empty() ? "no" : "yes"},
                  {"error", isWritten.error().message()}});
    std::optional<OwnerRecord> last = this->candidacy.lastOwner();
    if (!isWritten || !isWritten.value() || !last || last->nonce != nonce)
        co_return;
    last->consenters = instances;
    this->candidacy.recordLastOwner(std::move(last), bootNow());
    if (!this->lease.isGranted() || nonce != this->settings.self.nonce)
        co_return;
    this->consenters = std::move(instances);
    this->areConsentersUncertain = false;
}

void OwnerElection::handleConsentAnswer(const ConsentAnswer &answer)
{
    if (!this->lease.isGranted())
        return;
    this->consent.recordAnswer(answer, this->lease.fence());
    this->logConsent();
}

/// Asks all other instances for their consent while the store does not answer.
upstream::Awaitable<void> OwnerElection::seekConsent()
{
    while (!this->isResigned) {
        co_await this->consentTimer.wait(steadyNow() + this->settings.consentInterval);
        const TimePoint now = bootNow();
        if (!this->lease.isGranted() || !this->askForConsent
            || this->lastStoreContact < this->grantedAt + this->settings.consentDelay)
            continue;
        if (!this->isStoreUnreachable)
            co_await this->updateConsenters();
        if (!this->isStoreUnreachable || this->consenters.empty())
            continue;
        this->logConsent();
        this->askForConsent(
                this->consent.members(),
                this->consent.beginRound(this->lease.fence(), now - this->storeLostAt, now));
    }
}

/// Logs when all other instances have consented, when that is no longer so, and how many of them
/// have left the election.
void OwnerElection::logConsent()
{
    const bool isValid = this->isStoreUnreachable && this->consent.isValid(bootNow());
    const std::size_t finalCount = isValid ? this->consent.finalCount() : 0;
    const bool hasChanged = std::exchange(this->wasConsentValid, isValid) != isValid;
    if (std::exchange(this->loggedFinalCount, finalCount) == finalCount && !hasChanged)
        return;
    logEvent(LogLevel::Info,
             isValid ? "placement continues without the store"
                     : "placement no longer continues without the store",
             {{"fence", std::to_string(this->lease.fence().value())},
              {"instances", std::to_string(this->consent.members().size())},
              {"left_the_election", std::to_string(finalCount)}});
    this->change.notifyAll();
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
    this->consenters.clear();
    this->consent.discardAnswers();
    this->wasConsentValid = false;
    this->loggedFinalCount = 0;
    if (this->onChange)
        this->onChange();
}

/// Whether the owner's record is of this instance, which doesn't have the ownership any more.
bool OwnerElection::isOwnRecord() const
{
    return this->observedOwner
           && this->observedOwner->record.instance == this->settings.self.instance;
}

/// Whether this instance was the last owner, before it was restarted or lost the ownership.
bool OwnerElection::wasLastOwner() const
{
    const std::optional<OwnerRecord> &last = this->candidacy.lastOwner();
    return last && last->instance == this->settings.self.instance;
}

/// Whether there is no owner, or one whose record is of this instance, or one that can't order
/// because a higher fencing number was used.
bool OwnerElection::mayCampaign() const
{
    return this->isVacant() && bootNow() >= this->consentedUntil && this->isCleared();
}

/// Whether the ownership can be taken from what this instance knows of the store.
bool OwnerElection::isVacant() const
{
    if (!this->isRecordKnown || this->lease.isGranted() || !this->isEligible)
        return false;
    return !this->observedOwner || this->isOwnRecord()
           || this->observedOwner->fence < this->highestUsed.fence;
}

upstream::Awaitable<void> OwnerElection::run()
{
    while (!this->isResigned) {
        if (this->lease.isGranted() && !this->isEligible)
            co_await this->giveUp("this instance can't reach the upstreams");
        else if (this->lease.isGranted())
            co_await this->renew();
        else if (this->mayCampaign())
            co_await this->campaign();
        else {
            this->logWait();
            co_await this->change.wait(steadyNow() + this->idleTime());
        }
    }
    if (this->lease.isGranted())
        co_await this->giveUp("this instance is shutting down");
}

/// Time until this instance may campaign although nothing has changed.
Duration OwnerElection::idleTime() const
{
    const TimePoint now = bootNow();
    TimePoint end = now + idleInterval;
    for (const TimePoint time : {this->consentedUntil, this->candidacy.clearedAt().value_or(end)}) {
        if (time > now)
            end = std::min(end, time);
    }
    return end - now;
}

/// Logs once when only the answer of the last owner is missing for a campaign.
void OwnerElection::logWait()
{
    const bool isWaiting = this->isVacant() && !this->isCleared();
    if (std::exchange(this->isWaitLogged, isWaiting) == isWaiting || !isWaiting)
        return;
    logEvent(LogLevel::Info, "candidate waits for the last owner",
             {{"last_owner", this->candidacy.lastOwner()->instance.value()},
              {"endpoint", this->candidacy.lastOwner()->endpoint.address}});
}

upstream::Awaitable<void> OwnerElection::giveUp(std::string_view reason)
{
    const std::uint64_t id = this->leaseId;
    const bool hasConsenters = !this->consenters.empty() || this->areConsentersUncertain;
    this->dropOwnership(reason);
    // A successor counts its pause as if the lease had lapsed, which is so much later than the last
    // order.
    if (!this->settings.areEnginesFenced)
        co_await this->consentTimer.wait(steadyNow()
                                         + timeInvalidBeforeExpiry(this->settings.times));
    if (hasConsenters)
        co_await this->recordConsenters({});
    co_await this->port.release(id);
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
    if (!std::exchange(this->isStoreUnreachable, true)) {
        this->storeLostAt = bootNow();
        logEvent(LogLevel::Warning, "placement lease not renewed; retrying",
                 {{"error", renewed.error().message()}});
    }
    co_await this->change.wait(steadyNow() + retryDelay);
}

/// Delay before a campaign, so that instances with more capacity and the last owner come first.
Duration OwnerElection::campaignDelay()
{
    const auto jitter = static_cast<std::uint64_t>(this->settings.maxCampaignJitter.count());
    Duration delay = this->settings.campaignDelay + Duration(this->random.below(jitter + 1));
    if (this->candidacy.lastOwner() && bootNow() < this->startedAt + this->settings.headStartTime)
        delay += this->settings.lastOwnerHeadStart;
    return delay;
}

/// Earliest order of an ownership that was just acquired.
TimePoint OwnerElection::computeEarliestOrder(bool hadNoOtherHolder, const Candidacy &former) const
{
    const TimePoint now = bootNow();
    if (hadNoOtherHolder)
        return now;
    const LeaseTimes &times = this->settings.times;
    if (this->settings.areEnginesFenced)
        return earliestOrderTime(times, true, now, this->lastHeard);
    // The process that this one replaced may have left the ownership to the former holder.
    const TimePoint free
            = former.isAnswered() ? now : std::max(now, this->startedAt + times.timeToLive);
    // A holder that goes on without the store does so until it learns of this process.
    const std::optional<TimePoint> &noticedAt = former.noticedByOwnerAt();
    return std::max(earliestOrderTime(times, false, free, this->lastHeard),
                    noticedAt ? *noticedAt + times.handoverPause : now);
}

upstream::Awaitable<void> OwnerElection::campaign()
{
    if (!this->isOwnRecord() && !this->wasLastOwner()) {
        co_await this->change.wait(steadyNow() + this->campaignDelay());
        if (!this->mayCampaign() || this->isResigned)
            co_return;
    }
    OwnershipRequest request;
    if (this->observedOwner)
        request.replacedRevision = this->observedOwner->revision;
    this->settings.self.nonce = this->random();
    request.self = this->settings.self;
    request.timeToLive = this->settings.times.timeToLive;
    request.highestUsed = this->highestUsed;
    request.refusedNonce = this->refusedNonce;
    request.isBoundToLastOwner = !this->settings.areEnginesFenced;
    request.lastOwner = this->candidacy.lastOwner();
    const std::uint64_t era = this->storeEra;
    // The new record may be read from the store before the answer to the call.
    const Candidacy former = this->candidacy;
    this->isAcquiring = true;
    const Result<OwnershipGrant> grant = co_await this->port.acquire(std::move(request));
    this->isAcquiring = false;
    // A lease of a former era is not valid; a record that was written with it is replaced.
    if (grant && era != this->storeEra)
        co_return;
    if (!grant) {
        if (grant.error().kind() != ErrorKind::KeyValueConflict)
            logEvent(LogLevel::Warning, "placement ownership not acquired; retrying",
                     {{"error", grant.error().message()}});
        co_await this->change.wait(steadyNow() + retryDelay);
        co_return;
    }
    const InstanceId &formerHolder = grant.value().formerHolder;
    const bool hadNoOtherHolder
            = (formerHolder.isEmpty() || formerHolder == this->settings.self.instance)
              && (!grant.value().isFirstOfEra || this->wasOwnerAtEraBegin);
    const TimePoint earliestOrder = this->computeEarliestOrder(hadNoOtherHolder, former);
    this->lease.recordGrant(grant.value().fence, grant.value().sentAt, earliestOrder);
    this->grantedAt = bootNow();
    this->consenters.clear();
    this->areConsentersUncertain = false;
    this->consent.discardAnswers();
    this->leaseId = grant.value().lease;
    this->lastStoreContact = grant.value().sentAt;
    this->predecessorEndpoint.reset();
    if (former.lastOwner() && former.lastOwner()->instance != this->settings.self.instance)
        this->predecessorEndpoint = former.lastOwner()->endpoint;
    this->candidacy.recordOwnerPresence(true, bootNow());
    this->candidacy.recordLastOwner(grant.value().record, bootNow());
    this->observedOwner
            = ObservedOwner{grant.value().record, grant.value().fence, grant.value().revision};
    this->recordUsedFence(grant.value().fence);
    this->refusedNonce = 0;
    this->wasOwnerAtEraBegin = false;
    const Duration pause = std::max(Duration(0), earliestOrder - bootNow());
    logEvent(LogLevel::Info, "placement ownership acquired",
             {{"fence", std::to_string(grant.value().fence.value())},
              {"former", formerHolder.value()},
              {"orders_in_ms", gateway::formatMilliseconds(pause)}});
    if (this->onChange)
        this->onChange();
}

} // namespace bamboochute::residency
