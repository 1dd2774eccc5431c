/// @file
/// @brief Elects one owner of the placement by a lease in the platform's store.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/random.hpp"
#include "gateway/change_signal.hpp"
#include "residency/candidacy.hpp"
#include "residency/fence_succession.hpp"
#include "residency/lease.hpp"
#include "residency/owner_record.hpp"
#include "residency/ownership_consent.hpp"
#include "upstream/net.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

namespace bamboochute::residency {

/// @brief What an instance asks the store for to become the owner.
struct OwnershipRequest
{
    OwnerRecord self;
    Duration timeToLive{};
    /// Revision of the record that is replaced; unset if there is none.
    std::optional<std::uint64_t> replacedRevision;
    /// Highest fencing number that this instance knows of.
    UsedFence highestUsed;
    /// Nonce of this instance's last ownership if an engine refused an order of it for its fencing
    /// number; zero otherwise.
    std::uint64_t refusedNonce = 0;
    /// Whether the ownership may only follow the last owner that this instance knows of, because it
    /// has made sure that this one does not go on; another one is a conflict.
    bool isBoundToLastOwner = false;
    /// The last owner that this instance knows of.
    std::optional<OwnerRecord> lastOwner;

    /// @brief Whether the ownership may be taken after this last owner.
    bool mayFollow(const std::optional<ObservedOwner> &last) const
    {
        if (!this->isBoundToLastOwner)
            return true;
        if (!last || !this->lastOwner)
            return !last && !this->lastOwner;
        return last->record.nonce == this->lastOwner->nonce
               && (last->record.consenters == this->lastOwner->consenters
                   || !last->record.mayOutliveLease());
    }
};

/// @brief An ownership that was acquired.
struct OwnershipGrant
{
    /// The record that was written.
    OwnerRecord record;
    Fence fence;
    /// Revision of the record in the store.
    std::uint64_t revision = 0;
    /// Id of the lease in the store.
    std::uint64_t lease = 0;
    /// When the lease was requested.
    TimePoint sentAt{};
    /// Instance that was the owner before; empty when there was none.
    InstanceId formerHolder;
    /// The store may have forgotten the former owner: it has come back from a copy since that one's
    /// record was written.
    bool isFirstOfEra = false;
};

/// @brief Prepares an ownership that is not written to the store yet: its record with the lowest
/// fencing number, and what the record of the last owner tells.
/// @param last record of the last owner, which has no lease; unset if the store has none
/// @param era present era of the store; zero if it names none
OwnershipGrant prepareGrant(const OwnershipRequest &request,
                            const std::optional<ObservedOwner> &last, std::uint64_t era);

/// @brief Calls to the store that the election uses.
struct OwnershipPort
{
    template<typename T>
    using Awaitable = upstream::Awaitable<T>;

    /// Acquires the ownership: writes the record if there is none, or if the present one has the
    /// revision that is to be replaced. Fails with KeyValueConflict when another instance is the
    /// owner.
    std::function<Awaitable<Result<OwnershipGrant>>(OwnershipRequest request)> acquire;
    /// Renews the lease. Fails with NotOwner when the lease has ended.
    std::function<Awaitable<Result<bool>>(std::uint64_t lease)> renew;
    /// Ends the lease, so that another instance can become the owner at once.
    std::function<Awaitable<void>(std::uint64_t lease)> release;
    /// Writes to the last owner's record, if it has this nonce, whose consent the owner needs to
    /// outlive its lease. Succeeds with false when another ownership has followed.
    std::function<Awaitable<Result<bool>>(std::uint64_t nonce, std::vector<InstanceId> consenters)>
            recordConsenters;
};

/// @brief Settings of the election.
struct ElectionSettings
{
    OwnerRecord self;
    LeaseTimes times;
    /// Whether engines refuse orders with a lower fencing number than they have seen; then an owner
    /// that can't reach the store may keep sending orders. Else it needs the consent of the others.
    bool areEnginesFenced = true;
    /// Pause between two rounds of questions for consent.
    Duration consentInterval = std::chrono::milliseconds(300);
    /// Minimum time between two updates of the instances in the owner's record.
    Duration consentersInterval = std::chrono::seconds(5);
    /// Time with the ownership after which all instances have reported, so that all are asked.
    Duration consentDelay = std::chrono::seconds(2);
    /// See ConsentSettings::finalTime.
    Duration finalConsentTime = ConsentSettings().finalTime;
    /// How long it does so after the last successful call to the store.
    Duration maxTimeWithoutStore = std::chrono::seconds(30);
    /// Delay before this instance tries to become the owner when there is none; shorter at
    /// instances with more capacity.
    Duration campaignDelay{};
    /// Maximum random delay that is added.
    Duration maxCampaignJitter = std::chrono::milliseconds(250);
    /// Additional delay, soon after the start of this process, for the last owner: if it was
    /// restarted as well, it need not wait for the orders of anybody else.
    Duration lastOwnerHeadStart = std::chrono::milliseconds(300);
    /// Time from the start of this process for which it is given.
    Duration headStartTime = std::chrono::seconds(5);
    std::uint64_t seed = 1;
};

/// @brief Tries to become the owner while there is none, and keeps the ownership; used on the
/// loop's thread only.
class OwnerElection
{
public:
    OwnerElection(boost::asio::io_context &loop, ElectionSettings settings, OwnershipPort port);

    /// @brief Starts to take part in the election.
    void start();

    /// @brief Leaves the election for good; gives up the ownership if this instance has it.
    void resign();

    /// @brief Sets whether this instance may own the placement: not while it can't reach any
    /// engine.
    void setEligible(bool isAble);

    /// @brief Handles the owner's record as read from the store.
    /// @param owner nothing when there is no record
    void handleOwnerRecord(std::optional<ObservedOwner> owner);

