/// @file
/// @brief Validates a configuration: ranges of fields, duplicate names and limits that can't be
/// met.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

namespace bamboochute::admin {

/// @brief Validates everything that must hold before a configuration comes into force.
/// @return ConfigurationInvalid with field, value and limit of the first error
Result<void> checkConfiguration(const Configuration &configuration);

} // namespace bamboochute::admin
