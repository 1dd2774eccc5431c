/// @file
/// @brief Checks a configuration: ranges of fields, names given twice, and limits that can't hold.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

namespace bamboochute::admin {

/// @brief Checks everything that a configuration in force relies on.
/// @return ConfigurationInvalid naming field, value and limit of the first thing that is wrong
Result<void> checkConfiguration(const Configuration &configuration);

} // namespace bamboochute::admin
