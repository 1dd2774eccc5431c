/// @file
/// @brief Assertions that stay on in release builds.
#pragma once

#include <string_view>

namespace bamboochute {

/// @brief Called when an invariant does not hold.
/// @param condition text of the condition
/// @param message description of the violation
/// @param file, line place in the source
using InvariantHandler = void (*)(std::string_view condition, std::string_view message,
                                  const char *file, int line);

/// @brief Replaces the handler of broken invariants; the default logs the event and aborts.
/// @return the previous handler
InvariantHandler setInvariantHandler(InvariantHandler handler) noexcept;

/// @brief Passes a broken invariant to the current handler.
void invariantBroken(std::string_view condition, std::string_view message, const char *file,
                     int line);

} // namespace bamboochute

/// Calls the invariant handler, in every build, when the condition is false.
#define BC_INVARIANT(condition, message) \
    do { \
        if (!(condition)) [[unlikely]] \
            ::bamboochute::invariantBroken(#condition, (message), __FILE__, __LINE__); \
    } while (false)
