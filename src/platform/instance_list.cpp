#include "platform/instance_list.hpp"

#include "core/bounded_json.hpp"

#include <array>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::platform {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 3> stateNames{"live", "leaving", "terminated"};

Json toJson(const std::vector<ListedInstance> &rows)
{
    Json list = Json::array();
    for (const ListedInstance &row : rows) {
        list.push_back({{"name", row.name},
                        {"address", row.endpoint.address},
                        {"port", row.endpoint.port},
                        {"dataCentre", row.dataCentre.value()},
                        {"state", stateNames[static_cast<std::size_t>(row.state)]},
                        {"generation", row.generation}});
    }
    return list;
}

Result<ListedState> parseState(std::string_view name)
{
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (stateNames[i] == name)
            return static_cast<ListedState>(i);
    }
    return Error(ErrorKind::InvalidField,
                 fmt::format("state \"{}\" is not live, leaving or terminated", name), "state");
}

Result<ListedInstance> parseRow(const Json &object)
{
    const bool hasRequiredMembers = object.is_object() && object.contains("name")
                                    && object["name"].is_string() && object.contains("address")
                                    && object["address"].is_string() && object.contains("port")
                                    && object["port"].is_number_unsigned()
                                    && object["port"].get<std::uint64_t>() <= 65535;
    if (!hasRequiredMembers)
        return Error(ErrorKind::InvalidField,
                     "an entry of the instance list lacks a valid name, address or port",
                     "instances");
    ListedInstance row;
    row.name = object["name"].get<std::string>();
    row.endpoint = {object["address"].get<std::string>(), object["port"].get<std::uint16_t>()};
    if (object.contains("dataCentre") && object["dataCentre"].is_string())
        row.dataCentre = DataCentreId(object["dataCentre"].get<std::string>());
    if (object.contains("generation")) {
        const auto generation = toInteger<std::uint64_t>(object["generation"]);
        if (!generation)
            return Error(ErrorKind::InvalidField,
                         "the generation of an entry of the instance list is not a whole number",
                         "generation");
        row.generation = *generation;
    }
    if (object.contains("state") && object["state"].is_string()) {
        BOOST_OUTCOME_TRY(state, parseState(object["state"].get_ref<const std::string &>()));
        row.state = state;
    }
    return row;
}

Result<std::vector<ListedInstance>> parseRows(const Json &object, const char *member)
{
    std::vector<ListedInstance> rows;
    const auto found = object.find(member);
    if (found == object.end() || !found->is_array())
        return Error(ErrorKind::InvalidField,
                     fmt::format("instance list has no array \"{}\"", member), member);
    for (const Json &each : *found) {
        BOOST_OUTCOME_TRY(row, parseRow(each));
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace

std::string printInstanceList(const InstanceList &list)
{
    return Json{{"entryInstances", toJson(list.entryInstances)},
                {"upstreams", toJson(list.upstreams)}}
            .dump();
}

Result<InstanceList> parseInstanceList(std::string_view body)
{
    const std::optional<Json> object = tryParseBoundedJson(body);
    if (!object || !object->is_object())
        return Error(ErrorKind::MalformedJson, "instance list is not a JSON object");
    BOOST_OUTCOME_TRY(entryInstances, parseRows(*object, "entryInstances"));
    BOOST_OUTCOME_TRY(upstreams, parseRows(*object, "upstreams"));
    return InstanceList{std::move(entryInstances), std::move(upstreams)};
}

InstanceListClient::InstanceListClient(boost::asio::io_context &context,
                                       std::vector<Endpoint> endpoints)
    : client(context, std::move(endpoints))
{}

void InstanceListClient::read(std::function<void(Result<InstanceList>)> done)
{
    this->client.call({"GET", "/v1/instances", {}, {}}, [done](Result<HttpAnswer> answer) {
        if (!answer) {
            done(answer.error());
            return;
        }
        done(parseInstanceList(answer.value().body));
    });
}

} // namespace bamboochute::platform
