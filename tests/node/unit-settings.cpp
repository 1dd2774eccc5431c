#include "node/settings.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::node;

namespace {

const std::vector<std::string> complete{
        "--instance=entry-1",
        "--data-centre=quito-norte",
        "--key-value=127.0.0.1:2379",
        "--peer-keys=1:0123456789abcdef",
};

EnvironmentLookup noEnvironment()
{
    return [](const std::string &) { return std::nullopt; };
}

std::vector<std::string> with(const std::string &word)
{
    std::vector<std::string> words = complete;
    words.push_back(word);
    return words;
}

} // namespace

TEST_CASE("settings are read from flags, environment and defaults")
{
    SUBCASE("a complete command line is accepted")
    {
        const CommandLine command = readCommandLine(complete, noEnvironment()).value();
        CHECK(command.settings.instance == InstanceId("entry-1"));
        CHECK(command.settings.trafficThreads == 2);
        CHECK(command.settings.keyValue.at(0) == Endpoint{"127.0.0.1", 2379});
    }

    SUBCASE("an environment variable replaces the default, and a flag replaces the variable")
    {
        const EnvironmentLookup environment = [](const std::string &name) {
            return name == "BAMBOOCHUTE_TRAFFIC_THREADS" ? std::optional<std::string>("5")
                                                         : std::nullopt;
        };
        CHECK(readCommandLine(complete, environment).value().settings.trafficThreads == 5);
        const auto both = readCommandLine(with("--traffic-threads=7"), environment);
        CHECK(both.value().settings.trafficThreads == 7);
    }

    SUBCASE("a wrong value is refused in one sentence with flag, value and what is allowed")
    {
        const Error error
                = readCommandLine(with("--traffic-threads=zero"), noEnvironment()).error();
        CHECK(error.message()
              == "--traffic-threads is \"zero\"; it must be a whole number from 1 to 64");
        CHECK(readCommandLine(with("--listen=localhost:1"), noEnvironment()).error().field()
              == "--listen");
        CHECK(readCommandLine(with("--colour=red"), noEnvironment()).has_error());
    }

    SUBCASE("a wrong secret is never shown")
    {
        std::vector<std::string> words = complete;
        words.back() = "--peer-keys=1:tooshort";
        const Error error = readCommandLine(words, noEnvironment()).error();
        CHECK(error.message().find("tooshort") == std::string::npos);
    }
}
