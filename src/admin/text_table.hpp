/// @file
/// @brief Formats the JSON responses of the administration API as text for the command line.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::admin {

/// @brief Formats a table with aligned columns and a heading.
/// @param heading titles of the columns
/// @param rows one text for each column
std::string textTable(const std::vector<std::string> &heading,
                      const std::vector<std::vector<std::string>> &rows);

/// @brief Formats the response to a submission or rollback: what was recorded and the difference.
std::string submissionText(std::string_view json);
/// @brief Formats the response to a history call as a table.
std::string historyText(std::string_view json);
/// @brief Formats the response to a status call as several tables.
std::string statusText(std::string_view json);
/// @brief Formats the response to an explanation, one line for each step.
std::string explanationText(std::string_view json);
/// @brief Formats the response to a drain.
std::string drainText(std::string_view json);
/// @brief Formats an error response in one line, followed by the difference of a conflict.
std::string errorText(std::string_view json);

} // namespace bamboochute::admin
