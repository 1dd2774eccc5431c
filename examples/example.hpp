/// @file
/// @brief Parameters, configurations and command line of the example programs.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <string>
#include <vector>

namespace bamboochute::examples {

/// Number of engines and number of services in each example.
constexpr std::size_t engineCount = 12;
constexpr std::size_t serviceCount = 4;

/// @brief Endpoints of the upstreams, and the operator's name and credential.
struct ExampleParameters
{
    /// Endpoint of each engine, in the order of the engines; engineCount of them.
    std::vector<Endpoint> engines;
    /// Endpoint of each plain service, in the order of the services; serviceCount of them.
    std::vector<Endpoint> services;
    std::string operatorName;
    /// SHA-256 of the operator's credential, as lower-case hexadecimal digits.
    std::string operatorHash;
};

/// @brief Builds the configuration of the Instituto, with its assistant and its reservations.
/// @return JSON, or ConfigurationInvalid
Result<std::string> makeInstitutoConfiguration(const ExampleParameters &parameters);

/// @brief Builds the configuration of Glassmark, with its drafting and its orders.
/// @return JSON, or ConfigurationInvalid
Result<std::string> makeGlassmarkConfiguration(const ExampleParameters &parameters);

/// @brief Reads the command line, builds a configuration and prints it on standard output.
/// Errors are printed on standard error.
/// @param argumentCount number of arguments, with the program's name
/// @param arguments command line, with the program's name first
/// @param makeConfiguration builds the configuration from the flags
/// @return exit code: 0 printed, 1 the configuration is invalid, 2 a flag is invalid
int printExample(int argumentCount, char **arguments,
                 Result<std::string> (*makeConfiguration)(const ExampleParameters &));

} // namespace bamboochute::examples
