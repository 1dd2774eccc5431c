/// @file
/// @brief Whom an instance probes next: its successors on a hash ring, and a random member.
#pragma once

#include "core/random.hpp"
#include "peer/member_table.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bamboochute::peer {

/// @brief Order of probes.
///
/// Each member is probed by a fixed number of others at a fixed rate, which bounds the time until
/// its failure is noticed; the random probes find what a ring of few neighbours does not.
class ProbeSchedule
{
public:
    /// @param self the instance that probes
    /// @param successors members on the ring that it probes in turn
    ProbeSchedule(const InstanceId &self, std::uint32_t successors);

    /// @brief The member to probe next, unless there is none to probe.
    std::optional<InstanceId> next(const MemberTable &table, Random &random);

    /// @brief Members that are alive or suspected, by name.
    const std::vector<InstanceId> &reachable(const MemberTable &table);

private:
    struct Place
    {
        std::uint64_t hash = 0;
        InstanceId instance;
        auto operator<=>(const Place &) const = default;
    };

    void refresh(const MemberTable &table);

    Place selfPlace;
    std::uint32_t successorCount;
    std::vector<InstanceId> successors;
    std::vector<InstanceId> present;
    std::uint64_t builtFor = ~std::uint64_t{0};
    std::uint32_t turn = 0;
};

} // namespace bamboochute::peer
