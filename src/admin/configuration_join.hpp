/// @file
/// @brief Rebuilds a configuration from its parts, all of them or only those that changed.
#pragma once

#include "admin/configuration_parts.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"

#include <unordered_set>
#include <vector>

namespace bamboochute::admin {

/// @brief Rebuilds a configuration from a complete tree of parts.
/// @param parts hashes of all parts of the tree
/// @param lookup finds every one of them
/// @return the configuration, sorted, with revision zero; ConfigurationInvalid when a part can't be
/// parsed
Result<Configuration> joinParts(const std::unordered_set<PartHash> &parts,
                                const PartLookup &lookup);

/// @brief Rebuilds a configuration from an earlier one and the parts that differ.
/// @param base the earlier configuration
/// @param removed parts of the earlier tree that the new tree doesn't have
/// @param added parts of the new tree that the earlier tree doesn't have
/// @param lookup finds every one of them
/// @return the same as joinParts of the new tree
Result<Configuration> joinChanges(const Configuration &base, const std::vector<PartHash> &removed,
                                  const std::vector<PartHash> &added, const PartLookup &lookup);

} // namespace bamboochute::admin
