#include "platform/key_value.hpp"

#include <array>

namespace bamboochute::platform {

std::string_view purposeName(Purpose purpose) noexcept
{
    constexpr std::array<std::string_view, 5> names{
            "ownership", "ledger", "claim", "configuration", "membership",
    };
    return names[static_cast<std::size_t>(purpose)];
}

} // namespace bamboochute::platform
