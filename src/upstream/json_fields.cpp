#include "upstream/json_fields.hpp"

#include "upstream/engine_report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::upstream {

namespace {

using nlohmann::json;

constexpr std::size_t maxTextBytes = 256;
constexpr int maxDepth = 8;

Error distrusted(const char *name, std::string_view wanted)
{
    return Error(ErrorKind::ReportDistrusted, fmt::format("\"{}\" is not {}", name, wanted), name);
}

} // namespace

Result<json> parseObject(std::string_view body)
{
    bool isTooDeep = false;
    const auto checkDepth = [&isTooDeep](int depth, json::parse_event_t, json &) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return !isTooDeep;
    };
    json parsed = json::parse(body.begin(), body.end(), checkDepth, false);
    if (isTooDeep || !parsed.is_object())
        return Error(ErrorKind::ReportDistrusted, "the body is not a JSON object");
    return parsed;
}

Result<std::uint64_t> readNumber(const json &object, const char *name, std::uint64_t most)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return distrusted(name, "a whole number from 0");
    const auto number = found->get<std::uint64_t>();
    if (number > most)
        return distrusted(name, fmt::format("at most {}", most));
    return number;
}

Result<std::string> readText(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        return distrusted(name, "a text");
    auto text = found->get<std::string>();
    if (text.size() > maxTextBytes)
        return distrusted(name, fmt::format("a text of at most {} bytes", maxTextBytes));
    return text;
}

Result<const json *> readList(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_array() || found->size() > maxReportedPlacements)
        return distrusted(name, fmt::format("a list of at most {} entries", maxReportedPlacements));
    return &*found;
}

Result<const json *> readObject(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_object() || found->size() > maxReportedPlacements)
        return distrusted(name, "an object");
    return &*found;
}

} // namespace bamboochute::upstream
