#include "peer/dissemination.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::peer {

namespace {

/// Topics whose changes are sent at once.
constexpr std::size_t urgentTopics = static_cast<std::size_t>(Topic::Placements) + 1;
/// Bytes of a datagram that digests may always take, if there is room at all.
constexpr std::size_t digestReserve = 160;
/// Bytes of a range without its deltas.
constexpr std::size_t rangeOverhead = 60;
/// Most pulls on one datagram.
constexpr std::size_t maxPullsPerDatagram = 8;

bool takeRoom(std::size_t &room, std::size_t bytes)
{
    if (bytes > room)
        return false;
    room -= bytes;
    return true;
}

} // namespace

void Dissemination::fill(TimePoint now, Datagram &datagram, const InstanceId &receiver,
                         std::size_t maxBytes)
{
    const std::size_t reserved = std::min(maxBytes, digestReserve);
    std::size_t room = maxBytes - reserved;
    this->fillDeltas(datagram, Topic::LeavingUpstreams, room);
    this->fillDeltas(datagram, Topic::ConfigurationRoot, room);
    this->fillPulls(now, datagram, receiver, room);
    this->fillDeltas(datagram, Topic::Placements, room);
    this->fillRanges(datagram, receiver, room);
    this->fillDeltas(datagram, Topic::InForceRevision, room);
    this->fillDeltas(datagram, Topic::LoadSummary, room);
    room += reserved;
    this->fillDigests(datagram, room);
}

