/// @file
/// @brief Deletes old history and parts that nothing refers to, as a state machine.
#pragma once

#include "admin/configuration_parts.hpp"
#include "admin/submission.hpp"

#include <cstddef>
#include <variant>
#include <vector>

namespace bamboochute::admin {

/// Revisions that are kept and can be brought back.
constexpr std::size_t maxHistory = 64;
/// Revisions between two collections.
constexpr std::size_t collectionInterval = 64;
/// Keys deleted in one transaction.
constexpr std::size_t maxDeletedKeys = 100;

/// @brief What a collection deleted.
struct GarbageCollectionReport
{
    /// Parts, history entries and submission records.
    std::size_t deletedKeys = 0;
    /// A submission or another collection came between; the rest waits for the next collection.
    bool wasInterrupted = false;
    auto operator<=>(const GarbageCollectionReport &) const = default;
};

/// @brief Step: the collection has ended.
struct CollectionEnded
{
    Result<GarbageCollectionReport> outcome;
};

using CollectionStep = std::variant<CallKeyValue, RetryLater, CollectionEnded>;

/// @brief Drives one collection to its end; no I/O and no clock.
///
/// Every deletion compares the root and writes collectionKey, which every submission compares, so
/// a part that a submission under way counts on is never deleted without the submission noticing.
class PartCollection
{
public:
    CollectionStep start();
    CollectionStep onAnswer(const Result<platform::TransactionResponse> &answer);
    /// @brief Never asked for by this machine; ends the collection.
    CollectionStep onTimer();

private:
    enum class State { ReadingHistory, ReadingParts, Deleting };

    CollectionStep onHistory(const platform::TransactionResponse &response);
    CollectionStep onParts(const platform::TransactionResponse &response);
    CollectionStep onDeleted(const platform::TransactionResponse &response);
    CollectionStep readPartsStep();
    CollectionStep deleteStep();
    CollectionStep end();
    /// Returns false when a kept revision lacks a part.
    bool findGarbage();

    State state = State::ReadingHistory;
    platform::StoreRevision rootRevision;
    platform::StoreRevision collectionRevision;
    std::vector<ConfigurationRoot> kept;
    Parts parts;
    std::size_t readPrefixes = 0;
    std::vector<std::string> garbage;
    std::size_t sentKeys = 0;
    GarbageCollectionReport report;
};

} // namespace bamboochute::admin
