/// @file
/// @brief Joins the parts of a configuration again, all of them or only those that changed.
#pragma once

#include "admin/configuration_parts.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"

#include <unordered_set>
#include <vector>

namespace bamboochute::admin {

/// @brief Joins the parts of a complete tree.
/// @param parts hashes of all parts of the tree
/// @param lookup finds every one of them
/// @return the configuration, sorted, at revision zero; ConfigurationInvalid when a part is wrong
Result<Configuration> joinParts(const std::unordered_set<PartHash> &parts,
                                const PartLookup &lookup);

/// @brief Joins a tree that differs in some parts from one that was joined before.
/// @param base the configuration joined before
/// @param removed parts of its tree that the new tree doesn't have
/// @param added parts of the new tree that its tree doesn't have
/// @param lookup finds every one of them
/// @return the same as join of the new tree
Result<Configuration> joinChanges(const Configuration &base, const std::vector<PartHash> &removed,
                                  const std::vector<PartHash> &added, const PartLookup &lookup);

} // namespace bamboochute::admin
