#include "admin/admin_client.hpp"
#include "admin/configuration_format.hpp"
#include "admin/configuration_schema.hpp"
#include "admin/text_table.hpp"
#include "bamboochute/bamboochute.hpp"
#include "core/digest.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute {

namespace {

constexpr const char *usage = R"(Operates a running bamboochute through its administration API.

Usage:
  bamboochutectl submit FILE [options]
  bamboochutectl check FILE [options]
  bamboochutectl get [options]
  bamboochutectl history [options]
  bamboochutectl rollback REVISION [options]
  bamboochutectl status [options]
  bamboochutectl drain (upstream | instance) ID [options]
  bamboochutectl explain request ID [options]
  bamboochutectl explain placement MODEL [ADAPTER] [options]
  bamboochutectl hash [options]
  bamboochutectl schema
  bamboochutectl errors
  bamboochutectl (-h | --help)
  bamboochutectl --version

Commands:
  submit    Submits the configuration in FILE ("-" reads standard input).
  check     Validates FILE locally, without calling a server.
  get       Prints the configuration in force, ready to be submitted, and its revision to stderr.
  history   Lists the revisions that rollback can restore.
  rollback  Submits an earlier revision's configuration as a new revision.
  status    Shows instances, owners, upstreams, replicas, queues and budgets.
  drain     Stops sending new work to an upstream or instance.
  explain   Shows the decisions behind a request or a placement.
  hash      Prints the credential's SHA-256, the form in which a configuration stores it.
  schema    Prints the JSON schema of the configuration.
  errors    Prints the table of errors.

Options:
  --endpoint=LIST          Administration ports IP:PORT, separated by commas, tried in order.
                           [env BAMBOOCHUTE_ENDPOINT, default 127.0.0.1:8081]
  --credential=TEXT        Operator's credential; prefer the environment variable or a file.
                           [env BAMBOOCHUTE_CREDENTIAL]
  --credential-file=PATH   File whose first line is the credential.
                           [env BAMBOOCHUTE_CREDENTIAL_FILE]
  --expected-revision=N    Revision that the change is based on; required by submit and rollback.
                           [env BAMBOOCHUTE_EXPECTED_REVISION]
  --submission-id=ID       Identifies a submission when it is sent again; random by default.
                           [env BAMBOOCHUTE_SUBMISSION_ID]
  --dry-run                Shows the difference, records nothing. [env BAMBOOCHUTE_DRY_RUN]
  --wait                   Waits until the revision is in force at every instance.
                           [env BAMBOOCHUTE_WAIT]
  --timeout-seconds=N      Timeout of each call, and of --wait.
                           [env BAMBOOCHUTE_TIMEOUT_SECONDS, default 30]
  --json                   Prints the server's JSON. [env BAMBOOCHUTE_JSON]

Exit codes:
  0 done                          5 credential refused
  1 refused for another reason    6 no endpoint answers, or the service is unavailable
  2 wrong flag or argument        7 outcome unknown: send again with the same submission id
  3 revision conflict             8 not in force at every instance within the timeout
  4 configuration is invalid
)";

enum ExitCode {
    Done = 0,
    Refused = 1,
    WrongArgument = 2,
    Conflict = 3,
    Invalid = 4,
    Unauthorised = 5,
    Unavailable = 6,
    OutcomeUnknown = 7,
    NotInForce = 8,
};

using Flags = std::map<std::string, docopt::value>;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds pollInterval{200};
constexpr std::uint64_t maxTimeoutSeconds = 3600;

/// Thrown to end the command with an exit code, after any message was printed.
struct ExitRequest
{
    ExitCode code;
};

[[noreturn]] void failWith(ExitCode code, const std::string &message)
{
    std::cerr << message << '\n';
    throw ExitRequest{code};
}

/// A value with the name of the flag, variable or argument that gave it, for error messages.
struct Setting
{
    std::string name;
    std::string value;
};

/// Returns a flag's value, else that of its environment variable, else nothing.
std::optional<Setting> findSetting(const Flags &flags, const std::string &flag)
{
    const docopt::value &given = flags.at(flag);
    if (given.isString())
        return Setting{flag, given.asString()};
    if (given.isBool() && given.asBool())
        return Setting{flag, "true"};
    std::string variable = "BAMBOOCHUTE_";
    for (const char c : flag.substr(2))
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    const char *value = std::getenv(variable.c_str());
    if (value == nullptr)
        return std::nullopt;
    return Setting{variable, value};
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || stop != end || text.empty())
        return std::nullopt;
    return number;
}

