/// @file
/// @brief Reading transactions of the configuration's keys, and what their answers mean.
#pragma once

#include "admin/configuration_in_force.hpp"
#include "admin/configuration_root.hpp"
#include "platform/key_value.hpp"

#include <optional>
#include <vector>

namespace bamboochute::admin {

platform::Transaction rootRead();
Result<std::optional<ConfigurationRoot>> rootFrom(const platform::TransactionResponse &response);

/// @param wanted at most maxPartsInMessage parts
platform::Transaction partsRead(const PartsRequest &wanted);
PartsResponse partsFrom(const platform::TransactionResponse &response);

platform::Transaction historyRead();
/// @return the roots, newest first
Result<std::vector<ConfigurationRoot>> historyFrom(const platform::TransactionResponse &response);

} // namespace bamboochute::admin
