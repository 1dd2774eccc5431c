/// @file
/// @brief Selects a dialect by vendor.
#pragma once

#include "upstream/araucaria.hpp"
#include "upstream/bromelia.hpp"
#include "upstream/cinchona.hpp"

namespace bamboochute::upstream {

/// @brief Calls a function with the dialect of a vendor.
/// @param vendor vendor of the engine
/// @param function callable that accepts any dialect by value
/// @return what the function returns
template<typename Function>
decltype(auto) withDialect(Vendor vendor, Function &&function)
{
    switch (vendor) {
    case Vendor::Bromelia:
        return std::forward<Function>(function)(Bromelia());
    case Vendor::Cinchona:
        return std::forward<Function>(function)(Cinchona());
    case Vendor::Araucaria:
        break;
    }
    return std::forward<Function>(function)(Araucaria());
}

} // namespace bamboochute::upstream
