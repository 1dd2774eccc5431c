/// @file
/// @brief State machine of one submission of a configuration to the key-value service.
#pragma once

#include "admin/configuration_difference.hpp"
#include "admin/configuration_parts.hpp"
#include "admin/configuration_root.hpp"
#include "platform/key_value.hpp"

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace bamboochute::admin {

/// @brief Content of a submission that restores the configuration of an earlier revision.
struct RollBackTo
{
    Revision revision;
    auto operator<=>(const RollBackTo &) const = default;
};

/// @brief What an operator submits.
struct SubmitRequest
{
    std::variant<Configuration, RollBackTo> content;
    /// The revision on which the operator's change is based; zero before the first one.
    Revision expectedRevision;
    SubmissionId submissionId;
    std::string author;
    WallTime time{};
    /// Validates and compares only; nothing is written.
    bool isDryRun = false;
};

/// @brief Outcome: the submission was recorded, or would have been without dry run.
struct SubmissionAccepted
{
    /// In a dry run, the root that would be recorded.
    ConfigurationRoot root;
    /// From the previous configuration to this one; empty when wasRecordedBefore.
    std::vector<DifferenceLine> difference;
    /// An earlier attempt with the same submission id was recorded.
    bool wasRecordedBefore = false;
    bool isDryRun = false;
    /// Texts of the parts that this revision added, for announcing them to peers.
    std::vector<std::string> newParts;
    auto operator<=>(const SubmissionAccepted &) const = default;
};

/// @brief Outcome: the configuration has another revision than the expected one.
struct SubmissionConflict
{
    /// The root that is recorded instead.
    ConfigurationRoot winner;
    /// From the recorded configuration to the submitted one.
    std::vector<DifferenceLine> difference;
    auto operator<=>(const SubmissionConflict &) const = default;
};

using SubmitOutcome = std::variant<SubmissionAccepted, SubmissionConflict>;

/// @brief Step: submit this transaction and pass its result to onAnswer.
struct CallKeyValue
{
    platform::Transaction transaction;
};

/// @brief Step: wait, then call onTimer.
struct RetryLater
{
    Duration delay;
};

/// @brief Step: the submission has ended.
struct SubmissionEnded
{
    Result<SubmitOutcome> outcome;
};

using SubmissionStep = std::variant<CallKeyValue, RetryLater, SubmissionEnded>;

/// @brief State machine of one submission; no I/O and no clock.
///
/// Parts that don't fit into one transaction are written first. The last transaction compares the
/// previous root and writes the new root, a history entry and a record under the submission id, so
/// either the whole configuration is recorded or nothing. When its answer is lost, the record shows
/// whether it took effect.
class Submission
{
public:
    /// @param request what to submit
    /// @param findLocalPart finds parts that this instance holds; these are not read from the
    /// service
    Submission(SubmitRequest request, PartLookup findLocalPart);

    /// @brief Returns the first step.
    SubmissionStep start();
    /// @brief Returns the next step after a transaction.
    SubmissionStep onAnswer(const Result<platform::TransactionResponse> &answer);
    /// @brief Returns the next step after a delay.
    SubmissionStep onTimer();

private:
    enum class State { ReadingRoot, ReadingTrees, WritingParts, Recording };

    SubmissionStep readRootStep();
    SubmissionStep onRootAnswer(const platform::TransactionResponse &response);
    SubmissionStep onTreeAnswer(const platform::TransactionResponse &response);
    SubmissionStep onRecordAnswer(const platform::TransactionResponse &response);
    SubmissionStep onCallFailure(const Error &error);
    SubmissionStep readTreesStep();
    SubmissionStep checkRevisionStep();
    SubmissionStep writePartsStep();
    SubmissionStep recordStep();
    SubmissionStep end(Result<SubmitOutcome> outcome);
    Result<void> readRollbackRoot(const platform::TransactionResponse &response);
    Result<SubmitOutcome> repeatedOutcome(const std::string &record) const;
    Result<std::vector<DifferenceLine>> computeDifference() const;
    void collectNewParts();
    PartLookup lookup() const;
    ConfigurationRoot nextRoot() const;

    SubmitRequest request;
    PartLookup findLocalPart;
    State state = State::ReadingRoot;
    std::size_t failedCalls = 0;
    std::size_t restarts = 0;
    /// Store revision of the root that a recording without an answer compares; the recording may
    /// still take effect while the root has this revision.
    std::optional<platform::StoreRevision> unansweredRootRevision;
    std::optional<ConfigurationRoot> currentRoot;
    platform::StoreRevision rootRevision;
    platform::StoreRevision garbageCollectionRevision;
    /// Hash of the topmost part of the submitted content.
    PartHash contentTop;
    /// Parts of the submitted content and parts read from the service.
    Parts parts;
    TreeWalk currentWalk;
    TreeWalk contentWalk;
    std::vector<PartHash> newParts;
    std::size_t writtenParts = 0;
};

} // namespace bamboochute::admin
