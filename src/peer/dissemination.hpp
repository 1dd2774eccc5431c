/// @file
/// @brief Spread of versioned state between instances: deltas, and repair of what was lost.
#pragma once

#include "core/clock.hpp"
#include "peer/datagram.hpp"
#include "peer/state_version.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Most streams that an instance holds.
constexpr std::size_t maxStreams = 4096;
/// Most entries of one stream.
constexpr std::size_t maxStreamEntries = 65536;
/// Most bytes of one payload; a delta with it fits into a datagram.
constexpr std::size_t maxPayloadBytes = 900;
/// Most bytes of a scope or an item.
constexpr std::size_t maxKeyBytes = 160;
/// Most changes that are held above a gap of one stream.
constexpr std::size_t maxAboveGap = 1024;
/// Most deltas of one topic that wait to be sent; what is dropped is pulled by those who lack it.
constexpr std::size_t maxQueuedDeltas = 256;
/// Most streams whose digest goes before the others.
constexpr std::size_t maxHotDigests = 64;
/// Most answers to pulls that wait to be sent.
constexpr std::size_t maxQueuedPulls = 64;

/// @brief Bounds of the spread of state.
struct DisseminationSettings
{
    /// Times that one change rides on a datagram of this instance.
    std::uint32_t transmissions = 3;
    /// The same for topics that may be lost.
    std::uint32_t lossyTransmissions = 2;
    /// Digests on one datagram.
    std::uint32_t digestsPerDatagram = 8;
    /// Times that the digest of a stream rides on a datagram after an urgent change.
    std::uint32_t hotDigestTransmissions = 6;
    /// Time that a missing change may still arrive by itself.
    Duration pullDelay = std::chrono::milliseconds(300);
    /// Time until the same gap is asked for again.
    Duration pullRetry = std::chrono::milliseconds(1000);
    auto operator<=>(const DisseminationSettings &) const = default;
};

/// @brief A change that this instance has learnt; for the process to act on.
struct StateChanged
{
    StateDelta delta;
    auto operator<=>(const StateChanged &) const = default;
};

/// @brief Reasons that the spread of state counts.
enum class DisseminationCount : std::uint8_t {
    Accepted,
    Duplicate,
    /// Of a former owner.
    StaleFence,
    /// Older than what is held.
    Superseded,
    Pulled,
    RangeSent,
    RangeIncomplete,
    /// Dropped at a bound, to be repaired by a pull.
    QueueFull,
    TableFull,
    Oversized,
};

constexpr std::size_t disseminationCountCount = 10;

/// @brief Name of a count, as in metrics.
std::string_view disseminationCountName(DisseminationCount count) noexcept;

/// @brief What an instance holds of the spread state, and what it owes to others.
class Dissemination
{
public:
    /// @param settings bounds
    explicit Dissemination(DisseminationSettings settings);

    /// @brief Publishes the newest value of an entry of a stream that this instance writes.
    /// @param key entry
    /// @param fence of the ownership, or the incarnation for the instance's own state
    /// @param payload opaque bytes, at most maxPayloadBytes
    /// @return the version given to it; NotOwner when a higher fence is known,
    ///         ConfigurationTooLarge when the payload or the key exceeds its bound
    Result<StateVersion> publish(const StateKey &key, Fence fence, std::string payload);

    /// @brief Publishes the removal of an entry.
    Result<StateVersion> erase(const StateKey &key, Fence fence);

    /// @brief Takes a stream over: publishes all entries held again under the successor's fence.
    ///
    /// Entries of the former owner that are not among these vanish at each instance that has
    /// got the whole of it.
    /// @param stream to take over
    /// @param fence higher than that of the former owner
    Result<StateVersion> takeOver(const StreamKey &stream, Fence fence);

    /// @brief Takes what a datagram carries.
    /// @return the changes that are new here
    std::vector<StateChanged> receive(TimePoint now, const Datagram &datagram);

    /// @brief Fills a datagram up to a number of encoded bytes, urgent topics first.
    /// @param datagram gets deltas, ranges, pulls and digests
    /// @param receiver member that it goes to; what it asked for is sent to it
    /// @param maxBytes bound of what may be added, as estimated
    void fill(TimePoint now, Datagram &datagram, const InstanceId &receiver, std::size_t maxBytes);

    /// @brief Takes the changes of urgent topics that were not sent yet, to be sent at once.
    /// @param maxBytes bound of their encoded bytes, as estimated
    std::vector<StateDelta> takeUrgent(std::size_t maxBytes);

