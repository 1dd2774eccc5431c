/// @file
/// @brief Parses JSON with limits on size and depth, and rejects duplicate members of an object.
#pragma once

#include "core/error.hpp"

#include <string_view>

#include <nlohmann/json.hpp>

namespace bamboochute::admin {

/// @brief Limits of a JSON text.
struct JsonLimits
{
    std::size_t maxBytes;
    std::size_t maxDepth;
};

/// @brief Parses a JSON text.
/// @return the value; ConfigurationTooLarge, MalformedJson or JsonTooDeep; or ConfigurationInvalid
/// when an object has a duplicate member or too many members
Result<nlohmann::json> parseJson(std::string_view text, JsonLimits limits);

} // namespace bamboochute::admin
