#include "node/settings.hpp"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <docopt/docopt.h>
#include <fmt/format.h>

namespace bamboochute::node {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::uint32_t maxTrafficThreads = 64;
constexpr std::uint32_t maxMemoryMegabytes = 1 << 20;
/// With less, a body of 4 MB and a submission of 16 MB would be refused in calm.
constexpr std::uint32_t minMemoryMegabytes = 64;
constexpr std::size_t maxPeerKeys = 2;
constexpr std::size_t minSecretLength = 16;
constexpr std::size_t hashLength = 64;
constexpr std::uint32_t maxDrainSeconds = 86400;

/// Description of the allowed values when a value is invalid; nothing when it is valid.
using Rejection = std::optional<std::string>;
using SettingReader = Rejection (*)(const std::string &, Settings &);

struct SettingRow
{
    const char *flag;
    const char *defaultValue;
    const char *help;
    SettingReader read;
};

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size() && !text.empty()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

std::optional<std::uint32_t> readNumber(std::string_view text, std::uint32_t max)
{
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isWhole && number <= max ? std::optional(number) : std::nullopt;
}

std::optional<Endpoint> readEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    boost::asio::ip::make_address(text.substr(0, colon), error);
    const auto port = readNumber(std::string_view(text).substr(colon + 1), 65535);
    if (error || !port)
        return std::nullopt;
    return Endpoint{text.substr(0, colon), static_cast<std::uint16_t>(*port)};
}

bool isName(const std::string &text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), isAllowed);
}

template<auto Member>
Rejection readName(const std::string &text, Settings &settings)
{
    if (!isName(text))
        return "a name of 1 to 63 letters, digits, '-', '_' or '.'";
    (settings.*Member) = std::remove_reference_t<decltype(settings.*Member)>(text);
    return std::nullopt;
}

template<auto Member>
Rejection readOneEndpoint(const std::string &text, Settings &settings)
{
    const auto endpoint = readEndpoint(text);
    if (!endpoint)
        return "an IP address and a port from 0 to 65535, as in 127.0.0.1:8080";
    (settings.*Member) = *endpoint;
    return std::nullopt;
}

template<auto Member, bool IsRequired>
Rejection readEndpoints(const std::string &text, Settings &settings)
{
    std::vector<Endpoint> endpoints;
    for (const std::string &part : splitList(text)) {
        const auto endpoint = readEndpoint(part);
        if (!endpoint)
            return "a comma-separated list of IP addresses and ports, as in "
                   "127.0.0.1:2379,127.0.0.1:2380";
        endpoints.push_back(*endpoint);
    }
    if (IsRequired && endpoints.empty())
        return "at least one IP address and port, as in 127.0.0.1:2379";
    (settings.*Member) = std::move(endpoints);
    return std::nullopt;
}

Rejection readTrafficThreads(const std::string &text, Settings &settings)
{
    const auto number = readNumber(text, maxTrafficThreads);
    if (!number || *number == 0)
        return "a whole number from 1 to 64";
    settings.trafficThreads = *number;
    return std::nullopt;
}

Rejection readMemory(const std::string &text, Settings &settings)
{
    const auto number = readNumber(text, maxMemoryMegabytes);
    if (!number || (*number > 0 && *number < minMemoryMegabytes))
        return "a whole number of megabytes from 64 to 1048576, or 0 for no bound";
    settings.memoryMegabytes = *number;
    return std::nullopt;
}

Rejection readDrainTimeout(const std::string &text, Settings &settings)
{
    const auto number = readNumber(text, maxDrainSeconds);
    if (!number)
        return "a whole number of seconds from 0 (no limit) to 86400";
    settings.drainTimeout = std::chrono::seconds(*number);
    return std::nullopt;
}

Rejection readLogLevel(const std::string &text, Settings &settings)
{
    if (!parseLogLevel(text, settings.logLevel))
        return "debug, info, warning, error or critical";
    return std::nullopt;
}

Rejection readPeerKeys(const std::string &text, Settings &settings)
{
    constexpr const char *allowed = "one or two keys as NUMBER:SECRET, separated by a comma, with "
                                    "numbers from 0 to 255 and secrets of 16 characters or more";
    std::vector<PeerKey> keys;
    for (const std::string &part : splitList(text)) {
        const std::size_t colon = part.find(':');
        if (colon == std::string::npos)
            return allowed;
        const auto id = readNumber(std::string_view(part).substr(0, colon), 255);
        std::string secret = part.substr(colon + 1);
        if (!id || secret.size() < minSecretLength)
            return allowed;
        keys.push_back({static_cast<std::uint8_t>(*id), std::move(secret)});
    }
    if (keys.empty() || keys.size() > maxPeerKeys)
        return allowed;
    settings.peerKeys = std::move(keys);
    return std::nullopt;
}

Rejection readBootstrapHash(const std::string &text, Settings &settings)
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    const bool isHash = text.size() == hashLength && std::all_of(text.begin(), text.end(), isHex);
    if (!text.empty() && !isHash)
        return "64 lower-case hexadecimal digits, or nothing";
    settings.bootstrapCredentialHash = text;
    return std::nullopt;
}

