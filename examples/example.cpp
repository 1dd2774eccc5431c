#include "example.hpp"

#include "core/digest.hpp"

#include <charconv>
#include <iostream>
#include <map>
#include <optional>

#include <docopt/docopt.h>
#include <fmt/format.h>

namespace bamboochute::examples {

namespace {

constexpr const char *usage = R"(Prints an example configuration as JSON.

Usage:
  example [options]
  example (-h | --help)

Options:
  --engines=LIST     Twelve endpoints IP:PORT, separated by commas; 10.0.1.1:9000 to 10.0.1.12:9000
                     when not given.
  --services=LIST    Four endpoints; 10.0.2.1:9100 to 10.0.2.4:9100 when not given.
  --operator=NAME    Operator's name [default: operator].
  --credential=TEXT  Operator's credential, of which only the SHA-256 is printed
                     [default: example-credential].
)";

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint{text.substr(0, colon), 0};
    const char *end = text.data() + text.size();
    const auto [parseEnd, failure] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (failure != std::errc() || parseEnd != end)
        return std::nullopt;
    return endpoint;
}

std::vector<Endpoint> makeDefaultEndpoints(std::size_t count, int thirdOctet, std::uint16_t port)
{
    std::vector<Endpoint> endpoints;
    for (std::size_t i = 1; i <= count; ++i)
        endpoints.push_back({fmt::format("10.0.{}.{}", thirdOctet, i), port});
    return endpoints;
}

/// Reads a list of endpoints from a flag; without the flag, the endpoints stay as they are.
/// Prints on standard error what is wrong.
/// @return whether the flag is valid
bool readEndpoints(const docopt::value &flag, const char *name, std::vector<Endpoint> &endpoints)
{
    if (!flag)
        return true;
    std::vector<Endpoint> parsedEndpoints;
    std::string remaining = flag.asString() + ",";
    while (!remaining.empty()) {
        const std::size_t comma = remaining.find(',');
        const auto endpoint = parseEndpoint(remaining.substr(0, comma));
        if (!endpoint) {
            std::cerr << fmt::format("{} holds \"{}\"; each endpoint must be IP:PORT\n", name,
                                     remaining.substr(0, comma));
            return false;
        }
        parsedEndpoints.push_back(*endpoint);
        remaining.erase(0, comma + 1);
    }
    if (parsedEndpoints.size() != endpoints.size()) {
        std::cerr << fmt::format("{} holds {} endpoints; it must hold {}\n", name,
                                 parsedEndpoints.size(), endpoints.size());
        return false;
    }
    endpoints = parsedEndpoints;
    return true;
}

} // namespace

int printExample(int argumentCount, char **arguments,
                 Result<std::string> (*makeConfiguration)(const ExampleParameters &))
{
    const std::vector<std::string> commandLine(arguments + 1, arguments + argumentCount);
    const auto flags = docopt::docopt(usage, commandLine, true);
    ExampleParameters parameters{
            makeDefaultEndpoints(engineCount, 1, 9000), makeDefaultEndpoints(serviceCount, 2, 9100),
            flags.at("--operator").asString(), sha256Hex(flags.at("--credential").asString())};
    if (!readEndpoints(flags.at("--engines"), "--engines", parameters.engines)
        || !readEndpoints(flags.at("--services"), "--services", parameters.services))
        return 2;
    const auto text = makeConfiguration(parameters);
    if (!text) {
        std::cerr << text.error().message() << '\n';
        return 1;
    }
    std::cout << text.value();
    return 0;
}

} // namespace bamboochute::examples
