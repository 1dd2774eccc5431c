/// @file
/// @brief The JSON schema of the configuration, made from the description of its fields.
#pragma once

#include <string>

namespace bamboochute::admin {

/// @brief The schema (draft 2020-12) as JSON with two spaces of indentation.
///
/// docs/configuration.schema.json is this text. Relations between fields, such as replicas that
/// don't fit, are beyond a schema; checkConfiguration covers them.
std::string configurationSchema();

} // namespace bamboochute::admin
