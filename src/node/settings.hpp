/// @file
/// @brief Settings of an entry instance, read from flags and environment variables.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::node {

/// @brief A key shared by all instances, with the number that identifies it in messages.
struct PeerKey
{
    std::uint8_t id = 0;
    /// Never written to logs or answers.
    std::string secret;
    auto operator<=>(const PeerKey &) const = default;
};

/// @brief All settings, validated.
struct Settings
{
    InstanceId instance;
    DataCentreId dataCentre;
    RegionId region;
    Endpoint listen{"127.0.0.1", 8080};
    Endpoint adminListen{"127.0.0.1", 8081};
    Endpoint peerListen{"127.0.0.1", 8082};
    std::uint32_t trafficThreads = 2;
    /// Memory that the process may use, in megabytes; zero for no bound.
    std::uint32_t memoryMegabytes = 256;
    std::vector<Endpoint> keyValue;
    std::vector<Endpoint> instanceList;
    std::vector<Endpoint> seeds;
    /// Messages are signed with the first key and verified with any of them.
    std::vector<PeerKey> peerKeys;
    /// SHA-256, in hexadecimal, of the credential that may submit a configuration while none names
    /// operators; empty when there is none.
    std::string bootstrapCredentialHash;
    /// Bearer credential for orders to upstreams that authenticate the sender.
    std::string orderCredential;
    LogLevel logLevel = LogLevel::Info;
    /// Limit of a graceful stop; zero waits until the last request has ended.
    std::chrono::seconds drainTimeout{0};
};

/// @brief Parsed command line.
struct CommandLine
{
    Settings settings;
    bool isCheckOnly = false;
    bool isVersion = false;
    bool isHelp = false;
};

/// @brief Returns the value of an environment variable, or nothing when it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &)>;

/// @brief Text that --help prints.
std::string settingsHelp();

/// @brief Reads each setting from its flag, else its environment variable, else its default.
/// @param arguments of the command line, without the program's name
/// @param environment looks up environment variables
/// @return the command line, or SettingInvalid whose message names the flag, the value and the
///         allowed values
Result<CommandLine> readCommandLine(const std::vector<std::string> &arguments,
                                    const EnvironmentLookup &environment);

} // namespace bamboochute::node
