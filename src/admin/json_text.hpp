/// @file
/// @brief Parses JSON with bounds on size and depth, and refuses an object's member given twice.
#pragma once

#include "core/error.hpp"

#include <string_view>

#include <nlohmann/json.hpp>

namespace bamboochute::admin {

/// @brief Bounds of a JSON text.
struct JsonLimits
{
    std::size_t maxBytes;
    std::size_t maxDepth;
};

/// @brief Parses a text.
/// @return ConfigurationTooLarge, MalformedJson, JsonTooDeep, or ConfigurationInvalid when a member
/// stands twice in one object
Result<nlohmann::json> parseJson(std::string_view text, JsonLimits limits);

} // namespace bamboochute::admin
