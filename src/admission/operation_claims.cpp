#include "admission/operation_claims.hpp"

#include "core/invariant.hpp"
#include "core/overloaded.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::admission {

namespace {

bool isReleased(const std::string &value)
{
    const Result<OperationRecord> record = decodeOperationRecord(value);
    return record && std::holds_alternative<Released>(record.value().state);
}

} // namespace

OperationClaims::OperationClaims(Claimant self, KnownGone knownGone, Metrics &metrics,
                                 double transactionsPerSecond, ClaimLimits limits)
    : self(std::move(self))
    , knownGone(std::move(knownGone))
    , metrics(metrics)
    , limits(limits)
    , batcher(transactionsPerSecond)
    , leases(limits.leases)
    , lastNumber(this->self.number)
{}

void OperationClaims::setBudget(double transactionsPerSecond)
{
    this->batcher.setBudget(transactionsPerSecond);
}

ClaimActions OperationClaims::claim(Ticket ticket, const ClaimRequest &request, TimePoint now)
{
    ClaimActions actions;
    std::optional<ClaimDecision> localDecision = this->decideLocally(request);
    if (localDecision) {
        countDecision(this->metrics, *localDecision);
        actions.emplace_back(DeliverDecision{ticket, *std::move(localDecision)});
        return actions;
    }
    this->lastNumber = this->lastNumber.next();
    Claim claim;
    claim.ticket = ticket;
    claim.request = request;
    claim.number = this->lastNumber;
    claim.decisionDeadline = std::min(request.deadline, now + this->limits.maxClaimWait);
    this->byTicket[ticket] = claim.number;
    this->byKey[request.key] = claim.number;
    Claim &stored = this->claims.emplace(claim.number, std::move(claim)).first->second;
    this->tickClaim(stored, now, actions);
    this->submitTransactions(now, actions);
    return actions;
}

ClaimActions OperationClaims::abandon(Ticket ticket, TimePoint now)
{
    ClaimActions actions;
    const auto found = this->byTicket.find(ticket);
    if (found == this->byTicket.end())
        return actions;
    Claim &claim = this->claims.at(found->second);
    if (claim.phase == Phase::NeedsLease || claim.phase == Phase::Claiming)
        this->releaseClaim(claim);
    this->submitTransactions(now, actions);
    return actions;
}

bool OperationClaims::mayDispatch(Ticket ticket, TimePoint now) const
{
    const auto found = this->byTicket.find(ticket);
    if (found == this->byTicket.end())
        return false;
    const Claim &claim = this->claims.at(found->second);
    const TimePoint end = std::min(claim.request.deadline, claim.lease.end);
    return claim.phase == Phase::Dispatched && now < end;
}

ClaimActions OperationClaims::settle(Ticket ticket, const Settlement &settlement, TimePoint now)
{
    ClaimActions actions;
    const auto found = this->byTicket.find(ticket);
    BC_INVARIANT(found != this->byTicket.end(), "an operation that is settled has a claim");
    Claim &claim = this->claims.at(found->second);
    BC_INVARIANT(claim.phase == Phase::Dispatched, "an operation that is settled was dispatched");
    this->byTicket.erase(found);
    claim.phase = Phase::Settling;
    claim.stateToRecord = recordedState(settlement);
    this->unwrittenBytes += outcomeBytes(claim.stateToRecord);
    this->addWrite(claim, true);
    this->submitTransactions(now, actions);
    return actions;
}

ClaimActions OperationClaims::handleAnswer(TransactionNumber transactionNumber,
                                           const Result<platform::TransactionResponse> &answer,
                                           TimePoint now)
{
    ClaimActions actions;
    for (const FinishedWrite &write : this->batcher.handleAnswer(transactionNumber, answer))
        this->handleFinishedWrite(write, now, actions);
    this->submitTransactions(now, actions);
    return actions;
}

