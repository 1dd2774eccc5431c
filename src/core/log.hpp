/// @file
/// @brief Structured log, written by spdlog: one JSON object per line, on stderr by default.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace bamboochute {

/// @brief Severity of a log line, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error, Critical };

/// @brief Name and value of one member of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// @brief Sets the instance name in every line and the lowest level that is written.
/// @param instance value of the field "instance"
/// @param level lowest level that is written
void configureLog(std::string_view instance, LogLevel level);

/// @brief Redirects the log to standard output, which is made non-blocking.
///
/// Lines that can't be written at once, because the reader is slow, are dropped and counted.
void logToStandardOutput();

/// @brief Limits the rate of log lines for each message separately; not thread-safe.
class LogRateLimiter
{
public:
    /// @param linesPerSecond largest number of lines with one message in a second
    explicit LogRateLimiter(std::uint32_t linesPerSecond)
        : linesPerSecond(linesPerSecond)
    {}

    /// @brief Whether a line is written.
    struct Decision
    {
        bool isWritten = true;
        /// Lines of the message that were suppressed in the previous second; reported once.
        std::uint32_t suppressedLines = 0;
        auto operator<=>(const Decision &) const = default;
    };

    /// @brief Counts a line and decides whether it is written.
    /// @param message constant text of the line, without its fields
    /// @param now current time
    Decision decide(std::string_view message, TimePoint now);

private:
    struct Window
    {
        TimePoint start{};
        std::uint32_t lines = 0;
    };

    std::uint32_t linesPerSecond;
    std::map<std::string, Window, std::less<>> windows;
};

/// @brief Number of lines dropped because standard output could not take them at once.
std::uint64_t droppedLogLines() noexcept;

/// @brief Parses "debug", "info", "warning", "error" or "critical".
/// @return false when the name is none of these; level is unchanged then
bool parseLogLevel(std::string_view name, LogLevel &level);

/// @brief Writes one line with level, time, instance, message and the fields given.
/// @param level severity of the event
/// @param message constant text that names the event
/// @param fields further members, such as "request" or "error"; never a secret
void logEvent(LogLevel level, std::string_view message,
              std::initializer_list<LogField> fields = {});

} // namespace bamboochute
