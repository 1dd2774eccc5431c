/// @file
/// @brief What the example deployments take from the command line.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <string>
#include <vector>

namespace bamboochute::examples {

/// Engines and services in each example.
constexpr std::size_t engineCount = 12;
constexpr std::size_t serviceCount = 4;

/// @brief Where the upstreams are, and who may operate.
struct ExampleParameters
{
    /// One for each engine, in order.
    std::vector<Endpoint> engines;
    /// One for each plain service, in order.
    std::vector<Endpoint> services;
    std::string operatorName;
    /// SHA-256 of the operator's credential, as hex.
    std::string operatorHash;
};

/// @brief The Instituto's assistant and reservations, as JSON.
Result<std::string> institutoConfiguration(const ExampleParameters &parameters);

/// @brief Glassmark's drafting and orders, as JSON.
Result<std::string> glassmarkConfiguration(const ExampleParameters &parameters);

/// @brief Reads the command line, prints the configuration that the function makes.
/// @return exit code: 0 printed, 1 the configuration is wrong, 2 a flag is wrong
int printExample(int argumentCount, char **arguments,
                 Result<std::string> (*make)(const ExampleParameters &));

} // namespace bamboochute::examples