std::uint64_t parseNumberSetting(const Setting &setting, std::uint64_t minimum,
                                 std::uint64_t maximum)
{
    const auto number = parseNumber(setting.value);
    if (!number || *number < minimum || *number > maximum)
        failWith(WrongArgument, fmt::format("{} is \"{}\"; it must be a whole number from {} to {}",
                                            setting.name, setting.value, minimum, maximum));
    return *number;
}

bool isFlagSet(const Flags &flags, const std::string &flag)
{
    const auto setting = findSetting(flags, flag);
    if (!setting || setting->value == "false")
        return false;
    if (setting->value != "true")
        failWith(WrongArgument, fmt::format("{} is \"{}\"; it must be true or false", setting->name,
                                            setting->value));
    return true;
}

std::vector<Endpoint> readEndpoints(const Flags &flags)
{
    const Setting setting
            = findSetting(flags, "--endpoint").value_or(Setting{"--endpoint", "127.0.0.1:8081"});
    std::vector<Endpoint> endpoints;
    std::istringstream list(setting.value);
    for (std::string item; std::getline(list, item, ',');) {
        const std::size_t colon = item.rfind(':');
        const auto port
                = colon == std::string::npos ? std::nullopt : parseNumber(item.substr(colon + 1));
        if (!port || *port == 0 || *port > 65535)
            failWith(WrongArgument,
                     fmt::format("{} holds \"{}\"; each endpoint must be IP:PORT with a port from "
                                 "1 to 65535",
                                 setting.name, item));
        endpoints.push_back({item.substr(0, colon), static_cast<std::uint16_t>(*port)});
    }
    if (endpoints.empty())
        failWith(WrongArgument,
                 fmt::format("{} is empty; it must hold at least one IP:PORT", setting.name));
    return endpoints;
}

std::string readFile(const std::string &name, const std::string &path)
{
    if (path == "-")
        return {std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file)
        failWith(WrongArgument,
                 fmt::format("{} is \"{}\"; it must be a file that can be read", name, path));
    return text;
}

std::string readCredential(const Flags &flags)
{
    if (const auto credential = findSetting(flags, "--credential"))
        return credential->value;
    const auto file = findSetting(flags, "--credential-file");
    if (!file)
        failWith(WrongArgument, "no credential is given; set BAMBOOCHUTE_CREDENTIAL or "
                                "--credential-file");
    const std::string text = readFile(file->name, file->value);
    return text.substr(0, text.find_first_of("\r\n"));
}

/// Administration API client that tries the endpoints in order; a 503 moves on to the next one.
class Client
{
public:
    explicit Client(const Flags &flags)
        : endpoints(readEndpoints(flags))
        , authorization("Bearer " + readCredential(flags))
    {
        const Setting timeout = findSetting(flags, "--timeout-seconds")
                                        .value_or(Setting{"--timeout-seconds", "30"});
        this->timeout = std::chrono::seconds(parseNumberSetting(timeout, 1, maxTimeoutSeconds));
    }

    admin::AdminResponse call(const std::string &method, const std::string &target,
                              const std::string &body = {}) const
    {
        std::string failures;
        std::optional<admin::AdminResponse> unavailable;
        for (const Endpoint &endpoint : this->endpoints) {
            const auto answer = admin::callAdmin(
                    endpoint, {method, target, this->authorization, body}, this->timeout);
            if (answer && answer.value().status != 503)
                return answer.value();
            if (answer)
                unavailable = answer.value();
            else
                failures += answer.error().message() + "\n";
        }
        if (unavailable)
            return *unavailable;
        failWith(Unavailable, failures
                                      + "no endpoint answered; a submission can safely be sent "
                                        "again with the same --submission-id");
    }

    std::chrono::seconds waitLimit() const { return this->timeout; }

private:
    std::vector<Endpoint> endpoints;
    std::string authorization;
    std::chrono::seconds timeout{};
};

ExitCode exitCodeFor(const admin::AdminResponse &response)
{
    if (response.status < 300)
        return Done;
    const Json json = Json::parse(response.body, nullptr, false);
    const bool hasCode = json.is_object() && json.contains("error") && json["error"].is_object()
                         && json["error"].contains("code") && json["error"]["code"].is_string();
    const std::string code = hasCode ? json["error"]["code"].get<std::string>() : "";
    if (code == "revision_conflict")
        return Conflict;
    if (code == "configuration_invalid" || code == "configuration_too_large"
        || code == "malformed_json" || code == "json_too_deep")
        return Invalid;
    if (code == "key_value_outcome_unknown")
        return OutcomeUnknown;
    if (response.status == 401 || response.status == 403)
        return Unauthorised;
    return response.status == 503 || response.status == 429 ? Unavailable : Refused;
}