    /// @brief Handles the record of the last owner, which has no lease, as read from the store.
    /// @param record nothing when there is no record
    void handleLastOwner(std::optional<OwnerRecord> record);

    /// @brief Records that an instance reported to this one, so that its consent is needed.
    void recordMember(const InstanceId &instance, const Endpoint &endpoint);

    /// @brief Answers an owner's question whether this instance leaves it the ownership.
    ///
    /// If it does, it does not campaign for the time to live of a lease. It does not unless the
    /// store does not answer it either, or while it may become the owner itself.
    /// @param storeSilence time since the store last answered this instance, if its last call to
    /// the store failed
    ConsentAnswer answerConsentQuery(const ConsentQuery &query,
                                     std::optional<Duration> storeSilence);

    /// @brief Handles another instance's answer to a question for its consent.
    void handleConsentAnswer(const ConsentAnswer &answer);

    /// @brief Asks other instances for their consent; set before start().
    std::function<void(const std::vector<Endpoint> &to, const ConsentQuery &query)> askForConsent;

    /// @brief Sends a notice to the last owner; set before start().
    std::function<void(const Endpoint &to, const CandidateNotice &notice)> sendNotice;

    /// @brief Handles the notice of an instance that may become the owner: this one needs its
    /// consent from now on to go on without the store.
    /// @return the answer; nothing if the instance can't be remembered
    std::optional<CandidateAnswer> answerNotice(const CandidateNotice &notice,
                                                const Endpoint &from);

    /// @brief Handles the last owner's answer to a notice.
    void handleNoticeAnswer(const CandidateAnswer &answer);

    /// @brief Address of the owner before this one; unset if none is known.
    const std::optional<Endpoint> &predecessor() const noexcept
    {
        return this->predecessorEndpoint;
    }

    /// @brief Handles a message of an owner, which may therefore act for a while yet.
    /// @param fence fencing number in the message
    void handleOwnerMessage(Fence fence);

    /// @brief Handles that the store came back from a copy: no lease of before is valid any more.
    /// @param era the store's new era
    void handleStoreEra(std::uint64_t era);

    /// @brief Gives up the ownership because an engine has seen a higher fencing number.
    void handleFencedOrder();

    /// @brief Whether this instance may send orders to engines now.
    bool maySendOrders() const;

    /// @brief Whether this instance is the owner, even if it may not send orders yet.
    bool isOwner() const;

    /// @brief Fencing number of this instance's ownership; zero when it has none.
    Fence fence() const noexcept { return this->lease.fence(); }

    /// @brief The owner that was last observed, which may be this instance; nothing when none is
    /// known.
    const std::optional<ObservedOwner> &owner() const noexcept { return this->observedOwner; }

    /// @brief Called when the observed owner changes, and when this instance acquires or loses the
    /// ownership.
    std::function<void()> onChange;

private:
    upstream::Awaitable<void> run();
    upstream::Awaitable<void> renew();
    upstream::Awaitable<void> campaign();
    upstream::Awaitable<void> giveUp(std::string_view reason);
    upstream::Awaitable<void> seekConsent();
    upstream::Awaitable<void> sendNotices();
    bool mayActWithoutStore() const;
    bool mayCampaign() const;
    bool isVacant() const;
    bool isCleared() const;
    upstream::Awaitable<void> updateConsenters();
    upstream::Awaitable<void> recordConsenters(std::vector<InstanceId> instances);
    bool isOwnRecord() const;
    bool wasLastOwner() const;
    Duration campaignDelay();
    Duration idleTime() const;
    TimePoint computeEarliestOrder(bool hadNoOtherHolder, const Candidacy &former) const;
    void logConsent();
    void logWait();
    void recordUsedFence(Fence fence);
    void dropOwnership(std::string_view reason);

    boost::asio::io_context &loop;
    ElectionSettings settings;
    OwnershipPort port;
    gateway::ChangeSignal change;
    /// Never notified.
    gateway::ChangeSignal consentTimer;
    gateway::ChangeSignal noticeTimer;
    Random random;
    Candidacy candidacy;
    Lease lease;
    std::uint64_t leaseId = 0;
    std::optional<ObservedOwner> observedOwner;
    bool isRecordKnown = false;
    std::uint64_t storeEra = 0;
    /// Whether this instance was the owner when the store's era began.
    bool wasOwnerAtEraBegin = false;
    UsedFence highestUsed;
    std::uint64_t refusedNonce = 0;
    bool isStoreUnreachable = false;
    /// When the store was noticed not to answer.
    TimePoint storeLostAt{};
    /// Whose consent this owner needs by its record in the store, and when that was last written.
    std::vector<InstanceId> consenters;
    TimePoint consentersWrittenAt{};
    /// Whether the record may name others, because the outcome of a call is not known.
    bool areConsentersUncertain = false;
    OwnershipConsent consent;
    /// Whether the last check found the consent of all instances.
    bool wasConsentValid = false;
    /// Instances that had consented while they were shutting down, at the last log line.
    std::size_t loggedFinalCount = 0;
    /// Until when this instance leaves the ownership to another one.
    TimePoint consentedUntil{};
    /// Whether a call for the ownership is under way.
    bool isAcquiring = false;
    std::optional<Endpoint> predecessorEndpoint;
    /// Whether the log says that this instance waits for the last owner's answer.
    bool isWaitLogged = false;
    TimePoint startedAt{};
    TimePoint grantedAt{};
    bool isResigned = false;
    bool isEligible = true;
    TimePoint lastStoreContact{};
    /// When the last message of another owner came, or when this instance began to listen.
    TimePoint lastHeard{};
};

} // namespace bamboochute::residency
