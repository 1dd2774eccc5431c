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

/// @brief Splits a target at its question mark.
/// @return MalformedRequest when it is too long or its query is not of the form name=value
Result<ParsedTarget> parseTarget(std::string_view target);

/// @brief Replaces each % and two hexadecimal digits by the byte that they stand for.
Result<std::string> percentDecoded(std::string_view text);

/// @brief Whether a text is a name: 1 to maxNameLength letters, digits or any of . _ @ : -
bool isName(std::string_view text);

/// @brief Reads the parameters of one call and refuses those that it doesn't know.
class ParameterReader
{
public:
    /// @param parameters must outlive the reader
    explicit ParameterReader(const std::vector<Parameter> &parameters)
        : parameters(parameters)
    {}

    /// @return InvalidField when it is missing or not a whole number
    Result<std::uint64_t> number(std::string_view name);
    /// @return InvalidField when it is not a name, or missing although required
    Result<std::string> name(std::string_view name, bool isRequired);
    /// @return false when it is missing
    Result<bool> flag(std::string_view name);
    /// @brief Refuses parameters that were not asked for.
    Result<void> finish() const;

private:
    const std::string *find(std::string_view name);

    const std::vector<Parameter> &parameters;
    std::vector<std::string_view> known;
};

} // namespace bamboochute::admin
