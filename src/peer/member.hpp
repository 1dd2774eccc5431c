/// @file
/// @brief Members of the fleet as values: identity, state, and news about them.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Raised by a process to refute news that it does not answer.
using Refutation = Number<struct RefutationTag>;

/// @brief One process of the system: who it is and where it is reached.
struct MemberIdentity
{
    InstanceId instance;
    /// Higher for a later process under the same name.
    Incarnation incarnation;
    DataCentreId dataCentre;
    /// Where it takes membership datagrams (UDP).
    Endpoint datagramEndpoint;
    /// Where it takes calls (TCP).
    Endpoint callEndpoint;
    auto operator<=>(const MemberIdentity &) const = default;
};

/// @brief What is known of a member, in the order in which news of one refutation override.
enum class MemberState : std::uint8_t {
    Alive,
    /// Did not answer one probe; still treated as alive.
    Suspected,
    /// Did not answer for the suspicion time: may be dead, paused or cut off.
    Unreachable,
    /// The process has ended: it carries out nothing any more.
    Gone,
};

constexpr std::size_t memberStateCount = 4;

/// @brief Name of a state, as in logs and answers.
std::string_view memberStateName(MemberState state) noexcept;

/// @brief Why a member is known to be gone.
enum class GoneEvidence : std::uint8_t {
    None,
    /// The process said so itself at its end.
    Left,
    /// Its own port refused twice in a row.
    PortRefused,
    /// The platform's list shows the instance as terminated, or no more.
    ListedTerminated,
    /// The platform's list shows another machine under the name.
    ListedReplaced,
    /// A later process took the name.
    LaterIncarnation,
};

/// @brief Name of the evidence, as in logs and metrics.
std::string_view goneEvidenceName(GoneEvidence evidence) noexcept;

/// @brief What one instance knows of one member.
struct Member
{
    MemberIdentity identity;
    MemberState state = MemberState::Alive;
    Refutation refutation;
    /// The process has said that it stops; it takes no new work.
    bool isLeaving = false;
    GoneEvidence evidence = GoneEvidence::None;
    auto operator<=>(const Member &) const = default;
};

/// @brief News about a member, as carried by datagrams.
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

/// @brief One line of the platform's list of instances.
struct ListedInstance
{
    InstanceId instance;
    DataCentreId dataCentre;
    /// Where its process takes membership datagrams.
    Endpoint datagramEndpoint;
    ListedState state = ListedState::Live;
    /// Number of the machine under this name; higher for a later one, zero when not told.
    std::uint64_t launch = 0;
    auto operator<=>(const ListedInstance &) const = default;
};

} // namespace bamboochute::peer
