#include "residency/engine_orders.hpp"

#include <array>

namespace bamboochute::residency {

std::string_view orderAnswerName(OrderAnswer answer) noexcept
{
    constexpr std::array<std::string_view, 8> names{
            "accepted",      "already_holds", "conflict", "fenced",
            "other_process", "refused",       "unknown",  "not_sent",
    };
    return names[static_cast<std::size_t>(answer)];
}

} // namespace bamboochute::residency
