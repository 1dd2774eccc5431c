#include "admission/claim_batcher.hpp"

#include "core/invariant.hpp"
#include "core/overloaded.hpp"

#include <algorithm>
#include <set>

namespace bamboochute::admission {

namespace {

constexpr double minTransactionsPerSecond = 0.01;

const std::string &comparedKey(const platform::Compare &condition)
{
    return std::visit([](const auto &each) -> const std::string & { return each.key; }, condition);
}

/// Whether a condition holds for the value that a read found.
bool holds(const platform::Compare &condition, const std::optional<platform::KeyValue> &found)
{
    return std::visit(Overloaded{
                              [&](const platform::CompareModRevision &compare) {
                                  const auto actual
                                          = found ? found->modRevision : platform::StoreRevision();
                                  return actual == compare.modRevision;
                              },
                              [&](const platform::CompareValue &compare) {
                                  return found && found->value == compare.value;
                              },
                      },
                      condition);
}

std::size_t writeBytes(const ConditionalWrite &write)
{
    const auto *compare = std::get_if<platform::CompareValue>(&write.condition);
    const std::size_t compared = compare == nullptr ? 0 : compare->value.size();
    return 2 * write.put.key.size() + write.put.value.size() + compared;
}

} // namespace

ClaimBatcher::ClaimBatcher(double transactionsPerSecond, BatcherLimits limits)
    : limits(limits)
    , rate(std::max(minTransactionsPerSecond, transactionsPerSecond))
    , tokens(limits.burst)
{}

void ClaimBatcher::setBudget(double transactionsPerSecond)
{
    this->rate = std::max(minTransactionsPerSecond, transactionsPerSecond);
}

WriteNumber ClaimBatcher::add(ConditionalWrite write, bool isExpectedToHold)
{
    BC_INVARIANT(comparedKey(write.condition) == write.put.key,
                 "the condition of a write names the key that it puts");
    this->lastWriteNumber = this->lastWriteNumber.next();
    WriteQueue &queue = isExpectedToHold ? this->expectedToHold : this->uncertain;
    queue.push_back({this->lastWriteNumber, std::move(write)});
    return this->lastWriteNumber;
}

bool ClaimBatcher::cancel(WriteNumber number)
{
    const auto hasNumber = [&](const PendingWrite &pending) { return pending.number == number; };
    return std::erase_if(this->uncertain, hasNumber)
                   + std::erase_if(this->expectedToHold, hasNumber)
           > 0;
}

std::vector<SubmitTransaction> ClaimBatcher::poll(TimePoint now)
{
    this->refillTokens(now);
    std::vector<SubmitTransaction> submissions;
    while (this->hasQueuedWrites() && this->tokens >= 1
           && this->inFlight.size() < this->limits.maxInFlight) {
        this->tokens -= 1;
        WriteQueue &queue = this->chooseQueue();
        std::vector<PendingWrite> batch = this->selectBatch(queue);
        queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(batch.size()));
        submissions.push_back(this->submitBatch(std::move(batch)));
    }
    return submissions;
}

std::vector<FinishedWrite>
ClaimBatcher::handleAnswer(TransactionNumber transactionNumber,
                           const Result<platform::TransactionResponse> &answer)
{
    const auto found = this->inFlight.find(transactionNumber);
    if (found == this->inFlight.end())
        return {};
    std::vector<PendingWrite> batch = std::move(found->second);
    this->inFlight.erase(found);
    if (answer && !answer.value().succeeded)
        return this->separateConflicts(std::move(batch), answer.value());
    const bool mayHaveEffect = !answer && answer.error().kind() != ErrorKind::KeyValueUnavailable;
    std::vector<FinishedWrite> finished(batch.size());
    for (std::size_t i = 0; i < batch.size(); ++i) {
        finished[i].number = batch[i].number;
        if (!answer)
            finished[i].result = WriteUnavailable{mayHaveEffect};
    }
    return finished;
}

std::optional<TimePoint> ClaimBatcher::nextPoll(TimePoint now) const
{
    if (!this->hasQueuedWrites() || this->inFlight.size() >= this->limits.maxInFlight)
        return std::nullopt;
    const double missing = std::max(0.0, 1.0 - this->tokens);
    const std::chrono::duration<double> delay(missing / this->rate);
    const TimePoint ready = this->refilledAt + std::chrono::ceil<Duration>(delay);
    return std::max(now, ready);
}

std::size_t ClaimBatcher::size() const noexcept
{
    std::size_t count = this->uncertain.size() + this->expectedToHold.size();
    for (const auto &[transactionNumber, batch] : this->inFlight)
        count += batch.size();
    return count;
}

void ClaimBatcher::refillTokens(TimePoint now)
{
    const double earned = this->rate * toSeconds(now - this->refilledAt);
    this->tokens = std::min(this->limits.burst, this->tokens + std::max(0.0, earned));
    this->refilledAt = std::max(this->refilledAt, now);
}

ClaimBatcher::WriteQueue &ClaimBatcher::chooseQueue()
{
    const bool isExpectedToHoldTurn = this->uncertain.empty() || !this->wasExpectedToHoldLast;
    this->wasExpectedToHoldLast = isExpectedToHoldTurn && !this->expectedToHold.empty();
    return this->wasExpectedToHoldLast ? this->expectedToHold : this->uncertain;
}

std::vector<ClaimBatcher::PendingWrite> ClaimBatcher::selectBatch(WriteQueue &queue) const
{
    std::vector<PendingWrite> batch;
    std::set<std::string_view> keys;
    std::size_t bytes = 0;
    for (const PendingWrite &pending : queue) {
        bytes += writeBytes(pending.write);
        const bool isFull = batch.size() >= this->limits.maxWrites || bytes > this->limits.maxBytes;
        const bool isDuplicateKey = !keys.insert(pending.write.put.key).second;
        if ((isFull || isDuplicateKey) && !batch.empty())
            break;
        batch.push_back(pending);
    }
    return batch;
}

SubmitTransaction ClaimBatcher::submitBatch(std::vector<PendingWrite> batch)
{
    this->lastTransactionNumber = this->lastTransactionNumber.next();
    SubmitTransaction submission{this->lastTransactionNumber, {}};
    for (const PendingWrite &pending : batch) {
        submission.transaction.conditions.push_back(pending.write.condition);
        submission.transaction.success.emplace_back(pending.write.put);
        submission.transaction.failure.emplace_back(platform::Get{pending.write.put.key, false});
    }
    this->inFlight.emplace(this->lastTransactionNumber, std::move(batch));
    return submission;
}

std::vector<FinishedWrite>
ClaimBatcher::separateConflicts(std::vector<PendingWrite> batch,
                                const platform::TransactionResponse &response)
{
    std::vector<FinishedWrite> finished;
    for (std::size_t i = 0; i < batch.size(); ++i) {
        std::optional<platform::KeyValue> found;
        if (i < response.found.size() && !response.found[i].empty())
            found = response.found[i].front();
        if (holds(batch[i].write.condition, found)) {
            this->expectedToHold.push_back(std::move(batch[i]));
            continue;
        }
        FinishedWrite &conflict = finished.emplace_back();
        conflict.number = batch[i].number;
        conflict.result = ConditionFailed{std::move(found)};
    }
    return finished;
}

bool ClaimBatcher::hasQueuedWrites() const noexcept
{
    return !this->uncertain.empty() || !this->expectedToHold.empty();
}

} // namespace bamboochute::admission
