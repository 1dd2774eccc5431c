/// @file
/// @brief Runs each operation with an operation key at most once.
#pragma once

#include "admission/claim_batcher.hpp"
#include "admission/claim_decision.hpp"
#include "admission/claim_leases.hpp"
#include "admission/request_queue.hpp"
#include "core/metrics.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace bamboochute::admission {

/// Answer header that tells how many seconds the operation key is remembered.
constexpr std::string_view operationExpiresHeader = "Operation-Key-Expires-In";
/// Answer header that marks the outcome of an earlier request with the same operation key.
constexpr std::string_view operationReplayedHeader = "Operation-Key-Replayed";

/// @brief A request that must be claimed before it is dispatched.
struct ClaimRequest
{
    /// From claimKey().
    std::string key;
    /// From requestFingerprint().
    std::string fingerprint;
    TimePoint deadline;
    /// How long the key is remembered.
    std::chrono::seconds retention{7200};
    auto operator<=>(const ClaimRequest &) const = default;
};

/// @brief Tells the decision on a request.
struct DeliverDecision
{
    Ticket ticket;
    ClaimDecision decision;
};

/// @brief Asks for a lease; its answer goes to leaseGranted() with the same time to live.
struct RequestLease
{
    std::chrono::seconds timeToLive{};
    auto operator<=>(const RequestLease &) const = default;
};

using ClaimAction = std::variant<SubmitTransaction, RequestLease, DeliverDecision>;
using ClaimActions = std::vector<ClaimAction>;

/// @brief Whether a process is known to have ended.
using KnownGone = std::function<bool(const InstanceId &, Incarnation)>;

/// @brief Bounds of the claims of one process.
struct ClaimLimits
{
    /// Claims that are undecided, dispatched or not yet settled in the service.
    std::size_t maxOpen = 4096;
    /// Outcomes that wait to be written, in bytes.
    std::size_t maxUnwrittenBytes = 16 << 20;
    /// Longest time that a request waits for its claim.
    Duration patience = std::chrono::seconds(2);
    /// Delay before a write goes out again after the service was out.
    Duration retryDelay = std::chrono::milliseconds(250);
    LeaseLimits leases{};
    auto operator<=>(const ClaimLimits &) const = default;
};

/// @brief The claims of one process, as a state machine without I/O.
///
/// A claim is a record that is created only if no record exists. Only the process that got the
/// confirmation of its own record dispatches, and a record is never taken from its claimant unless
/// the claimant itself wrote that it did not and will not dispatch. So a pause of any length is
/// harmless: nobody else runs the operation meanwhile.
/// @note Belongs to the control thread; a traffic thread hands it the requests.
class OperationClaims
{
public:
    /// @param self instance and incarnation of this process; its claim number is the last one used
    /// @param knownGone whether a claimant is known to have ended
    /// @param transactionsPerSecond budget of this instance for claims
    OperationClaims(Claimant self, KnownGone knownGone, Metrics &metrics,
                    double transactionsPerSecond, ClaimLimits limits = {});

    /// @brief Sets the budget after the number of instances has changed.
    void setBudget(double transactionsPerSecond);

    /// @brief Asks to run an operation; the decision comes as an action, now or later.
    /// @param ticket names the request in Decide, settle() and abandon(); unique in the process
    ClaimActions claim(Ticket ticket, const ClaimRequest &request, TimePoint now);

    /// @brief Tells that the caller of an undecided request has gone; no decision follows.
    ClaimActions abandon(Ticket ticket, TimePoint now);

    /// @brief Whether a request that got Dispatch may still be dispatched.
    /// @note Call it right before the first byte is written; a claim that outlived its lease may
    /// not.
    bool mayDispatch(Ticket ticket, TimePoint now) const;

    /// @brief Tells what became of a request that got Dispatch; every one needs this call.
    ClaimActions settle(Ticket ticket, const Settlement &settlement, TimePoint now);