std::vector<StateDelta> Dissemination::takeUrgent(std::size_t maxBytes)
{
    std::vector<StateDelta> taken;
    std::size_t room = maxBytes;
    for (std::size_t topic = 0; topic < urgentTopics; ++topic) {
        auto &queue = this->queues.at(topic);
        while (!queue.empty() && queue.front().transmissions == 0) {
            QueuedDelta queued = std::move(queue.front());
            const std::optional<StateDelta> delta = this->queuedValue(queued);
            if (delta && !takeRoom(room, estimateBytes(*delta))) {
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

bool Dissemination::hasUrgent() const
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

bool Dissemination::owesTo(const InstanceId &receiver) const
{
    return std::any_of(this->owed.begin(), this->owed.end(),
                       [&](const QueuedPull &each) { return each.asker == receiver; });
}

std::optional<StateDelta> Dissemination::queuedValue(const QueuedDelta &queued) const
{
    const auto stream = this->streams.find(queued.key.stream);
    if (stream == this->streams.end())
        return std::nullopt;
    const auto entry = stream->second.entries.find(queued.key.item);
    // A later version of the entry has its own place in the queue.
    if (entry == stream->second.entries.end() || entry->second.version != queued.version)
        return std::nullopt;
    return StateDelta{queued.key, queued.version, entry->second.payload, entry->second.isErased};
}

void Dissemination::fillDeltas(Datagram &datagram, Topic topic, std::size_t &room)
{
    auto &queue = this->queues.at(static_cast<std::size_t>(topic));
    const std::uint32_t limit = topic == Topic::LoadSummary ? this->settings.lossyTransmissions
                                                            : this->settings.transmissions;
    const std::size_t count = queue.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::optional<StateDelta> delta = this->queuedValue(queue.front());
        if (delta && !takeRoom(room, estimateBytes(*delta)))
            return;
        QueuedDelta queued = std::move(queue.front());
        queue.pop_front();
        if (!delta)
            continue;
        const bool isThere = std::find(datagram.deltas.begin(), datagram.deltas.end(), *delta)
                             != datagram.deltas.end();
        if (!isThere)
            datagram.deltas.push_back(*delta);
        ++queued.transmissions;
        if (queued.transmissions < limit)
            queue.push_back(std::move(queued));
    }
}

void Dissemination::fillRanges(Datagram &datagram, const InstanceId &receiver, std::size_t &room)
{
    for (auto pull = this->owed.begin(); pull != this->owed.end();) {
        if (pull->asker != receiver) {
            ++pull;
            continue;
        }
        std::optional<StateRange> range = this->rangeAfter(pull->after, room);
        if (!range) {
            pull = this->owed.erase(pull);
            continue;
        }
        const bool isProgress
                = range->upTo > pull->after.complete || range->fence > pull->after.fence;
        if (!isProgress)
            return;
        std::size_t bytes = rangeOverhead + range->stream.scope.size();
        for (const StateDelta &delta : range->deltas)
            bytes += estimateBytes(delta);
        room -= std::min(room, bytes);
        pull->after = StreamDigest{range->stream, range->fence, range->upTo};
        const bool isWhole = range->upTo == this->streams.at(range->stream).complete;
        datagram.ranges.push_back(std::move(*range));
        this->countUp(DisseminationCount::RangeSent);
        if (!isWhole)
            return;
        pull = this->owed.erase(pull);
    }
}

std::optional<StateRange> Dissemination::rangeAfter(const StreamDigest &after,
                                                    std::size_t room) const
{
    const auto found = this->streams.find(after.stream);
    if (found == this->streams.end() || found->second.fence < after.fence)
        return std::nullopt;
    const Stream &stream = found->second;
    const bool isSameFence = stream.fence == after.fence;
    // Without the whole snapshot this instance can't tell what the successor has dropped.
    if (stream.complete < stream.snapshot || (isSameFence && stream.complete <= after.complete))
        return std::nullopt;
    StateRange range;
    range.stream = after.stream;
    range.fence = stream.fence;
    range.after = isSameFence ? after.complete : Sequence();
    range.upTo = range.after;
    range.snapshot = stream.snapshot;
    std::size_t left = room;
    if (!takeRoom(left, rangeOverhead + range.stream.scope.size()))
        return range;
    auto next = stream.bySequence.upper_bound(range.after.value());
    for (; next != stream.bySequence.end() && next->first <= stream.complete.value(); ++next) {
        const Entry &entry = stream.entries.at(next->second);
        StateDelta delta{StateKey{range.stream, next->second}, entry.version, entry.payload,
                         entry.isErased};
        if (!takeRoom(left, estimateBytes(delta)))
            return range;
        range.deltas.push_back(std::move(delta));
        range.upTo = Sequence(next->first);
    }
    range.upTo = stream.complete;
    return range;
}

void Dissemination::fillPulls(TimePoint now, Datagram &datagram, const InstanceId &receiver,
                              std::size_t &room)
{
    for (const StreamKey &key : this->behind) {
        if (datagram.pulls.size() >= maxPullsPerDatagram)
            return;
        Stream &stream = this->streams.at(key);
        const bool isFresh = now - stream.behindSince < this->settings.pullDelay;
        const bool isAsked = stream.wasPulled && now - stream.pulledAt < this->settings.pullRetry;
        if (isFresh || isAsked || stream.aheadMember != receiver)
            continue;
        const StatePull pull{StreamDigest{key, stream.fence, stream.complete}};
        if (!takeRoom(room, estimateBytes(pull.after)))
            return;
        stream.pulledAt = now;
        stream.wasPulled = true;
        datagram.pulls.push_back(pull);
        this->countUp(DisseminationCount::Pulled);
    }
}

void Dissemination::fillDigests(Datagram &datagram, std::size_t &room)
{
    const auto add = [&](const StreamKey &key) {
        const StreamDigest digest = this->digest(key);
        if (!takeRoom(room, estimateBytes(digest)))
            return false;
        datagram.digests.push_back(digest);
        return true;
    };
    const std::size_t most = this->settings.digestsPerDatagram;
    const std::size_t hotCount = std::min(this->hot.size(), most / 2);
    for (std::size_t i = 0; i < hotCount; ++i) {
        HotDigest next = std::move(this->hot.front());
        this->hot.pop_front();
        if (!add(next.stream))
            return;
        ++next.transmissions;
        if (next.transmissions < this->settings.hotDigestTransmissions)
            this->hot.push_back(std::move(next));
    }
    for (std::size_t i = 0; i < this->streams.size() && datagram.digests.size() < most; ++i) {
        auto next = this->streams.upper_bound(this->digestCursor);
        if (next == this->streams.end())
            next = this->streams.begin();
        this->digestCursor = next->first;
        if (next->first.topic != Topic::LoadSummary && !add(next->first))
            return;
    }
}

} // namespace bamboochute::peer
