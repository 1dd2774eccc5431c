#include "fakes/engine_protocol.hpp"

#include "core/overloaded.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

using nlohmann::json;
using upstream::OrderKind;
using upstream::PlacementReport;

constexpr std::uint64_t mebibyte = 1 << 20;
constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusPreconditionFailed = 412;
constexpr int statusUnprocessableContent = 422;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string textField(const json &object, const char *name)
{
    return object.value(name, std::string());
}

std::uint64_t numberField(const json &object, const char *name)
{
    return object.value(name, std::uint64_t{0});
}

/// Names of the three values of an enumeration, in the order of the values.
using EnumNames = std::array<const char *, 3>;
constexpr EnumNames araucariaStates{"loading", "loaded", "unloading"};
constexpr EnumNames bromeliaStates{"coming", "up", "going"};
constexpr EnumNames cinchonaStates{"loading", "ready", "leaving"};
constexpr std::array<const char *, 3> longRoles{"mixed", "prefill", "decode"};
constexpr std::array<const char *, 3> shortRoles{"m", "p", "d"};

template<typename Value>
Value parseEnum(const std::array<const char *, 3> &names, const std::string &name)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (name == names[i])
            return static_cast<Value>(i);
    }
    return Value();
}

template<typename Value>
const char *enumName(const std::array<const char *, 3> &names, Value value)
{
    return names[static_cast<std::size_t>(value)];
}

EngineRequest readAraucariaRequest(std::string_view path, const json &body)
{
    EngineRequest result;
    if (path == "/araucaria/v1/report")
        result.kind = EngineRequestKind::Report;
    if (path == "/araucaria/v1/cancel") {
        result.kind = EngineRequestKind::Cancel;
        result.requestId = textField(body, "request_id");
    }
    if (path != "/araucaria/v1/orders")
        return result;
    result.kind = EngineRequestKind::Order;
    const std::string action = textField(body, "action");
    constexpr std::array<std::pair<const char *, OrderKind>, 5> actions{
            {{"load_model", OrderKind::LoadModel},
             {"load_adapter", OrderKind::LoadAdapter},
             {"unload", OrderKind::Unload},
             {"raise_fence", OrderKind::RaiseFence},
             {"set_role", OrderKind::ChangeRole}}};
    for (const auto &[name, kind] : actions) {
        if (action == name)
            result.order.kind = kind;
    }
    result.order.number = upstream::OrderNumber(numberField(body, "order"));
    result.order.sender = InstanceId(textField(body, "sender"));
    result.order.incarnation = Incarnation(numberField(body, "incarnation"));
    result.order.fence = Fence(numberField(body, "fence"));
    result.order.target
            = {ModelId(textField(body, "model")), AdapterId(textField(body, "adapter"))};
    result.order.memory = Bytes{numberField(body, "memory")};
    result.order.role = parseEnum<EngineRole>(longRoles, textField(body, "role"));
    return result;
}

Target parseSlotName(const std::string &name)
{
    const std::size_t plus = name.find('+');
    if (plus == std::string::npos)
        return {ModelId(name), AdapterId()};
    return {ModelId(name.substr(0, plus)), AdapterId(name.substr(plus + 1))};
}

EngineRequest readBromeliaRequest(const caller::CallerRequest &request, const json &body)
{
    constexpr std::string_view requestsPrefix = "/bromelia/requests/";
    const std::string_view path = request.path();
    EngineRequest result;
    if (path == "/bromelia/status")
        result.kind = EngineRequestKind::Report;
    if (path.starts_with(requestsPrefix)) {
        result.kind = EngineRequestKind::Cancel;
        result.requestId = std::string(path.substr(requestsPrefix.size()));
    }
    const bool isSlotPath = path == "/bromelia/slots";
    const bool isEpochPath = path == "/bromelia/epoch";
    const bool isRolePath = path == "/bromelia/role";
    if (!isSlotPath && !isEpochPath && !isRolePath)
        return result;
    result.kind = EngineRequestKind::Order;
    const std::string_view sender = request.headers().find("X-Bromelia-Sender");
    const std::size_t slash = sender.find('/');
    result.order.sender = InstanceId(std::string(sender.substr(0, slash)));
    if (slash != std::string_view::npos)
        result.order.incarnation = Incarnation(parseNumber(sender.substr(slash + 1)));
    result.order.number
            = upstream::OrderNumber(parseNumber(request.headers().find("X-Bromelia-Order")));
    result.order.fence = Fence(parseNumber(request.headers().find("X-Bromelia-Epoch")));
    result.order.target = parseSlotName(textField(body, "name"));
    result.order.memory = Bytes{numberField(body, "mib") * mebibyte};
    result.order.role = parseEnum<EngineRole>(longRoles, textField(body, "role"));
    if (isEpochPath)
        result.order.kind = OrderKind::RaiseFence;
    else if (isRolePath)
        result.order.kind = OrderKind::ChangeRole;
    else if (request.method() == "DELETE")
        result.order.kind = OrderKind::Unload;
    else
        result.order.kind = result.order.target.adapter.isEmpty() ? OrderKind::LoadModel
                                                                  : OrderKind::LoadAdapter;
    return result;
}

