#include "upstream/orders.hpp"

#include "upstream/dialect_names.hpp"

#include <fmt/format.h>

namespace bamboochute::upstream {

OrderOutcome understand(Result<OrderOutcome> parsed, int status)
{
    constexpr int statusUnauthorized = 401;
    constexpr int statusForbidden = 403;
    if (status == statusUnauthorized || status == statusForbidden)
        return OrderRefused{"the engine does not accept the sender"};
    if (parsed)
        return std::move(parsed).value();
    return OrderUnconfirmed{fmt::format("status {}: {}", status, parsed.error().message())};
}

} // namespace bamboochute::upstream
