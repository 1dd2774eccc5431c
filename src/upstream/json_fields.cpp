#include "upstream/json_fields.hpp"

#include "core/bounded_json.hpp"
#include "upstream/engine_report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::upstream {

namespace {

using nlohmann::json;

constexpr std::size_t maxTextBytes = 256;
constexpr std::size_t maxDepth = 8;

Error makeReportError(const char *name, std::string_view expectedForm)
{
    return Error(ErrorKind::ReportDistrusted, fmt::format("\"{}\" is not {}", name, expectedForm),
                 name);
}

} // namespace

Result<json> parseObject(std::string_view body)
{
    std::optional<json> parsed = tryParseBoundedJson(body, {.maxDepth = maxDepth});
    if (!parsed || !parsed->is_object())
        return Error(ErrorKind::ReportDistrusted,
                     "the body is not a JSON object or is nested too deeply");
    return std::move(*parsed);
}

Result<std::uint64_t> readNumber(const json &object, const char *name, std::uint64_t maxValue)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return makeReportError(name, "a non-negative integer");
    const auto number = found->get<std::uint64_t>();
    if (number > maxValue)
        return makeReportError(name, fmt::format("at most {}", maxValue));
    return number;
}

Result<std::string> readString(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        return makeReportError(name, "a string");
    auto text = found->get<std::string>();
    if (text.size() > maxTextBytes)
        return makeReportError(name, fmt::format("a string of at most {} bytes", maxTextBytes));
    return text;
}

Result<const json *> readList(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_array() || found->size() > maxReportedPlacements)
        return makeReportError(name,
                               fmt::format("a list of at most {} entries", maxReportedPlacements));
    return &*found;
}

Result<const json *> readObject(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_object() || found->size() > maxReportedPlacements)
        return makeReportError(name, "an object, or has too many members");
    return &*found;
}

} // namespace bamboochute::upstream
