/// @file
/// @brief Fencing numbers that stay in order when the store that assigns them comes back older.
#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <vector>

namespace bamboochute::residency {

/// @brief A fencing number that an owner has used.
struct UsedFence
{
    Fence fence;
    /// Era of the store in which it was used; zero if that is not known.
    std::uint64_t era = 0;
    auto operator<=>(const UsedFence &) const = default;
};

/// Distance that a fencing number keeps from the one before for each era of the store that has
/// passed: more than the changes that a store loses when it comes back from a copy, as owners that
/// it has forgotten may have used the numbers between.
constexpr std::uint64_t fenceStepPerEra = std::uint64_t(1) << 20;

/// @brief Lowest fencing number that a new owner may use.
/// @param used numbers that are known to have been used
/// @param era present era of the store; zero if it names none
Fence lowestSuccessor(const std::vector<UsedFence> &used, std::uint64_t era);

} // namespace bamboochute::residency
