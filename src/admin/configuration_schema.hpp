/// @file
/// @brief Generates the JSON schema of the configuration from the description of its fields.
#pragma once

#include <string>

namespace bamboochute::admin {

/// @brief Returns the schema (draft 2020-12) as JSON with two spaces of indentation.
///
/// docs/configuration.schema.json contains this text. A schema can't express relations between
/// fields, such as the replicas that fit the engines; checkConfiguration validates those.
std::string configurationSchema();

} // namespace bamboochute::admin
