#include "admission/claim_batcher.hpp"

#include "core/invariant.hpp"
#include "core/overloaded.hpp"

#include <algorithm>
#include <set>

namespace bamboochute::admission {

namespace {

constexpr double leastRate = 0.01;

const std::string &keyOf(const platform::Compare &condition)
{
    return std::visit([](const auto &each) -> const std::string & { return each.key; }, condition);
}

/// Whether a condition holds for what a read found.
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

std::size_t bytesOf(const ConditionalWrite &write)
{
    const auto *compare = std::get_if<platform::CompareValue>(&write.condition);
    const std::size_t compared = compare == nullptr ? 0 : compare->value.size();
    return 2 * write.put.key.size() + write.put.value.size() + compared;
}

} // namespace

ClaimBatcher::ClaimBatcher(double transactionsPerSecond, BatcherLimits limits)
    : limits(limits)
    , rate(std::max(leastRate, transactionsPerSecond))
    , tokens(limits.burst)
{}

void ClaimBatcher::setBudget(double transactionsPerSecond)
{
    this->rate = std::max(leastRate, transactionsPerSecond);
}

WriteNumber ClaimBatcher::add(ConditionalWrite write, bool isExpectedToHold)
{
    BC_INVARIANT(keyOf(write.condition) == write.put.key, "a write compares the key that it puts");
    this->lastNumber = this->lastNumber.next();
    Lane &lane = isExpectedToHold ? this->likely : this->untried;
    lane.push_back({this->lastNumber, std::move(write)});
    return this->lastNumber;
}

bool ClaimBatcher::cancel(WriteNumber number)
{
    const auto isIt = [&](const Pending &pending) { return pending.number == number; };
    return std::erase_if(this->untried, isIt) + std::erase_if(this->likely, isIt) > 0;
}

std::vector<SubmitTransaction> ClaimBatcher::poll(TimePoint now)
{
    this->refill(now);
    std::vector<SubmitTransaction> all;
    while (this->hasWaiting() && this->tokens >= 1
           && this->inFlight.size() < this->limits.maxInFlight) {
        this->tokens -= 1;
        Lane &lane = this->nextLane();
        std::vector<Pending> batch = this->takeBatch(lane);
        lane.erase(lane.begin(), lane.begin() + static_cast<std::ptrdiff_t>(batch.size()));
        all.push_back(this->submit(std::move(batch)));
    }
    return all;
}

std::vector<FinishedWrite>
ClaimBatcher::handleAnswer(TransactionNumber transactionNumber,
                           const Result<platform::TransactionResponse> &answer)
{
    const auto found = this->inFlight.find(transactionNumber);
    if (found == this->inFlight.end())
        return {};
    std::vector<Pending> batch = std::move(found->second);
    this->inFlight.erase(found);
    if (answer && !answer.value().succeeded)
        return this->split(std::move(batch), answer.value());
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
    if (!this->hasWaiting() || this->inFlight.size() >= this->limits.maxInFlight)
        return std::nullopt;
    const double missing = std::max(0.0, 1.0 - this->tokens);
    const std::chrono::duration<double> delay(missing / this->rate);
    const TimePoint ready = this->refilledAt + std::chrono::ceil<Duration>(delay);
    return std::max(now, ready);
}

std::size_t ClaimBatcher::size() const noexcept
{
    std::size_t count = this->untried.size() + this->likely.size();
    for (const auto &[transactionNumber, batch] : this->inFlight)
        count += batch.size();
    return count;
}

void ClaimBatcher::refill(TimePoint now)
{
    const double earned = this->rate * toSeconds(now - this->refilledAt);
    this->tokens = std::min(this->limits.burst, this->tokens + std::max(0.0, earned));
    this->refilledAt = std::max(this->refilledAt, now);
}

ClaimBatcher::Lane &ClaimBatcher::nextLane()
{
    const bool isLikelyTurn = this->untried.empty() || !this->wasLikelyLast;
    this->wasLikelyLast = isLikelyTurn && !this->likely.empty();
    return this->wasLikelyLast ? this->likely : this->untried;
}

std::vector<ClaimBatcher::Pending> ClaimBatcher::takeBatch(Lane &lane) const
{
    std::vector<Pending> batch;
    std::set<std::string_view> keys;
    std::size_t bytes = 0;
    for (const Pending &pending : lane) {
        bytes += bytesOf(pending.write);
        const bool isFull = batch.size() >= this->limits.maxWrites || bytes > this->limits.maxBytes;
        const bool isTwice = !keys.insert(pending.write.put.key).second;
        if ((isFull || isTwice) && !batch.empty())
            break;
        batch.push_back(pending);
    }
    return batch;
}

SubmitTransaction ClaimBatcher::submit(std::vector<Pending> batch)
{
    this->lastTag = this->lastTag.next();
    SubmitTransaction submission{this->lastTag, {}};
    for (const Pending &pending : batch) {
        submission.transaction.conditions.push_back(pending.write.condition);
        submission.transaction.success.emplace_back(pending.write.put);
        submission.transaction.failure.emplace_back(platform::Get{pending.write.put.key, false});
    }
    this->inFlight.emplace(this->lastTag, std::move(batch));
    return submission;
}

std::vector<FinishedWrite> ClaimBatcher::split(std::vector<Pending> batch,
                                               const platform::TransactionResponse &response)
{
    std::vector<FinishedWrite> finished;
    for (std::size_t i = 0; i < batch.size(); ++i) {
        std::optional<platform::KeyValue> found;
        if (i < response.found.size() && !response.found[i].empty())
            found = response.found[i].front();
        if (holds(batch[i].write.condition, found)) {
            this->likely.push_back(std::move(batch[i]));
            continue;
        }
        FinishedWrite &conflict = finished.emplace_back();
        conflict.number = batch[i].number;
        conflict.result = ConditionFailed{std::move(found)};
    }
    return finished;
}

bool ClaimBatcher::hasWaiting() const noexcept
{
    return !this->untried.empty() || !this->likely.empty();
}

} // namespace bamboochute::admission
