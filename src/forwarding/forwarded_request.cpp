#include "forwarding/forwarded_request.hpp"

#include "core/bounded_duration.hpp"
#include "core/bounded_json.hpp"
#include "upstream/header_list.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace bamboochute::forwarding {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

template<typename T>
T readOptional(const Json &json, const char *name, T defaultValue)
{
    const auto found = json.find(name);
    return found == json.end() ? defaultValue : readInteger<T>(*found);
}

Duration readMilliseconds(const Json &json, const char *name)
{
    return toBoundedDuration(milliseconds(readOptional(json, name, std::int64_t(0))));
}

/// Reads a name that becomes the value of a header.
WorkspaceId readWorkspace(std::string name)
{
    const bool isVisible = std::all_of(name.begin(), name.end(), [](char character) {
        return character > ' ' && character < '\x7f';
    });
    if (!isVisible)
        throw JsonBoundsError("the workspace has a character that is no visible ASCII character");
    return WorkspaceId(std::move(name));
}

Json encodeRoute(const ForwardedRoute &route)
{
    return {{"id", route.id},
            {"kind", route.kind},
            {"resumable", route.isResumable},
            {"objective_ms", toMilliseconds(route.objective)},
            {"event_gap_ms", toMilliseconds(route.maxEventGap)},
            {"first_event_ms", toMilliseconds(route.maxFirstEventDelay)},
            {"max_upstreams", route.maxUpstreams},
            {"priority", route.priority}};
}

ForwardedRoute decodeRoute(const Json &json)
{
    ForwardedRoute route;
    route.id = json.at("id").get<std::string>();
    route.kind = json.at("kind").get<std::string>();
    route.isResumable = json.value("resumable", false);
    route.objective = readMilliseconds(json, "objective_ms");
    route.maxEventGap = readMilliseconds(json, "event_gap_ms");
    route.maxFirstEventDelay = readMilliseconds(json, "first_event_ms");
    route.maxUpstreams = readOptional(json, "max_upstreams", std::uint32_t(1));
    route.priority = readOptional(json, "priority", std::uint32_t(0));
    return route;
}

} // namespace

bool isForwardingHeader(std::string_view name)
{
    constexpr std::array names{forwardedHeader, notTakenHeader, streamVersionHeader};
    return std::any_of(names.begin(), names.end(), [name](std::string_view own) {
        return upstream::sameHeaderName(name, own);
    });
}

std::string encodeForwardedRequest(const ForwardedRequest &request)
{
    Json json{{"remaining_ms", toMilliseconds(request.remaining)},
              {"service", request.service},
              {"caller", request.caller},
              {"configuration", request.configuration},
              {"possible_runs", request.possibleRuns},
              {"counted", request.isCounted}};
    if (request.route)
        json["route"] = encodeRoute(*request.route);
    if (!request.lastEventId.empty())
        json["last_event"] = request.lastEventId;
    if (request.version)
        json["version"] = request.version->value();
    if (request.workspace)
        json["workspace"] = request.workspace->value();
    for (const UpstreamId &id : request.tried)
        json["tried"].push_back(id.value());
    // Ids come from callers and upstreams: anything but ASCII is escaped.
    return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

Result<ForwardedRequest> decodeForwardedRequest(std::string_view value)
{
    try {
        const Json json = parseBoundedJson(value);
        ForwardedRequest request;
        request.remaining = toBoundedDuration(
                milliseconds(readInteger<std::int64_t>(json.at("remaining_ms"))));
        request.service = json.value("service", std::string());
        request.caller = json.value("caller", std::string());
        request.configuration = readOptional(json, "configuration", std::uint64_t(0));
        if (json.contains("route"))
            request.route = decodeRoute(json.at("route"));
        request.possibleRuns = readOptional(json, "possible_runs", std::uint32_t(0));
        request.isCounted = json.value("counted", false);
        request.lastEventId = json.value("last_event", std::string());
        if (json.contains("version"))
            request.version = SoftwareVersion(json.at("version").get<std::string>());
        if (json.contains("workspace"))
            request.workspace = readWorkspace(json.at("workspace").get<std::string>());
        for (const Json &id : json.value("tried", Json::array()))
            request.tried.emplace_back(id.get<std::string>());
        return request;
    } catch (const Json::exception &failure) {
        return Error(ErrorKind::MalformedRequest, JsonBoundsError(failure.what()).what());
    } catch (const JsonBoundsError &failure) {
        return Error(ErrorKind::MalformedRequest, failure.what());
    }
}

} // namespace bamboochute::forwarding
