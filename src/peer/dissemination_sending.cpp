#include "peer/dissemination.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::peer {

namespace {

/// Number of topics, from the first one on, whose changes are sent immediately.
constexpr std::size_t urgentTopics = static_cast<std::size_t>(Topic::Placements) + 1;
/// Bytes of the space in a datagram that are reserved for digests.
constexpr std::size_t digestReserve = 160;
/// Estimated size of a range without scope and deltas, in bytes.
constexpr std::size_t rangeOverhead = 60;
/// Maximum number of members that pulls are sent to at a time.
constexpr std::size_t maxMembersPulledFrom = 3;
/// Maximum number of pulls in one datagram.
constexpr std::size_t maxPullsPerDatagram = 8;

bool reserveBytes(std::size_t &bytesLeft, std::size_t bytes)
{
    if (bytes > bytesLeft)
        return false;
    bytesLeft -= bytes;
    return true;
}

} // namespace

void Dissemination::fill(TimePoint now, Datagram &datagram, const InstanceId &receiver,
                         std::size_t maxBytes)
{
    const std::size_t reserved = std::min(maxBytes, digestReserve);
    std::size_t bytesLeft = maxBytes - reserved;
    this->fillDeltas(datagram, Topic::LeavingUpstreams, bytesLeft);
    this->fillDeltas(datagram, Topic::ConfigurationRoot, bytesLeft);
    this->fillPulls(now, datagram, receiver, bytesLeft);
    this->fillDeltas(datagram, Topic::Placements, bytesLeft);
    this->fillRanges(datagram, receiver, bytesLeft);
    this->fillDeltas(datagram, Topic::InForceRevision, bytesLeft);
    this->fillDeltas(datagram, Topic::LoadSummary, bytesLeft);
    bytesLeft += reserved;
    this->fillDigests(datagram, bytesLeft);
}

std::vector<StateDelta> Dissemination::takeUrgent(std::size_t maxBytes, Topic leastUrgent)
{
    std::vector<StateDelta> taken;
    std::size_t bytesLeft = maxBytes;
    const std::size_t end = std::min(urgentTopics, static_cast<std::size_t>(leastUrgent) + 1);
    for (std::size_t topic = 0; topic < end; ++topic) {
        auto &queue = this->queues.at(topic);
        while (!queue.empty() && queue.front().transmissions == 0) {
            QueuedDelta queued = std::move(queue.front());
            const std::optional<StateDelta> delta = this->findQueuedDelta(queued);
            if (delta && !reserveBytes(bytesLeft, estimateBytes(*delta))) {
                queue.front() = std::move(queued);
                return taken;
            }
            queue.pop_front();
            if (!delta)
                continue;
            taken.push_back(*delta);
            queued.transmissions = 1;
            if (queued.transmissions < this->settings.transmissions)
                queue.push_back(std::move(queued));
        }
    }
    return taken;
}

bool Dissemination::hasUnsentUrgent() const
{
    const auto end = this->queues.begin() + urgentTopics;
    return std::any_of(this->queues.begin(), end, [](const auto &queue) {
        return !queue.empty() && queue.front().transmissions == 0;
    });
}

bool Dissemination::hasQueued() const
{
    return std::any_of(this->queues.begin(), this->queues.end(),
                       [](const auto &queue) { return !queue.empty(); });
}

bool Dissemination::hasPullFrom(const InstanceId &receiver) const
{
    return std::any_of(this->queuedPulls.begin(), this->queuedPulls.end(),
                       [&](const QueuedPull &each) { return each.requester == receiver; });
}

std::optional<StateDelta> Dissemination::findQueuedDelta(const QueuedDelta &queued) const
{
    const auto stream = this->streams.find(queued.key.stream);
    if (stream == this->streams.end())
        return std::nullopt;
    const auto entry = stream->second.entries.find(queued.key.item);
    // A later version of the entry has its own element in the queue.
    if (entry == stream->second.entries.end() || entry->second.version != queued.version)
        return std::nullopt;
    return StateDelta{queued.key, queued.version, entry->second.payload, entry->second.isErased};
}

void Dissemination::fillDeltas(Datagram &datagram, Topic topic, std::size_t &bytesLeft)
{
    auto &queue = this->queues.at(static_cast<std::size_t>(topic));
    const std::uint32_t limit = topic == Topic::LoadSummary ? this->settings.lossyTransmissions
                                                            : this->settings.transmissions;
    const std::size_t count = queue.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::optional<StateDelta> delta = this->findQueuedDelta(queue.front());
        if (delta && !reserveBytes(bytesLeft, estimateBytes(*delta)))
            return;
        QueuedDelta queued = std::move(queue.front());
        queue.pop_front();
        if (!delta)
            continue;
        const bool isIncluded = std::find(datagram.deltas.begin(), datagram.deltas.end(), *delta)
                                != datagram.deltas.end();
        if (!isIncluded)
            datagram.deltas.push_back(*delta);
        ++queued.transmissions;
        if (queued.transmissions < limit)
            queue.push_back(std::move(queued));
    }
}

