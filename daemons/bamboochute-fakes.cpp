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

constexpr const char *usage = R"(Runs one stand-in of the platform until SIGTERM or SIGINT.

Usage:
  bamboochute-fakes engine [options]
  bamboochute-fakes service [options]
  bamboochute-fakes store [options]
  bamboochute-fakes key-value [options]
  bamboochute-fakes instances [options]
  bamboochute-fakes (-h | --help)
  bamboochute-fakes --version

The bound port is printed as one JSON object on one line.

Options:
  --listen=ADDRESS       Address and port; port 0 takes a free one [default: 127.0.0.1:0].
  --seed=N               Seed of the random numbers [default: 1].
  --fail-share=S         Share of calls that fail, from 0 to 1 [default: 0].

Engine options:
  --vendor=NAME          araucaria, bromelia or cinchona [default: araucaria].
  --fencing=WORD         refuses or ignores [default: refuses].
  --credential=TEXT      Bearer credential that orders must carry.
  --memory-mib=N         Accelerator memory [default: 81920].
  --concurrency=N        Requests worked on at once [default: 32].
  --tokens=N             Tokens of one answer [default: 16].
  --tokens-per-second=N  Tokens a second of one request; 0 means no pause [default: 0].
  --break-after=N        Streams break after so many tokens; 0 means never [default: 0].
  --load-ms=N            Time of a model's load; at the store, 0 means 4000 [default: 0].
  --adapter-load-ms=N    Time of an adapter's load [default: 0].
  --store=ADDRESS        Weight store that loads go through.
  --report-lag-ms=N      Age of what reports show [default: 0].
  --loaded=NAMES         Targets that are loaded at the start: MODEL or MODEL:ADAPTER, by commas.

Service options:
  --delay-ms=N           Time of one call [default: 0].
  --drop-share=S         Share of bookings whose answer is dropped [default: 0].
  --die-share=S          Share of bookings whose answer is cut halfway [default: 0].

Store options:
  --loads-per-second=N   Loads a second at full speed [default: 2].
  --loads-at-once=N      Loads at once at full speed [default: 4].
  --adapters-at-once=N   Adapters in transit at full speed [default: 32].

Instances options:
  --lag-ms=N             Time until a new list is told [default: 500].

The list of instances is replaced by PUT /fake/instances. The key-value stand-in takes faults by POST /fake/faults and counts calls at /fake/stats.
)";

using Flags = std::map<std::string, docopt::value>;

/// Ends the program with exit code 2 and one sentence.
[[noreturn]] void refuseFlag(const char *flag, const std::string &value, std::string_view allowed)
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
        refuseFlag(flag, text, "a whole number from 0");
    return number;
}

Duration readMillis(const Flags &flags, const char *flag)
{
    return std::chrono::milliseconds(readNumber(flags, flag));
}

double readShare(const Flags &flags, const char *flag)
{
    const std::string text = flags.at(flag).asString();
    double share = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), share);
    if (error != std::errc() || end != text.data() + text.size() || share < 0 || share > 1)
        refuseFlag(flag, text, "a number from 0 to 1");
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
        refuseFlag(flag, text, "an IP number and a port, such as 127.0.0.1:8090");
    return {text.substr(0, colon), port};
}

template<typename Value, std::size_t count>
Value readWord(const Flags &flags, const char *flag,
               const std::array<std::pair<std::string_view, Value>, count> &words)
{
    const std::string text = flags.at(flag).asString();
    std::string allowed;
    for (const auto &[word, value] : words) {
        if (text == word)
            return value;
        allowed += fmt::format("{}{}", allowed.empty() ? "one of " : ", ", word);
    }
    refuseFlag(flag, text, allowed);
}

EngineSettings readEngine(const Flags &flags)
{
    constexpr std::uint64_t mebibyte = 1 << 20;
    constexpr std::array<std::pair<std::string_view, Vendor>, 3> vendors{
            {{"araucaria", Vendor::Araucaria},
             {"bromelia", Vendor::Bromelia},
             {"cinchona", Vendor::Cinchona}}};
    constexpr std::array<std::pair<std::string_view, Fencing>, 2> fencings{
            {{"refuses", Fencing::Refuses}, {"ignores", Fencing::Ignores}}};
    EngineSettings settings;
    settings.vendor = readWord(flags, "--vendor", vendors);
    settings.fencing = readWord(flags, "--fencing", fencings);
    if (flags.at("--credential").isString())
        settings.orderCredential = flags.at("--credential").asString();
    settings.memory = Bytes{readNumber(flags, "--memory-mib") * mebibyte};
    settings.maxConcurrent = static_cast<std::uint32_t>(readNumber(flags, "--concurrency"));
    settings.tokensPerAnswer = static_cast<std::uint32_t>(readNumber(flags, "--tokens"));
    settings.tokensPerSecond = static_cast<double>(readNumber(flags, "--tokens-per-second"));
    settings.breakAfterTokens = static_cast<std::uint32_t>(readNumber(flags, "--break-after"));
    settings.loadTime = readMillis(flags, "--load-ms");
    settings.adapterLoadTime = readMillis(flags, "--adapter-load-ms");
    settings.reportLag = readMillis(flags, "--report-lag-ms");
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

BookingSettings readService(const Flags &flags)
{
    BookingSettings settings;
    settings.delay = readMillis(flags, "--delay-ms");
    settings.dropAnswerShare = readShare(flags, "--drop-share");
    settings.truncateAnswerShare = readShare(flags, "--die-share");
    settings.failShare = readShare(flags, "--fail-share");
    settings.seed = readNumber(flags, "--seed");
    return settings;
}

WeightStoreSettings readStore(const Flags &flags)
{
    WeightStoreSettings settings;
    settings.limits.loadsPerSecond = static_cast<double>(readNumber(flags, "--loads-per-second"));
    settings.limits.loadsAtOnce = static_cast<std::uint32_t>(readNumber(flags, "--loads-at-once"));
    settings.limits.adaptersInTransit
            = static_cast<std::uint32_t>(readNumber(flags, "--adapters-at-once"));
    const Duration loadTime = readMillis(flags, "--load-ms");
    if (loadTime > Duration::zero())
        settings.loadTime = loadTime;
    return settings;
}

/// Serves until a signal comes.
template<typename Fake>
int serve(upstream::asio::io_context &context, Fake &fake, const Flags &flags)
{
    const Result<Endpoint> bound = fake.listen(readEndpoint(flags, "--listen"));
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
    FakeEngine engine(context, readEngine(flags));
    preload(engine, flags);
    return serve(context, engine, flags);
}

int runService(const Flags &flags)
{
    upstream::asio::io_context context(1);
    FakeBookingService service(context, readService(flags));
    return serve(context, service, flags);
}

int runStore(const Flags &flags)
{
    upstream::asio::io_context context(1);
    FakeWeightStore store(context, readStore(flags));
    return serve(context, store, flags);
}

int runKeyValue(const Flags &flags)
{
    upstream::asio::io_context context(1);
    KeyValueServer server(context);
    return serve(context, server, flags);
}

int runInstanceList(const Flags &flags)
{
    upstream::asio::io_context context(1);
    InstanceListServer server(context, readMillis(flags, "--lag-ms"));
    return serve(context, server, flags);
}

struct Subcommand
{
    const char *name;
    int (*run)(const Flags &);
};

/// One row for each stand-in; the name is also a line of the usage.
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