ClaimActions OperationClaims::handleLeaseAnswer(std::chrono::seconds timeToLive,
                                                const Result<platform::LeaseId> &lease,
                                                TimePoint now)
{
    this->leases.handleAnswer(timeToLive, lease);
    return this->tick(now);
}

ClaimActions OperationClaims::tick(TimePoint now)
{
    ClaimActions actions;
    for (auto entry = this->claims.begin(); entry != this->claims.end();) {
        Claim &claim = entry->second;
        ++entry; // tickClaim() may erase the claim
        this->tickClaim(claim, now, actions);
    }
    this->submitTransactions(now, actions);
    return actions;
}

std::optional<TimePoint> OperationClaims::nextTick(TimePoint now) const
{
    std::optional<TimePoint> next = this->batcher.nextPoll(now);
    const auto consider = [&](TimePoint time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[number, claim] : this->claims) {
        if (claim.phase == Phase::NeedsLease)
            consider(now + this->limits.retryDelay);
        if (claim.phase == Phase::NeedsLease || claim.phase == Phase::Claiming)
            consider(claim.decisionDeadline);
        if (claim.retryAt != TimePoint())
            consider(claim.retryAt);
    }
    return next;
}

std::optional<ClaimDecision> OperationClaims::decideLocally(const ClaimRequest &request) const
{
    const auto found = this->byKey.find(request.key);
    if (found != this->byKey.end()) {
        const Claim &claim = this->claims.at(found->second);
        const bool isWithdrawn = std::holds_alternative<Released>(claim.stateToRecord);
        if (!isWithdrawn && claim.request.fingerprint != request.fingerprint)
            return Error(ErrorKind::OperationKeyReused,
                         "operation key is in use by a request with another method, path or body");
        return decisionForRepeat(claim.stateToRecord);
    }
    if (this->claims.size() >= this->limits.maxOpenClaims)
        return Error(
                ErrorKind::ClaimUnavailable,
                fmt::format("{} operations are claimed and not yet settled; at most {} are allowed",
                            this->claims.size(), this->limits.maxOpenClaims));
    if (this->unwrittenBytes >= this->limits.maxUnwrittenBytes)
        return Error(ErrorKind::ClaimUnavailable,
                     fmt::format("{} bytes of outcomes wait to be recorded; at most {} are allowed",
                                 this->unwrittenBytes, this->limits.maxUnwrittenBytes));
    return std::nullopt;
}

ClaimDecision OperationClaims::decideByRecord(const std::string &value,
                                              const ClaimRequest &request) const
{
    const Result<OperationRecord> decoded = decodeOperationRecord(value);
    if (!decoded)
        return decisionForRepeat(OutcomeUnknown{});
    const OperationRecord &record = decoded.value();
    if (record.fingerprint != request.fingerprint)
        return Error(ErrorKind::OperationKeyReused,
                     "operation key was used by a request with another method, path or body");
    const bool isClaimed = std::holds_alternative<Claimed>(record.state);
    if (isClaimed && this->isClaimantGone(record.claimant))
        return decisionForRepeat(OutcomeUnknown{});
    return decisionForRepeat(record.state);
}

bool OperationClaims::isClaimantGone(const Claimant &claimant) const
{
    if (claimant.instance != this->self.instance)
        return this->knownGone(claimant.instance, claimant.incarnation);
    const bool isErased = !this->claims.contains(claimant.number);
    return claimant.incarnation < this->self.incarnation || isErased;
}

bool OperationClaims::acquireLease(Claim &claim, TimePoint now, ClaimActions &actions)
{
    const std::chrono::seconds retention = claim.request.retention;
    if (const auto timeToLive = this->leases.requestIfDue(retention, now))
        actions.emplace_back(RequestLease{*timeToLive});
    const std::optional<ClaimLease> lease = this->leases.find(retention, now);
    claim.lease = lease.value_or(ClaimLease{});
    return lease.has_value();
}

