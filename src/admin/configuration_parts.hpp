/// @file
/// @brief Splits a configuration into small content-addressed parts.
///
/// The parts form a tree. A leaf holds a few items (a model, an adapter, an upstream, a
/// deployment's settings, …); an inner part lists the hashes of up to sixteen children. The place
/// of an item follows from the hash of its name, so a change of one item changes one leaf and the
/// parts above it, and the same configuration always gives the same parts.
#pragma once

#include "admin/configuration_root.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bamboochute::admin {

/// A leaf with more bytes is split, unless it holds a single item.
constexpr std::size_t maxLeafBytes = 2048;
/// Levels of the tree below the top.
constexpr std::size_t maxTreeDepth = 15;

using Parts = std::unordered_map<PartHash, std::string>;

/// @brief A configuration as parts.
struct PartSet
{
    PartHash top;
    Parts parts;
};

/// @brief Finds a part's text; null when it isn't known.
using PartLookup = std::function<const std::string *(const PartHash &)>;

/// @brief Hash of a part's text.
PartHash hashOf(std::string_view text);

/// @brief Splits a configuration, which must have passed checkConfiguration.
PartSet splitConfiguration(const Configuration &configuration);

/// @brief Children of a part; empty for a leaf.
/// @return ConfigurationInvalid when the text is not a part
Result<std::vector<PartHash>> childrenOf(std::string_view text);

/// @brief Follows a tree of parts from the top and tells which parts are not known yet.
class TreeWalk
{
public:
    TreeWalk() = default;

    /// @param top hash of the topmost part; empty for the configuration before the first one
    /// @param lookup finds parts that are known already
    TreeWalk(const PartHash &top, const PartLookup &lookup);

    /// @brief Takes a part that was missing; other parts are ignored.
    /// @return false when the text doesn't have the hash of a missing part or can't be read
    bool add(const std::string &text, const PartLookup &lookup);

    bool isComplete() const noexcept { return this->missingParts.empty(); }
    const std::unordered_set<PartHash> &missing() const noexcept { return this->missingParts; }
    /// @brief All parts of the tree that are known.
    const std::unordered_set<PartHash> &reached() const noexcept { return this->reachedParts; }

private:
    void visit(const PartHash &hash, const PartLookup &lookup, std::size_t depth);
    bool expand(const std::string &text, const PartLookup &lookup, std::size_t depth);

    std::unordered_set<PartHash> missingParts;
    std::unordered_set<PartHash> reachedParts;
};

} // namespace bamboochute::admin
