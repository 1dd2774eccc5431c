/// @file
/// @brief Dissemination of versioned state between instances: deltas, and repair of lost ones.
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

/// Maximum number of streams that an instance holds.
constexpr std::size_t maxStreams = 4096;
/// Maximum number of entries of one stream.
constexpr std::size_t maxStreamEntries = 65536;
/// Maximum size of a payload, in bytes; such a delta still fits into a datagram.
constexpr std::size_t maxPayloadBytes = 900;
/// Maximum size of a scope or an item, in bytes.
constexpr std::size_t maxKeyBytes = 160;
/// Maximum number of sequence numbers recorded above a gap of one stream.
constexpr std::size_t maxAboveGap = 1024;
/// Maximum number of queued deltas of one topic; receivers repair dropped ones by a pull.
constexpr std::size_t maxQueuedDeltas = 256;
/// Maximum number of streams whose digests are sent before the others.
constexpr std::size_t maxPrioritizedDigests = 64;
/// Maximum number of unanswered pulls.
constexpr std::size_t maxQueuedPulls = 64;

/// @brief Times and limits of dissemination.
struct DisseminationSettings
{
    /// Number of datagrams of this instance that carry one change.
    std::uint32_t transmissions = 3;
    /// The same for lossy topics.
    std::uint32_t lossyTransmissions = 2;
    /// Maximum number of digests on one datagram.
    std::uint32_t digestsPerDatagram = 8;
    /// Number of datagrams that carry a stream's digest with priority after an urgent change.
    std::uint32_t prioritizedDigestTransmissions = 6;
    /// Delay before a missing change is pulled, as it may still arrive on its own.
    Duration pullDelay = std::chrono::milliseconds(300);
    /// The same for urgent topics.
    Duration urgentPullDelay = std::chrono::milliseconds(100);
    /// Time after which an unanswered pull is repeated.
    Duration pullRetry = std::chrono::milliseconds(1000);
    /// The same for urgent topics.
    Duration urgentPullRetry = std::chrono::milliseconds(300);
    auto operator<=>(const DisseminationSettings &) const = default;
};

/// @brief Action: report a change received from another instance to the process.
struct StateChanged
{
    StateDelta delta;
    auto operator<=>(const StateChanged &) const = default;
};

/// @brief Events that dissemination counts; each is a label value in metrics.
enum class DisseminationEvent : std::uint8_t {
    Accepted,
    Duplicate,
    /// A change of a former owner was rejected.
    StaleFence,
    /// A change older than the held version was rejected.
    Superseded,
    /// A pull was sent.
    Pulled,
    RangeSent,
    /// A range was received that begins after a gap.
    RangeIncomplete,
    /// A delta or a pull was dropped because its queue was full; a pull repairs the loss.
    QueueFull,
    TableFull,
    Oversized,
};

constexpr std::size_t disseminationEventCount = 10;

/// @brief Name of an event, as in metrics.
std::string_view disseminationEventName(DisseminationEvent count) noexcept;

/// @brief State held by an instance, and the queues of what it sends to others.
class Dissemination
{
public:
    /// @param settings times and limits
    explicit Dissemination(DisseminationSettings settings);

    /// @brief Publishes a new value of an entry of a stream that this instance writes.
    /// @param key key of the entry
    /// @param fence fence of the ownership; for the instance's own state, its incarnation
    /// @param payload opaque bytes, at most maxPayloadBytes
    /// @return the assigned version; NotOwner when a higher fence is known, ConfigurationTooLarge
    ///         when the payload, the key, the stream or the number of streams exceeds its limit
    Result<StateVersion> publish(const StateKey &key, Fence fence, std::string payload);

    /// @brief Publishes the removal of an entry; errors as for publish().
    Result<StateVersion> erase(const StateKey &key, Fence fence);

    /// @brief Takes over a stream: publishes all held entries again, under the new owner's fence.
    ///
    /// An instance that has received this snapshot completely removes all other entries of the
    /// former owner.
    /// @param stream stream to take over
    /// @param fence fence of the new owner, higher than the former one
    /// @return the version of the snapshot's last change; NotOwner when the fence is not higher,
    ///         ConfigurationTooLarge when there are too many streams
    Result<StateVersion> takeOver(const StreamKey &stream, Fence fence);

    /// @brief Applies the state of a received datagram and queues the pulls that it carries.
    /// @return the changes that are new to this instance
    std::vector<StateChanged> receive(TimePoint now, const Datagram &datagram);

    /// @brief Adds deltas, ranges, pulls and digests to a datagram, urgent topics first.
    /// @param datagram datagram to add to
    /// @param receiver member that the datagram is sent to; its pulls are answered
    /// @param maxBytes maximum bytes to add, by estimateBytes()
    void fill(TimePoint now, Datagram &datagram, const InstanceId &receiver, std::size_t maxBytes);

    /// @brief Takes the unsent changes of urgent topics, to be sent immediately.
    /// @param maxBytes maximum size of the changes, by estimateBytes()
    /// @param leastUrgent least urgent topic to take
    std::vector<StateDelta> takeUrgent(std::size_t maxBytes, Topic leastUrgent);

