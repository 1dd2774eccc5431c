#include "admin/submission.hpp"

#include "admin/configuration_join.hpp"
#include "admin/store_reads.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

using namespace std::chrono_literals;

/// Most failed calls that a submission retries.
constexpr std::size_t maxFailedCalls = 5;
/// Most restarts of a submission after a conflicting write or because a part was deleted
/// concurrently.
constexpr std::size_t maxRestarts = 8;
constexpr Duration firstRetryDelay = 50ms;
/// Most parts written in one transaction, together with three other keys.
constexpr std::size_t maxPartsInTransaction = 96;

std::uint64_t modRevisionOf(const std::vector<platform::KeyValue> &found)
{
    return found.empty() ? 0 : found.front().modRevision.value();
}

bool hasSameContent(const ConfigurationRoot &recorded, const SubmitRequest &request,
                    const PartHash &top)
{
    const auto *rollback = std::get_if<RollBackTo>(&request.content);
    return rollback != nullptr ? recorded.rolledBackTo == rollback->revision
                               : recorded.top == top && recorded.rolledBackTo == Revision();
}

} // namespace

Submission::Submission(SubmitRequest request, PartLookup findLocalPart)
    : request(std::move(request))
    , findLocalPart(std::move(findLocalPart))
{
    if (const auto *configuration = std::get_if<Configuration>(&this->request.content)) {
        PartSet set = splitConfiguration(*configuration);
        this->contentTop = set.top;
        this->parts = std::move(set.parts);
    }
}

SubmissionStep Submission::start()
{
    return this->readRootStep();
}

SubmissionStep Submission::onAnswer(const Result<platform::TransactionResponse> &answer)
{
    if (!answer)
        return this->onCallFailure(answer.error());
    switch (this->state) {
    case State::ReadingRoot:
        return this->onRootAnswer(answer.value());
    case State::ReadingTrees:
        return this->onTreeAnswer(answer.value());
    case State::WritingParts:
        return this->writePartsStep();
    case State::Recording:
        break;
    }
    return this->onRecordAnswer(answer.value());
}

SubmissionStep Submission::onTimer()
{
    return this->readRootStep();
}

SubmissionStep Submission::readRootStep()
{
    this->state = State::ReadingRoot;
    platform::Transaction transaction;
    transaction.success = {
            platform::Get{std::string(rootKey), false},
            platform::Get{std::string(garbageCollectionKey), false},
            platform::Get{submissionKey(this->request.submissionId), false},
    };
    if (const auto *rollback = std::get_if<RollBackTo>(&this->request.content))
        transaction.success.emplace_back(platform::Get{historyKey(rollback->revision), false});
    return CallKeyValue{std::move(transaction)};
}

SubmissionStep Submission::onRootAnswer(const platform::TransactionResponse &response)
{
    constexpr std::size_t submissionIndex = 2;
    const auto &records = response.found.at(submissionIndex);
    if (!records.empty())
        return this->end(this->repeatedOutcome(records.front().value));
    auto root = parseRootResponse(response);
    if (!root)
        return this->end(root.error());
    this->currentRoot = root.value().value_or(ConfigurationRoot());
    this->rootRevision = platform::StoreRevision(modRevisionOf(response.found.at(0)));
    if (this->unansweredRootRevision != this->rootRevision)
        this->unansweredRootRevision.reset();
    const platform::StoreRevision collection(modRevisionOf(response.found.at(1)));
    if (collection != this->garbageCollectionRevision)
        this->writtenParts = 0;
    this->garbageCollectionRevision = collection;
    const Result<void> content = this->readRollbackRoot(response);
    if (!content)
        return this->end(content.error());
    this->currentWalk = TreeWalk(this->currentRoot->top, this->lookup());
    this->contentWalk = TreeWalk(this->contentTop, this->lookup());
    return this->readTreesStep();
}