/// Prints a response; throws ExitRequest when it is an error.
void printResponse(const Flags &flags, const admin::AdminResponse &response,
                   std::string (*formatBody)(std::string_view))
{
    const ExitCode code = exitCodeFor(response);
    if (isFlagSet(flags, "--json"))
        std::cout << response.body;
    else if (code == Done)
        std::cout << formatBody(response.body);
    else
        std::cerr << admin::errorText(response.body);
    if (code != Done)
        throw ExitRequest{code};
}

std::string makeSubmissionId()
{
    std::random_device device;
    return fmt::format("ctl-{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

/// Builds the query parameters that submit and rollback share; prints the submission id to stderr.
std::string buildChangeQuery(const Flags &flags)
{
    const auto expected = findSetting(flags, "--expected-revision");
    if (!expected)
        failWith(WrongArgument, "--expected-revision is missing; it must be the revision that the "
                                "change builds on, 0 before the first");
    constexpr auto maximum = std::uint64_t(1) << 62;
    const std::uint64_t revision = parseNumberSetting(*expected, 0, maximum);
    const auto submission = findSetting(flags, "--submission-id");
    const std::string id = submission ? submission->value : makeSubmissionId();
    std::cerr << "submission id " << id << '\n';
    return fmt::format("expectedRevision={}&submissionId={}&dryRun={}", revision, id,
                       isFlagSet(flags, "--dry-run"));
}

/// Number of instances at which a revision is in force, and of all instances.
struct RolloutProgress
{
    std::size_t inForceCount = 0;
    std::size_t instanceCount = 0;
    auto operator<=>(const RolloutProgress &) const = default;
};

RolloutProgress readRolloutProgress(const std::string &status, std::uint64_t revision)
{
    RolloutProgress progress;
    const Json json = Json::parse(status, nullptr, false);
    if (!json.is_object() || !json.contains("instances"))
        return progress;
    for (const Json &instance : json["instances"]) {
        ++progress.instanceCount;
        progress.inForceCount += instance.value("revision", std::uint64_t(0)) >= revision ? 1 : 0;
    }
    return progress;
}

void waitUntilInForce(const Client &client, std::uint64_t revision)
{
    const auto end = std::chrono::steady_clock::now() + client.waitLimit();
    RolloutProgress lastPrinted;
    while (std::chrono::steady_clock::now() < end) {
        const auto response = client.call("GET", "/admin/v1/status");
        if (response.status != 200)
            failWith(exitCodeFor(response), admin::errorText(response.body));
        const RolloutProgress progress = readRolloutProgress(response.body, revision);
        if (progress != lastPrinted)
            std::cerr << fmt::format("revision {} in force at {} of {} instances\n", revision,
                                     progress.inForceCount, progress.instanceCount);
        lastPrinted = progress;
        if (progress.instanceCount > 0 && progress.inForceCount == progress.instanceCount)
            return;
        std::this_thread::sleep_for(pollInterval);
    }
    failWith(NotInForce, fmt::format("revision {} is recorded, but in force at only {} of {} "
                                     "instances after {} s",
                                     revision, lastPrinted.inForceCount, lastPrinted.instanceCount,
                                     client.waitLimit().count()));
}

void submitChange(const Flags &flags, const std::string &path, const std::string &query,
                  const std::string &body)
{
    const Client client(flags);
    const auto response = client.call("POST", path + "?" + query + buildChangeQuery(flags), body);
    printResponse(flags, response, admin::submissionText);
    if (!isFlagSet(flags, "--wait") || isFlagSet(flags, "--dry-run"))
        return;
    const Json json = Json::parse(response.body);
    waitUntilInForce(client, json["root"]["revision"].get<std::uint64_t>());
}

void submit(const Flags &flags)
{
    const std::string text = readFile("FILE", flags.at("FILE").asString());
    submitChange(flags, "/admin/v1/configuration", "", text);
}

void check(const Flags &flags)
{
    const auto configuration
            = admin::readConfiguration(readFile("FILE", flags.at("FILE").asString()));
    if (!configuration)
        failWith(Invalid,
                 fmt::format("{} {}: {}", configuration.error().row().id,
                             configuration.error().row().code, configuration.error().message()));
    std::cout << "the configuration is valid\n";
}

void rollback(const Flags &flags)
{
    const Setting revision{"REVISION", flags.at("REVISION").asString()};
    constexpr auto maximum = std::uint64_t(1) << 62;
    submitChange(flags, "/admin/v1/configuration/rollback",
                 fmt::format("revision={}&", parseNumberSetting(revision, 1, maximum)), "");
}

/// Returns the configuration of a response as it can be submitted; prints its revision to stderr.
std::string printSubmittable(std::string_view body)
{
    const auto json = nlohmann::ordered_json::parse(body);
    std::cerr << "revision " << json["root"]["revision"].dump() << '\n';
    return json["configuration"].dump(2) + "\n";
}

/// Returns an argument for use in a path or query; fails unless it is a valid identifier.
std::string readIdentifier(const Flags &flags, const char *name)
{
    std::string text = flags.at(name).asString();
    const bool isIdentifier = !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
               || std::string_view("._@:-").find(c) != std::string_view::npos;
    });
    if (!isIdentifier)
        failWith(WrongArgument,
                 fmt::format("{} is \"{}\"; it must hold letters, digits or any of . _ @ : -", name,
                             text));
    return text;
}

