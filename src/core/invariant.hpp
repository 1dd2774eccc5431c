/// @file
/// @brief Assertions that stay on in release builds.
#pragma once

#include <string_view>

namespace bamboochute {

/// @brief Called when an invariant does not hold.
/// @param condition text of the condition
/// @param message what was seen
/// @param file, line place in the source
using InvariantHandler = void (*)(std::string_view condition, std::string_view message,
                                  const char *file, int line);

/// @brief Replaces what happens when an invariant does not hold (default: log and abort).
/// @return the handler in force before
InvariantHandler setInvariantHandler(InvariantHandler handler) noexcept;

/// @brief Reports a broken invariant to the handler in force.
void invariantBroken(std::string_view condition, std::string_view message, const char *file,
                     int line);

} // namespace bamboochute

/// Stops the process, in every build, when the condition is false.
#define BC_INVARIANT(condition, message) \
    do { \
        if (!(condition)) [[unlikely]] \
            ::bamboochute::invariantBroken(#condition, (message), __FILE__, __LINE__); \
    } while (false)
