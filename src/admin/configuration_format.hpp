/// @file
/// @brief Reads and writes a configuration as JSON.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <string>
#include <string_view>

namespace bamboochute::admin {

/// @brief Reads and checks a configuration.
/// @param text JSON with a format version
/// @return the configuration with its lists sorted and revision zero, or
/// - ConfigurationTooLarge when the text is longer than maxConfigurationBytes,
/// - MalformedJson or JsonTooDeep when it can't be parsed,
/// - ConfigurationInvalid naming field, value and limit
Result<Configuration> readConfiguration(std::string_view text);

/// @brief Writes a configuration; the same bytes for the same value.
/// @return JSON with two spaces of indentation and a line feed at the end
/// @note The revision is not part of the text.
std::string writeConfiguration(const Configuration &configuration);

/// @brief The configuration with all lists in the order of their identifiers.
Configuration sorted(Configuration configuration);

} // namespace bamboochute::admin
