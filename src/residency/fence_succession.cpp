#include "residency/fence_succession.hpp"

#include <algorithm>

namespace bamboochute::residency {

namespace {

/// Bounds the distance, should the store name an absurd era.
constexpr std::uint64_t maxPassedEras = 1 << 20;

std::uint64_t passedEras(const UsedFence &used, std::uint64_t era)
{
    if (used.era == 0 || era <= used.era)
        return 0;
    return std::min(era - used.era, maxPassedEras);
}

} // namespace

Fence lowestSuccessor(const std::vector<UsedFence> &used, std::uint64_t era)
{
    std::uint64_t lowest = 0;
    for (const UsedFence &one : used) {
        if (one.fence != Fence())
            lowest = std::max(lowest,
                              one.fence.value() + 1 + passedEras(one, era) * fenceStepPerEra);
    }
    return Fence(lowest);
}

} // namespace bamboochute::residency
