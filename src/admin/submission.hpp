/// @file
/// @brief One submission of a configuration to the key-value service, as a state machine.
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

/// @brief Content: bring back the configuration of an earlier revision.
struct RollBackTo
{
    Revision revision;
    auto operator<=>(const RollBackTo &) const = default;
};

/// @brief What an operator submits.
struct SubmitRequest
{
    std::variant<Configuration, RollBackTo> content;
    /// The revision that the operator's change builds on; zero before the first one.
    Revision expectedRevision;
    SubmissionId submissionId;
    std::string author;
    WallTime time{};
    /// Only checks and compares; nothing is written.
    bool isDryRun = false;
};

/// @brief The submission is recorded, or would be in a dry run.
struct SubmissionAccepted
{
    /// In a dry run, the root that would be recorded.
    ConfigurationRoot root;
    /// From the configuration before to this one; empty when wasRecordedBefore.
    std::vector<DifferenceLine> difference;
    /// The same submission id was recorded by an earlier attempt.
    bool wasRecordedBefore = false;
    bool isDryRun = false;
    /// Parts that are new at this revision, for spreading them.
    std::vector<std::string> newParts;
    auto operator<=>(const SubmissionAccepted &) const = default;
};

/// @brief Another submission was recorded first.
struct SubmissionConflict
{
    ConfigurationRoot winner;
    /// From the winning configuration to the submitted one.
    std::vector<DifferenceLine> difference;
    auto operator<=>(const SubmissionConflict &) const = default;
};

using SubmitOutcome = std::variant<SubmissionAccepted, SubmissionConflict>;

/// @brief Step: do this transaction and pass its result to onAnswer.
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

/// @brief Drives one submission to its end; no I/O and no clock.
///
/// Parts that don't fit one transaction are written first. The last transaction writes the root, a
/// history entry and a record under the submission id, and compares the root before, so either the
/// whole configuration is recorded or nothing. After a lost answer the record tells whether it was.
class Submission
{
public:
    /// @param request what to submit
    /// @param known finds parts that this instance holds; copied parts need no call
    Submission(SubmitRequest request, PartLookup known);

    /// @brief The first step.
    SubmissionStep start();
    /// @brief The next step after a transaction.
    SubmissionStep onAnswer(const Result<platform::TransactionResponse> &answer);
    /// @brief The next step after a wait.
    SubmissionStep onTimer();

private:
    enum class State { ReadingRoot, ReadingTrees, WritingParts, Recording };

    SubmissionStep readRootStep();
    SubmissionStep onRootAnswer(const platform::TransactionResponse &response);
    SubmissionStep onTreeAnswer(const platform::TransactionResponse &response);
    SubmissionStep onRecordAnswer(const platform::TransactionResponse &response);
    SubmissionStep onFailure(const Error &error);
    SubmissionStep treeStep();
    SubmissionStep decide();
    SubmissionStep writeStep();
    SubmissionStep recordStep();
    SubmissionStep end(Result<SubmitOutcome> outcome);
    Result<void> takeContent(const platform::TransactionResponse &response);
    Result<SubmitOutcome> recordedBefore(const std::string &record) const;
    Result<std::vector<DifferenceLine>> difference() const;
    void collectNewParts();
    PartLookup lookup() const;
    ConfigurationRoot nextRoot() const;

    SubmitRequest request;
    PartLookup known;
    State state = State::ReadingRoot;
    std::size_t failedCalls = 0;
    std::size_t restarts = 0;
    /// Store revision of the root that an unanswered recording compares; it may still take effect
    /// while the root has this revision.
    std::optional<platform::StoreRevision> unansweredAt;
    std::optional<ConfigurationRoot> current;
    platform::StoreRevision rootRevision;
    platform::StoreRevision collectionRevision;
    /// Top of the tree of the content.
    PartHash top;
    /// Parts of the content and parts read from the service.
    Parts parts;
    TreeWalk currentWalk;
    TreeWalk contentWalk;
    std::vector<PartHash> newParts;
    std::size_t writtenParts = 0;
};

} // namespace bamboochute::admin
