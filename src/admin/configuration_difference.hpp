/// @file
/// @brief The difference between two configurations, for people.
#pragma once

#include "core/configuration.hpp"

#include <string>
#include <vector>

namespace bamboochute::admin {

enum class DifferenceKind { Added, Removed, Changed };

/// @brief One thing that differs.
struct DifferenceLine
{
    DifferenceKind kind = DifferenceKind::Changed;
    /// What differs, such as "deployment housing, model lease-terms@3, maxReplicas".
    std::string what;
    /// Value before; empty when added. Never a credential or its hash.
    std::string before;
    /// Value after; empty when removed.
    std::string after;
    auto operator<=>(const DifferenceLine &) const = default;
};

/// @brief Name of a kind: "added", "removed" or "changed".
std::string_view differenceKindName(DifferenceKind kind) noexcept;

/// @brief What changes from one configuration to another, in the order of the identifiers.
std::vector<DifferenceLine> compareConfigurations(const Configuration &before,
                                                  const Configuration &after);

/// @brief A line as text, such as "+ model x", "- model y" or "~ model z, maxReplicas: 1 -> 2".
std::string toText(const DifferenceLine &line);

} // namespace bamboochute::admin
