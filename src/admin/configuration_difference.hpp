/// @file
/// @brief The difference between two configurations, in readable form.
#pragma once

#include "core/configuration.hpp"

#include <string>
#include <vector>

namespace bamboochute::admin {

enum class DifferenceKind { Added, Removed, Changed };

/// @brief One added, removed or changed item or field.
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

/// @brief Compares two configurations.
/// @return the differences: operators first, then by deployment, kind of item and identifier
std::vector<DifferenceLine> compareConfigurations(const Configuration &before,
                                                  const Configuration &after);

/// @brief Formats a line, such as "+ model x", "- model y" or "~ model z, maxReplicas: 1 -> 2".
std::string toText(const DifferenceLine &line);

} // namespace bamboochute::admin