    /// @brief Takes the answer of a transaction.
    ClaimActions handleAnswer(TransactionNumber transactionNumber,
                              const Result<platform::TransactionResponse> &answer, TimePoint now);

    /// @brief Takes the answer of a lease request.
    ClaimActions handleLeaseAnswer(std::chrono::seconds timeToLive,
                                   const Result<platform::LeaseId> &lease, TimePoint now);

    /// @brief Does what is due: refusals of requests that waited too long, writes that were held
    /// back.
    ClaimActions tick(TimePoint now);

    /// @brief When tick() has something to do next.
    std::optional<TimePoint> nextTick(TimePoint now) const;

    /// @brief Claims that are undecided, dispatched or not yet settled in the service.
    std::size_t openClaims() const noexcept { return this->claims.size(); }

    /// @brief Transactions sent so far.
    std::uint64_t sentTransactions() const noexcept { return this->batcher.sentTransactions(); }

private:
    enum class Phase {
        /// Waits for a lease.
        NeedsLease,
        /// The claim is being written, and the request waits.
        Claiming,
        /// The request was told to dispatch.
        Dispatched,
        /// What became of it is being written.
        Settling
    };

    struct Claim
    {
        Ticket ticket;
        ClaimRequest request;
        ClaimNumber number;
        Phase phase = Phase::NeedsLease;
        TimePoint giveUpAt;
        ClaimLease lease;
        /// State that is to be written in the phase Settling.
        OperationState wanted = Claimed{};
        /// Value that the key is believed to hold; nothing when it does not exist.
        std::optional<std::string> believed;
        /// Write under way, or zero.
        WriteNumber write;
        /// Whether the write under way is the claim itself.
        bool isClaimWrite = false;
        /// Whether the claim may be recorded, or may still be by a write that was lost.
        bool mayBeRecorded = false;
        /// When a write goes out that was held back; zero when none was.
        TimePoint retryAt{};
    };

    std::optional<ClaimDecision> decideLocally(const ClaimRequest &request) const;
    ClaimDecision decideByRecord(const std::string &value, const ClaimRequest &request) const;
    bool isGone(const Claimant &claimant) const;

    bool takeLease(Claim &claim, TimePoint now, ClaimActions &actions);
    void send(Claim &claim, bool isExpectedToHold);
    void sendLater(Claim &claim, TimePoint now);
    void finished(const FinishedWrite &write, TimePoint now, ClaimActions &actions);
    void claimFinished(Claim &claim, const WriteResult &result, TimePoint now,
                       ClaimActions &actions);
    void claimConflict(Claim &claim, const std::optional<platform::KeyValue> &found, TimePoint now,
                       ClaimActions &actions);
    void confirm(Claim &claim, TimePoint now, ClaimActions &actions);
    void settleFinished(Claim &claim, const WriteResult &result, TimePoint now);
    void settleConflict(Claim &claim, const std::optional<platform::KeyValue> &found);
    void decide(const Claim &claim, ClaimDecision decision, ClaimActions &actions);
    void refuse(Claim &claim, std::string message, ClaimActions &actions);
    void release(Claim &claim);
    void forget(ClaimNumber number);
    void tickClaim(Claim &claim, TimePoint now, ClaimActions &actions);
    void poll(TimePoint now, ClaimActions &actions);
    std::string valueOf(const Claim &claim, const OperationState &state) const;

    Claimant self;
    KnownGone knownGone;
    Metrics &metrics;
    ClaimLimits limits;
    ClaimBatcher batcher;
    std::map<ClaimNumber, Claim> claims;
    std::unordered_map<Ticket, ClaimNumber> byTicket;
    std::unordered_map<std::string, ClaimNumber> byKey;
    std::unordered_map<WriteNumber, ClaimNumber> byWrite;
    ClaimLeases leases;
    std::size_t unwrittenBytes = 0;
    ClaimNumber lastNumber;
};

} // namespace bamboochute::admission
