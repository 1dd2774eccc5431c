/// @file
/// @brief Public header of the runtime library: version and entry point of an entry instance.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bamboochute {

/// @brief Returns the version of the library, as "major.minor.patch".
/// @return text with static lifetime
std::string_view version() noexcept;

/// @brief Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully.
///
/// A setting is taken from the arguments, else from its environment variable BAMBOOCHUTE_…, else
/// from its default. When all addresses are bound, one JSON line with them is written to standard
/// output. A second signal ends the graceful stop at once.
/// @param arguments command line without the program's name
/// @return 0 after a graceful stop, 1 when an address can't be bound, 2 when a setting is wrong
/// @note Blocks; the calling thread becomes the control thread.
int runInstance(const std::vector<std::string> &arguments);

} // namespace bamboochute
