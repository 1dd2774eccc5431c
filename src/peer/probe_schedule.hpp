/// @file
/// @brief Chooses the members to probe: successors on a hash ring, and random members.
#pragma once

#include "core/random.hpp"
#include "peer/member_table.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bamboochute::peer {

/// @brief Order in which an instance probes the other members.
///
/// Each member is probed by a fixed number of others at a fixed rate, which limits the time until
/// its failure is detected. The random probes detect failures that its few neighbours on the ring
/// miss.
class ProbeSchedule
{
public:
    /// @param self instance that probes
    /// @param successors number of successors on the ring that are probed in turn
    ProbeSchedule(const InstanceId &self, std::uint32_t successors);

    /// @brief Member to probe next, or std::nullopt when no member is reachable.
    std::optional<InstanceId> next(const MemberTable &table, Random &random);

    /// @brief Members that are alive or suspected, ordered by name.
    const std::vector<InstanceId> &reachable(const MemberTable &table);

private:
    struct RingPosition
    {
        std::uint64_t hash = 0;
        InstanceId instance;
        auto operator<=>(const RingPosition &) const = default;
    };

    void rebuildIfChanged(const MemberTable &table);

    RingPosition selfPosition;
    std::uint32_t successorCount;
    std::vector<InstanceId> successors;
    std::vector<InstanceId> reachableMembers;
    std::uint64_t builtGeneration = ~std::uint64_t{0};
    std::uint32_t nextSlot = 0;
};

} // namespace bamboochute::peer
