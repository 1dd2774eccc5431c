/// @file
/// @brief Writes the claims of other instances together with one's own.
#pragma once

#include "admission/claim_batcher.hpp"

#include <map>
#include <vector>

namespace bamboochute::admission {

/// Names a transaction that was handed to a relay.
using RelayedTransactionNumber = Number<struct RelayedTransactionNumberTag>;

/// @brief The answer to a transaction that was handed to a relay.
struct RelayedAnswer
{
    RelayedTransactionNumber number;
    Result<platform::TransactionResponse> answer;
};

/// @brief Merges the transactions of several instances' ClaimBatchers into fewer.
///
/// Used at instances that claimWriters() names, when there are too many instances for each to write
/// its claims itself. The answer has the shape that the service would have given: a transaction of
/// which only some writes took effect is answered as failed, and shows what every key holds now, so
/// that its sender recognises its own writes as after a lost answer.
class ClaimRelay
{
public:
    /// @param transactionsPerSecond budget of this writer
    explicit ClaimRelay(double transactionsPerSecond);

    void setBudget(double transactionsPerSecond);

    /// @brief Takes a transaction from an instance.
    /// @return InvalidField when a ClaimBatcher can't have made it, KeyValueUnavailable when too
    /// many writes wait; nothing was sent then
    Result<RelayedTransactionNumber> offer(const platform::Transaction &transaction);

    /// @brief Transactions to send to the service now.
    std::vector<SubmitTransaction> poll(TimePoint now) { return this->batcher.poll(now); }

    /// @brief Takes the service's answer.
    /// @return the answers to the transactions that it completed
    std::vector<RelayedAnswer> handleAnswer(TransactionNumber transactionNumber,
                                            const Result<platform::TransactionResponse> &answer);

    /// @brief When poll() has something to do next.
    std::optional<TimePoint> nextPoll(TimePoint now) const { return this->batcher.nextPoll(now); }

private:
    struct Relayed
    {
        std::vector<platform::Put> puts;
        std::vector<std::optional<WriteResult>> results;
        /// Revisions of the store at which the writes took effect.
        std::vector<platform::StoreRevision> revisions;
        std::size_t open = 0;
    };

    /// Place of a write in a relayed transaction.
    struct Place
    {
        RelayedTransactionNumber number;
        std::size_t index = 0;
    };

    static Result<platform::TransactionResponse> answerOf(const Relayed &relayed);

    ClaimBatcher batcher;
    std::map<RelayedTransactionNumber, Relayed> relayed;
    std::map<WriteNumber, Place> places;
    RelayedTransactionNumber lastNumber;
};

} // namespace bamboochute::admission
