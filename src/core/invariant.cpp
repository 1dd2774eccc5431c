#include "core/invariant.hpp"

#include "core/log.hpp"

#include <atomic>
#include <cstdlib>

namespace bamboochute {

namespace {

void logAndAbort(std::string_view condition, std::string_view message, const char *file, int line)
{
    logEvent(LogLevel::Critical, "invariant broken",
             {{"condition", std::string(condition)},
              {"detail", std::string(message)},
              {"file", std::string(file)},
              {"line", std::to_string(line)}});
    std::abort();
}

std::atomic<InvariantHandler> currentHandler{&logAndAbort};

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler handler) noexcept
{
    return currentHandler.exchange(handler);
}

void invariantBroken(std::string_view condition, std::string_view message, const char *file,
                     int line)
{
    currentHandler.load()(condition, message, file, line);
}

} // namespace bamboochute