Result<void> Submission::readRollbackRoot(const platform::TransactionResponse &response)
{
    const auto *rollback = std::get_if<RollBackTo>(&this->request.content);
    if (rollback == nullptr)
        return boost::outcome_v2::success();
    const auto &entries = response.found.back();
    if (entries.empty())
        return Error(ErrorKind::InvalidField,
                     fmt::format("revision {} is not in the history", rollback->revision.value()),
                     "revision");
    BOOST_OUTCOME_TRY(root, readRoot(entries.front().value));
    this->contentTop = root.top;
    return boost::outcome_v2::success();
}

SubmissionStep Submission::readTreesStep()
{
    PartsRequest wanted;
    for (const TreeWalk *walk : {&this->currentWalk, &this->contentWalk}) {
        for (const PartHash &hash : walk->missing()) {
            if (wanted.hashes.size() < maxPartsInMessage)
                wanted.hashes.push_back(hash);
        }
    }
    if (wanted.hashes.empty())
        return this->checkRevisionStep();
    this->state = State::ReadingTrees;
    return CallKeyValue{partsReadTransaction(wanted)};
}

SubmissionStep Submission::onTreeAnswer(const platform::TransactionResponse &response)
{
    const PartsResponse given = parsePartsResponse(response);
    bool isProgress = false;
    for (const std::string &text : given.parts) {
        this->parts.emplace(hashPart(text), text);
        isProgress |= this->currentWalk.add(text, this->lookup());
        isProgress |= this->contentWalk.add(text, this->lookup());
    }
    if (isProgress)
        return this->readTreesStep();
    if (++this->restarts > maxRestarts)
        return this->end(Error(ErrorKind::Internal,
                               "a part of the configuration is missing in the key-value service"));
    return this->readRootStep();
}

SubmissionStep Submission::checkRevisionStep()
{
    auto lines = this->computeDifference();
    if (!lines)
        return this->end(lines.error());
    if (this->request.expectedRevision != this->currentRoot->revision)
        return this->end(
                SubmitOutcome(SubmissionConflict{*this->currentRoot, std::move(lines.value())}));
    this->collectNewParts();
    if (this->request.isDryRun)
        return this->end(SubmitOutcome(
                SubmissionAccepted{this->nextRoot(), std::move(lines.value()), false, true, {}}));
    return this->writePartsStep();
}

void Submission::collectNewParts()
{
    this->newParts.clear();
    std::copy_if(this->contentWalk.reached().begin(), this->contentWalk.reached().end(),
                 std::back_inserter(this->newParts), [this](const PartHash &hash) {
                     return !this->currentWalk.reached().contains(hash);
                 });
    std::sort(this->newParts.begin(), this->newParts.end());
}

SubmissionStep Submission::writePartsStep()
{
    if (this->newParts.size() - this->writtenParts <= maxPartsInTransaction)
        return this->recordStep();
    this->state = State::WritingParts;
    platform::Transaction transaction;
    for (std::size_t i = 0; i < maxPartsInTransaction; ++i) {
        const PartHash &hash = this->newParts[this->writtenParts++];
        transaction.success.emplace_back(platform::Put{partKey(hash), *this->lookup()(hash), {}});
    }
    return CallKeyValue{std::move(transaction)};
}

SubmissionStep Submission::recordStep()
{
    this->state = State::Recording;
    const ConfigurationRoot next = this->nextRoot();
    BC_INVARIANT(next.revision == this->currentRoot->revision.next(),
                 "a submission raises the revision by one");
    const std::string text = writeRoot(next);
    platform::Transaction transaction;
    transaction.conditions = {
            platform::CompareModRevision{std::string(rootKey), this->rootRevision},
            platform::CompareModRevision{std::string(garbageCollectionKey),
                                         this->garbageCollectionRevision},
            platform::CompareModRevision{submissionKey(next.submissionId), {}},
    };
    for (std::size_t i = this->writtenParts; i < this->newParts.size(); ++i) {
        const PartHash &hash = this->newParts[i];
        transaction.success.emplace_back(platform::Put{partKey(hash), *this->lookup()(hash), {}});
    }
    transaction.success.emplace_back(platform::Put{std::string(rootKey), text, {}});
    transaction.success.emplace_back(platform::Put{historyKey(next.revision), text, {}});
    transaction.success.emplace_back(platform::Put{submissionKey(next.submissionId), text, {}});
    return CallKeyValue{std::move(transaction)};
}

