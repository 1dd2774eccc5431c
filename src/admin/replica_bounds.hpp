/// @file
/// @brief Checks that models, adapters and their replicas fit the engines of a deployment.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <string>

namespace bamboochute::admin {

/// @brief Checks replica bounds, memory, data centres, base models and followedBy models.
///
/// Bounds are per pool and an engine holds at most one replica of a target. maxReplicas must fit
/// at least one pool; minReplicas must fit every pool in which the model may run, together with
/// the minReplicas of the other models.
/// @param deployment what to check
/// @param path path of the deployment, such as "deployments[0]"
/// @return ConfigurationInvalid with field, value and limit of the first error
Result<void> checkReplicaBounds(const Deployment &deployment, const std::string &path);

} // namespace bamboochute::admin