    /// @brief Whether changes of an urgent topic wait that were not sent yet.
    bool hasUrgent() const;

    /// @brief Whether any change waits to be sent.
    bool hasQueued() const;

    /// @brief Whether something waits for this member that it asked for.
    bool owesTo(const InstanceId &receiver) const;

    /// @brief Value of an entry, unless it is not held or was erased.
    std::optional<StateDelta> find(const StateKey &key) const;

    /// @brief All entries of a stream that were not erased.
    std::vector<StateDelta> entries(const StreamKey &stream) const;

    /// @brief Scopes of a topic that are held.
    std::vector<std::string> scopes(Topic topic) const;

    /// @brief How far a stream is held.
    StreamDigest digest(const StreamKey &stream) const;

    /// @brief Forgets a stream, such as that of an instance that is gone.
    void forget(const StreamKey &stream);

    /// @brief Number of entries held, over all streams.
    std::size_t entryCount() const;

    /// @brief Value of a count since the start.
    std::uint64_t count(DisseminationCount which) const;

private:
    struct Entry
    {
        StateVersion version;
        std::string payload;
        bool isErased = false;
    };

    struct Stream
    {
        Fence fence;
        /// Every change up to this one is held or overridden.
        Sequence complete;
        /// Furthest change that is heard of.
        Sequence known;
        /// Last change of the snapshot with which the fence began.
        Sequence snapshot;
        /// Whether entries of a former fence may still be held.
        bool hasFormer = false;
        std::set<std::uint64_t> aboveGap;
        std::map<std::string, Entry> entries;
        std::map<std::uint64_t, std::string> bySequence;
        /// Member whose digest was last seen to be ahead.
        InstanceId aheadMember;
        TimePoint behindSince{};
        TimePoint pulledAt{};
        bool isBehind = false;
        bool wasPulled = false;
    };

    struct QueuedDelta
    {
        StateKey key;
        StateVersion version;
        std::uint32_t transmissions = 0;
    };

    struct QueuedPull
    {
        InstanceId asker;
        StreamDigest after;
    };

    struct HotDigest
    {
        StreamKey stream;
        std::uint32_t transmissions = 0;
    };

    void countUp(DisseminationCount which);

    // What this instance publishes, and what it takes from others.
    Result<StateVersion> write(const StateKey &key, Fence fence, std::string payload,
                               bool isErased);
    Stream *openStream(const StreamKey &key, Fence fence);
    void raiseFence(Stream &stream, Fence fence) const;
    void store(Stream &stream, const StateDelta &delta) const;
    void noteSequence(Stream &stream, Sequence sequence) const;
    void absorb(Stream &stream) const;
    bool accept(TimePoint now, const StateDelta &delta, std::vector<StateChanged> &changes);
    void acceptRange(TimePoint now, const StateRange &range, std::vector<StateChanged> &changes);
    void prune(const StreamKey &key, Stream &stream, std::vector<StateChanged> &changes) const;
    void compare(TimePoint now, const StreamDigest &theirs, const InstanceId &sender);
    void noteProgress(TimePoint now, const StreamKey &key, Stream &stream);
    void owe(const InstanceId &asker, const StatePull &pull);

    // What it sends.
    void enqueue(const StateKey &key, StateVersion version);
    void noteDuplicate(const StateKey &key, StateVersion version);
    void heat(const StreamKey &stream);
    void fillDeltas(Datagram &datagram, Topic topic, std::size_t &room);
    void fillRanges(Datagram &datagram, const InstanceId &receiver, std::size_t &room);
    void fillPulls(TimePoint now, Datagram &datagram, const InstanceId &receiver,
                   std::size_t &room);
    void fillDigests(Datagram &datagram, std::size_t &room);
    std::optional<StateRange> rangeAfter(const StreamDigest &after, std::size_t room) const;
    std::optional<StateDelta> queuedValue(const QueuedDelta &queued) const;

    DisseminationSettings settings;
    std::map<StreamKey, Stream> streams;
    /// Highest fence of each stream that was forgotten.
    std::map<StreamKey, Fence> forgotten;
    std::array<std::deque<QueuedDelta>, topicCount> queues;
    std::deque<QueuedPull> owed;
    std::deque<HotDigest> hot;
    /// Streams of which more is known to exist than is held.
    std::set<StreamKey> behind;
    StreamKey digestCursor;
    std::array<std::uint64_t, disseminationCountCount> counts{};
};

} // namespace bamboochute::peer
