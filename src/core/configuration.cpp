#include "core/configuration.hpp"

#include "core/routing_table.hpp"

#include <concepts>

namespace bamboochute {

static_assert(std::three_way_comparable<Configuration>, "configurations are compared as values");
static_assert(std::three_way_comparable<RoutingTable>, "routing tables are compared as values");

} // namespace bamboochute
