#include "admin/part_collection.hpp"

#include "admin/store_reads.hpp"

#include <algorithm>
#include <string_view>

namespace bamboochute::admin {

namespace {

/// Parts are read in sixteen calls, one for each first digit of their hashes.
constexpr std::string_view hashDigits = "0123456789abcdef";

platform::StoreRevision modRevisionOf(const std::vector<platform::KeyValue> &found)
{
    return found.empty() ? platform::StoreRevision() : found.front().modRevision;
}

} // namespace

GarbageCollectionStep GarbageCollection::start()
{
    platform::Transaction transaction;
    transaction.success = {
            platform::Get{std::string(historyPrefix), true},
            platform::Get{std::string(rootKey), false},
            platform::Get{std::string(garbageCollectionKey), false},
    };
    return CallKeyValue{std::move(transaction)};
}

GarbageCollectionStep
GarbageCollection::onAnswer(const Result<platform::TransactionResponse> &answer)
{
    if (!answer)
        return GarbageCollectionEnded{answer.error()};
    switch (this->state) {
    case State::ReadingHistory:
        return this->onHistory(answer.value());
    case State::ReadingParts:
        return this->onParts(answer.value());
    case State::Deleting:
        break;
    }
    return this->onDeleted(answer.value());
}

GarbageCollectionStep GarbageCollection::onTimer()
{
    return this->end();
}

GarbageCollectionStep GarbageCollection::onHistory(const platform::TransactionResponse &response)
{
    platform::TransactionResponse history;
    history.found.push_back(response.found.at(0));
    auto roots = parseHistoryResponse(history);
    if (!roots)
        return GarbageCollectionEnded{roots.error()};
    this->rootRevision = modRevisionOf(response.found.at(1));
    this->garbageCollectionRevision = modRevisionOf(response.found.at(2));
    this->keptRoots = std::move(roots.value());
    for (std::size_t i = maxHistoryRevisions; i < this->keptRoots.size(); ++i) {
        this->garbageKeys.push_back(historyKey(this->keptRoots[i].revision));
        this->garbageKeys.push_back(submissionKey(this->keptRoots[i].submissionId));
    }
    this->keptRoots.resize(std::min(this->keptRoots.size(), maxHistoryRevisions));
    return this->readPartsStep();
}

GarbageCollectionStep GarbageCollection::readPartsStep()
{
    this->state = State::ReadingParts;
    const std::string prefix = std::string(partPrefix) + hashDigits[this->prefixesRead++];
    return CallKeyValue{{{}, {platform::Get{prefix, true}}, {}}};
}

GarbageCollectionStep GarbageCollection::onParts(const platform::TransactionResponse &response)
{
    for (const platform::KeyValue &entry : response.found.at(0))
        this->parts.emplace(PartHash(entry.key.substr(partPrefix.size())), entry.value);
    if (this->prefixesRead < hashDigits.size())
        return this->readPartsStep();
    if (!this->findUnusedParts()) {
        this->report.wasInterrupted = true;
        return this->end();
    }
    return this->deleteStep();
}

bool GarbageCollection::findUnusedParts()
{
    const PartLookup lookup = [this](const PartHash &hash) -> const std::string * {
        const auto found = this->parts.find(hash);
        return found == this->parts.end() ? nullptr : &found->second;
    };
    std::unordered_set<PartHash> usedParts;
    for (const ConfigurationRoot &root : this->keptRoots) {
        const TreeWalk walk(root.top, lookup);
        if (!walk.isComplete())
            return false;
        usedParts.insert(walk.reached().begin(), walk.reached().end());
    }
    for (const auto &[hash, text] : this->parts) {
        if (!usedParts.contains(hash))
            this->garbageKeys.push_back(partKey(hash));
    }
    return true;
}

GarbageCollectionStep GarbageCollection::deleteStep()
{
    if (this->sentKeys == this->garbageKeys.size())
        return this->end();
    this->state = State::Deleting;
    platform::Transaction transaction;
    transaction.conditions = {
            platform::CompareModRevision{std::string(rootKey), this->rootRevision},
            platform::CompareModRevision{std::string(garbageCollectionKey),
                                         this->garbageCollectionRevision},
    };
    transaction.success.emplace_back(platform::Put{std::string(garbageCollectionKey), "1", {}});
    const std::size_t last = std::min(this->sentKeys + maxDeletedKeys, this->garbageKeys.size());
    for (; this->sentKeys < last; ++this->sentKeys)
        transaction.success.emplace_back(
                platform::Delete{this->garbageKeys[this->sentKeys], false});
    return CallKeyValue{std::move(transaction)};
}

GarbageCollectionStep GarbageCollection::onDeleted(const platform::TransactionResponse &response)
{
    if (!response.succeeded) {
        this->report.wasInterrupted = true;
        return this->end();
    }
    this->garbageCollectionRevision = response.revision;
    this->report.deletedKeys = this->sentKeys;
    return this->deleteStep();
}

GarbageCollectionStep GarbageCollection::end()
{
    return GarbageCollectionEnded{this->report};
}

} // namespace bamboochute::admin
