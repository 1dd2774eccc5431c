#include "peer/dissemination.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace bamboochute::peer {

namespace {

bool isLossy(Topic topic)
{
    return topic == Topic::LoadSummary;
}

bool isUrgent(Topic topic)
{
    return topic <= Topic::Placements;
}

std::string describe(const StreamKey &stream)
{
    return fmt::format("{}/{}", topicName(stream.topic), stream.scope);
}

} // namespace

Dissemination::Dissemination(DisseminationSettings settings)
    : settings(settings)
{}

Result<StateVersion> Dissemination::publish(const StateKey &key, Fence fence, std::string payload)
{
    return this->writeEntry(key, fence, std::move(payload), false);
}

Result<StateVersion> Dissemination::erase(const StateKey &key, Fence fence)
{
    return this->writeEntry(key, fence, std::string(), true);
}

Result<StateVersion> Dissemination::writeEntry(const StateKey &key, Fence fence,
                                               std::string payload, bool isErased)
{
    const std::size_t longestKeyPart = std::max(key.item.size(), key.stream.scope.size());
    if (payload.size() > maxPayloadBytes || longestKeyPart > maxKeyBytes) {
        this->countEvent(DisseminationEvent::Oversized);
        return Error(
                ErrorKind::ConfigurationTooLarge,
                fmt::format(
                        "state of stream {} not published: key too long, or payload of {} bytes "
                        "above {} bytes",
                        describe(key.stream), payload.size(), maxPayloadBytes));
    }
    const auto known = this->streams.find(key.stream);
    if (known == this->streams.end() || fence > known->second.fence) {
        BOOST_OUTCOME_TRY(this->takeOver(key.stream, fence));
    }
    Stream &stream = this->streams.at(key.stream);
    if (fence < stream.fence)
        return Error(ErrorKind::NotOwner,
                     fmt::format("state stream {} has fence {}; write under fence {} rejected",
                                 describe(key.stream), stream.fence.value(), fence.value()));
    if (stream.entries.size() >= maxStreamEntries && !stream.entries.contains(key.item)) {
        this->countEvent(DisseminationEvent::TableFull);
        return Error(
                ErrorKind::ConfigurationTooLarge,
                fmt::format("entry not added to state stream {}: it has {} entries, the maximum",
                            describe(key.stream), maxStreamEntries));
    }
    const StateDelta delta{key, StateVersion{fence, stream.highestKnown.next()}, std::move(payload),
                           isErased};
    this->storeEntry(stream, delta);
    this->recordSequence(stream, delta.version.sequence);
    this->enqueue(key, delta.version);
    return delta.version;
}

Result<StateVersion> Dissemination::takeOver(const StreamKey &key, Fence fence)
{
    const bool isNew = !this->streams.contains(key);
    if (isNew && this->streams.size() >= maxStreams) {
        this->countEvent(DisseminationEvent::TableFull);
        return Error(ErrorKind::ConfigurationTooLarge,
                     fmt::format("state stream not added: {} streams are held, the maximum",
                                 maxStreams));
    }
    Stream &stream = this->streams[key];
    if (!isNew && fence <= stream.fence)
        return Error(ErrorKind::NotOwner,
                     fmt::format("state stream {} has fence {}; takeover under fence {} rejected, "
                                 "as it is not higher",
                                 describe(key), stream.fence.value(), fence.value()));
    this->forgottenFences.erase(key);
    std::erase_if(stream.entries, [](const auto &each) { return each.second.isErased; });
    this->raiseFence(stream, fence);
    stream.hasFormerEntries = false;
    for (auto &[item, entry] : stream.entries) {
        stream.complete = stream.complete.next();
        entry.version = StateVersion{fence, stream.complete};
        stream.bySequence.emplace(stream.complete.value(), item);
    }
    stream.highestKnown = stream.complete;
    stream.snapshot = stream.complete;
    stream.isBehind = false;
    this->behindStreams.erase(key);
    this->prioritizeDigest(key);
    return StateVersion{fence, stream.complete};
}

