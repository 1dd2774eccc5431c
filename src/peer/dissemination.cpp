#include "peer/dissemination.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace bamboochute::peer {

namespace {

bool mayBeLost(Topic topic)
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
    return this->write(key, fence, std::move(payload), false);
}

Result<StateVersion> Dissemination::erase(const StateKey &key, Fence fence)
{
    return this->write(key, fence, std::string(), true);
}

Result<StateVersion> Dissemination::write(const StateKey &key, Fence fence, std::string payload,
                                          bool isErased)
{
    const std::size_t longest = std::max(key.item.size(), key.stream.scope.size());
    if (payload.size() > maxPayloadBytes || longest > maxKeyBytes) {
        this->countUp(DisseminationCount::Oversized);
        return Error(ErrorKind::ConfigurationTooLarge,
                     fmt::format("state of {} has {} bytes; at most {} are allowed",
                                 describe(key.stream), payload.size(), maxPayloadBytes));
    }
    const auto known = this->streams.find(key.stream);
    if (known == this->streams.end() || fence > known->second.fence) {
        BOOST_OUTCOME_TRY(this->takeOver(key.stream, fence));
    }
    Stream &stream = this->streams.at(key.stream);
    if (fence < stream.fence)
        return Error(ErrorKind::NotOwner,
                     fmt::format("{} is written under fence {}, not {}", describe(key.stream),
                                 stream.fence.value(), fence.value()));
    if (stream.entries.size() >= maxStreamEntries && !stream.entries.contains(key.item)) {
        this->countUp(DisseminationCount::TableFull);
        return Error(ErrorKind::ConfigurationTooLarge,
                     fmt::format("{} holds {} entries; no more are allowed", describe(key.stream),
                                 maxStreamEntries));
    }
    const StateDelta delta{key, StateVersion{fence, stream.known.next()}, std::move(payload),
                           isErased};
    this->store(stream, delta);
    this->noteSequence(stream, delta.version.sequence);
    this->enqueue(key, delta.version);
    return delta.version;
}

Result<StateVersion> Dissemination::takeOver(const StreamKey &key, Fence fence)
{
    const bool isNew = !this->streams.contains(key);
    if (isNew && this->streams.size() >= maxStreams) {
        this->countUp(DisseminationCount::TableFull);
        return Error(ErrorKind::ConfigurationTooLarge,
                     fmt::format("{} streams are held; no more are allowed", maxStreams));
    }
    Stream &stream = this->streams[key];
    if (!isNew && fence <= stream.fence)
        return Error(ErrorKind::NotOwner,
                     fmt::format("{} is written under fence {}, not {}", describe(key),
                                 stream.fence.value(), fence.value()));
    this->forgotten.erase(key);
    std::erase_if(stream.entries, [](const auto &each) { return each.second.isErased; });
    this->raiseFence(stream, fence);
    stream.hasFormer = false;
    for (auto &[item, entry] : stream.entries) {
        stream.complete = stream.complete.next();
        entry.version = StateVersion{fence, stream.complete};
        stream.bySequence.emplace(stream.complete.value(), item);
    }
    stream.known = stream.complete;
    stream.snapshot = stream.complete;
    stream.isBehind = false;
    this->behind.erase(key);
    this->heat(key);
    return StateVersion{fence, stream.complete};
}

std::vector<StateChanged> Dissemination::receive(TimePoint now, const Datagram &datagram)
{
    std::vector<StateChanged> changes;
    for (const StateDelta &delta : datagram.deltas) {
        if (this->accept(now, delta, changes))
            this->enqueue(delta.key, delta.version);
    }
    for (const StateRange &range : datagram.ranges)
        this->acceptRange(now, range, changes);
    for (const StreamDigest &digest : datagram.digests)
        this->compare(now, digest, datagram.sender);
    for (const StatePull &pull : datagram.pulls)
        this->owe(datagram.sender, pull);
    return changes;
}