void OperationClaims::addWrite(Claim &claim, bool isExpectedToHold)
{
    const std::string &key = claim.request.key;
    platform::Compare condition = platform::CompareModRevision{key, {}};
    if (claim.expectedValue)
        condition = platform::CompareValue{key, *claim.expectedValue};
    claim.isClaimWrite = claim.phase == Phase::Claiming;
    const OperationState state
            = claim.isClaimWrite ? OperationState(Claimed{}) : claim.stateToRecord;
    platform::Put put{key, this->encodedRecord(claim, state), claim.lease.id};
    claim.write = this->batcher.add({std::move(condition), std::move(put)}, isExpectedToHold);
    claim.retryAt = TimePoint();
    this->byWrite[claim.write] = claim.number;
}

void OperationClaims::scheduleRetry(Claim &claim, TimePoint now)
{
    claim.retryAt = now + this->limits.retryDelay;
}

void OperationClaims::handleFinishedWrite(const FinishedWrite &write, TimePoint now,
                                          ClaimActions &actions)
{
    const auto found = this->byWrite.find(write.number);
    BC_INVARIANT(found != this->byWrite.end(), "a finished write belongs to a claim");
    Claim &claim = this->claims.at(found->second);
    this->byWrite.erase(found);
    claim.write = WriteNumber();
    if (claim.phase == Phase::Claiming)
        this->handleClaimWrite(claim, write.result, now, actions);
    else
        this->handleSettlementWrite(claim, write.result, now);
}

void OperationClaims::handleClaimWrite(Claim &claim, const WriteResult &result, TimePoint now,
                                       ClaimActions &actions)
{
    std::visit(Overloaded{
                       [&](const Written &) { this->confirmClaim(claim, now, actions); },
                       [&](const ConditionFailed &conflict) {
                           this->handleClaimConflict(claim, conflict.found, now, actions);
                       },
                       [&](const WriteUnavailable &unavailable) {
                           claim.mayBeRecorded |= unavailable.mayHaveEffect;
                           this->scheduleRetry(claim, now);
                       },
               },
               result);
}

void OperationClaims::handleClaimConflict(Claim &claim,
                                          const std::optional<platform::KeyValue> &found,
                                          TimePoint now, ClaimActions &actions)
{
    if (found && found->value == this->encodedRecord(claim, Claimed{})) {
        this->confirmClaim(claim, now, actions);
        return;
    }
    if (!found || isReleased(found->value)) {
        claim.expectedValue = found ? std::optional(found->value) : std::nullopt;
        this->addWrite(claim, true);
        return;
    }
    this->deliverDecision(claim, this->decideByRecord(found->value, claim.request), actions);
    this->eraseClaim(claim.number);
}

void OperationClaims::confirmClaim(Claim &claim, TimePoint now, ClaimActions &actions)
{
    claim.mayBeRecorded = true;
    claim.expectedValue = this->encodedRecord(claim, Claimed{});
    if (now >= claim.decisionDeadline || now + claim.request.retention > claim.lease.end) {
        this->refuseClaim(claim, "the claim was confirmed too late; the operation was not run",
                          actions);
        return;
    }
    claim.phase = Phase::Dispatched;
    this->deliverDecision(claim, Dispatch{claim.lease.end}, actions);
}

void OperationClaims::handleSettlementWrite(Claim &claim, const WriteResult &result, TimePoint now)
{
    BC_INVARIANT(claim.phase == Phase::Settling, "only claims and settlements are written");
    if (std::holds_alternative<Written>(result) && !claim.isClaimWrite) {
        this->eraseClaim(claim.number);
    } else if (std::holds_alternative<Written>(result)) {
        claim.expectedValue = this->encodedRecord(claim, Claimed{});
        this->addWrite(claim, true);
    } else if (const auto *conflict = std::get_if<ConditionFailed>(&result)) {
        this->handleSettlementConflict(claim, conflict->found);
    } else {
        claim.mayBeRecorded |= std::get<WriteUnavailable>(result).mayHaveEffect;
        if (claim.mayBeRecorded)
            this->scheduleRetry(claim, now);
        else
            this->eraseClaim(claim.number);
    }
}

