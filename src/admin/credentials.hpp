/// @file
/// @brief Operators' bearer credentials, compared by their hashes.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <string>
#include <string_view>

namespace bamboochute::admin {

/// Operator's name of a call made with the bootstrap credential.
constexpr std::string_view bootstrapOperator = "bootstrap";

/// @brief Finds the operator who sent a credential; compares in constant time.
/// @param authorization value of the header, "Bearer CREDENTIAL"
/// @param configuration in force; null when there is none
/// @param bootstrapHash SHA-256 (hex) of the credential that is valid as long as the configuration
/// in force names no operator; may be empty
/// @return the operator's name, or Unauthenticated without a word of the credential
Result<std::string> authenticate(std::string_view authorization, const Configuration *configuration,
                                 std::string_view bootstrapHash);

} // namespace bamboochute::admin