Dissemination::Stream *Dissemination::openStream(const StreamKey &key, Fence fence)
{
    const auto found = this->streams.find(key);
    if (found == this->streams.end()) {
        const auto former = this->forgotten.find(key);
        if (former != this->forgotten.end() && fence <= former->second) {
            this->countUp(DisseminationCount::StaleFence);
            return nullptr;
        }
        if (this->streams.size() >= maxStreams) {
            this->countUp(DisseminationCount::TableFull);
            return nullptr;
        }
        Stream &opened = this->streams[key];
        opened.fence = fence;
        return &opened;
    }
    Stream &stream = found->second;
    if (fence < stream.fence) {
        this->countUp(DisseminationCount::StaleFence);
        return nullptr;
    }
    if (fence > stream.fence)
        this->raiseFence(stream, fence);
    return &stream;
}

void Dissemination::raiseFence(Stream &stream, Fence fence) const
{
    BC_INVARIANT(fence >= stream.fence, "the fence of a stream never falls");
    stream.fence = fence;
    stream.complete = Sequence();
    stream.known = Sequence();
    stream.snapshot = Sequence();
    stream.hasFormer = !stream.entries.empty();
    stream.aboveGap.clear();
    stream.bySequence.clear();
}

void Dissemination::store(Stream &stream, const StateDelta &delta) const
{
    Entry &entry = stream.entries[delta.key.item];
    BC_INVARIANT(entry.version < delta.version, "an entry's version never falls");
    if (entry.version.fence == stream.fence)
        stream.bySequence.erase(entry.version.sequence.value());
    entry = Entry{delta.version, delta.payload, delta.isErased};
    stream.bySequence[delta.version.sequence.value()] = delta.key.item;
}

void Dissemination::noteSequence(Stream &stream, Sequence sequence) const
{
    stream.known = std::max(stream.known, sequence);
    if (sequence <= stream.complete)
        return;
    if (stream.aboveGap.size() < maxAboveGap)
        stream.aboveGap.insert(sequence.value());
    this->absorb(stream);
}

void Dissemination::absorb(Stream &stream) const
{
    while (!stream.aboveGap.empty() && *stream.aboveGap.begin() <= stream.complete.next().value()) {
        stream.complete = std::max(stream.complete, Sequence(*stream.aboveGap.begin()));
        stream.aboveGap.erase(stream.aboveGap.begin());
    }
}

bool Dissemination::accept(TimePoint now, const StateDelta &delta,
                           std::vector<StateChanged> &changes)
{
    const StreamKey &key = delta.key.stream;
    Stream *stream = this->openStream(key, delta.version.fence);
    if (stream == nullptr)
        return false;
    const auto held = stream->entries.find(delta.key.item);
    const bool isHeld = held != stream->entries.end();
    if (isHeld && held->second.version >= delta.version) {
        const bool isSame = held->second.version == delta.version;
        this->countUp(isSame ? DisseminationCount::Duplicate : DisseminationCount::Superseded);
        if (isSame)
            this->noteDuplicate(delta.key, delta.version);
        this->noteSequence(*stream, delta.version.sequence);
        this->noteProgress(now, key, *stream);
        return false;
    }
    if (!isHeld && stream->entries.size() >= maxStreamEntries) {
        this->countUp(DisseminationCount::TableFull);
        return false;
    }
    this->store(*stream, delta);
    if (mayBeLost(key.topic))
        stream->complete = delta.version.sequence;
    this->noteSequence(*stream, delta.version.sequence);
    this->prune(key, *stream, changes);
    this->noteProgress(now, key, *stream);
    this->countUp(DisseminationCount::Accepted);
    changes.push_back(StateChanged{delta});
    return true;
}

