/// @file
/// @brief Origins of streams on their way into the platform's store: from the instance that began
/// them to the placement owner, which writes those of all instances.
#pragma once

#include "core/configuration.hpp"
#include "gateway/stream_origins.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bamboochute::gateway {

/// Number of a batch of origins, unique among those of all processes.
using OriginBatchNumber = Number<struct OriginBatchTag>;

/// @brief Origins that an instance hands to the owner together, and that the owner acknowledges
/// once they are stored.
struct OriginBatch
{
    OriginBatchNumber number;
    std::vector<StreamOrigin> origins;
    auto operator<=>(const OriginBatch &) const = default;
};

/// @brief Upper bound of the encoded size of an origin, in bytes.
std::size_t estimateBytes(const StreamOrigin &origin);

/// @brief Times and bounds of handing origins over.
struct OriginOutboxLimits
{
    /// Time for which origins are collected for one batch.
    Duration coalescing = std::chrono::milliseconds(20);
    /// Time after which an unacknowledged batch is sent again; doubled while none is acknowledged.
    Duration minResendPause = std::chrono::milliseconds(300);
    Duration maxResendPause = std::chrono::seconds(5);
    /// Time after which nobody takes the stream up any more.
    Duration lifetime = StreamOriginLimits().lifetime;
    /// Unacknowledged batches at an owner that acknowledges; at one that doesn't, there is one.
    std::size_t maxOpenBatches = 8;
    std::size_t maxBatchBytes = 1200;
    /// Largest number of origins that are kept of each service, and of those that are stored; the
    /// oldest are dropped first.
    std::size_t maxOrigins = 5000;
    auto operator<=>(const OriginOutboxLimits &) const = default;
};

/// @brief Recent streams that this instance began, and which of them are stored; not thread-safe.
///
/// The origins are kept also while they need not be stored, because that may change.
class OriginOutbox
{
public:
    /// Whether the origins of a service are to be stored now.
    using IsStored = std::function<bool(const ServiceId &)>;

    /// @param firstNumber number of the first batch; random, so that a process that starts again
    /// at the same address doesn't repeat those of its predecessor
    explicit OriginOutbox(OriginBatchNumber firstNumber, OriginOutboxLimits limits = {});

    /// @brief Adds the origin of a stream that this instance began, or a correction of it.
    void add(const StreamOrigin &origin, TimePoint now);

    /// @brief Returns the batches that have to be sent now; they count as sent.
    std::vector<OriginBatch> takeDue(const IsStored &isStored, TimePoint now);

    /// @brief When takeDue() has to be called next; unset when there is nothing to store.
    std::optional<TimePoint> nextDue(const IsStored &isStored) const;

    /// @brief Records that the owner has stored a batch.
    /// @return time since the oldest of its streams began; unset for a batch that is not open
    std::optional<Duration> acknowledge(OriginBatchNumber number, TimePoint now);

    /// @brief Lets the open batches be sent to the next owner at once.
    void handleOwnerChange(TimePoint now);

    /// @brief Takes all origins for not stored: the store has come back from a copy.
    void handleStoreLoss();

    /// @brief Number of origins that are not known to be stored.
    std::size_t unstoredCount() const noexcept;

private:
    struct Entry
    {
        TimePoint begunAt{};
        StreamOrigin origin;
    };
    struct OpenBatch
    {
        std::vector<Entry> entries;
        TimePoint sentAt{};
    };

    void dropOld(TimePoint now);
    std::size_t maxOpenBatches() const noexcept
    {
        return this->isAnswered ? this->limits.maxOpenBatches : 1;
    }
    void resendDue(std::vector<OriginBatch> &due, TimePoint now);
    std::vector<Entry> takeNewest(std::deque<Entry> &entries) const;

    OriginOutboxLimits limits;
    OriginBatchNumber nextNumber;
    std::map<ServiceId, std::deque<Entry>> waiting;
    std::map<OriginBatchNumber, OpenBatch> open;
    std::deque<Entry> stored;
    Duration resendPause;
    /// Whether the owner acknowledges batches; assumed of a new one.
    bool isAnswered = true;
    /// Whether a batch was acknowledged since one was last sent again.
    bool isAnyAcknowledged = true;
};

/// @brief Where a batch came from.
struct OriginReceipt
{
    Endpoint sender;
    OriginBatchNumber batch;
    auto operator<=>(const OriginReceipt &) const = default;
};

/// @brief Bounds of the origins that the owner queues.
struct OriginQueueLimits
{
    /// Further batches are dropped, and sent again by their instances.
    std::size_t maxBytes = 4000000;
    /// Largest estimated size of a segment.
    std::size_t maxSegmentBytes = 250000;
    /// Time for which the numbers of written batches are remembered, so that a batch whose
    /// acknowledgement was lost isn't written again.
    Duration memory = std::chrono::seconds(10);
    /// Time after which a batch that could not be written is dropped.
    Duration maxWait = StreamOriginLimits().lifetime;
    auto operator<=>(const OriginQueueLimits &) const = default;
};

/// @brief Batches of all instances at the owner, which writes several of them as one segment; not
/// thread-safe.
class OriginQueue
{
public:
    /// @brief What becomes of a batch that was received.
    enum class Reception {
        Queued,
        /// It has been written before: it only has to be acknowledged.
        Written,
        /// It is queued already, or there is no room.
        Dropped
    };

    explicit OriginQueue(OriginQueueLimits limits = {})
        : limits(limits)
    {}

    /// @brief Handles a batch of an instance.
    /// @param sender address to which the acknowledgement goes
    Reception receive(const Endpoint &sender, const OriginBatch &batch, TimePoint now);

    /// @brief Begins a segment with the batches that came first, unless one is begun.
    /// @return the origins of the segment; empty when there is none
    std::vector<StreamOrigin> beginSegment(TimePoint now);

    /// @brief Records that the segment is written.
    /// @return the batches to acknowledge
    std::vector<OriginReceipt> completeSegment(TimePoint now);

    bool isEmpty() const noexcept { return this->queued.empty() && this->segment.empty(); }

    /// @brief Forgets all batches, because another instance writes from now on or the store has
    /// lost what was written.
    void clear();

private:
    struct QueuedBatch
    {
        OriginReceipt receipt;
        std::vector<StreamOrigin> origins;
        TimePoint receivedAt{};
        std::size_t bytes = 0;
    };

    void dropOld(TimePoint now);

    OriginQueueLimits limits;
    std::deque<QueuedBatch> queued;
    std::vector<QueuedBatch> segment;
    std::size_t queuedBytes = 0;
    /// Numbers of the batches that are queued or in the segment.
    std::set<OriginBatchNumber> open;
    std::set<OriginBatchNumber> written;
    std::deque<std::pair<TimePoint, OriginBatchNumber>> writtenAt;
};

} // namespace bamboochute::gateway
