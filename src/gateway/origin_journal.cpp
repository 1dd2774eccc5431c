#include "gateway/origin_journal.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboochute::gateway {

namespace {

/// Bytes of an encoded origin beside its texts.
constexpr std::size_t originOverheadBytes = 24;

template<typename Entries>
std::vector<StreamOrigin> originsOf(const Entries &entries)
{
    std::vector<StreamOrigin> origins;
    origins.reserve(entries.size());
    for (const auto &entry : entries)
        origins.push_back(entry.origin);
    return origins;
}

} // namespace

std::size_t estimateBytes(const StreamOrigin &origin)
{
    return origin.request.value().size() + origin.service.value().size()
           + origin.version.value().size() + originOverheadBytes;
}

OriginOutbox::OriginOutbox(OriginBatchNumber firstNumber, OriginOutboxLimits limits)
    : limits(limits)
    , nextNumber(firstNumber)
    , resendPause(limits.minResendPause)
{}

void OriginOutbox::add(const StreamOrigin &origin, TimePoint now)
{
    this->dropOld(now);
    if (origin.request.isEmpty()
        || origin.request.value().size() > StreamOriginLimits().maxRequestIdBytes
        || estimateBytes(origin) > this->limits.maxBatchBytes)
        return;
    std::deque<Entry> &entries = this->waiting[origin.service];
    entries.push_back({now, origin});
    if (entries.size() > this->limits.maxOrigins)
        entries.pop_front();
}

void OriginOutbox::dropOld(TimePoint now)
{
    const auto isOld
            = [&](const Entry &entry) { return entry.begunAt + this->limits.lifetime < now; };
    for (auto &[service, entries] : this->waiting) {
        while (!entries.empty() && isOld(entries.front()))
            entries.pop_front();
    }
    std::erase_if(this->waiting, [](const auto &item) { return item.second.empty(); });
    while (!this->stored.empty()
           && (isOld(this->stored.front()) || this->stored.size() > this->limits.maxOrigins))
        this->stored.pop_front();
    std::erase_if(this->open, [&](const auto &item) {
        return std::all_of(item.second.entries.begin(), item.second.entries.end(), isOld);
    });
}

/// Sends open batches again; only the first one while the owner doesn't answer.
void OriginOutbox::resendDue(std::vector<OriginBatch> &due, TimePoint now)
{
    for (auto &[number, batch] : this->open) {
        if (batch.sentAt + this->resendPause <= now) {
            batch.sentAt = now;
            due.push_back({number, originsOf(batch.entries)});
        }
        if (!this->isAnswered)
            break;
    }
    if (due.empty())
        return;
    if (!this->isAnyAcknowledged) {
        this->isAnswered = false;
        this->resendPause = std::min(2 * this->resendPause, this->limits.maxResendPause);
    }
    this->isAnyAcknowledged = false;
}

/// Takes the newest origins for one batch: the older ones were not stored in time in any case.
std::vector<OriginOutbox::Entry> OriginOutbox::takeNewest(std::deque<Entry> &entries) const
{
    std::vector<Entry> taken;
    std::size_t bytes = 0;
    while (!entries.empty()) {
        bytes += estimateBytes(entries.back().origin);
        if (bytes > this->limits.maxBatchBytes)
            break;
        taken.push_back(std::move(entries.back()));
        entries.pop_back();
    }
    std::reverse(taken.begin(), taken.end());
    return taken;
}

std::vector<OriginBatch> OriginOutbox::takeDue(const IsStored &isStored, TimePoint now)
{
    this->dropOld(now);
    std::vector<OriginBatch> due;
    this->resendDue(due, now);
    for (auto &[service, entries] : this->waiting) {
        if (!isStored(service))
            continue;
        while (!entries.empty() && entries.front().begunAt + this->limits.coalescing <= now
               && this->open.size() < this->maxOpenBatches()) {
            OpenBatch batch{this->takeNewest(entries), now};
            due.push_back({this->nextNumber, originsOf(batch.entries)});
            this->open.emplace(this->nextNumber, std::move(batch));
            this->nextNumber = this->nextNumber.next();
        }
    }
    return due;
}

std::optional<TimePoint> OriginOutbox::nextDue(const IsStored &isStored) const
{
    std::optional<TimePoint> next;
    const auto include = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[number, batch] : this->open) {
        include(batch.sentAt + this->resendPause);
        if (!this->isAnswered)
            break;
    }
    if (this->open.size() >= this->maxOpenBatches())
        return next;
    for (const auto &[service, entries] : this->waiting) {
        if (!entries.empty() && isStored(service))
            include(entries.front().begunAt + this->limits.coalescing);
    }
    return next;
}