void Dissemination::acceptRange(TimePoint now, const StateRange &range,
                                std::vector<StateChanged> &changes)
{
    Stream *stream = this->openStream(range.stream, range.fence);
    if (stream == nullptr)
        return;
    stream->snapshot = std::max(stream->snapshot, range.snapshot);
    for (const StateDelta &delta : range.deltas) {
        if (delta.version.fence == range.fence)
            this->accept(now, delta, changes);
    }
    if (range.after > stream->complete) {
        this->countUp(DisseminationCount::RangeIncomplete);
        return;
    }
    stream->complete = std::max(stream->complete, range.upTo);
    stream->known = std::max(stream->known, range.upTo);
    this->absorb(*stream);
    this->prune(range.stream, *stream, changes);
    // The next part may be asked for at once.
    stream->wasPulled = false;
    this->noteProgress(now, range.stream, *stream);
}

void Dissemination::prune(const StreamKey &key, Stream &stream,
                          std::vector<StateChanged> &changes) const
{
    if (!stream.hasFormer || stream.complete < stream.snapshot)
        return;
    stream.hasFormer = false;
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

void Dissemination::compare(TimePoint now, const StreamDigest &theirs, const InstanceId &sender)
{
    if (mayBeLost(theirs.stream.topic))
        return;
    const auto held = this->streams.find(theirs.stream);
    const bool isAhead = held != this->streams.end()
                         && (held->second.fence > theirs.fence
                             || (held->second.fence == theirs.fence
                                 && held->second.complete >= theirs.complete));
    if (isAhead)
        return;
    Stream *stream = this->openStream(theirs.stream, theirs.fence);
    if (stream == nullptr)
        return;
    stream->known = std::max(stream->known, theirs.complete);
    stream->aheadMember = sender;
    this->noteProgress(now, theirs.stream, *stream);
}

void Dissemination::noteProgress(TimePoint now, const StreamKey &key, Stream &stream)
{
    // Under a new fence even an empty snapshot has to be asked for.
    const bool isBehind = stream.complete < stream.known || stream.hasFormer;
    if (isBehind && !stream.isBehind)
        stream.behindSince = now;
    stream.isBehind = isBehind;
    if (isBehind)
        this->behind.insert(key);
    else
        this->behind.erase(key);
}

void Dissemination::owe(const InstanceId &asker, const StatePull &pull)
{
    const auto known = std::find_if(this->owed.begin(), this->owed.end(), [&](const auto &each) {
        return each.asker == asker && each.after.stream == pull.after.stream;
    });
    if (known != this->owed.end()) {
        known->after = pull.after;
        return;
    }
    if (this->owed.size() >= maxQueuedPulls) {
        this->countUp(DisseminationCount::QueueFull);
        return;
    }
    this->owed.push_back(QueuedPull{asker, pull.after});
}

void Dissemination::enqueue(const StateKey &key, StateVersion version)
{
    auto &queue = this->queues.at(static_cast<std::size_t>(key.stream.topic));
    if (queue.size() >= maxQueuedDeltas) {
        queue.pop_back();
        this->countUp(DisseminationCount::QueueFull);
    }
    queue.push_front(QueuedDelta{key, version, 0});
    if (isUrgent(key.stream.topic))
        this->heat(key.stream);
}

void Dissemination::noteDuplicate(const StateKey &key, StateVersion version)
{
    // Others spread the change already: each copy that comes in stands for one that goes out.
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

void Dissemination::heat(const StreamKey &stream)
{
    std::erase_if(this->hot, [&](const HotDigest &each) { return each.stream == stream; });
    if (this->hot.size() >= maxHotDigests)
        this->hot.pop_back();
    this->hot.push_front(HotDigest{stream, 0});
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
    if (this->forgotten.size() >= maxStreams)
        this->forgotten.erase(this->forgotten.begin());
    this->forgotten[key] = stream->second.fence;
    this->streams.erase(stream);
    this->behind.erase(key);
}

std::size_t Dissemination::entryCount() const
{
    std::size_t total = 0;
    for (const auto &[key, stream] : this->streams)
        total += stream.entries.size();
    return total;
}

std::uint64_t Dissemination::count(DisseminationCount which) const
{
    return this->counts.at(static_cast<std::size_t>(which));
}

void Dissemination::countUp(DisseminationCount which)
{
    ++this->counts.at(static_cast<std::size_t>(which));
}

} // namespace bamboochute::peer
