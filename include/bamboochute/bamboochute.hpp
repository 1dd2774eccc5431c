/// @file
/// @brief Public header of the runtime library: what a program needs to run an entry instance.
#pragma once

#include <string_view>

namespace bamboochute {

/// @brief Version of the library, as "major.minor.patch".
/// @return text with static lifetime
std::string_view version() noexcept;

} // namespace bamboochute
