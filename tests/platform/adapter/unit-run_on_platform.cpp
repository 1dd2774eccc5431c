#include "instance.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <iostream>
#include <sstream>

namespace adapter = bamboochute::adapter;

// A process that was told to read its settings again, right after its start, ended by SIGHUP.
TEST_CASE("the program ignores SIGHUP before it does anything else")
{
    const auto formerHandler = std::signal(SIGHUP, SIG_DFL);
    std::ostringstream output;
    std::streambuf *const standardOutput = std::cout.rdbuf(output.rdbuf());
    const int exitCode = adapter::runOnPlatform({"--version"});
    std::cout.rdbuf(standardOutput);
    const auto handler = std::signal(SIGHUP, formerHandler);
    CHECK(exitCode == 0);
    CHECK(output.str().starts_with("bamboochute-edge "));
    const bool isIgnored = handler == SIG_IGN;
    CHECK(isIgnored);
}
