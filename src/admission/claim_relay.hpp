/// @file
/// @brief Batches the claims of several instances at one instance that writes them.
#pragma once

#include "admission/claim_batcher.hpp"

#include <map>
#include <vector>

namespace bamboochute::admission {

/// Identifies a transaction that was offered to a relay.
using RelayedTransactionNumber = Number<struct RelayedTransactionNumberTag>;

/// @brief Answer to a transaction that was offered to a relay.
struct RelayedAnswer
{
    RelayedTransactionNumber number;
    Result<platform::TransactionResponse> answer;
};

/// @brief Merges the transactions of the ClaimBatchers of several instances into fewer
/// transactions.
///
/// Used on the instances that chooseClaimWriters() returns, when there are too many instances for
/// each to write its own claims. An answer has the form of the key-value service's answers: a
/// transaction of which only some writes took effect is answered as failed, with the current value
/// of every key. Its sender recognises its own writes by their values, as it does after a lost
/// answer.
class ClaimRelay
{
public:
    /// @param transactionsPerSecond sustained rate of transactions that this instance may send
    explicit ClaimRelay(double transactionsPerSecond);

    /// @brief Changes the sustained rate of transactions.
    void setBudget(double transactionsPerSecond);

    /// @brief Accepts a transaction of an instance.
    /// @return its number; InvalidField when a ClaimBatcher can't have made it, KeyValueUnavailable
    /// when too many writes are unfinished; after an error nothing is sent
    Result<RelayedTransactionNumber> offer(const platform::Transaction &transaction);

    /// @brief Takes the transactions that may be sent to the key-value service now.
    std::vector<SubmitTransaction> poll(TimePoint now) { return this->batcher.poll(now); }

    /// @brief Processes an answer of the key-value service.
    /// @param transactionNumber from SubmitTransaction
    /// @param answer as for ClaimBatcher::handleAnswer()
    /// @return answers to the offered transactions whose writes are all finished now
    std::vector<RelayedAnswer> handleAnswer(TransactionNumber transactionNumber,
                                            const Result<platform::TransactionResponse> &answer);

    /// @brief Next time at which poll() can send a transaction; see ClaimBatcher::nextPoll().
    std::optional<TimePoint> nextPoll(TimePoint now) const { return this->batcher.nextPoll(now); }

private:
    /// A transaction that was offered and is not yet answered.
    struct RelayedTransaction
    {
        std::vector<platform::Put> puts;
        std::vector<std::optional<WriteResult>> results;
        /// Revisions of the store at which the writes took effect.
        std::vector<platform::StoreRevision> revisions;
        std::size_t unfinishedWrites = 0;
    };

    /// Index of a write in the transaction that was offered with it.
    struct WritePlace
    {
        RelayedTransactionNumber number;
        std::size_t index = 0;
    };

    static Result<platform::TransactionResponse> combinedAnswer(const RelayedTransaction &relayed);

    ClaimBatcher batcher;
    std::map<RelayedTransactionNumber, RelayedTransaction> relayed;
    std::map<WriteNumber, WritePlace> writePlaces;
    RelayedTransactionNumber lastNumber;
};

} // namespace bamboochute::admission
