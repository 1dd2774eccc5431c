#include "core/log.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <memory>
#include <mutex>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace bamboochute {

namespace {

struct LevelRow
{
    std::string_view name;
    LogLevel level;
    spdlog::level::level_enum spdlogLevel;
};

constexpr std::array levelRows{
        LevelRow{"debug", LogLevel::Debug, spdlog::level::debug},
        LevelRow{"info", LogLevel::Info, spdlog::level::info},
        LevelRow{"warning", LogLevel::Warning, spdlog::level::warn},
        LevelRow{"error", LogLevel::Error, spdlog::level::err},
        LevelRow{"critical", LogLevel::Critical, spdlog::level::critical},
};

const LevelRow &findLevelRow(LogLevel level)
{
    return levelRows[static_cast<std::size_t>(level)];
}

/// Writes to a non-blocking file descriptor. A line of which nothing can be written is dropped; the
/// rest of a partly written line is written before the next line.
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit NonBlockingSink(int descriptor)
        : descriptor(descriptor)
    {}

    std::uint64_t dropped() const noexcept { return this->droppedLines; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        if (!this->writeRest() || !this->write(line.data(), line.size()))
            ++this->droppedLines;
    }

    void flush_() override { this->writeRest(); }

private:
    /// Writes the remainder of a partly written line.
    /// @return false when the remainder could not be written in full
    bool writeRest()
    {
        const std::string rest = std::move(this->unwritten);
        this->unwritten.clear();
        return rest.empty() || (this->write(rest.data(), rest.size()) && this->unwritten.empty());
    }

    bool write(const char *data, std::size_t size)
    {
        const ssize_t written = ::write(this->descriptor, data, size);
        if (written <= 0)
            return false;
        if (static_cast<std::size_t>(written) < size)
            this->unwritten.assign(data + written, size - static_cast<std::size_t>(written));
        return true;
    }

    int descriptor;
    std::string unwritten;
    std::uint64_t droppedLines = 0;
};

std::shared_ptr<NonBlockingSink> &standardOutputSink()
{
    static std::shared_ptr<NonBlockingSink> sink;
    return sink;
}

/// Limit for each message; an instance with 30 requests per second stays below it.
constexpr std::uint32_t linesPerSecond = 120;

struct SharedRateLimiter
{
    std::mutex mutex;
    LogRateLimiter limiter{linesPerSecond};
};

SharedRateLimiter &sharedRateLimiter()
{
    static SharedRateLimiter limiter;
    return limiter;
}

std::string &instanceName()
{
    static std::string name;
    return name;
}

spdlog::logger &logger()
{
    static const std::shared_ptr<spdlog::logger> instance = [] {
        auto created = std::make_shared<spdlog::logger>(
                "bamboochute", std::make_shared<spdlog::sinks::stderr_sink_mt>());
        created->set_pattern("%v");
        created->set_level(spdlog::level::info);
        return created;
    }();
    return *instance;
}

std::string formatUtcNow()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
              % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", utc.tm_year + 1900,
                       utc.tm_mon + 1, utc.tm_mday, utc.tm_hour, utc.tm_min, utc.tm_sec, millis);
}

} // namespace

LogRateLimiter::Decision LogRateLimiter::decide(std::string_view message, TimePoint now)
{
    const auto found = this->windows.find(message);
    Window &window
            = found == this->windows.end() ? this->windows[std::string(message)] : found->second;
    Decision decision;
    if (window.start == TimePoint() || now >= window.start + std::chrono::seconds(1)) {
        decision.suppressedLines
                = window.lines > this->linesPerSecond ? window.lines - this->linesPerSecond : 0;
        window = Window{now, 0};
    }
    ++window.lines;
    decision.isWritten = window.lines <= this->linesPerSecond;
    return decision;
}

void configureLog(std::string_view instance, LogLevel level)
{
    instanceName() = instance;
    logger().set_level(findLevelRow(level).spdlogLevel);
}

void logToStandardOutput()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    standardOutputSink() = std::make_shared<NonBlockingSink>(STDOUT_FILENO);
    logger().sinks().assign({standardOutputSink()});
    logger().set_pattern("%v");
}

std::uint64_t droppedLogLines() noexcept
{
    return standardOutputSink() ? standardOutputSink()->dropped() : 0;
}

bool parseLogLevel(std::string_view name, LogLevel &level)
{
    for (const LevelRow &row : levelRows) {
        if (row.name == name) {
            level = row.level;
            return true;
        }
    }
    return false;
}

namespace {

void writeLine(const LevelRow &row, std::string_view message,
               std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    line["time"] = formatUtcNow();
    line["level"] = row.name;
    if (!instanceName().empty())
        line["instance"] = instanceName();
    line["message"] = message;
    for (const auto &[name, value] : fields)
        line[std::string(name)] = value;
    const auto replaceInvalid = nlohmann::ordered_json::error_handler_t::replace;
    logger().log(row.spdlogLevel, "{}", line.dump(-1, ' ', false, replaceInvalid));
}

} // namespace

void logEvent(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    const LevelRow &row = findLevelRow(level);
    if (!logger().should_log(row.spdlogLevel))
        return;
    if (!standardOutputSink()) {
        writeLine(row, message, fields);
        return;
    }
    LogRateLimiter::Decision decision;
    {
        const std::lock_guard lock(sharedRateLimiter().mutex);
        decision = sharedRateLimiter().limiter.decide(message, SteadyClock().now());
    }
    if (decision.suppressedLines > 0)
        writeLine(row, "log lines suppressed by the rate limit",
                  {{"of", std::string(message)},
                   {"count", std::to_string(decision.suppressedLines)}});
    if (decision.isWritten)
        writeLine(row, message, fields);
}

} // namespace bamboochute
