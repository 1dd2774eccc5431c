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

using WriteNumber = Number<struct WriteNumberTag>;
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

/// @brief The key-value service could not be reached.
struct WriteUnavailable
{
    /// Whether the write may have taken effect.
    bool mayHaveEffect = false;
    auto operator<=>(const WriteUnavailable &) const = default;
};

using WriteResult = std::variant<Written, ConditionFailed, WriteUnavailable>;

struct FinishedWrite
{
    WriteNumber number;
    WriteResult result;
    auto operator<=>(const FinishedWrite &) const = default;
};

/// @brief Asks for a transaction; its answer goes to the batcher with the same tag.
struct SubmitTransaction
{
    TransactionNumber number;
    platform::Transaction transaction;
    auto operator<=>(const SubmitTransaction &) const = default;
};

struct BatcherLimits
{
    std::size_t maxWrites = platform::maxTransactionOperations;
    /// Keys and values of one transaction together.
    std::size_t maxBytes = 512 << 10;
    std::size_t maxInFlight = 4;
    /// Transactions that may go out at once after a pause.
    double burst = 4.0;
    auto operator<=>(const BatcherLimits &) const = default;
};

/// @brief Collects writes while the budget is used up, and sends them together.
///
/// A transaction whose conditions don't all hold reads every key that it names. The answers tell
/// which writes are in conflict; these finish, and the others go out again, apart from writes that
/// were not tried yet, so that one conflict costs its neighbours at most one more transaction.
class ClaimBatcher
{
public:
    /// @param transactionsPerSecond budget of this instance
    explicit ClaimBatcher(double transactionsPerSecond, BatcherLimits limits = {});

    void setBudget(double transactionsPerSecond);

    /// @brief Adds a write.
    /// @param isExpectedToHold whether the condition is known to have held a moment ago
    WriteNumber add(ConditionalWrite write, bool isExpectedToHold);

    /// @brief Takes back a write that has not been sent.
    /// @return false when it is under way or finished
    bool cancel(WriteNumber number);

    /// @brief Transactions to send now.
    std::vector<SubmitTransaction> poll(TimePoint now);

    /// @brief Takes the answer of a transaction.
    /// @return the writes that it finished; others go out again by poll()
    std::vector<FinishedWrite> handleAnswer(TransactionNumber transactionNumber,
                                            const Result<platform::TransactionResponse> &answer);

    /// @brief When poll() has something to do next; nothing when it waits for answers only.
    std::optional<TimePoint> nextPoll(TimePoint now) const;

    /// @brief Writes that are waiting or under way.
    std::size_t size() const noexcept;

    /// @brief Transactions sent so far.
    std::uint64_t sentTransactions() const noexcept { return this->lastTag.value(); }

private:
    struct Pending
    {
        WriteNumber number;
        ConditionalWrite write;
    };
    using Lane = std::deque<Pending>;

    void refill(TimePoint now);
    Lane &nextLane();
    std::vector<Pending> takeBatch(Lane &lane) const;
    SubmitTransaction submit(std::vector<Pending> batch);
    std::vector<FinishedWrite> split(std::vector<Pending> batch,
                                     const platform::TransactionResponse &response);
    bool hasWaiting() const noexcept;

    BatcherLimits limits;
    double rate;
    double tokens;
    TimePoint refilledAt{};
    Lane untried;
    Lane likely;
    bool wasLikelyLast = false;
    std::map<TransactionNumber, std::vector<Pending>> inFlight;
    WriteNumber lastNumber;
    TransactionNumber lastTag;
};

} // namespace bamboochute::admission
