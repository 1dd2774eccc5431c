#include "admin/request_target.hpp"

#include "admin/configuration_limits.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

constexpr std::size_t maxTargetLength = 2048;
constexpr std::size_t maxParameters = 8;

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

Result<std::vector<Parameter>> parseParameters(std::string_view query)
{
    std::vector<Parameter> parameters;
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos || parameters.size() == maxParameters)
            return Error(ErrorKind::MalformedRequest,
                         fmt::format("the request's query must have at most {} parameters of the "
                                     "form name=value",
                                     maxParameters));
        BOOST_OUTCOME_TRY(value, percentDecode(pair.substr(equals + 1)));
        parameters.push_back({std::string(pair.substr(0, equals)), std::move(value)});
    }
    return parameters;
}

Error invalidParameter(std::string_view name, std::string_view value, std::string_view requirement)
{
    constexpr std::size_t maxShownLength = 64;
    return Error(ErrorKind::InvalidField,
                 fmt::format("parameter \"{}\" is \"{}\"; it must be {}", name,
                             value.substr(0, maxShownLength), requirement),
                 std::string(name));
}

bool isNameCharacter(char c)
{
    const bool isAlphanumeric
            = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return isAlphanumeric || std::string_view("._@:-").find(c) != std::string_view::npos;
}

} // namespace

Result<std::string> percentDecode(std::string_view text)
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
                         "the request's target contains a % without two hexadecimal digits");
        decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
        i += 2;
    }
    return decoded;
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

Result<ParsedTarget> parseTarget(std::string_view target)
{
    if (target.size() > maxTargetLength)
        return Error(ErrorKind::MalformedRequest,
                     fmt::format("the request's target has {} characters; at most {} are allowed",
                                 target.size(), maxTargetLength));
    const std::size_t questionMark = target.find('?');
    ParsedTarget parsed;
    parsed.path = std::string(target.substr(0, questionMark));
    if (questionMark != std::string_view::npos) {
        BOOST_OUTCOME_TRY(parameters, parseParameters(target.substr(questionMark + 1)));
        parsed.parameters = std::move(parameters);
    }
    return parsed;
}

Result<std::uint64_t> ParameterReader::number(std::string_view name)
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

Result<std::string> ParameterReader::name(std::string_view name, bool isRequired)
{
    const std::string *value = this->find(name);
    if (value == nullptr && !isRequired)
        return std::string();
    if (value == nullptr)
        return Error(ErrorKind::InvalidField, fmt::format("parameter \"{}\" is missing", name),
                     std::string(name));
    if (!isValidName(*value))
        return invalidParameter(
                name, *value,
                fmt::format("1 to {} letters, digits or any of . _ @ : -", maxNameLength));
    return *value;
}

Result<bool> ParameterReader::flag(std::string_view name)
{
    const std::string *value = this->find(name);
    if (value == nullptr || *value == "false")
        return false;
    if (*value != "true")
        return invalidParameter(name, *value, "true or false");
    return true;
}

Result<void> ParameterReader::finish() const
{
    for (const Parameter &parameter : this->parameters) {
        if (std::find(this->requestedNames.begin(), this->requestedNames.end(), parameter.name)
            == this->requestedNames.end())
            return Error(
                    ErrorKind::InvalidField,
                    fmt::format("parameter \"{}\" is unknown; this call has the parameters: {}",
                                parameter.name.substr(0, maxNameLength),
                                fmt::join(this->requestedNames, ", ")),
                    parameter.name.substr(0, maxNameLength));
    }
    return boost::outcome_v2::success();
}

const std::string *ParameterReader::find(std::string_view name)
{
    this->requestedNames.push_back(name);
    for (const Parameter &parameter : this->parameters) {
        if (parameter.name == name)
            return &parameter.value;
    }
    return nullptr;
}

} // namespace bamboochute::admin