EngineRequest readCinchonaRequest(std::string_view path, const json &body)
{
    EngineRequest result;
    if (path == "/cinchona/state")
        result.kind = EngineRequestKind::Report;
    if (path != "/cinchona/orders")
        return result;
    const std::string order = textField(body, "order");
    if (order == "cancel") {
        result.kind = EngineRequestKind::Cancel;
        result.requestId = textField(body, "request");
        return result;
    }
    result.kind = EngineRequestKind::Order;
    constexpr std::array<std::pair<const char *, OrderKind>, 5> orders{
            {{"load", OrderKind::LoadModel},
             {"attach", OrderKind::LoadAdapter},
             {"evict", OrderKind::Unload},
             {"fence", OrderKind::RaiseFence},
             {"role", OrderKind::ChangeRole}}};
    for (const auto &[name, kind] : orders) {
        if (order == name)
            result.order.kind = kind;
    }
    result.order.number = upstream::OrderNumber(numberField(body, "seq"));
    result.order.sender = InstanceId(textField(body, "from"));
    result.order.incarnation = Incarnation(numberField(body, "life"));
    result.order.fence = Fence(numberField(body, "token"));
    result.order.target
            = {ModelId(textField(body, "model")), AdapterId(textField(body, "adapter"))};
    result.order.memory = Bytes{numberField(body, "bytes")};
    result.order.role = parseEnum<EngineRole>(shortRoles, textField(body, "role"));
    return result;
}

json writeAraucariaPlacements(const std::vector<PlacementReport> &placements)
{
    json list = json::array();
    for (const PlacementReport &placement : placements)
        list.push_back({{"model", placement.target.model.value()},
                        {"adapter", placement.target.adapter.value()},
                        {"memory", placement.memory.count},
                        {"state", enumName(araucariaStates, placement.state)}});
    return list;
}

json writeBromeliaSlots(const std::vector<PlacementReport> &placements)
{
    json list = json::array();
    for (const PlacementReport &placement : placements) {
        const Target &target = placement.target;
        std::string name = target.model.value();
        if (!target.adapter.isEmpty())
            name += "+" + target.adapter.value();
        list.push_back({{"name", name},
                        {"mib", (placement.memory.count + mebibyte - 1) / mebibyte},
                        {"phase", enumName(bromeliaStates, placement.state)}});
    }
    return list;
}

json writeCinchonaResidents(const std::vector<PlacementReport> &placements)
{
    json residents = json::object();
    for (const PlacementReport &placement : placements) {
        const Target &target = placement.target;
        json &modelEntry = residents[target.model.value()];
        json &entry = target.adapter.isEmpty() ? modelEntry
                                               : modelEntry["adapters"][target.adapter.value()];
        entry["bytes"] = placement.memory.count;
        entry["state"] = enumName(cinchonaStates, placement.state);
        if (target.adapter.isEmpty() && !modelEntry.contains("adapters"))
            modelEntry["adapters"] = json::object();
    }
    return residents;
}

