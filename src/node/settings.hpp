/// @file
/// @brief Settings of an entry instance, from flags and environment variables.
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

/// @brief A key that instances share, by the number that messages name it by.
struct PeerKey
{
    std::uint8_t id = 0;
    /// Never written to logs or answers.
    std::string secret;
    auto operator<=>(const PeerKey &) const = default;
};

/// @brief All settings, checked.
struct Settings
{
    InstanceId instance;
    DataCentreId dataCentre;
    RegionId region;
    Endpoint listen{"127.0.0.1", 8080};
    Endpoint adminListen{"127.0.0.1", 8081};
    Endpoint peerListen{"127.0.0.1", 8082};
    std::uint32_t trafficThreads = 2;
    std::vector<Endpoint> keyValue;
    std::vector<Endpoint> instanceList;
    std::vector<Endpoint> seeds;
    /// The first key signs; all verify.
    std::vector<PeerKey> peerKeys;
    /// SHA-256, as hex, of the credential that may submit while no configuration names operators.
    std::string bootstrapCredentialHash;
    /// Bearer credential for orders to upstreams that check the sender.
    std::string orderCredential;
    LogLevel logLevel = LogLevel::Info;
    /// Longest graceful stop; zero means until the last request has ended.
    std::chrono::seconds drainTimeout{0};
};

/// @brief What the command line asked for.
struct CommandLine
{
    Settings settings;
    bool isCheckOnly = false;
    bool isVersion = false;
    bool isHelp = false;
};

using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &)>;

/// @brief The text that --help prints.
std::string settingsHelp();

/// @brief Reads flags, then environment variables, then defaults.
/// @param words arguments without the program's name
/// @param environment finds an environment variable
/// @return SettingInvalid whose message names flag, value and what is allowed
Result<CommandLine> readCommandLine(const std::vector<std::string> &words,
                                    const EnvironmentLookup &environment);

} // namespace bamboochute::node
