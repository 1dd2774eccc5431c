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

/// @brief Action: give the decision to the request with this ticket.
struct DeliverDecision
{
    Ticket ticket;
    ClaimDecision decision;
};

/// @brief Action: request a lease; its answer goes to OperationClaims::handleLeaseAnswer() with the
/// same time to live.
struct RequestLease
{
    std::chrono::seconds timeToLive{};
    auto operator<=>(const RequestLease &) const = default;
};

/// @brief What the user of OperationClaims has to do.
using ClaimAction = std::variant<SubmitTransaction, RequestLease, DeliverDecision>;
using ClaimActions = std::vector<ClaimAction>;

/// @brief Whether a process is known to have ended.
using KnownGone = std::function<bool(const InstanceId &, Incarnation)>;

/// @brief Bounds of the claims of one process.
struct ClaimLimits
{
    /// Claims that are undecided, dispatched, or whose settlement is not yet written.
    std::size_t maxOpenClaims = 4096;
    /// Bytes of the outcomes that are not yet written.
    std::size_t maxUnwrittenBytes = 16 << 20;
    /// Longest time that a request waits for its claim.
    Duration maxClaimWait = std::chrono::seconds(2);
    /// Delay before a write is retried after the key-value service was unavailable.
    Duration retryDelay = std::chrono::milliseconds(250);
    LeaseLimits leases{};
    auto operator<=>(const ClaimLimits &) const = default;
};

/// @brief Claims of one process, as a state machine without I/O.
///
/// A claim is a record in the key-value service that is created only if the key has no record. A
/// process dispatches an operation only after the write of its own record was confirmed. No other
/// process replaces the record, unless its claimant wrote that it did not and will not dispatch the
/// operation. A pause of the claimant, however long, is therefore harmless: no other process runs
/// the operation meanwhile.
/// @note Used by the control thread only; traffic threads pass their requests to that thread.
class OperationClaims
{
public:
    /// @param self instance and incarnation of this process, and the last claim number that it used
    /// @param knownGone whether a claimant is known to have ended
    /// @param metrics where decisions are counted
    /// @param transactionsPerSecond sustained rate of claim transactions that this instance may
    /// send
    /// @param limits bounds of the claims
    OperationClaims(Claimant self, KnownGone knownGone, Metrics &metrics,
                    double transactionsPerSecond, ClaimLimits limits = {});

    /// @brief Changes the sustained rate of transactions, after the number of instances has
    /// changed.
    void setBudget(double transactionsPerSecond);

    /// @brief Claims an operation for a request; the decision is an action of this call or a later
    /// one.
    /// @param ticket identifies the request in DeliverDecision, settle() and abandon(); unique in
    /// the process
    ClaimActions claim(Ticket ticket, const ClaimRequest &request, TimePoint now);

    /// @brief Withdraws an undecided request, such as one whose caller disconnected; no decision
    /// follows.
    ClaimActions abandon(Ticket ticket, TimePoint now);

    /// @brief Whether a request that got Dispatch may still be dispatched.
    /// @note Call it right before the first byte is written: after the request's deadline or the
    /// end of the claim's lease it must not be dispatched.
    bool mayDispatch(Ticket ticket, TimePoint now) const;

    /// @brief Records the result of a request that got Dispatch; each of them needs this call,
    /// once.
    ClaimActions settle(Ticket ticket, const Settlement &settlement, TimePoint now);

    /// @brief Processes the answer to a transaction.
    ClaimActions handleAnswer(TransactionNumber transactionNumber,
                              const Result<platform::TransactionResponse> &answer, TimePoint now);

    /// @brief Processes the answer to a lease request.
    ClaimActions handleLeaseAnswer(std::chrono::seconds timeToLive,
                                   const Result<platform::LeaseId> &lease, TimePoint now);

    /// @brief Performs the work that is due: refuses requests that waited too long, and retries
    /// writes.
    ClaimActions tick(TimePoint now);

    /// @brief Next time at which tick() has work to do; nothing when it has none.
    std::optional<TimePoint> nextTick(TimePoint now) const;

    /// @brief Number of claims that are undecided, dispatched, or whose settlement is not yet
    /// written.
    std::size_t openClaims() const noexcept { return this->claims.size(); }

    /// @brief Number of transactions sent so far.
    std::uint64_t sentTransactions() const noexcept { return this->batcher.sentTransactions(); }

private:
    enum class Phase {
        /// Waits for a lease.
        NeedsLease,
        /// The claim is being written, and the request waits.
        Claiming,
        /// The request got the decision Dispatch.
        Dispatched,
        /// The settlement is being written.
        Settling
    };

    struct Claim
    {
        Ticket ticket;
        ClaimRequest request;
        ClaimNumber number;
        Phase phase = Phase::NeedsLease;
        /// Time at which the request is refused if it is still undecided.
        TimePoint decisionDeadline;
        ClaimLease lease;
        /// State that is to be written in the phase Settling.
        OperationState stateToRecord = Claimed{};
        /// Value that the next write expects at the key; nothing when the key should not exist.
        std::optional<std::string> expectedValue;
        /// Write that is queued or in flight; zero when there is none.
        WriteNumber write;
        /// Whether the latest write is the claim itself, not its settlement.
        bool isClaimWrite = false;
        /// Whether the claim may be recorded, or may still get recorded by a write whose answer was
        /// lost.
        bool mayBeRecorded = false;
        /// Time of the next retry of a write; zero when none is scheduled.
        TimePoint retryAt{};
    };

    std::optional<ClaimDecision> decideLocally(const ClaimRequest &request) const;
    ClaimDecision decideByRecord(const std::string &value, const ClaimRequest &request) const;
    bool isClaimantGone(const Claimant &claimant) const;

    bool acquireLease(Claim &claim, TimePoint now, ClaimActions &actions);
    void addWrite(Claim &claim, bool isExpectedToHold);
    void scheduleRetry(Claim &claim, TimePoint now);
    void handleFinishedWrite(const FinishedWrite &write, TimePoint now, ClaimActions &actions);
    void handleClaimWrite(Claim &claim, const WriteResult &result, TimePoint now,
                          ClaimActions &actions);
    void handleClaimConflict(Claim &claim, const std::optional<platform::KeyValue> &found,
                             TimePoint now, ClaimActions &actions);
    void confirmClaim(Claim &claim, TimePoint now, ClaimActions &actions);
    void handleSettlementWrite(Claim &claim, const WriteResult &result, TimePoint now);
    void handleSettlementConflict(Claim &claim, const std::optional<platform::KeyValue> &found);
    void deliverDecision(const Claim &claim, ClaimDecision decision, ClaimActions &actions);
    void refuseClaim(Claim &claim, std::string message, ClaimActions &actions);
    void releaseClaim(Claim &claim);
    void eraseClaim(ClaimNumber number);
    void tickClaim(Claim &claim, TimePoint now, ClaimActions &actions);
    void submitTransactions(TimePoint now, ClaimActions &actions);
    std::string encodedRecord(const Claim &claim, const OperationState &state) const;

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
