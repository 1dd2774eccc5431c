#include "admin/part_collection.hpp"

#include "admin/store_reads.hpp"

#include <algorithm>
#include <string_view>

namespace bamboochute::admin {

namespace {

/// Parts are read in sixteen calls, by the first digit of their hashes.
constexpr std::string_view hashDigits = "0123456789abcdef";

platform::StoreRevision modRevisionOf(const std::vector<platform::KeyValue> &found)
{
    return found.empty() ? platform::StoreRevision() : found.front().modRevision;
}

} // namespace

CollectionStep PartCollection::start()
{
    platform::Transaction transaction;
    transaction.success = {
            platform::Get{std::string(historyPrefix), true},
            platform::Get{std::string(rootKey), false},
            platform::Get{std::string(collectionKey), false},
    };
    return CallKeyValue{std::move(transaction)};
}

CollectionStep PartCollection::onAnswer(const Result<platform::TransactionResponse> &answer)
{
    if (!answer)
        return CollectionEnded{answer.error()};
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

CollectionStep PartCollection::onTimer()
{
    return this->end();
}

CollectionStep PartCollection::onHistory(const platform::TransactionResponse &response)
{
    platform::TransactionResponse history;
    history.found.push_back(response.found.at(0));
    auto roots = historyFrom(history);
    if (!roots)
        return CollectionEnded{roots.error()};
    this->rootRevision = modRevisionOf(response.found.at(1));
    this->collectionRevision = modRevisionOf(response.found.at(2));
    this->kept = std::move(roots.value());
    for (std::size_t i = maxHistory; i < this->kept.size(); ++i) {
        this->garbage.push_back(historyKey(this->kept[i].revision));
        this->garbage.push_back(submissionKey(this->kept[i].submissionId));
    }
    this->kept.resize(std::min(this->kept.size(), maxHistory));
    return this->readPartsStep();
}

CollectionStep PartCollection::readPartsStep()
{
    this->state = State::ReadingParts;
    const std::string prefix = std::string(partPrefix) + hashDigits[this->readPrefixes++];
    return CallKeyValue{{{}, {platform::Get{prefix, true}}, {}}};
}

CollectionStep PartCollection::onParts(const platform::TransactionResponse &response)
{
    for (const platform::KeyValue &entry : response.found.at(0))
        this->parts.emplace(PartHash(entry.key.substr(partPrefix.size())), entry.value);
    if (this->readPrefixes < hashDigits.size())
        return this->readPartsStep();
    if (!this->findGarbage()) {
        this->report.wasInterrupted = true;
        return this->end();
    }
    return this->deleteStep();
}

bool PartCollection::findGarbage()
{
    const PartLookup lookup = [this](const PartHash &hash) -> const std::string * {
        const auto found = this->parts.find(hash);
        return found == this->parts.end() ? nullptr : &found->second;
    };
    std::unordered_set<PartHash> live;
    for (const ConfigurationRoot &root : this->kept) {
        const TreeWalk walk(root.top, lookup);
        if (!walk.isComplete())
            return false;
        live.insert(walk.reached().begin(), walk.reached().end());
    }
    for (const auto &[hash, text] : this->parts) {
        if (!live.contains(hash))
            this->garbage.push_back(partKey(hash));
    }
    return true;
}

CollectionStep PartCollection::deleteStep()
{
    if (this->sentKeys == this->garbage.size())
        return this->end();
    this->state = State::Deleting;
    platform::Transaction transaction;
    transaction.conditions = {
            platform::CompareModRevision{std::string(rootKey), this->rootRevision},
            platform::CompareModRevision{std::string(collectionKey), this->collectionRevision},
    };
    transaction.success.emplace_back(platform::Put{std::string(collectionKey), "1", {}});
    const std::size_t last = std::min(this->sentKeys + maxDeletedKeys, this->garbage.size());
    for (; this->sentKeys < last; ++this->sentKeys)
        transaction.success.emplace_back(platform::Delete{this->garbage[this->sentKeys], false});
    return CallKeyValue{std::move(transaction)};
}

CollectionStep PartCollection::onDeleted(const platform::TransactionResponse &response)
{
    if (!response.succeeded) {
        this->report.wasInterrupted = true;
        return this->end();
    }
    this->collectionRevision = response.revision;
    this->report.deletedKeys = this->sentKeys;
    return this->deleteStep();
}

CollectionStep PartCollection::end()
{
    return CollectionEnded{this->report};
}

} // namespace bamboochute::admin
