/// @file
/// @brief Tables for people from the JSON answers of the administration API.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::admin {

/// @brief Lines of equal columns, aligned, with a heading.
/// @param heading titles of the columns
/// @param rows one text for each column
std::string textTable(const std::vector<std::string> &heading,
                      const std::vector<std::vector<std::string>> &rows);

/// @brief Answer of a submission or rollback: what was recorded and the difference.
std::string submissionText(std::string_view json);
/// @brief Answer of the history as a table.
std::string historyText(std::string_view json);
/// @brief Answer of the status as several tables.
std::string statusText(std::string_view json);
/// @brief Answer of an explanation, one step a line.
std::string explanationText(std::string_view json);
/// @brief Answer of a drain.
std::string drainText(std::string_view json);
/// @brief An error's answer in one line, and the difference of a conflict.
std::string errorText(std::string_view json);

} // namespace bamboochute::admin
