/// @file
/// @brief Keys and versions of the state that instances disseminate.
#pragma once

#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// @brief Kinds of state, in order of decreasing urgency.
enum class Topic : std::uint8_t {
    /// Upstreams that receive no new work; scope: pool or reporting instance, item: upstream.
    LeavingUpstreams,
    /// Revision and hash of the newest configuration root; scope: empty, item: empty.
    ConfigurationRoot,
    /// Which target is loaded on which upstream; scope: pool, item: target and upstream.
    Placements,
    /// Configuration revision in force at an instance; scope: instance, item: empty.
    InForceRevision,
    /// Load of upstreams; scope: pool, item: empty. Lossy: lost changes are not repaired.
    LoadSummary,
};

constexpr std::size_t topicCount = 5;

/// @brief Name of a topic, as in metrics.
std::string_view topicName(Topic topic) noexcept;

/// @brief Key of a stream: a sequence of changes with one writer at a time.
struct StreamKey
{
    Topic topic = Topic::LeavingUpstreams;
    /// The pool or instance that the state belongs to.
    std::string scope;
    auto operator<=>(const StreamKey &) const = default;
};

/// @brief Key of an entry of a stream; only its newest version is kept.
struct StateKey
{
    StreamKey stream;
    std::string item;
    auto operator<=>(const StateKey &) const = default;
};

/// Position of a change in its stream, counted from 1 under each fence.
using Sequence = Number<struct SequenceTag>;

/// @brief Version of an entry, ordered so that changes of a successor override all of its
/// predecessor's.
struct StateVersion
{
    /// Fencing number of the owner; for an instance's own state, its incarnation.
    Fence fence;
    Sequence sequence;
    auto operator<=>(const StateVersion &) const = default;
};

/// @brief One change of an entry, as sent between instances.
struct StateDelta
{
    StateKey key;
    StateVersion version;
    /// Opaque to dissemination; CBOR by convention.
    std::string payload;
    /// Whether the entry was removed.
    bool isErased = false;
    auto operator<=>(const StateDelta &) const = default;
};

/// @brief Position up to which an instance holds a stream without gaps.
struct StreamDigest
{
    StreamKey stream;
    Fence fence;
    /// Every change up to this one is held or was overridden.
    Sequence complete;
    auto operator<=>(const StreamDigest &) const = default;
};

/// @brief Request for the changes after a digest.
struct StatePull
{
    StreamDigest after;
    auto operator<=>(const StatePull &) const = default;
};

/// @brief Answer to a pull: the changes of a stream in (after, upTo] that were not overridden.
struct StateRange
{
    StreamKey stream;
    Fence fence;
    Sequence after;
    Sequence upTo;
    /// Last change of the snapshot that the owner published when the fence began.
    Sequence snapshot;
    std::vector<StateDelta> deltas;
    auto operator<=>(const StateRange &) const = default;
};

} // namespace bamboochute::peer
