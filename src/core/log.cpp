#include "core/log.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <memory>
#include <mutex>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bamboochute {

namespace {

struct LevelRow
{
    std::string_view name;
    LogLevel level;
    spdlog::level::level_enum native;
};

constexpr std::array levelRows{
        LevelRow{"debug", LogLevel::Debug, spdlog::level::debug},
        LevelRow{"info", LogLevel::Info, spdlog::level::info},
        LevelRow{"warning", LogLevel::Warning, spdlog::level::warn},
        LevelRow{"error", LogLevel::Error, spdlog::level::err},
        LevelRow{"critical", LogLevel::Critical, spdlog::level::critical},
};

const LevelRow &rowOf(LogLevel level)
{
    return levelRows[static_cast<std::size_t>(level)];
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

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
              % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900,
                       parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec,
                       millis);
}

} // namespace

void configureLog(std::string_view instance, LogLevel level)
{
    instanceName() = instance;
    logger().set_level(rowOf(level).native);
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

void logEvent(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    const LevelRow &row = rowOf(level);
    if (!logger().should_log(row.native))
        return;
    nlohmann::ordered_json line;
    line["time"] = utcNow();
    line["level"] = row.name;
    if (!instanceName().empty())
        line["instance"] = instanceName();
    line["message"] = message;
    for (const auto &[name, value] : fields)
        line[std::string(name)] = value;
    const auto replaceInvalid = nlohmann::ordered_json::error_handler_t::replace;
    logger().log(row.native, "{}", line.dump(-1, ' ', false, replaceInvalid));
}

} // namespace bamboochute