void drain(const Flags &flags)
{
    const char *kind = flags.at("upstream").asBool() ? "upstreams" : "instances";
    const std::string target
            = fmt::format("/admin/v1/{}/{}/drain", kind, readIdentifier(flags, "ID"));
    printResponse(flags, Client(flags).call("POST", target), admin::drainText);
}

void explain(const Flags &flags)
{
    std::string target = "/admin/v1/explain/";
    if (flags.at("request").asBool()) {
        target += "requests/" + readIdentifier(flags, "ID");
    } else {
        target += "placements?model=" + readIdentifier(flags, "MODEL");
        if (flags.at("ADAPTER"))
            target += "&adapter=" + readIdentifier(flags, "ADAPTER");
    }
    printResponse(flags, Client(flags).call("GET", target), admin::explanationText);
}

void get(const Flags &flags)
{
    printResponse(flags, Client(flags).call("GET", "/admin/v1/configuration"), printSubmittable);
}

void history(const Flags &flags)
{
    printResponse(flags, Client(flags).call("GET", "/admin/v1/configuration/history"),
                  admin::historyText);
}

void status(const Flags &flags)
{
    printResponse(flags, Client(flags).call("GET", "/admin/v1/status"), admin::statusText);
}

void hash(const Flags &flags)
{
    std::cout << sha256Hex(readCredential(flags)) << '\n';
}

void schema(const Flags &)
{
    std::cout << admin::configurationSchema();
}

const char *runStateText(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not run";
    case RunState::MayHaveRun:
        return "may have run";
    case RunState::Run:
        break;
    }
    return "run";
}

void errors(const Flags &)
{
    for (const ErrorRow &row : errorTable()) {
        const std::string after = row.retryAfter ? std::to_string(row.retryAfter->count()) : "-";
        std::cout << fmt::format("| {} | {} | {} | {} | {} | {} |\n", row.id, row.code,
                                 row.httpStatus, runStateText(row.runState),
                                 row.isRetryable ? "yes" : "no", after);
    }
}

/// A command's name and its function.
struct Command
{
    const char *name;
    void (*run)(const Flags &);
};

constexpr Command commands[] = {
        {"submit", submit},     {"check", check},   {"get", get},       {"history", history},
        {"rollback", rollback}, {"status", status}, {"drain", drain},   {"explain", explain},
        {"hash", hash},         {"schema", schema}, {"errors", errors},
};

/// Parses the command line; a usage error exits with code 2 instead of docopt's code.
Flags parseFlags(const std::vector<std::string> &words)
{
    try {
        return docopt::docopt_parse(usage, words, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        throw ExitRequest{Done};
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "bamboochutectl " << version() << '\n';
        throw ExitRequest{Done};
    } catch (const docopt::DocoptArgumentError &failure) {
        const std::string what = failure.what();
        failWith(WrongArgument, fmt::format("wrong command line{}; see bamboochutectl --help",
                                            what.empty() ? "" : ": " + what));
    }
}

} // namespace

} // namespace bamboochute

int main(int argumentCount, char **arguments)
{
    using namespace bamboochute;
    try {
        const Flags flags = parseFlags({arguments + 1, arguments + argumentCount});
        for (const Command &command : commands) {
            if (flags.at(command.name).asBool())
                command.run(flags);
        }
    } catch (const ExitRequest &exit) {
        return exit.code;
    } catch (const nlohmann::json::exception &failure) {
        std::cerr << "cannot parse the server's response: " << failure.what() << '\n';
        return Refused;
    }
    return Done;
}