std::vector<StateChanged> Dissemination::receive(TimePoint now, const Datagram &datagram)
{
    std::vector<StateChanged> changes;
    for (const StateDelta &delta : datagram.deltas) {
        if (this->applyDelta(now, delta, changes))
            this->enqueue(delta.key, delta.version);
    }
    for (const StateRange &range : datagram.ranges)
        this->applyRange(now, range, changes);
    for (const StreamDigest &digest : datagram.digests)
        this->compareDigest(now, digest, datagram.sender);
    for (const StatePull &pull : datagram.pulls)
        this->enqueuePull(datagram.sender, pull);
    return changes;
}

Dissemination::Stream *Dissemination::findOrOpenStream(const StreamKey &key, Fence fence)
{
    const auto found = this->streams.find(key);
    if (found == this->streams.end()) {
        const auto former = this->forgottenFences.find(key);
        if (former != this->forgottenFences.end() && fence <= former->second) {
            this->countEvent(DisseminationEvent::StaleFence);
            return nullptr;
        }
        if (this->streams.size() >= maxStreams) {
            this->countEvent(DisseminationEvent::TableFull);
            return nullptr;
        }
        Stream &opened = this->streams[key];
        opened.fence = fence;
        return &opened;
    }
    Stream &stream = found->second;
    if (fence < stream.fence) {
        this->countEvent(DisseminationEvent::StaleFence);
        return nullptr;
    }
    if (fence > stream.fence)
        this->raiseFence(stream, fence);
    return &stream;
}

void Dissemination::raiseFence(Stream &stream, Fence fence) const
{
    BC_INVARIANT(fence >= stream.fence, "the fence of a stream never decreases");
    stream.fence = fence;
    stream.complete = Sequence();
    stream.highestKnown = Sequence();
    stream.snapshot = Sequence();
    stream.hasFormerEntries = !stream.entries.empty();
    stream.aboveGap.clear();
    stream.bySequence.clear();
}

void Dissemination::storeEntry(Stream &stream, const StateDelta &delta) const
{
    Entry &entry = stream.entries[delta.key.item];
    BC_INVARIANT(entry.version < delta.version, "the version of an entry always increases");
    if (entry.version.fence == stream.fence)
        stream.bySequence.erase(entry.version.sequence.value());
    entry = Entry{delta.version, delta.payload, delta.isErased};
    stream.bySequence[delta.version.sequence.value()] = delta.key.item;
}

void Dissemination::recordSequence(Stream &stream, Sequence sequence) const
{
    stream.highestKnown = std::max(stream.highestKnown, sequence);
    if (sequence <= stream.complete)
        return;
    if (stream.aboveGap.size() < maxAboveGap)
        stream.aboveGap.insert(sequence.value());
    this->advanceComplete(stream);
}

void Dissemination::advanceComplete(Stream &stream) const
{
    while (!stream.aboveGap.empty() && *stream.aboveGap.begin() <= stream.complete.next().value()) {
        stream.complete = std::max(stream.complete, Sequence(*stream.aboveGap.begin()));
        stream.aboveGap.erase(stream.aboveGap.begin());
    }
}

bool Dissemination::applyDelta(TimePoint now, const StateDelta &delta,
                               std::vector<StateChanged> &changes)
{
    const StreamKey &key = delta.key.stream;
    Stream *stream = this->findOrOpenStream(key, delta.version.fence);
    if (stream == nullptr)
        return false;
    const auto held = stream->entries.find(delta.key.item);
    const bool isHeld = held != stream->entries.end();
    if (isHeld && held->second.version >= delta.version) {
        const bool isSame = held->second.version == delta.version;
        this->countEvent(isSame ? DisseminationEvent::Duplicate : DisseminationEvent::Superseded);
        if (isSame)
            this->countDuplicate(delta.key, delta.version);
        this->recordSequence(*stream, delta.version.sequence);
        this->updateBehind(now, key, *stream);
        return false;
    }
    if (!isHeld && stream->entries.size() >= maxStreamEntries) {
        this->countEvent(DisseminationEvent::TableFull);
        return false;
    }
    this->storeEntry(*stream, delta);
    if (isLossy(key.topic))
        stream->complete = delta.version.sequence;
    this->recordSequence(*stream, delta.version.sequence);
    this->removeFormerEntries(key, *stream, changes);
    this->updateBehind(now, key, *stream);
    this->countEvent(DisseminationEvent::Accepted);
    changes.push_back(StateChanged{delta});
    return true;
}

