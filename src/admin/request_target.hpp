/// @file
/// @brief Path and query parameters of a request to the administration API.
#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::admin {

/// @brief One "name=value" of a query, decoded.
struct Parameter
{
    std::string name;
    std::string value;
    auto operator<=>(const Parameter &) const = default;
};

/// @brief Path and parameters of a request's target.
struct ParsedTarget
{
    std::string path;
    std::vector<Parameter> parameters;
    auto operator<=>(const ParsedTarget &) const = default;
};

/// @brief Splits a request target into path and query parameters.
/// @return MalformedRequest when it is too long, has too many parameters, a parameter is not of the
/// form name=value, or a percent-encoding is invalid
Result<ParsedTarget> parseTarget(std::string_view target);

/// @brief Decodes percent-encoded bytes.
/// @return MalformedRequest when a % is not followed by two hexadecimal digits
Result<std::string> percentDecode(std::string_view text);

/// @brief Whether a text is a valid name: 1 to maxNameLength letters, digits or any of . _ @ : -
bool isValidName(std::string_view text);

/// @brief Reads the parameters of one call and rejects unknown ones.
class ParameterReader
{
public:
    /// @param parameters must outlive the reader
    explicit ParameterReader(const std::vector<Parameter> &parameters)
        : parameters(parameters)
    {}

    /// @return InvalidField when the parameter is missing or not an unsigned integer
    Result<std::uint64_t> number(std::string_view name);
    /// @return empty when an optional parameter is missing; InvalidField when it is not a valid
    /// name, or missing although required
    Result<std::string> name(std::string_view name, bool isRequired);
    /// @return false when the parameter is missing; InvalidField when it is not true or false
    Result<bool> flag(std::string_view name);
    /// @brief Returns InvalidField when the request has a parameter that was not read.
    Result<void> finish() const;

private:
    const std::string *find(std::string_view name);

    const std::vector<Parameter> &parameters;
    std::vector<std::string_view> requestedNames;
};

} // namespace bamboochute::admin
