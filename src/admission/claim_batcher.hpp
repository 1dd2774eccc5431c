/// @file
/// @brief Groups conditional writes of single keys into few transactions.
#pragma once

#include "platform/key_value.hpp"

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace bamboochute::admission {

/// Identifies a write within one ClaimBatcher.
using WriteNumber = Number<struct WriteNumberTag>;
/// Identifies a transaction within one ClaimBatcher.
using TransactionNumber = Number<struct TransactionNumberTag>;

/// @brief A write of one key that takes effect only if the condition holds.
struct ConditionalWrite
{
    platform::Compare condition;
    platform::Put put;
    auto operator<=>(const ConditionalWrite &) const = default;
};

/// @brief The write took effect.
struct Written
{
    auto operator<=>(const Written &) const = default;
};

/// @brief The condition did not hold.
struct ConditionFailed
{
    /// What the key holds instead; nothing when it does not exist.
    std::optional<platform::KeyValue> found;
    auto operator<=>(const ConditionFailed &) const = default;
};

/// @brief The key-value service was not reached, or its answer was lost.
struct WriteUnavailable
{
    /// Whether the write may have taken effect.
    bool mayHaveEffect = false;
    auto operator<=>(const WriteUnavailable &) const = default;
};

using WriteResult = std::variant<Written, ConditionFailed, WriteUnavailable>;

/// @brief Result of a write that needs no further transaction.
struct FinishedWrite
{
    WriteNumber number;
    WriteResult result;
    auto operator<=>(const FinishedWrite &) const = default;
};

/// @brief A transaction to send; its answer goes to ClaimBatcher::handleAnswer() with the same
/// number.
struct SubmitTransaction
{
    TransactionNumber number;
    platform::Transaction transaction;
    auto operator<=>(const SubmitTransaction &) const = default;
};

/// @brief Bounds of a ClaimBatcher.
struct BatcherLimits
{
    std::size_t maxWrites = platform::maxTransactionOperations;
    /// Bytes of all keys and values of one transaction.
    std::size_t maxBytes = 512 << 10;
    /// Transactions that are sent and not yet answered.
    std::size_t maxInFlight = 4;
    /// Capacity of the token bucket: transactions that may be sent at once after an idle period.
    double burst = 4.0;
    auto operator<=>(const BatcherLimits &) const = default;
};

/// @brief Batches writes under a rate limit: writes that arrive while no transaction may be sent
/// share the next one.
///
/// A transaction whose conditions don't all hold reads all its keys instead. Writes whose own
/// condition failed finish with ConditionFailed. The others are sent again, in another transaction
/// than writes that were not tried yet, so that one conflict costs the other writes of its batch at
/// most one more transaction.
class ClaimBatcher
{
public:
    /// @param transactionsPerSecond sustained rate of transactions that this instance may send
    /// @param limits bounds of the batches and of the rate limiter
    explicit ClaimBatcher(double transactionsPerSecond, BatcherLimits limits = {});

    /// @brief Changes the sustained rate of transactions.
    void setBudget(double transactionsPerSecond);

    /// @brief Queues a write.
    /// @param write whose condition names the key that is put
    /// @param isExpectedToHold whether the condition is known to have held a moment ago; such
    /// writes don't share a transaction with the others
    /// @return number of the write, as in FinishedWrite
    WriteNumber add(ConditionalWrite write, bool isExpectedToHold);

    /// @brief Removes a write that has not been sent.
    /// @return false when it is in flight or finished
    bool cancel(WriteNumber number);

    /// @brief Takes the transactions that may be sent now.
    std::vector<SubmitTransaction> poll(TimePoint now);

    /// @brief Processes the answer to a transaction; a second answer to it is ignored.
    /// @param transactionNumber from SubmitTransaction
    /// @param answer response of the service; after KeyValueUnavailable the writes had no effect,
    /// after any other error they may have had one
    /// @return the writes that are finished; poll() sends the others again
    std::vector<FinishedWrite> handleAnswer(TransactionNumber transactionNumber,
                                            const Result<platform::TransactionResponse> &answer);

    /// @brief Next time at which poll() can send a transaction.
    /// @return nothing when no write is queued, or when too many transactions are in flight
    std::optional<TimePoint> nextPoll(TimePoint now) const;

    /// @brief Number of writes that are queued or in flight.
    std::size_t size() const noexcept;

    /// @brief Number of transactions sent so far.
    std::uint64_t sentTransactions() const noexcept { return this->lastTransactionNumber.value(); }

private:
    struct PendingWrite
    {
        WriteNumber number;
        ConditionalWrite write;
    };
    using WriteQueue = std::deque<PendingWrite>;

    void refillTokens(TimePoint now);
    WriteQueue &chooseQueue();
    std::vector<PendingWrite> selectBatch(WriteQueue &queue) const;
    SubmitTransaction submitBatch(std::vector<PendingWrite> batch);
    std::vector<FinishedWrite> separateConflicts(std::vector<PendingWrite> batch,
                                                 const platform::TransactionResponse &response);
    bool hasQueuedWrites() const noexcept;

    BatcherLimits limits;
    double rate;
    double tokens;
    TimePoint refilledAt{};
    /// Writes whose condition may fail.
    WriteQueue uncertain;
    /// Writes whose condition is known to have held a moment ago.
    WriteQueue expectedToHold;
    bool wasExpectedToHoldLast = false;
    std::map<TransactionNumber, std::vector<PendingWrite>> inFlight;
    WriteNumber lastWriteNumber;
    TransactionNumber lastTransactionNumber;
};

} // namespace bamboochute::admission
