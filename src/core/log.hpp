/// @file
/// @brief Structured log: one JSON object a line on stderr, by spdlog.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
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

/// @brief Counts the lines of each message and leaves out what exceeds a rate; not thread-safe.
class LogBudget
{
public:
    /// @param linesPerSecond lines of one message that are written in a second
    explicit LogBudget(std::uint32_t linesPerSecond)
        : linesPerSecond(linesPerSecond)
    {}

    /// @brief What becomes of a line.
    struct Decision
    {
        bool isWritten = true;
        /// Lines of the message that were left out in the second before.
        std::uint32_t leftOut = 0;
        auto operator<=>(const Decision &) const = default;
    };

    /// @brief Decides on the next line of a message.
    Decision decide(std::string_view message, TimePoint now);

private:
    struct Second
    {
        TimePoint begin{};
        std::uint32_t lines = 0;
    };

    std::uint32_t linesPerSecond;
    std::map<std::string, Second, std::less<>> seconds;
};

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
