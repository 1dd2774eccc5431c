/// @file
/// @brief State machine that deletes old history entries and unreferenced parts from the key-value
/// service.
#pragma once

#include "admin/configuration_parts.hpp"
#include "admin/submission.hpp"

#include <cstddef>
#include <variant>
#include <vector>

namespace bamboochute::admin {

/// Revisions that are kept in the history and can be rolled back to.
constexpr std::size_t maxHistoryRevisions = 64;
/// Number of revisions between two garbage collections.
constexpr std::size_t garbageCollectionIntervalRevisions = 64;
/// Most keys deleted in one transaction.
constexpr std::size_t maxDeletedKeys = 100;

/// @brief Result of a garbage collection.
struct GarbageCollectionReport
{
    /// Number of deleted parts, history entries and submission records.
    std::size_t deletedKeys = 0;
    /// A concurrent submission or collection stopped this one, or a kept revision lacks a part; the
    /// next collection deletes the rest.
    bool wasInterrupted = false;
    auto operator<=>(const GarbageCollectionReport &) const = default;
};

/// @brief Step: the garbage collection has ended.
struct GarbageCollectionEnded
{
    Result<GarbageCollectionReport> outcome;
};

using GarbageCollectionStep = std::variant<CallKeyValue, RetryLater, GarbageCollectionEnded>;

/// @brief State machine of one garbage collection; no I/O and no clock.
///
/// Every deletion compares the root and writes garbageCollectionKey, which every submission
/// compares. So when a part that a submission in progress needs is deleted, the submission detects
/// it and starts over.
class GarbageCollection
{
public:
    /// @brief Returns the first step.
    GarbageCollectionStep start();
    /// @brief Returns the next step after a transaction.
    GarbageCollectionStep onAnswer(const Result<platform::TransactionResponse> &answer);
    /// @brief Ends the collection; not used, because this state machine never returns RetryLater.
    GarbageCollectionStep onTimer();

private:
    enum class State { ReadingHistory, ReadingParts, Deleting };

    GarbageCollectionStep onHistory(const platform::TransactionResponse &response);
    GarbageCollectionStep onParts(const platform::TransactionResponse &response);
    GarbageCollectionStep onDeleted(const platform::TransactionResponse &response);
    GarbageCollectionStep readPartsStep();
    GarbageCollectionStep deleteStep();
    GarbageCollectionStep end();
    /// Returns false when a kept revision lacks a part.
    bool findUnusedParts();

    State state = State::ReadingHistory;
    platform::StoreRevision rootRevision;
    platform::StoreRevision garbageCollectionRevision;
    std::vector<ConfigurationRoot> keptRoots;
    Parts parts;
    std::size_t prefixesRead = 0;
    std::vector<std::string> garbageKeys;
    std::size_t sentKeys = 0;
    GarbageCollectionReport report;
};

} // namespace bamboochute::admin
