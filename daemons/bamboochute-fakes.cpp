#include "bamboochute/bamboochute.hpp"
#include "fakes/booking_service.hpp"
#include "fakes/engine.hpp"
#include "fakes/instance_list_server.hpp"
#include "fakes/key_value_server.hpp"
#include "fakes/weight_store.hpp"

#include <array>
#include <charconv>
#include <functional>
#include <iostream>
#include <map>

#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

constexpr const char *usage = R"(Runs one fake of a backing service until SIGTERM or SIGINT.

Usage:
  bamboochute-fakes engine [options]
  bamboochute-fakes service [options]
  bamboochute-fakes store [options]
  bamboochute-fakes key-value [options]
  bamboochute-fakes instances [options]
  bamboochute-fakes (-h | --help)
  bamboochute-fakes --version

Prints the bound address and port as one line of JSON.

Options:
  --listen=ADDRESS       Address and port; port 0 takes a free port [default: 127.0.0.1:0].
  --seed=N               Seed of the random faults [default: 1].
  --fail-share=S         Share of completions or bookings that fail, from 0 to 1 [default: 0].

Engine options:
  --vendor=NAME          araucaria, bromelia or cinchona [default: araucaria].
  --fencing=WORD         Orders with a stale fencing number: refuses or ignores [default: refuses].
  --credential=TEXT      Bearer credential that orders must carry.
  --memory-mib=N         Accelerator memory [default: 81920].
  --concurrency=N        Requests reported as running; the rest as waiting [default: 32].
  --tokens=N             Tokens in each answer [default: 16].
  --tokens-per-second=N  Tokens per second of each request; 0 means no pause [default: 0].
  --break-after=N        Closes a stream's connection after N tokens; 0 means never [default: 0].
  --load-ms=N            Duration of a model's load; for store, 0 means 4000 [default: 0].
  --adapter-load-ms=N    Duration of an adapter's load [default: 0].
  --store=ADDRESS        Address and port of the weight store that loads fetch from.
  --report-lag-ms=N      Delay after which changes show in reports [default: 0].
  --loaded=NAMES         Targets loaded at the start: MODEL or MODEL:ADAPTER, separated by commas.

Service options:
  --delay-ms=N           Delay before each answer [default: 0].
  --drop-share=S         Share of bookings that run but get no answer [default: 0].
  --die-share=S          Share of bookings that run but whose answer is truncated [default: 0].

Store options:
  --loads-per-second=N   Model loads per second at full speed [default: 2].
  --loads-at-once=N      Concurrent model loads at full speed [default: 4].
  --adapters-at-once=N   Concurrent adapter transfers at full speed [default: 32].

Instances options:
  --lag-ms=N             Delay until a new list is visible [default: 500].

PUT /fake/instances replaces the list of instances. In the key-value fake, POST /fake/faults sets the
injected faults and /fake/stats counts calls.
)";

using Flags = std::map<std::string, docopt::value>;

/// Prints an error message to stderr and exits with code 2.
[[noreturn]] void exitWithFlagError(const char *flag, const std::string &value,
                                    std::string_view allowed)
{
    std::cerr << fmt::format("{} is \"{}\"; it must be {}\n", flag, value, allowed);
    std::exit(2);
}

std::uint64_t readNumber(const Flags &flags, const char *flag)
{
    const std::string text = flags.at(flag).asString();
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        exitWithFlagError(flag, text, "a whole number from 0");
    return number;
}

Duration readMilliseconds(const Flags &flags, const char *flag)
{
    return std::chrono::milliseconds(readNumber(flags, flag));
}

double readShare(const Flags &flags, const char *flag)
{
    const std::string text = flags.at(flag).asString();
    double share = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), share);
    if (error != std::errc() || end != text.data() + text.size() || share < 0 || share > 1)
        exitWithFlagError(flag, text, "a number from 0 to 1");
    return share;
}

Endpoint readEndpoint(const Flags &flags, const char *flag)
{
    const std::string text = flags.at(flag).asString();
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const bool hasPort = colon != std::string::npos
                         && std::from_chars(text.data() + colon + 1, end, port).ptr == end
                         && colon + 1 < text.size();
    if (!hasPort)
        exitWithFlagError(flag, text, "an IP address and a port, such as 127.0.0.1:8090");
    return {text.substr(0, colon), port};
}

template<typename Value, std::size_t count>
Value readChoice(const Flags &flags, const char *flag,
                 const std::array<std::pair<std::string_view, Value>, count> &words)
{
    const std::string text = flags.at(flag).asString();
    std::string allowed;
    for (const auto &[word, value] : words) {
        if (text == word)
            return value;
        allowed += fmt::format("{}{}", allowed.empty() ? "one of " : ", ", word);
    }
    exitWithFlagError(flag, text, allowed);
}

