#include "node/settings.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::node;

namespace {

const std::vector<std::string> completeArguments{
        "--instance=entry-1",
        "--data-centre=quito-norte",
        "--key-value=127.0.0.1:2379",
        "--peer-keys=1:0123456789abcdef",
};

EnvironmentLookup noEnvironment()
{
    return [](const std::string &) { return std::nullopt; };
}

std::vector<std::string> completeWith(const std::string &argument)
{
    std::vector<std::string> arguments = completeArguments;
    arguments.push_back(argument);
    return arguments;
}

} // namespace

TEST_CASE("settings are read from flags, environment and defaults")
{
    SUBCASE("a complete command line is accepted")
    {
        const CommandLine command = readCommandLine(completeArguments, noEnvironment()).value();
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
        CHECK(readCommandLine(completeArguments, environment).value().settings.trafficThreads == 5);
        const auto both = readCommandLine(completeWith("--traffic-threads=7"), environment);
        CHECK(both.value().settings.trafficThreads == 7);
    }

    SUBCASE("an invalid value is rejected with an error that names flag, value and allowed values")
    {
        const Error error
                = readCommandLine(completeWith("--traffic-threads=zero"), noEnvironment()).error();
        CHECK(error.message()
              == "--traffic-threads is \"zero\"; it must be a whole number from 1 to 64");
        CHECK(readCommandLine(completeWith("--listen=localhost:1"), noEnvironment()).error().field()
              == "--listen");
        CHECK(readCommandLine(completeWith("--colour=red"), noEnvironment()).has_error());
    }

    SUBCASE("an invalid secret does not appear in the error message")
    {
        std::vector<std::string> arguments = completeArguments;
        arguments.back() = "--peer-keys=1:tooshort";
        const Error error = readCommandLine(arguments, noEnvironment()).error();
        CHECK(error.message().find("tooshort") == std::string::npos);
    }
}
