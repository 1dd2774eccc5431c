#include "bamboochute/bamboochute.hpp"

#include "core/inbound_budget.hpp"
#include "core/log.hpp"
#include "core/metrics.hpp"
#include "node/control.hpp"
#include "node/settings.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

namespace bamboochute {

namespace {

constexpr int exitStopped = 0;
constexpr int exitFailed = 1;
constexpr int exitInvalidSetting = 2;

std::optional<std::string> environmentVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::string toText(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

void printEndpoints(const node::Settings &settings, const node::BoundEndpoints &bound)
{
    const nlohmann::ordered_json line{{"instance", settings.instance.value()},
                                      {"listen", toText(bound.callers)},
                                      {"adminListen", toText(bound.admin)},
                                      {"peerListen", toText(bound.peers)}};
    std::cout << line.dump() << std::endl;
}

/// The first signal begins a graceful stop, each later one cuts it short.
void waitForSignal(boost::asio::signal_set &signals, node::Control &control, bool isFirst)
{
    signals.async_wait([&signals, &control, isFirst](const auto &error, int) {
        if (error)
            return;
        if (isFirst)
            control.beginStop();
        else
            control.stopNow();
        waitForSignal(signals, control, false);
    });
}

int runWithSettings(const node::Settings &settings)
{
    configureLog(settings.instance.value(), settings.logLevel);
    if (settings.memoryMegabytes > 0)
        returnLargeBlocks();
    Metrics metrics;
    boost::asio::io_context loop(1);
    node::Control control(loop, settings, metrics);
    const auto bound = control.start([&loop] { loop.stop(); });
    if (!bound) {
        std::cerr << bound.error().message() << '\n';
        return exitFailed;
    }
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    waitForSignal(signals, control, true);
    printEndpoints(settings, bound.value());
    loop.run();
    return exitStopped;
}

} // namespace

int runInstance(const std::vector<std::string> &arguments)
{
    const auto command = node::readCommandLine(arguments, environmentVariable);
    if (!command) {
        std::cerr << command.error().message() << '\n';
        return exitInvalidSetting;
    }
    if (command.value().isHelp) {
        std::cout << node::settingsHelp();
        return exitStopped;
    }
    if (command.value().isVersion) {
        std::cout << "bamboochuted " << version() << '\n';
        return exitStopped;
    }
    if (command.value().isCheckOnly) {
        std::cout << "settings are right\n";
        return exitStopped;
    }
    return runWithSettings(command.value().settings);
}

} // namespace bamboochute