void OperationClaims::handleSettlementConflict(Claim &claim,
                                               const std::optional<platform::KeyValue> &found)
{
    const bool isWritten = found && found->value == this->encodedRecord(claim, claim.stateToRecord);
    const bool isOwnClaim = found && found->value == this->encodedRecord(claim, Claimed{});
    const bool isFree = !found || isReleased(found->value);
    if (isWritten || !(isOwnClaim || isFree)) {
        this->eraseClaim(claim.number);
        return;
    }
    claim.expectedValue = found ? std::optional(found->value) : std::nullopt;
    this->addWrite(claim, true);
}

void OperationClaims::deliverDecision(const Claim &claim, ClaimDecision decision,
                                      ClaimActions &actions)
{
    countDecision(this->metrics, decision);
    actions.emplace_back(DeliverDecision{claim.ticket, std::move(decision)});
}

void OperationClaims::refuseClaim(Claim &claim, std::string message, ClaimActions &actions)
{
    this->deliverDecision(claim, Error(ErrorKind::ClaimUnavailable, std::move(message)), actions);
    this->releaseClaim(claim);
}

void OperationClaims::releaseClaim(Claim &claim)
{
    BC_INVARIANT(claim.phase != Phase::Dispatched, "an operation that may run is not released");
    this->byTicket.erase(claim.ticket);
    claim.phase = Phase::Settling;
    claim.stateToRecord = Released{};
    if (claim.write != WriteNumber() && this->batcher.cancel(claim.write)) {
        this->byWrite.erase(claim.write);
        claim.write = WriteNumber();
    }
    if (claim.write != WriteNumber())
        return;
    if (claim.mayBeRecorded)
        this->addWrite(claim, true);
    else
        this->eraseClaim(claim.number);
}

void OperationClaims::eraseClaim(ClaimNumber number)
{
    const auto found = this->claims.find(number);
    const Claim &claim = found->second;
    BC_INVARIANT(claim.write == WriteNumber(), "a claim with a write in flight is not erased");
    this->unwrittenBytes -= outcomeBytes(claim.stateToRecord);
    this->byTicket.erase(claim.ticket);
    this->byKey.erase(claim.request.key);
    this->claims.erase(found);
}

void OperationClaims::tickClaim(Claim &claim, TimePoint now, ClaimActions &actions)
{
    const bool isWaiting = claim.phase == Phase::NeedsLease || claim.phase == Phase::Claiming;
    if (isWaiting && now >= claim.decisionDeadline) {
        this->refuseClaim(claim,
                          "the claim could not be recorded in time; the operation was not run",
                          actions);
        return;
    }
    if (claim.phase == Phase::NeedsLease && this->acquireLease(claim, now, actions)) {
        claim.phase = Phase::Claiming;
        this->addWrite(claim, false);
    }
    if (claim.retryAt == TimePoint() || now < claim.retryAt)
        return;
    const bool hasLeaseExpired = claim.phase == Phase::Settling && now >= claim.lease.end;
    if (hasLeaseExpired)
        this->eraseClaim(claim.number);
    else
        this->addWrite(claim, true);
}

void OperationClaims::submitTransactions(TimePoint now, ClaimActions &actions)
{
    for (SubmitTransaction &submission : this->batcher.poll(now))
        actions.emplace_back(std::move(submission));
}

std::string OperationClaims::encodedRecord(const Claim &claim, const OperationState &state) const
{
    const Claimant claimant{this->self.instance, this->self.incarnation, claim.number};
    return encode(OperationRecord{claimant, claim.request.fingerprint, state});
}

} // namespace bamboochute::admission