SubmissionStep Submission::onRecordAnswer(const platform::TransactionResponse &response)
{
    if (!response.succeeded) {
        if (++this->restarts > maxRestarts)
            return this->end(Error(ErrorKind::KeyValueConflict,
                                   "concurrent writes conflicted with every attempt; send the "
                                   "submission again with the same submission id"));
        return this->readRootStep();
    }
    auto lines = this->computeDifference();
    if (!lines)
        return this->end(lines.error());
    SubmissionAccepted accepted{this->nextRoot(), std::move(lines.value()), false, false, {}};
    for (const PartHash &hash : this->newParts)
        accepted.newParts.push_back(*this->lookup()(hash));
    return this->end(SubmitOutcome(std::move(accepted)));
}

SubmissionStep Submission::onCallFailure(const Error &error)
{
    const bool isOutage = error.kind() == ErrorKind::KeyValueUnavailable
                          || error.kind() == ErrorKind::KeyValueOutcomeUnknown;
    if (!isOutage)
        return this->end(error);
    if (this->state == State::Recording && error.kind() == ErrorKind::KeyValueOutcomeUnknown)
        this->unansweredRootRevision = this->rootRevision;
    if (this->state == State::WritingParts)
        this->writtenParts = 0;
    if (++this->failedCalls <= maxFailedCalls)
        return RetryLater{firstRetryDelay * (1 << this->failedCalls)};
    if (this->unansweredRootRevision)
        return this->end(Error(ErrorKind::KeyValueOutcomeUnknown,
                               fmt::format("the answer to submission \"{}\" was lost; send it "
                                           "again with the same submission id",
                                           this->request.submissionId.value()),
                               "submissionId"));
    return this->end(Error(ErrorKind::KeyValueUnavailable,
                           fmt::format("the key-value service does not answer; submission \"{}\" "
                                       "was not recorded",
                                       this->request.submissionId.value())));
}

Result<SubmitOutcome> Submission::repeatedOutcome(const std::string &record) const
{
    BOOST_OUTCOME_TRY(root, readRoot(record));
    if (!hasSameContent(root, this->request, this->contentTop))
        return Error(ErrorKind::OperationKeyReused,
                     fmt::format("submission id \"{}\" was used for revision {} with "
                                 "different content",
                                 this->request.submissionId.value(), root.revision.value()),
                     "submissionId");
    return SubmitOutcome(SubmissionAccepted{std::move(root), {}, true, false, {}});
}

Result<std::vector<DifferenceLine>> Submission::computeDifference() const
{
    BOOST_OUTCOME_TRY(before, joinParts(this->currentWalk.reached(), this->lookup()));
    if (const auto *configuration = std::get_if<Configuration>(&this->request.content))
        return compareConfigurations(before, *configuration);
    BOOST_OUTCOME_TRY(after, joinParts(this->contentWalk.reached(), this->lookup()));
    return compareConfigurations(before, after);
}

ConfigurationRoot Submission::nextRoot() const
{
    const auto *rollback = std::get_if<RollBackTo>(&this->request.content);
    return {this->currentRoot->revision.next(),
            this->request.submissionId,
            this->request.author,
            this->request.time,
            this->contentTop,
            rollback == nullptr ? Revision() : rollback->revision};
}

SubmissionStep Submission::end(Result<SubmitOutcome> outcome)
{
    return SubmissionEnded{std::move(outcome)};
}

PartLookup Submission::lookup() const
{
    return [this](const PartHash &hash) -> const std::string * {
        const auto found = this->parts.find(hash);
        return found != this->parts.end() ? &found->second : this->findLocalPart(hash);
    };
}

} // namespace bamboochute::admin
