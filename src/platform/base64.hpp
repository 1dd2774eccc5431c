/// @file
/// @brief Base64 encoding; the key-value service's JSON holds keys and values as base64.
#pragma once

#include "core/error.hpp"

#include <string>
#include <string_view>

namespace bamboochute::platform {

/// @brief Encodes bytes as base64 with padding.
std::string encodeBase64(std::string_view bytes);

/// @brief Decodes base64 with padding.
/// @return the bytes, or InvalidField when the text is not base64
Result<std::string> decodeBase64(std::string_view text);

} // namespace bamboochute::platform
