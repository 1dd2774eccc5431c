/// @file
/// @brief Value types of members of the fleet: identity, state, and updates.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Counter that a process increases to refute updates that say that it has failed.
using Refutation = Number<struct RefutationTag>;

/// @brief Identity and endpoints of one process of an instance.
struct MemberIdentity
{
    InstanceId instance;
    /// Higher for a later process of the same instance.
    Incarnation incarnation;
    DataCentreId dataCentre;
    /// Receives gossip datagrams (UDP).
    Endpoint datagramEndpoint;
    /// Receives calls (TCP).
    Endpoint callEndpoint;
    auto operator<=>(const MemberIdentity &) const = default;
};

/// @brief State of a member. Among updates with the same refutation, a later value in this list
/// overrides an earlier one.
enum class MemberState : std::uint8_t {
    Alive,
    /// Did not answer a probe; still treated as alive.
    Suspected,
    /// Did not answer during the suspicion timeout: may be dead, paused or partitioned.
    Unreachable,
    /// The process is known to have ended, so that it carries out nothing any more.
    Gone,
};

constexpr std::size_t memberStateCount = 4;

/// @brief Name of a state, as in logs and answers.
std::string_view memberStateName(MemberState state) noexcept;

/// @brief Evidence that a member is gone.
enum class GoneEvidence : std::uint8_t {
    None,
    /// The process announced its own end.
    Left,
    /// Its port refused datagrams twice in a row (ICMP port unreachable).
    PortRefused,
    /// The platform's list shows the instance as terminated, or no longer contains it.
    ListedTerminated,
    /// The platform's list shows another machine for the instance.
    ListedReplaced,
    /// A later process of the same instance is known.
    LaterIncarnation,
};

/// @brief Name of a kind of evidence, as in logs and metrics.
std::string_view goneEvidenceName(GoneEvidence evidence) noexcept;

/// @brief Knowledge of one instance about one member.
struct Member
{
    MemberIdentity identity;
    MemberState state = MemberState::Alive;
    Refutation refutation;
    /// The process has announced that it is stopping; it accepts no new work.
    bool isLeaving = false;
    GoneEvidence evidence = GoneEvidence::None;
    auto operator<=>(const Member &) const = default;
};

/// @brief Update about a member, as carried by datagrams.
struct MemberUpdate
{
    /// Endpoints and data centre may be empty unless the state is Alive.
    MemberIdentity identity;
    MemberState state = MemberState::Alive;
    Refutation refutation;
    bool isLeaving = false;
    GoneEvidence evidence = GoneEvidence::None;
    auto operator<=>(const MemberUpdate &) const = default;
};

/// @brief State of an instance in the platform's list.
enum class ListedState : std::uint8_t { Live, Leaving, Terminated };

/// @brief Entry of the platform's list of instances.
struct ListedInstance
{
    InstanceId instance;
    DataCentreId dataCentre;
    /// Receives gossip datagrams of the instance's process.
    Endpoint datagramEndpoint;
    ListedState state = ListedState::Live;
    /// Number of the machine that runs the instance: higher for a later one, zero when unknown.
    std::uint64_t launchNumber = 0;
    auto operator<=>(const ListedInstance &) const = default;
};

} // namespace bamboochute::peer
