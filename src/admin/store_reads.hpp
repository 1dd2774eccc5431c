/// @file
/// @brief Transactions that read the configuration's keys, and parsers of their responses.
#pragma once

#include "admin/configuration_in_force.hpp"
#include "admin/configuration_root.hpp"
#include "platform/key_value.hpp"

#include <optional>
#include <vector>

namespace bamboochute::admin {

platform::Transaction rootReadTransaction();
Result<std::optional<ConfigurationRoot>>
parseRootResponse(const platform::TransactionResponse &response);

/// @param wanted the parts to read; those beyond maxPartsInMessage are left out
platform::Transaction partsReadTransaction(const PartsRequest &wanted);
PartsResponse parsePartsResponse(const platform::TransactionResponse &response);

platform::Transaction historyReadTransaction();
/// @return the roots, newest first; or the error of readRoot
Result<std::vector<ConfigurationRoot>>
parseHistoryResponse(const platform::TransactionResponse &response);

} // namespace bamboochute::admin