std::optional<Duration> OriginOutbox::acknowledge(OriginBatchNumber number, TimePoint now)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return std::nullopt;
    const Duration age = now - found->second.entries.front().begunAt;
    std::move(found->second.entries.begin(), found->second.entries.end(),
              std::back_inserter(this->stored));
    this->open.erase(found);
    this->isAnswered = true;
    this->isAnyAcknowledged = true;
    this->resendPause = this->limits.minResendPause;
    return age;
}

void OriginOutbox::handleOwnerChange(TimePoint now)
{
    this->isAnswered = true;
    this->isAnyAcknowledged = true;
    this->resendPause = this->limits.minResendPause;
    for (auto &[number, batch] : this->open)
        batch.sentAt = now - this->resendPause;
}

void OriginOutbox::handleStoreLoss()
{
    for (Entry &entry : this->stored)
        this->waiting[entry.origin.service].push_back(std::move(entry));
    this->stored.clear();
    for (auto &[service, entries] : this->waiting)
        std::stable_sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
            return left.begunAt < right.begunAt;
        });
}

std::size_t OriginOutbox::unstoredCount() const noexcept
{
    std::size_t count = 0;
    for (const auto &[service, entries] : this->waiting)
        count += entries.size();
    for (const auto &[number, batch] : this->open)
        count += batch.entries.size();
    return count;
}

OriginQueue::Reception OriginQueue::receive(const Endpoint &sender, const OriginBatch &batch,
                                            TimePoint now)
{
    while (!this->writtenAt.empty() && this->writtenAt.front().first + this->limits.memory < now) {
        this->written.erase(this->writtenAt.front().second);
        this->writtenAt.pop_front();
    }
    if (this->written.contains(batch.number))
        return Reception::Written;
    QueuedBatch added{{sender, batch.number}, batch.origins, now, 0};
    for (const StreamOrigin &origin : batch.origins)
        added.bytes += estimateBytes(origin);
    if (this->queuedBytes + added.bytes > this->limits.maxBytes
        || !this->open.insert(batch.number).second)
        return Reception::Dropped;
    this->queuedBytes += added.bytes;
    this->queued.push_back(std::move(added));
    return Reception::Queued;
}

void OriginQueue::dropOld(TimePoint now)
{
    const auto isOld = [&](const QueuedBatch &batch) {
        return batch.receivedAt + this->limits.maxWait < now;
    };
    std::erase_if(this->segment, [&](const QueuedBatch &batch) {
        return isOld(batch) && this->open.erase(batch.receipt.batch) > 0;
    });
    while (!this->queued.empty() && isOld(this->queued.front())) {
        this->open.erase(this->queued.front().receipt.batch);
        this->queuedBytes -= this->queued.front().bytes;
        this->queued.pop_front();
    }
}

std::vector<StreamOrigin> OriginQueue::beginSegment(TimePoint now)
{
    this->dropOld(now);
    const bool isBegun = !this->segment.empty();
    std::size_t bytes = 0;
    while (!isBegun && !this->queued.empty()) {
        bytes += this->queued.front().bytes;
        if (bytes > this->limits.maxSegmentBytes && !this->segment.empty())
            break;
        this->queuedBytes -= this->queued.front().bytes;
        this->segment.push_back(std::move(this->queued.front()));
        this->queued.pop_front();
    }
    std::vector<StreamOrigin> origins;
    for (const QueuedBatch &batch : this->segment)
        origins.insert(origins.end(), batch.origins.begin(), batch.origins.end());
    return origins;
}

std::vector<OriginReceipt> OriginQueue::completeSegment(TimePoint now)
{
    std::vector<OriginReceipt> receipts;
    for (const QueuedBatch &batch : this->segment) {
        this->open.erase(batch.receipt.batch);
        this->written.insert(batch.receipt.batch);
        this->writtenAt.emplace_back(now, batch.receipt.batch);
        receipts.push_back(batch.receipt);
    }
    this->segment.clear();
    return receipts;
}

void OriginQueue::clear()
{
    this->queued.clear();
    this->segment.clear();
    this->queuedBytes = 0;
    this->open.clear();
    this->written.clear();
    this->writtenAt.clear();
}

} // namespace bamboochute::gateway
