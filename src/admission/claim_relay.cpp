#include "admission/claim_relay.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::admission {

namespace {

/// Writes that may be queued or in flight.
constexpr std::size_t maxUnfinishedWrites = 8192;
constexpr std::string_view claimPrefix = "claims/";

const std::string &comparedKey(const platform::Compare &condition)
{
    return std::visit([](const auto &each) -> const std::string & { return each.key; }, condition);
}

bool isClaimWrite(const platform::Compare &condition, const platform::Operation &operation)
{
    const auto *put = std::get_if<platform::Put>(&operation);
    return put != nullptr && put->key == comparedKey(condition) && put->key.starts_with(claimPrefix)
           && put->value.size() <= platform::maxValueBytes;
}

} // namespace

ClaimRelay::ClaimRelay(double transactionsPerSecond)
    : batcher(transactionsPerSecond)
{}

void ClaimRelay::setBudget(double transactionsPerSecond)
{
    this->batcher.setBudget(transactionsPerSecond);
}

Result<RelayedTransactionNumber> ClaimRelay::offer(const platform::Transaction &transaction)
{
    const std::size_t count = transaction.conditions.size();
    const bool isFull = this->writePlaces.size() + count > maxUnfinishedWrites;
    if (isFull)
        return Error(ErrorKind::KeyValueUnavailable,
                     fmt::format("{} claim writes are queued or in flight; at most {} are allowed",
                                 this->writePlaces.size(), maxUnfinishedWrites));
    bool isWellFormed = count > 0 && count == transaction.success.size()
                        && count <= platform::maxTransactionOperations;
    for (std::size_t i = 0; isWellFormed && i < count; ++i)
        isWellFormed = isClaimWrite(transaction.conditions[i], transaction.success[i]);
    if (!isWellFormed)
        return Error(ErrorKind::InvalidField,
                     "transaction is not a list of conditional claim writes", "success");
    this->lastNumber = this->lastNumber.next();
    RelayedTransaction &relayed = this->relayed[this->lastNumber];
    relayed.unfinishedWrites = count;
    relayed.results.resize(count);
    relayed.revisions.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        relayed.puts.push_back(std::get<platform::Put>(transaction.success[i]));
        const WriteNumber write
                = this->batcher.add({transaction.conditions[i], relayed.puts[i]}, false);
        this->writePlaces[write] = WritePlace{this->lastNumber, i};
    }
    return this->lastNumber;
}

std::vector<RelayedAnswer>
ClaimRelay::handleAnswer(TransactionNumber transactionNumber,
                         const Result<platform::TransactionResponse> &answer)
{
    std::vector<RelayedAnswer> complete;
    for (const FinishedWrite &write : this->batcher.handleAnswer(transactionNumber, answer)) {
        const auto place = this->writePlaces.find(write.number);
        const RelayedTransactionNumber number = place->second.number;
        RelayedTransaction &relayed = this->relayed.at(number);
        relayed.results[place->second.index] = write.result;
        if (answer)
            relayed.revisions[place->second.index] = answer.value().revision;
        this->writePlaces.erase(place);
        if (--relayed.unfinishedWrites > 0)
            continue;
        complete.push_back({number, combinedAnswer(relayed)});
        this->relayed.erase(number);
    }
    return complete;
}

Result<platform::TransactionResponse> ClaimRelay::combinedAnswer(const RelayedTransaction &relayed)
{
    platform::TransactionResponse response;
    response.succeeded = true;
    std::size_t withoutEffect = 0;
    bool isOutcomeUnknown = false;
    for (std::size_t i = 0; i < relayed.results.size(); ++i) {
        const WriteResult &result = *relayed.results[i];
        const platform::Put &put = relayed.puts[i];
        std::vector<platform::KeyValue> &found = response.found.emplace_back();
        if (const auto *unavailable = std::get_if<WriteUnavailable>(&result)) {
            isOutcomeUnknown = true;
            withoutEffect += unavailable->mayHaveEffect ? 0 : 1;
        } else if (const auto *conflict = std::get_if<ConditionFailed>(&result)) {
            response.succeeded = false;
            if (conflict->found)
                found.push_back(*conflict->found);
        } else {
            const platform::StoreRevision revision = relayed.revisions[i];
            found.push_back({put.key, put.value, revision, revision, 1, put.lease});
        }
    }
    if (withoutEffect == relayed.results.size())
        return Error(ErrorKind::KeyValueUnavailable,
                     "key-value service is unavailable; no write took effect");
    if (isOutcomeUnknown)
        return Error(ErrorKind::KeyValueOutcomeUnknown,
                     "some of the writes may not have taken effect");
    return response;
}

} // namespace bamboochute::admission