caller::Answer writeAraucariaOutcome(const upstream::OrderOutcome &outcome)
{
    return std::visit(
            Overloaded{[](const upstream::OrderDone &done) {
                           const json body{{"outcome", "done"},
                                           {"inventory", writeAraucariaPlacements(done.inventory)}};
                           return jsonAnswer(statusOk, body.dump());
                       },
                       [](const upstream::OrderStale &stale) {
                           const json body{{"outcome", "stale"}, {"fence", stale.current.value()}};
                           return jsonAnswer(statusConflict, body.dump());
                       },
                       [](const auto &refused) {
                           const json body{{"outcome", "refused"}, {"reason", refused.reason}};
                           return jsonAnswer(statusUnprocessableContent, body.dump());
                       }},
            outcome);
}

caller::Answer writeBromeliaOutcome(const upstream::OrderOutcome &outcome)
{
    return std::visit(Overloaded{[](const upstream::OrderDone &done) {
                                     const json body{{"slots", writeBromeliaSlots(done.inventory)}};
                                     return jsonAnswer(statusOk, body.dump());
                                 },
                                 [](const upstream::OrderStale &stale) {
                                     const json body{{"epoch", stale.current.value()}};
                                     return jsonAnswer(statusPreconditionFailed, body.dump());
                                 },
                                 [](const auto &refused) {
                                     const json body{{"why", refused.reason}};
                                     return jsonAnswer(statusConflict, body.dump());
                                 }},
                      outcome);
}

caller::Answer writeCinchonaOutcome(const upstream::OrderOutcome &outcome)
{
    const json body = std::visit(
            Overloaded{[](const upstream::OrderDone &done) {
                           return json{{"result", "ok"},
                                       {"resident", writeCinchonaResidents(done.inventory)}};
                       },
                       [](const upstream::OrderStale &stale) {
                           return json{{"result", "stale"}, {"token", stale.current.value()}};
                       },
                       [](const auto &refused) {
                           return json{{"result", "no"}, {"why", refused.reason}};
                       }},
            outcome);
    return jsonAnswer(statusOk, body.dump());
}

} // namespace

EngineRequest readEngineRequest(Vendor vendor, const caller::CallerRequest &request)
{
    json body = json::object();
    if (!request.body.empty())
        body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return EngineRequest{EngineRequestKind::Malformed, {}, {}};
    switch (vendor) {
    case Vendor::Araucaria:
        return readAraucariaRequest(request.path(), body);
    case Vendor::Bromelia:
        return readBromeliaRequest(request, body);
    case Vendor::Cinchona:
        break;
    }
    return readCinchonaRequest(request.path(), body);
}

caller::Answer writeReport(Vendor vendor, const upstream::EngineReport &report)
{
    json body;
    switch (vendor) {
    case Vendor::Araucaria:
        body = {{"running", report.running},
                {"queued", report.waiting},
                {"memory",
                 {{"total", report.memoryTotal.count}, {"used", report.memoryUsed.count}}},
                {"role", enumName(longRoles, report.role)},
                {"fence", report.fence.value()},
                {"models", writeAraucariaPlacements(report.placements)}};
        break;
    case Vendor::Bromelia:
        body = {{"active", report.running},
                {"waiting", report.waiting},
                {"capacity_mib", report.memoryTotal.count / mebibyte},
                {"free_mib", (report.memoryTotal.count - report.memoryUsed.count) / mebibyte},
                {"role", enumName(longRoles, report.role)},
                {"epoch", report.fence.value()},
                {"slots", writeBromeliaSlots(report.placements)}};
        break;
    case Vendor::Cinchona:
        body = {{"load", {report.running, report.waiting}},
                {"memory", {report.memoryUsed.count, report.memoryTotal.count}},
                {"role", enumName(shortRoles, report.role)},
                {"token", report.fence.value()},
                {"resident", writeCinchonaResidents(report.placements)}};
        break;
    }
    return jsonAnswer(statusOk, body.dump());
}

caller::Answer writeOutcome(Vendor vendor, const upstream::OrderOutcome &outcome)
{
    switch (vendor) {
    case Vendor::Araucaria:
        return writeAraucariaOutcome(outcome);
    case Vendor::Bromelia:
        return writeBromeliaOutcome(outcome);
    case Vendor::Cinchona:
        break;
    }
    return writeCinchonaOutcome(outcome);
}

} // namespace bamboochute::fakes
