/// @file
/// @brief Keys and versions of the state that instances spread.
#pragma once

#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// @brief Kinds of state, the most urgent first.
enum class Topic : std::uint8_t {
    /// Upstreams that get no new work; scope: pool or instance that saw it, item: upstream.
    LeavingUpstreams,
    /// Revision and hash of the newest configuration root; scope: empty, item: empty.
    ConfigurationRoot,
    /// Which target is loaded where; scope: pool, item: target and upstream.
    Placements,
    /// Revision in force at an instance; scope: instance, item: empty.
    InForceRevision,
    /// Load of upstreams; scope: pool, item: empty. May be lost.
    LoadSummary,
};

constexpr std::size_t topicCount = 5;

/// @brief Name of a topic, as in metrics.
std::string_view topicName(Topic topic) noexcept;

/// @brief A sequence of changes with one writer at a time.
struct StreamKey
{
    Topic topic = Topic::LeavingUpstreams;
    /// The pool or instance that the state belongs to.
    std::string scope;
    auto operator<=>(const StreamKey &) const = default;
};

/// @brief One entry within a stream; the newest version of each is kept.
struct StateKey
{
    StreamKey stream;
    std::string item;
    auto operator<=>(const StateKey &) const = default;
};

/// Position of a change in its stream, from 1, under one fence.
using Sequence = Number<struct SequenceTag>;

/// @brief Order of changes: a successor's overrides each one of its predecessor.
struct StateVersion
{
    /// Fencing number of the owner; for state of an instance, its incarnation.
    Fence fence;
    Sequence sequence;
    auto operator<=>(const StateVersion &) const = default;
};

/// @brief One change as it travels.
struct StateDelta
{
    StateKey key;
    StateVersion version;
    /// Opaque; by convention CBOR.
    std::string payload;
    /// The entry was removed.
    bool isErased = false;
    auto operator<=>(const StateDelta &) const = default;
};

/// @brief How far an instance has a stream completely.
struct StreamDigest
{
    StreamKey stream;
    Fence fence;
    /// Every change up to this one is held or overridden.
    Sequence complete;
    auto operator<=>(const StreamDigest &) const = default;
};

/// @brief Request for the changes that come after a digest.
struct StatePull
{
    StreamDigest after;
    auto operator<=>(const StatePull &) const = default;
};

/// @brief All changes of a stream after one position up to another that are not overridden.
struct StateRange
{
    StreamKey stream;
    Fence fence;
    Sequence after;
    Sequence upTo;
    /// Last change of the snapshot with which the fence began.
    Sequence snapshot;
    std::vector<StateDelta> deltas;
    auto operator<=>(const StateRange &) const = default;
};

} // namespace bamboochute::peer
