#include "admin/admin_call.hpp"

#include "admin/configuration_limits.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

constexpr std::size_t maxTargetLength = 2048;
constexpr std::size_t maxParameters = 8;

struct Parameter
{
    std::string name;
    std::string value;
};

/// Path and parameters of a request's target.
struct ParsedTarget
{
    std::string path;
    std::vector<Parameter> parameters;
};

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

Result<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        const bool isEscape
                = i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (!isEscape)
            return Error(ErrorKind::MalformedRequest,
                         "the request's target holds a % without two hexadecimal digits");
        decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
        i += 2;
    }
    return decoded;
}

Result<std::vector<Parameter>> parseParameters(std::string_view query)
{
    std::vector<Parameter> parameters;
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos || parameters.size() == maxParameters)
            return Error(ErrorKind::MalformedRequest,
                         fmt::format("the request's query must hold at most {} parameters of the "
                                     "form name=value",
                                     maxParameters));
        BOOST_OUTCOME_TRY(value, percentDecoded(pair.substr(equals + 1)));
        parameters.push_back({std::string(pair.substr(0, equals)), std::move(value)});
    }
    return parameters;
}

Result<ParsedTarget> parseTarget(std::string_view target)
{
    if (target.size() > maxTargetLength)
        return Error(ErrorKind::MalformedRequest,
                     fmt::format("the request's target has {} characters; at most {} are allowed",
                                 target.size(), maxTargetLength));
    const std::size_t mark = target.find('?');
    ParsedTarget parsed;
    parsed.path = std::string(target.substr(0, mark));
    if (mark != std::string_view::npos) {
        BOOST_OUTCOME_TRY(parameters, parseParameters(target.substr(mark + 1)));
        parsed.parameters = std::move(parameters);
    }
    return parsed;
}

Error invalidParameter(std::string_view name, std::string_view value, std::string_view mustBe)
{
    constexpr std::size_t maxShownLength = 64;
    return Error(ErrorKind::InvalidField,
                 fmt::format("parameter \"{}\" is \"{}\"; it must be {}", name,
                             value.substr(0, maxShownLength), mustBe),
                 std::string(name));
}

bool isNameCharacter(char c)
{
    const bool isAlphanumeric
            = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return isAlphanumeric || std::string_view("._@:-").find(c) != std::string_view::npos;
}

/// Reads the parameters of one call and refuses those that it doesn't know.
class ParameterReader
{
public:
    explicit ParameterReader(const std::vector<Parameter> &parameters)
        : parameters(parameters)
    {}

    Result<std::uint64_t> number(std::string_view name)
    {
        const std::string *value = this->find(name);
        if (value == nullptr)
            return Error(ErrorKind::InvalidField, fmt::format("parameter \"{}\" is missing", name),
                         std::string(name));
        std::uint64_t number = 0;
        const char *end = value->data() + value->size();
        const auto [stop, failure] = std::from_chars(value->data(), end, number);
        if (failure != std::errc() || stop != end || value->empty())
            return invalidParameter(name, *value, "a whole number from 0");
        return number;
    }

    Result<std::string> name(std::string_view name, bool isRequired)
    {
        const std::string *value = this->find(name);
        if (value == nullptr && !isRequired)
            return std::string();
        if (value == nullptr)
            return Error(ErrorKind::InvalidField, fmt::format("parameter \"{}\" is missing", name),
                         std::string(name));
        const bool isName = !value->empty() && value->size() <= maxNameLength
                            && std::all_of(value->begin(), value->end(), isNameCharacter);
        if (!isName)
            return invalidParameter(
                    name, *value,
                    fmt::format("1 to {} letters, digits or any of . _ @ : -", maxNameLength));
        return *value;
    }

    Result<bool> flag(std::string_view name)
    {
        const std::string *value = this->find(name);
        if (value == nullptr || *value == "false")
            return false;
        if (*value != "true")
            return invalidParameter(name, *value, "true or false");
        return true;
    }

    Result<void> finish() const
    {
        for (const Parameter &parameter : this->parameters) {
            if (std::find(this->known.begin(), this->known.end(), parameter.name)
                == this->known.end())
                return Error(ErrorKind::InvalidField,
                             fmt::format("parameter \"{}\" is not known; this call takes: {}",
                                         parameter.name.substr(0, maxNameLength),
                                         fmt::join(this->known, ", ")),
                             parameter.name.substr(0, maxNameLength));
        }
        return boost::outcome_v2::success();
    }

private:
    const std::string *find(std::string_view name)
    {
        this->known.push_back(name);
        for (const Parameter &parameter : this->parameters) {
            if (parameter.name == name)
                return &parameter.value;
        }
        return nullptr;
    }

    const std::vector<Parameter> &parameters;
    std::vector<std::string_view> known;
};

Result<AdminCall> parseSubmit(const AdminRequest &request, ParameterReader &reader)
{
    BOOST_OUTCOME_TRY(expected, reader.number("expectedRevision"));
    BOOST_OUTCOME_TRY(submission, reader.name("submissionId", true));
    BOOST_OUTCOME_TRY(isDryRun, reader.flag("dryRun"));
    return AdminCall(
            SubmitCall{Revision(expected), SubmissionId(submission), isDryRun, request.body});
}

