/// @file
/// @brief Structured log: one JSON object a line on stderr, by spdlog.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace bamboochute {

enum class LogLevel { Debug, Info, Warning, Error, Critical };

using LogField = std::pair<std::string_view, std::string>;

/// @brief Sets what every line carries and the least level that is written.
/// @param instance value of the field "instance"
/// @param level least level written
void configureLog(std::string_view instance, LogLevel level);

/// @brief Writes the lines to standard output from now on, without ever waiting for its reader.
///
/// Lines that the reader does not take at once are dropped and counted.
void logToStandardOutput();

/// @brief Lines dropped because standard output was full.
std::uint64_t droppedLogLines() noexcept;

/// @brief Parses "debug", "info", "warning", "error" or "critical".
/// @return false when the name is none of these; level is unchanged then
bool parseLogLevel(std::string_view name, LogLevel &level);

/// @brief Writes one line with level, time, instance, message and the fields given.
/// @param level how grave the event is
/// @param message constant text that names the event
/// @param fields further members, such as "request" or "error"; never a secret
void logEvent(LogLevel level, std::string_view message,
              std::initializer_list<LogField> fields = {});

} // namespace bamboochute
