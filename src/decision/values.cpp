#include "decision/values.hpp"

#include <array>

namespace bamboochute::decision {

std::string_view orderKindName(OrderKind kind) noexcept
{
    constexpr std::array<std::string_view, 4> names{"load", "unload", "raise-fence", "change-role"};
    return names[static_cast<std::size_t>(kind)];
}

std::string_view placementStateName(PlacementState state) noexcept
{
    constexpr std::array<std::string_view, 3> names{"loading", "loaded", "unloading"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace bamboochute::decision