    /// @brief Members that are ahead of this instance in a stream and whose pull is due.
    std::vector<InstanceId> membersToPullFrom(TimePoint now) const;

    /// @brief Whether an unsent change of an urgent topic is queued.
    bool hasUnsentUrgent() const;

    /// @brief Whether any change is queued.
    bool hasQueued() const;

    /// @brief Whether a pull of this member is queued.
    bool hasPullFrom(const InstanceId &receiver) const;

    /// @brief Newest version of an entry, or std::nullopt when it is not held or was erased.
    std::optional<StateDelta> find(const StateKey &key) const;

    /// @brief All entries of a stream that were not erased.
    std::vector<StateDelta> entries(const StreamKey &stream) const;

    /// @brief Scopes of the streams held of a topic.
    std::vector<std::string> scopes(Topic topic) const;

    /// @brief Digest of a stream; fence and position are zero when it is not held.
    StreamDigest digest(const StreamKey &stream) const;

    /// @brief Removes a stream, such as that of a gone instance. Changes from other instances are
    /// accepted again only under a higher fence.
    void forget(const StreamKey &stream);

    /// @brief Number of entries held in all streams, erased ones included.
    std::size_t entryCount() const;

    /// @brief Number of times that an event occurred since the start.
    std::uint64_t count(DisseminationEvent which) const;

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
        /// Every change up to this one is held or was overridden.
        Sequence complete;
        /// Highest sequence number that is known to exist.
        Sequence highestKnown;
        /// Last change of the snapshot that the owner published when the fence began.
        Sequence snapshot;
        /// Whether entries of a former fence may still be held.
        bool hasFormerEntries = false;
        /// Received sequence numbers above the first gap.
        std::set<std::uint64_t> aboveGap;
        std::map<std::string, Entry> entries;
        /// Items by the sequence number of their version under the current fence.
        std::map<std::uint64_t, std::string> bySequence;
        /// Member whose digest was most recently ahead of this instance.
        InstanceId aheadMember;
        TimePoint behindSince{};
        TimePoint pulledAt{};
        /// Whether more changes are known to exist than are held.
        bool isBehind = false;
        /// Whether a pull was sent that was not answered yet.
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
        InstanceId requester;
        StreamDigest after;
    };

    struct PrioritizedDigest
    {
        StreamKey stream;
        std::uint32_t transmissions = 0;
    };

    void countEvent(DisseminationEvent which);

    // Publishing and receiving (dissemination.cpp).
    Result<StateVersion> writeEntry(const StateKey &key, Fence fence, std::string payload,
                                    bool isErased);
    Stream *findOrOpenStream(const StreamKey &key, Fence fence);
    void raiseFence(Stream &stream, Fence fence) const;
    void storeEntry(Stream &stream, const StateDelta &delta) const;
    void recordSequence(Stream &stream, Sequence sequence) const;
    void advanceComplete(Stream &stream) const;
    bool applyDelta(TimePoint now, const StateDelta &delta, std::vector<StateChanged> &changes);
    void applyRange(TimePoint now, const StateRange &range, std::vector<StateChanged> &changes);
    void removeFormerEntries(const StreamKey &key, Stream &stream,
                             std::vector<StateChanged> &changes) const;
    void compareDigest(TimePoint now, const StreamDigest &remote, const InstanceId &sender);
    void updateBehind(TimePoint now, const StreamKey &key, Stream &stream);
    void enqueuePull(const InstanceId &requester, const StatePull &pull);

    // Sending (dissemination.cpp and dissemination_sending.cpp).
    void enqueue(const StateKey &key, StateVersion version);
    void countDuplicate(const StateKey &key, StateVersion version);
    void prioritizeDigest(const StreamKey &stream);
    bool isPullDue(TimePoint now, const StreamKey &key, const Stream &stream) const;
    void fillDeltas(Datagram &datagram, Topic topic, std::size_t &bytesLeft);
    void fillRanges(Datagram &datagram, const InstanceId &receiver, std::size_t &bytesLeft);
    void fillPulls(TimePoint now, Datagram &datagram, const InstanceId &receiver,
                   std::size_t &bytesLeft);
    void fillDigests(Datagram &datagram, std::size_t &bytesLeft);
    std::optional<StateRange> makeRangeAfter(const StreamDigest &after,
                                             std::size_t bytesLeft) const;
    std::optional<StateDelta> findQueuedDelta(const QueuedDelta &queued) const;

    DisseminationSettings settings;
    std::map<StreamKey, Stream> streams;
    /// Fence of each removed stream.
    std::map<StreamKey, Fence> forgottenFences;
    std::array<std::deque<QueuedDelta>, topicCount> queues;
    std::deque<QueuedPull> queuedPulls;
    std::deque<PrioritizedDigest> prioritizedDigests;
    /// Streams of which more changes are known to exist than are held.
    std::set<StreamKey> behindStreams;
    /// Stream whose digest was sent last in the rotation.
    StreamKey digestCursor;
    std::array<std::uint64_t, disseminationEventCount> counts{};
};

} // namespace bamboochute::peer
