#include "upstream/orders.hpp"

#include "upstream/dialect_names.hpp"

#include <fmt/format.h>

namespace bamboochute::upstream {

OrderOutcome toOrderOutcome(Result<OrderOutcome> parsed, int status)
{
    constexpr int statusUnauthorized = 401;
    constexpr int statusForbidden = 403;
    if (status == statusUnauthorized || status == statusForbidden)
        return OrderRefused{"the engine refused the sender's credential"};
    if (parsed)
        return std::move(parsed).value();
    return OrderUnconfirmed{fmt::format("the answer with status {} is malformed: {}", status,
                                        parsed.error().message())};
}

} // namespace bamboochute::upstream