EngineSettings readEngineSettings(const Flags &flags)
{
    constexpr std::uint64_t mebibyte = 1 << 20;
    constexpr std::array<std::pair<std::string_view, Vendor>, 3> vendors{
            {{"araucaria", Vendor::Araucaria},
             {"bromelia", Vendor::Bromelia},
             {"cinchona", Vendor::Cinchona}}};
    constexpr std::array<std::pair<std::string_view, Fencing>, 2> fencings{
            {{"refuses", Fencing::Refuses}, {"ignores", Fencing::Ignores}}};
    EngineSettings settings;
    settings.vendor = readChoice(flags, "--vendor", vendors);
    settings.fencing = readChoice(flags, "--fencing", fencings);
    if (flags.at("--credential").isString())
        settings.orderCredential = flags.at("--credential").asString();
    settings.memory = Bytes{readNumber(flags, "--memory-mib") * mebibyte};
    settings.maxConcurrent = static_cast<std::uint32_t>(readNumber(flags, "--concurrency"));
    settings.tokensPerAnswer = static_cast<std::uint32_t>(readNumber(flags, "--tokens"));
    settings.tokensPerSecond = static_cast<double>(readNumber(flags, "--tokens-per-second"));
    settings.breakAfterTokens = static_cast<std::uint32_t>(readNumber(flags, "--break-after"));
    settings.loadTime = readMilliseconds(flags, "--load-ms");
    settings.adapterLoadTime = readMilliseconds(flags, "--adapter-load-ms");
    settings.reportLag = readMilliseconds(flags, "--report-lag-ms");
    settings.failShare = readShare(flags, "--fail-share");
    settings.seed = readNumber(flags, "--seed");
    if (flags.at("--store").isString())
        settings.store = readEndpoint(flags, "--store");
    return settings;
}

void preload(FakeEngine &engine, const Flags &flags)
{
    if (!flags.at("--loaded").isString())
        return;
    std::string_view names = flags.at("--loaded").asString();
    while (!names.empty()) {
        const std::string name(names.substr(0, names.find(',')));
        names.remove_prefix(std::min(names.size(), name.size() + 1));
        const std::size_t colon = name.find(':');
        Target target{ModelId(name.substr(0, colon)), AdapterId()};
        if (colon != std::string::npos)
            target.adapter = AdapterId(name.substr(colon + 1));
        engine.state().preload(target, Bytes{1});
    }
}

BookingSettings readBookingSettings(const Flags &flags)
{
    BookingSettings settings;
    settings.delay = readMilliseconds(flags, "--delay-ms");
    settings.dropAnswerShare = readShare(flags, "--drop-share");
    settings.truncateAnswerShare = readShare(flags, "--die-share");
    settings.failShare = readShare(flags, "--fail-share");
    settings.seed = readNumber(flags, "--seed");
    return settings;
}

WeightStoreSettings readWeightStoreSettings(const Flags &flags)
{
    WeightStoreSettings settings;
    settings.limits.loadsPerSecond = static_cast<double>(readNumber(flags, "--loads-per-second"));
    settings.limits.loadsAtOnce = static_cast<std::uint32_t>(readNumber(flags, "--loads-at-once"));
    settings.limits.adaptersInTransit
            = static_cast<std::uint32_t>(readNumber(flags, "--adapters-at-once"));
    const Duration loadTime = readMilliseconds(flags, "--load-ms");
    if (loadTime > Duration::zero())
        settings.loadTime = loadTime;
    return settings;
}

/// Listens, prints the bound endpoint and serves until SIGTERM or SIGINT.
/// @return exit code: 0 after a signal, 2 when the endpoint can't be bound
template<typename FakeServer>
int serveUntilSignal(upstream::asio::io_context &context, FakeServer &fakeServer,
                     const Flags &flags)
{
    const Result<Endpoint> bound = fakeServer.listen(readEndpoint(flags, "--listen"));
    if (!bound) {
        std::cerr << bound.error().message() << '\n';
        return 2;
    }
    const nlohmann::ordered_json line{{"address", bound.value().address},
                                      {"port", bound.value().port}};
    std::cout << line.dump() << std::endl;
    upstream::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const upstream::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

int runEngine(const Flags &flags)
{
    upstream::asio::io_context context(1);
    FakeEngine engine(context, readEngineSettings(flags));
    preload(engine, flags);
    return serveUntilSignal(context, engine, flags);
}

int runService(const Flags &flags)
{
    upstream::asio::io_context context(1);
    FakeBookingService service(context, readBookingSettings(flags));
    return serveUntilSignal(context, service, flags);
}

int runStore(const Flags &flags)
{
    upstream::asio::io_context context(1);
    FakeWeightStore store(context, readWeightStoreSettings(flags));
    return serveUntilSignal(context, store, flags);
}

int runKeyValue(const Flags &flags)
{
    upstream::asio::io_context context(1);
    KeyValueServer server(context);
    return serveUntilSignal(context, server, flags);
}

int runInstanceList(const Flags &flags)
{
    upstream::asio::io_context context(1);
    InstanceListServer server(context, readMilliseconds(flags, "--lag-ms"));
    return serveUntilSignal(context, server, flags);
}

struct Subcommand
{
    const char *name;
    int (*run)(const Flags &);
};

/// One row for each fake; each name must also stand in the usage text.
constexpr std::array<Subcommand, 5> subcommands{{{"engine", &runEngine},
                                                 {"service", &runService},
                                                 {"store", &runStore},
                                                 {"key-value", &runKeyValue},
                                                 {"instances", &runInstanceList}}};

int run(const Flags &flags)
{
    for (const Subcommand &subcommand : subcommands) {
        if (flags.at(subcommand.name).asBool())
            return subcommand.run(flags);
    }
    return 2;
}

} // namespace

} // namespace bamboochute::fakes

int main(int argumentCount, char **arguments)
{
    using namespace bamboochute;
    const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
    const std::string versionText = fmt::format("bamboochute-fakes {}", version());
    return fakes::run(docopt::docopt(fakes::usage, words, true, versionText));
}
