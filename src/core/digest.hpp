/// @file
/// @brief SHA-256 digests as text, and their comparison in constant time.
#pragma once

#include <string>
#include <string_view>

namespace bamboochute {

/// @brief SHA-256 of a text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// @brief Compares two texts in a time that depends only on their lengths.
bool equalsInConstantTime(std::string_view left, std::string_view right);

} // namespace bamboochute