Result<AdminCall> parseRollback(ParameterReader &reader)
{
    BOOST_OUTCOME_TRY(revision, reader.number("revision"));
    BOOST_OUTCOME_TRY(expected, reader.number("expectedRevision"));
    BOOST_OUTCOME_TRY(submission, reader.name("submissionId", true));
    BOOST_OUTCOME_TRY(isDryRun, reader.flag("dryRun"));
    return AdminCall(RollbackCall{Revision(revision), Revision(expected), SubmissionId(submission),
                                  isDryRun});
}

Result<AdminCall> parsePlacement(ParameterReader &reader)
{
    BOOST_OUTCOME_TRY(model, reader.name("model", true));
    BOOST_OUTCOME_TRY(adapter, reader.name("adapter", false));
    return AdminCall(ExplainPlacementCall{Target{ModelId(model), AdapterId(adapter)}});
}

/// The identifier between a prefix and a suffix of a path; empty when they don't match.
std::string segmentOf(std::string_view path, std::string_view prefix, std::string_view suffix)
{
    const bool isMatch = path.size() > prefix.size() + suffix.size() && path.starts_with(prefix)
                         && path.ends_with(suffix);
    if (!isMatch)
        return {};
    const std::string_view segment
            = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    const auto decoded = percentDecoded(segment);
    const bool isName
            = decoded && decoded.value().size() <= maxNameLength
              && std::all_of(decoded.value().begin(), decoded.value().end(), isNameCharacter);
    return isName ? decoded.value() : std::string();
}

/// A path with its method and the calls that it stands for.
struct Route
{
    std::string_view path;
    std::string_view method;
    Result<AdminCall> (*parse)(const AdminRequest &, ParameterReader &);
};

template<typename Call>
Result<AdminCall> parseSimple(const AdminRequest &, ParameterReader &)
{
    return AdminCall(Call{});
}

constexpr Route routes[] = {
        {"/admin/v1/configuration", "POST", parseSubmit},
        {"/admin/v1/configuration", "GET", parseSimple<GetConfigurationCall>},
        {"/admin/v1/configuration/history", "GET", parseSimple<HistoryCall>},
        {"/admin/v1/configuration/rollback", "POST",
         [](const AdminRequest &, ParameterReader &reader) { return parseRollback(reader); }},
        {"/admin/v1/status", "GET", parseSimple<StatusCall>},
        {"/admin/v1/explain/placements", "GET",
         [](const AdminRequest &, ParameterReader &reader) { return parsePlacement(reader); }},
        {"/metrics", "GET", parseSimple<MetricsCall>},
        {"/healthz", "GET", parseSimple<HealthCall>},
        {"/readyz", "GET", parseSimple<ReadyCall>},
};

Error wrongMethod(const AdminRequest &request, std::string_view path, std::string_view allowed)
{
    constexpr std::size_t maxShownLength = 16;
    return Error(ErrorKind::MethodNotAllowed,
                 fmt::format("path \"{}\" takes {}, not \"{}\"", path, allowed,
                             request.method.substr(0, maxShownLength)));
}

Result<AdminCall> parseNamed(const AdminRequest &request, std::string_view path)
{
    const std::string upstream = segmentOf(path, "/admin/v1/upstreams/", "/drain");
    const std::string instance = segmentOf(path, "/admin/v1/instances/", "/drain");
    const std::string explained = segmentOf(path, "/admin/v1/explain/requests/", "");
    const bool isDrain = !upstream.empty() || !instance.empty();
    if (!isDrain && explained.empty())
        return Error(ErrorKind::UnknownPath,
                     fmt::format("path \"{}\" does not exist", path.substr(0, maxNameLength)));
    const std::string_view method = isDrain ? "POST" : "GET";
    if (request.method != method)
        return wrongMethod(request, path, method);
    if (!upstream.empty())
        return AdminCall(DrainUpstreamCall{UpstreamId(upstream)});
    if (!instance.empty())
        return AdminCall(DrainInstanceCall{InstanceId(instance)});
    return AdminCall(ExplainRequestCall{RequestId(explained)});
}

} // namespace

Result<AdminCall> parseCall(const AdminRequest &request)
{
    BOOST_OUTCOME_TRY(target, parseTarget(request.target));
    std::string allowed;
    for (const Route &route : routes) {
        if (route.path != target.path)
            continue;
        allowed += (allowed.empty() ? "" : " or ") + std::string(route.method);
        if (route.method != request.method)
            continue;
        ParameterReader reader(target.parameters);
        BOOST_OUTCOME_TRY(call, route.parse(request, reader));
        BOOST_OUTCOME_TRYV(reader.finish());
        return call;
    }
    if (!allowed.empty())
        return wrongMethod(request, target.path, allowed);
    return parseNamed(request, target.path);
}

bool isPublic(const AdminCall &call) noexcept
{
    return std::holds_alternative<MetricsCall>(call) || std::holds_alternative<HealthCall>(call)
           || std::holds_alternative<ReadyCall>(call);
}

} // namespace bamboochute::admin