void Dissemination::applyRange(TimePoint now, const StateRange &range,
                               std::vector<StateChanged> &changes)
{
    Stream *stream = this->findOrOpenStream(range.stream, range.fence);
    if (stream == nullptr)
        return;
    stream->snapshot = std::max(stream->snapshot, range.snapshot);
    for (const StateDelta &delta : range.deltas) {
        if (delta.version.fence == range.fence)
            this->applyDelta(now, delta, changes);
    }
    if (range.after > stream->complete) {
        this->countEvent(DisseminationEvent::RangeIncomplete);
        return;
    }
    stream->complete = std::max(stream->complete, range.upTo);
    stream->highestKnown = std::max(stream->highestKnown, range.upTo);
    this->advanceComplete(*stream);
    this->removeFormerEntries(range.stream, *stream, changes);
    // Allows an immediate pull of the next part.
    stream->wasPulled = false;
    this->updateBehind(now, range.stream, *stream);
}

void Dissemination::removeFormerEntries(const StreamKey &key, Stream &stream,
                                        std::vector<StateChanged> &changes) const
{
    if (!stream.hasFormerEntries || stream.complete < stream.snapshot)
        return;
    stream.hasFormerEntries = false;
    for (auto entry = stream.entries.begin(); entry != stream.entries.end();) {
        if (entry->second.version.fence == stream.fence) {
            ++entry;
            continue;
        }
        if (!entry->second.isErased) {
            const StateKey erased{key, entry->first};
            const StateVersion version{stream.fence, stream.snapshot};
            changes.push_back(StateChanged{StateDelta{erased, version, std::string(), true}});
        }
        entry = stream.entries.erase(entry);
    }
}

void Dissemination::compareDigest(TimePoint now, const StreamDigest &remote,
                                  const InstanceId &sender)
{
    if (isLossy(remote.stream.topic))
        return;
    const auto held = this->streams.find(remote.stream);
    const bool isAhead = held != this->streams.end()
                         && (held->second.fence > remote.fence
                             || (held->second.fence == remote.fence
                                 && held->second.complete >= remote.complete));
    if (isAhead)
        return;
    Stream *stream = this->findOrOpenStream(remote.stream, remote.fence);
    if (stream == nullptr)
        return;
    stream->highestKnown = std::max(stream->highestKnown, remote.complete);
    stream->aheadMember = sender;
    this->updateBehind(now, remote.stream, *stream);
}

void Dissemination::updateBehind(TimePoint now, const StreamKey &key, Stream &stream)
{
    // Under a new fence even an empty snapshot must be pulled.
    const bool isBehind = stream.complete < stream.highestKnown || stream.hasFormerEntries;
    if (isBehind && !stream.isBehind)
        stream.behindSince = now;
    stream.isBehind = isBehind;
    if (isBehind)
        this->behindStreams.insert(key);
    else
        this->behindStreams.erase(key);
}

void Dissemination::enqueuePull(const InstanceId &requester, const StatePull &pull)
{
    const auto known = std::find_if(
            this->queuedPulls.begin(), this->queuedPulls.end(), [&](const auto &each) {
                return each.requester == requester && each.after.stream == pull.after.stream;
            });
    if (known != this->queuedPulls.end()) {
        known->after = pull.after;
        return;
    }
    if (this->queuedPulls.size() >= maxQueuedPulls) {
        this->countEvent(DisseminationEvent::QueueFull);
        return;
    }
    this->queuedPulls.push_back(QueuedPull{requester, pull.after});
}

