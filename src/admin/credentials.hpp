/// @file
/// @brief Authenticates operators by bearer credentials, which are compared by their hashes.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <string>
#include <string_view>

namespace bamboochute::admin {

/// Operator name of a call with the bootstrap credential.
constexpr std::string_view bootstrapOperator = "bootstrap";

/// @brief Finds the operator to whom a credential belongs; compares in constant time.
/// @param authorization value of the header Authorization, "Bearer CREDENTIAL"
/// @param configuration the configuration in force; null when there is none
/// @param bootstrapHash SHA-256 (hex) of the credential that is valid as long as the configuration
/// in force has no operators; may be empty
/// @return the operator's name; or Unauthenticated, whose message never contains the credential
Result<std::string> authenticate(std::string_view authorization, const Configuration *configuration,
                                 std::string_view bootstrapHash);

} // namespace bamboochute::admin
