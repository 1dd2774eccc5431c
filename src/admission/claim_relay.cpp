#include "admission/claim_relay.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::admission {

namespace {

/// Writes that may wait or be under way.
constexpr std::size_t maxOpenWrites = 8192;
constexpr std::string_view claimPrefix = "claims/";

const std::string &keyOf(const platform::Compare &condition)
{
    return std::visit([](const auto &each) -> const std::string & { return each.key; }, condition);
}

bool isClaimWrite(const platform::Compare &condition, const platform::Operation &operation)
{
    const auto *put = std::get_if<platform::Put>(&operation);
    return put != nullptr && put->key == keyOf(condition) && put->key.starts_with(claimPrefix)
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
    const bool isFull = this->places.size() + count > maxOpenWrites;
    if (isFull)
        return Error(ErrorKind::KeyValueUnavailable,
                     fmt::format("{} writes of claims wait; at most {} are allowed",
                                 this->places.size(), maxOpenWrites));
    bool isWellFormed = count > 0 && count == transaction.success.size()
                        && count <= platform::maxTransactionOperations;
    for (std::size_t i = 0; isWellFormed && i < count; ++i)
        isWellFormed = isClaimWrite(transaction.conditions[i], transaction.success[i]);
    if (!isWellFormed)
        return Error(ErrorKind::InvalidField, "transaction is not a group of claims", "success");
    this->lastNumber = this->lastNumber.next();
    Relayed &relayed = this->relayed[this->lastNumber];
    relayed.open = count;
    relayed.results.resize(count);
    relayed.revisions.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        relayed.puts.push_back(std::get<platform::Put>(transaction.success[i]));
        const WriteNumber write
                = this->batcher.add({transaction.conditions[i], relayed.puts[i]}, false);
        this->places[write] = Place{this->lastNumber, i};
    }
    return this->lastNumber;
}

std::vector<RelayedAnswer>
ClaimRelay::handleAnswer(TransactionNumber transactionNumber,
                         const Result<platform::TransactionResponse> &answer)
{
    std::vector<RelayedAnswer> complete;
    for (const FinishedWrite &write : this->batcher.handleAnswer(transactionNumber, answer)) {
        const auto place = this->places.find(write.number);
        const RelayedTransactionNumber number = place->second.number;
        Relayed &relayed = this->relayed.at(number);
        relayed.results[place->second.index] = write.result;
        if (answer)
            relayed.revisions[place->second.index] = answer.value().revision;
        this->places.erase(place);
        if (--relayed.open > 0)
            continue;
        complete.push_back({number, answerOf(relayed)});
        this->relayed.erase(number);
    }
    return complete;
}

Result<platform::TransactionResponse> ClaimRelay::answerOf(const Relayed &relayed)
{
    platform::TransactionResponse response;
    response.succeeded = true;
    std::size_t withoutEffect = 0;
    bool isUnknown = false;
    for (std::size_t i = 0; i < relayed.results.size(); ++i) {
        const WriteResult &result = *relayed.results[i];
        const platform::Put &put = relayed.puts[i];
        std::vector<platform::KeyValue> &found = response.found.emplace_back();
        if (const auto *unavailable = std::get_if<WriteUnavailable>(&result)) {
            isUnknown = true;
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
        return Error(ErrorKind::KeyValueUnavailable, "key-value service is out");
    if (isUnknown)
        return Error(ErrorKind::KeyValueOutcomeUnknown, "some of the writes may have no effect");
    return response;
}

} // namespace bamboochute::admission