Rejection readOrderCredential(const std::string &text, Settings &settings)
{
    settings.orderCredential = text;
    return std::nullopt;
}

// clang-format off
constexpr SettingRow settingRows[]{
    {"--instance", "", "Name of this instance, unique in the fleet.", readName<&Settings::instance>},
    {"--data-centre", "", "Data centre that this instance runs in.", readName<&Settings::dataCentre>},
    {"--region", "default", "Region that the data centre belongs to.", readName<&Settings::region>},
    {"--listen", "127.0.0.1:8080", "Address for callers.", readOneEndpoint<&Settings::listen>},
    {"--admin-listen", "127.0.0.1:8081", "Address for operators, /metrics and health.", readOneEndpoint<&Settings::adminListen>},
    {"--peer-listen", "127.0.0.1:8082", "Address for other instances, TCP and UDP.", readOneEndpoint<&Settings::peerListen>},
    {"--traffic-threads", "2", "Threads that serve callers, 1 to 64.", readTrafficThreads},
    {"--memory-mb", "256", "Memory that the process may use, in megabytes, 64 or more; 0 for no bound.", readMemory},
    {"--key-value", "", "Addresses of the key-value service.", readEndpoints<&Settings::keyValue, true>},
    {"--instance-list", "", "Addresses of the platform's list of instances.", readEndpoints<&Settings::instanceList, false>},
    {"--seeds", "", "Peer addresses of instances to join through when the list is not available.", readEndpoints<&Settings::seeds, false>},
    {"--peer-keys", "", "Keys shared by all instances, NUMBER:SECRET; messages are signed with the first. Prefer the environment variable.", readPeerKeys},
    {"--bootstrap-credential-hash", "", "SHA-256 of the credential for the first submission.", readBootstrapHash},
    {"--order-credential", "", "Credential for orders to upstreams that authenticate the sender. Prefer the environment variable.", readOrderCredential},
    {"--log-level", "info", "debug, info, warning, error or critical.", readLogLevel},
    {"--drain-timeout", "0", "Limit of a graceful stop in seconds; 0 waits for the last request.", readDrainTimeout},
};
// clang-format on

/// For example "BAMBOOCHUTE_DATA_CENTRE" for "--data-centre".
std::string environmentName(std::string_view flag)
{
    std::string name = "BAMBOOCHUTE_";
    for (const char each : flag.substr(2))
        name += each == '-' ? '_'
                            : static_cast<char>(std::toupper(static_cast<unsigned char>(each)));
    return name;
}

bool isSecret(std::string_view flag)
{
    return flag == "--peer-keys" || flag == "--order-credential";
}

Error settingError(const SettingRow &row, const std::string &value, const std::string &allowed)
{
    const std::string shown = isSecret(row.flag) ? "(not shown)" : fmt::format("\"{}\"", value);
    return Error(ErrorKind::SettingInvalid,
                 fmt::format("{} is {}; it must be {}", row.flag, shown, allowed), row.flag);
}

} // namespace

std::string settingsHelp()
{
    std::string text
            = "Entry instance of bamboochute.\n\nUsage:\n  bamboochuted [options]\n\nOptions:\n";
    for (const SettingRow &row : settingRows) {
        const std::string flag = fmt::format("{}=VALUE", row.flag);
        text += fmt::format("  {:<36} {} Also {}.", flag, row.help, environmentName(row.flag));
        if (*row.defaultValue != '\0')
            text += fmt::format(" Default: {}.", row.defaultValue);
        text += '\n';
    }
    text += "  --check                              Check the settings and exit.\n"
            "  -h --help                            Show this text.\n"
            "  --version                            Show the version.\n"
            "\nExit codes: 0 stopped gracefully, 1 failed while running, 2 a setting is invalid.\n";
    return text;
}

Result<CommandLine> readCommandLine(const std::vector<std::string> &arguments,
                                    const EnvironmentLookup &environment)
{
    std::map<std::string, docopt::value> flags;
    try {
        flags = docopt::docopt_parse(settingsHelp(), arguments, false, false, false);
    } catch (const std::exception &) {
        std::string line;
        for (const std::string &argument : arguments)
            line += (line.empty() ? "" : " ") + argument.substr(0, argument.find('='));
        return Error(ErrorKind::SettingInvalid,
                     fmt::format("arguments \"{}\" are not understood; see --help", line), "");
    }
    CommandLine command;
    command.isHelp = flags["--help"] && flags["--help"].asBool();
    command.isVersion = flags["--version"] && flags["--version"].asBool();
    command.isCheckOnly = flags["--check"] && flags["--check"].asBool();
    if (command.isHelp || command.isVersion)
        return command;
    for (const SettingRow &row : settingRows) {
        std::string value = row.defaultValue;
        if (const auto variable = environment(environmentName(row.flag)))
            value = *variable;
        if (flags[row.flag] && flags[row.flag].isString())
            value = flags[row.flag].asString();
        if (const Rejection rejection = row.read(value, command.settings))
            return settingError(row, value, *rejection);
    }
    return command;
}

} // namespace bamboochute::node