void Dissemination::fillRanges(Datagram &datagram, const InstanceId &receiver,
                               std::size_t &bytesLeft)
{
    for (auto pull = this->queuedPulls.begin(); pull != this->queuedPulls.end();) {
        if (pull->requester != receiver) {
            ++pull;
            continue;
        }
        std::optional<StateRange> range = this->makeRangeAfter(pull->after, bytesLeft);
        if (!range) {
            pull = this->queuedPulls.erase(pull);
            continue;
        }
        const bool isProgress
                = range->upTo > pull->after.complete || range->fence > pull->after.fence;
        if (!isProgress)
            return;
        std::size_t bytes = rangeOverhead + range->stream.scope.size();
        for (const StateDelta &delta : range->deltas)
            bytes += estimateBytes(delta);
        bytesLeft -= std::min(bytesLeft, bytes);
        pull->after = StreamDigest{range->stream, range->fence, range->upTo};
        const bool isWhole = range->upTo == this->streams.at(range->stream).complete;
        datagram.ranges.push_back(std::move(*range));
        this->countEvent(DisseminationEvent::RangeSent);
        if (!isWhole)
            return;
        pull = this->queuedPulls.erase(pull);
    }
}

std::optional<StateRange> Dissemination::makeRangeAfter(const StreamDigest &after,
                                                        std::size_t bytesLeft) const
{
    const auto found = this->streams.find(after.stream);
    if (found == this->streams.end() || found->second.fence < after.fence)
        return std::nullopt;
    const Stream &stream = found->second;
    const bool isSameFence = stream.fence == after.fence;
    // Without the whole snapshot this instance does not know which entries the new owner removed.
    if (stream.complete < stream.snapshot || (isSameFence && stream.complete <= after.complete))
        return std::nullopt;
    StateRange range;
    range.stream = after.stream;
    range.fence = stream.fence;
    range.after = isSameFence ? after.complete : Sequence();
    range.upTo = range.after;
    range.snapshot = stream.snapshot;
    std::size_t remaining = bytesLeft;
    if (!reserveBytes(remaining, rangeOverhead + range.stream.scope.size()))
        return range;
    auto next = stream.bySequence.upper_bound(range.after.value());
    for (; next != stream.bySequence.end() && next->first <= stream.complete.value(); ++next) {
        const Entry &entry = stream.entries.at(next->second);
        StateDelta delta{StateKey{range.stream, next->second}, entry.version, entry.payload,
                         entry.isErased};
        if (!reserveBytes(remaining, estimateBytes(delta)))
            return range;
        range.deltas.push_back(std::move(delta));
        range.upTo = Sequence(next->first);
    }
    range.upTo = stream.complete;
    return range;
}

bool Dissemination::isPullDue(TimePoint now, const StreamKey &key, const Stream &stream) const
{
    const bool isUrgent = static_cast<std::size_t>(key.topic) < urgentTopics;
    const Duration delay = isUrgent ? this->settings.urgentPullDelay : this->settings.pullDelay;
    const Duration retry = isUrgent ? this->settings.urgentPullRetry : this->settings.pullRetry;
    return now - stream.behindSince >= delay
           && (!stream.wasPulled || now - stream.pulledAt >= retry);
}

std::vector<InstanceId> Dissemination::membersToPullFrom(TimePoint now) const
{
    std::vector<InstanceId> members;
    for (const StreamKey &key : this->behindStreams) {
        const Stream &stream = this->streams.at(key);
        const bool canPull = !stream.aheadMember.isEmpty() && this->isPullDue(now, key, stream);
        const bool isNew
                = std::find(members.begin(), members.end(), stream.aheadMember) == members.end();
        if (canPull && isNew)
            members.push_back(stream.aheadMember);
        if (members.size() >= maxMembersPulledFrom)
            break;
    }
    return members;
}

void Dissemination::fillPulls(TimePoint now, Datagram &datagram, const InstanceId &receiver,
                              std::size_t &bytesLeft)
{
    for (const StreamKey &key : this->behindStreams) {
        if (datagram.pulls.size() >= maxPullsPerDatagram)
            return;
        Stream &stream = this->streams.at(key);
        if (stream.aheadMember != receiver || !this->isPullDue(now, key, stream))
            continue;
        const StatePull pull{StreamDigest{key, stream.fence, stream.complete}};
        if (!reserveBytes(bytesLeft, estimateBytes(pull.after)))
            return;
        stream.pulledAt = now;
        stream.wasPulled = true;
        datagram.pulls.push_back(pull);
        this->countEvent(DisseminationEvent::Pulled);
    }
}

void Dissemination::fillDigests(Datagram &datagram, std::size_t &bytesLeft)
{
    const auto add = [&](const StreamKey &key) {
        const StreamDigest digest = this->digest(key);
        if (!reserveBytes(bytesLeft, estimateBytes(digest)))
            return false;
        datagram.digests.push_back(digest);
        return true;
    };
    const std::size_t maxDigests = this->settings.digestsPerDatagram;
    const std::size_t prioritizedCount = std::min(this->prioritizedDigests.size(), maxDigests / 2);
    for (std::size_t i = 0; i < prioritizedCount; ++i) {
        PrioritizedDigest next = std::move(this->prioritizedDigests.front());
        this->prioritizedDigests.pop_front();
        if (!add(next.stream))
            return;
        ++next.transmissions;
        if (next.transmissions < this->settings.prioritizedDigestTransmissions)
            this->prioritizedDigests.push_back(std::move(next));
    }
    for (std::size_t i = 0; i < this->streams.size() && datagram.digests.size() < maxDigests; ++i) {
        auto next = this->streams.upper_bound(this->digestCursor);
        if (next == this->streams.end())
            next = this->streams.begin();
        this->digestCursor = next->first;
        if (next->first.topic != Topic::LoadSummary && !add(next->first))
            return;
    }
}

} // namespace bamboochute::peer
