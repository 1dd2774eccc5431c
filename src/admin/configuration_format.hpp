/// @file
/// @brief Parses a configuration from JSON and writes it as JSON.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <string>
#include <string_view>

namespace bamboochute::admin {

/// @brief Parses and validates a configuration.
/// @param text JSON with a format version
/// @return the configuration with its lists sorted and revision zero, or
/// - ConfigurationTooLarge when the text is longer than maxConfigurationBytes,
/// - MalformedJson or JsonTooDeep when it can't be parsed,
/// - ConfigurationInvalid with field, value and limit of the first error
Result<Configuration> readConfiguration(std::string_view text);

/// @brief Writes a configuration as JSON; equal configurations give the same bytes.
/// @return JSON with two spaces of indentation and a line feed at the end
/// @note The revision is not written.
std::string writeConfiguration(const Configuration &configuration);

/// @brief Returns the configuration with all lists sorted by identifier.
Configuration sorted(Configuration configuration);

} // namespace bamboochute::admin
