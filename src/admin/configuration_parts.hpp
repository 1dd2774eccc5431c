/// @file
/// @brief Splits a configuration into small content-addressed parts.
///
/// The parts form a hash tree (Merkle tree). A leaf contains a few items (a model, an adapter, an
/// upstream, a deployment's settings, …); an inner part lists the hashes of up to sixteen children.
/// The position of an item is determined by the hash of its kind, deployment and key, so a change
/// of one item changes one leaf and the parts above it, and the same configuration always gives the
/// same parts.
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

/// A larger leaf is split, unless it contains a single item or is at the greatest depth.
constexpr std::size_t maxLeafBytes = 2048;
/// Levels of the tree below the topmost part.
constexpr std::size_t maxTreeDepth = 15;

using Parts = std::unordered_map<PartHash, std::string>;

/// @brief A configuration split into parts.
struct PartSet
{
    PartHash top;
    Parts parts;
};

/// @brief Function that finds a part's text; returns null when the part isn't known.
using PartLookup = std::function<const std::string *(const PartHash &)>;

/// @brief Computes the hash of a part's text.
PartHash hashPart(std::string_view text);

/// @brief Splits a configuration into parts.
/// @param configuration must have passed checkConfiguration
PartSet splitConfiguration(const Configuration &configuration);

/// @brief Reads the hashes of a part's children.
/// @return the hashes, none for a leaf; ConfigurationTooLarge, MalformedJson, JsonTooDeep or
/// ConfigurationInvalid when the text is not a part
Result<std::vector<PartHash>> readChildren(std::string_view text);

/// @brief Traverses a tree of parts from the top and records which parts are missing.
class TreeWalk
{
public:
    TreeWalk() = default;

    /// @param top hash of the topmost part; empty when there is no configuration yet
    /// @param lookup finds parts that are already known
    TreeWalk(const PartHash &top, const PartLookup &lookup);

    /// @brief Adds a missing part; other parts are ignored.
    /// @return false when the text doesn't have the hash of a missing part or can't be parsed
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
