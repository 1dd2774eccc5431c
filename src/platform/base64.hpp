/// @file
/// @brief Base64 text, as the key-value service's JSON carries keys and values.
#pragma once

#include "core/error.hpp"

#include <string>
#include <string_view>

namespace bamboochute::platform {

/// @brief Encodes bytes with padding.
std::string encodeBase64(std::string_view bytes);

/// @brief Decodes padded text.
/// @return InvalidField when the text is not base64
Result<std::string> decodeBase64(std::string_view text);

} // namespace bamboochute::platform