void Dissemination::enqueue(const StateKey &key, StateVersion version)
{
    auto &queue = this->queues.at(static_cast<std::size_t>(key.stream.topic));
    if (queue.size() >= maxQueuedDeltas) {
        queue.pop_back();
        this->countEvent(DisseminationEvent::QueueFull);
    }
    queue.push_front(QueuedDelta{key, version, 0});
    if (isUrgent(key.stream.topic))
        this->prioritizeDigest(key.stream);
}

void Dissemination::countDuplicate(const StateKey &key, StateVersion version)
{
    // Other instances already disseminate the change, so a received copy counts as a transmission.
    auto &queue = this->queues.at(static_cast<std::size_t>(key.stream.topic));
    const auto queued = std::find_if(queue.begin(), queue.end(), [&](const QueuedDelta &each) {
        return each.version == version && each.key == key;
    });
    if (queued == queue.end() || queued->transmissions == 0)
        return;
    ++queued->transmissions;
    if (queued->transmissions >= this->settings.transmissions)
        queue.erase(queued);
}

void Dissemination::prioritizeDigest(const StreamKey &stream)
{
    std::erase_if(this->prioritizedDigests,
                  [&](const PrioritizedDigest &each) { return each.stream == stream; });
    if (this->prioritizedDigests.size() >= maxPrioritizedDigests)
        this->prioritizedDigests.pop_back();
    this->prioritizedDigests.push_front(PrioritizedDigest{stream, 0});
}

std::optional<StateDelta> Dissemination::find(const StateKey &key) const
{
    const auto stream = this->streams.find(key.stream);
    if (stream == this->streams.end())
        return std::nullopt;
    const auto entry = stream->second.entries.find(key.item);
    if (entry == stream->second.entries.end() || entry->second.isErased)
        return std::nullopt;
    return StateDelta{key, entry->second.version, entry->second.payload, false};
}

std::vector<StateDelta> Dissemination::entries(const StreamKey &key) const
{
    std::vector<StateDelta> all;
    const auto stream = this->streams.find(key);
    if (stream == this->streams.end())
        return all;
    for (const auto &[item, entry] : stream->second.entries) {
        if (!entry.isErased)
            all.push_back(StateDelta{StateKey{key, item}, entry.version, entry.payload, false});
    }
    return all;
}

std::vector<std::string> Dissemination::scopes(Topic topic) const
{
    std::vector<std::string> all;
    for (const auto &[key, stream] : this->streams) {
        if (key.topic == topic)
            all.push_back(key.scope);
    }
    return all;
}

StreamDigest Dissemination::digest(const StreamKey &key) const
{
    const auto stream = this->streams.find(key);
    if (stream == this->streams.end())
        return StreamDigest{key, Fence(), Sequence()};
    return StreamDigest{key, stream->second.fence, stream->second.complete};
}

void Dissemination::forget(const StreamKey &key)
{
    const auto stream = this->streams.find(key);
    if (stream == this->streams.end())
        return;
    if (this->forgottenFences.size() >= maxStreams)
        this->forgottenFences.erase(this->forgottenFences.begin());
    this->forgottenFences[key] = stream->second.fence;
    this->streams.erase(stream);
    this->behindStreams.erase(key);
}

std::size_t Dissemination::entryCount() const
{
    std::size_t total = 0;
    for (const auto &[key, stream] : this->streams)
        total += stream.entries.size();
    return total;
}

std::uint64_t Dissemination::count(DisseminationEvent which) const
{
    return this->counts.at(static_cast<std::size_t>(which));
}

void Dissemination::countEvent(DisseminationEvent which)
{
    ++this->counts.at(static_cast<std::size_t>(which));
}

} // namespace bamboochute::peer
