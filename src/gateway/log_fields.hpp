/// @file
/// @brief Formats values for the fields of log lines.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <string>
#include <vector>

namespace bamboochute::gateway {

/// @brief Formats a duration in whole milliseconds.
inline std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// @brief Formats the parts of a prompt in their order, separated by spaces.
inline std::string formatPromptParts(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const PromptPartId &part : parts)
        text += (text.empty() ? "" : " ") + part.value();
    return text;
}

} // namespace bamboochute::gateway
