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
constexpr int statusStale = 412;
constexpr int statusRefused = 422;

std::uint64_t toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string text(const json &object, const char *name)
{
    return object.value(name, std::string());
}

std::uint64_t number(const json &object, const char *name)
{
    return object.value(name, std::uint64_t{0});
}

/// Names of the three states, in their order.
using StateNames = std::array<const char *, 3>;
constexpr StateNames araucariaStates{"loading", "loaded", "unloading"};
constexpr StateNames bromeliaStates{"coming", "up", "going"};
constexpr StateNames cinchonaStates{"loading", "ready", "leaving"};
constexpr std::array<const char *, 3> longRoles{"mixed", "prefill", "decode"};
constexpr std::array<const char *, 3> shortRoles{"m", "p", "d"};

template<typename Value>
Value valueOf(const std::array<const char *, 3> &names, const std::string &name)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (name == names[i])
            return static_cast<Value>(i);
    }
    return Value();
}

template<typename Value>
const char *nameOf(const std::array<const char *, 3> &names, Value value)
{
    return names[static_cast<std::size_t>(value)];
}

EngineRequest readAraucaria(std::string_view path, const json &body)
{
    EngineRequest read;
    if (path == "/araucaria/v1/report")
        read.kind = EngineRequestKind::Report;
    if (path == "/araucaria/v1/cancel") {
        read.kind = EngineRequestKind::Cancel;
        read.request = text(body, "request_id");
    }
    if (path != "/araucaria/v1/orders")
        return read;
    read.kind = EngineRequestKind::Order;
    const std::string action = text(body, "action");
    constexpr std::array<std::pair<const char *, OrderKind>, 5> actions{
            {{"load_model", OrderKind::LoadModel},
             {"load_adapter", OrderKind::LoadAdapter},
             {"unload", OrderKind::Unload},
             {"raise_fence", OrderKind::RaiseFence},
             {"set_role", OrderKind::ChangeRole}}};
    for (const auto &[name, kind] : actions) {
        if (action == name)
            read.order.kind = kind;
    }
    read.order.number = upstream::OrderNumber(number(body, "order"));
    read.order.sender = InstanceId(text(body, "sender"));
    read.order.incarnation = Incarnation(number(body, "incarnation"));
    read.order.fence = Fence(number(body, "fence"));
    read.order.target = {ModelId(text(body, "model")), AdapterId(text(body, "adapter"))};
    read.order.memory = Bytes{number(body, "memory")};
    read.order.role = valueOf<EngineRole>(longRoles, text(body, "role"));
    return read;
}

Target slotTarget(const std::string &name)
{
    const std::size_t plus = name.find('+');
    if (plus == std::string::npos)
        return {ModelId(name), AdapterId()};
    return {ModelId(name.substr(0, plus)), AdapterId(name.substr(plus + 1))};
}

EngineRequest readBromelia(const caller::CallerRequest &request, const json &body)
{
    constexpr std::string_view requests = "/bromelia/requests/";
    const std::string_view path = request.path();
    EngineRequest read;
    if (path == "/bromelia/status")
        read.kind = EngineRequestKind::Report;
    if (path.starts_with(requests)) {
        read.kind = EngineRequestKind::Cancel;
        read.request = std::string(path.substr(requests.size()));
    }
    const bool isSlots = path == "/bromelia/slots";
    const bool isEpoch = path == "/bromelia/epoch";
    const bool isRole = path == "/bromelia/role";
    if (!isSlots && !isEpoch && !isRole)
        return read;
    read.kind = EngineRequestKind::Order;
    const std::string_view sender = request.headers().find("X-Bromelia-Sender");
    const std::size_t slash = sender.find('/');
    read.order.sender = InstanceId(std::string(sender.substr(0, slash)));
    if (slash != std::string_view::npos)
        read.order.incarnation = Incarnation(toNumber(sender.substr(slash + 1)));
    read.order.number = upstream::OrderNumber(toNumber(request.headers().find("X-Bromelia-Order")));
    read.order.fence = Fence(toNumber(request.headers().find("X-Bromelia-Epoch")));
    read.order.target = slotTarget(text(body, "name"));
    read.order.memory = Bytes{number(body, "mib") * mebibyte};
    read.order.role = valueOf<EngineRole>(longRoles, text(body, "role"));
    if (isEpoch)
        read.order.kind = OrderKind::RaiseFence;
    else if (isRole)
        read.order.kind = OrderKind::ChangeRole;
    else if (request.method() == "DELETE")
        read.order.kind = OrderKind::Unload;
    else
        read.order.kind = read.order.target.adapter.isEmpty() ? OrderKind::LoadModel
                                                              : OrderKind::LoadAdapter;
    return read;
}

EngineRequest readCinchona(std::string_view path, const json &body)
{
    EngineRequest read;
    if (path == "/cinchona/state")
        read.kind = EngineRequestKind::Report;
    if (path != "/cinchona/orders")
        return read;
    const std::string order = text(body, "order");
    if (order == "cancel") {
        read.kind = EngineRequestKind::Cancel;
        read.request = text(body, "request");
        return read;
    }
    read.kind = EngineRequestKind::Order;
    constexpr std::array<std::pair<const char *, OrderKind>, 5> orders{
            {{"load", OrderKind::LoadModel},
             {"attach", OrderKind::LoadAdapter},
             {"evict", OrderKind::Unload},
             {"fence", OrderKind::RaiseFence},
             {"role", OrderKind::ChangeRole}}};
    for (const auto &[name, kind] : orders) {
        if (order == name)
            read.order.kind = kind;
    }
    read.order.number = upstream::OrderNumber(number(body, "seq"));
    read.order.sender = InstanceId(text(body, "from"));
    read.order.incarnation = Incarnation(number(body, "life"));
    read.order.fence = Fence(number(body, "token"));
    read.order.target = {ModelId(text(body, "model")), AdapterId(text(body, "adapter"))};
    read.order.memory = Bytes{number(body, "bytes")};
    read.order.role = valueOf<EngineRole>(shortRoles, text(body, "role"));
    return read;
}

json araucariaPlacements(const std::vector<PlacementReport> &placements)
{
    json list = json::array();
    for (const PlacementReport &placement : placements)
        list.push_back({{"model", placement.target.model.value()},
                        {"adapter", placement.target.adapter.value()},
                        {"memory", placement.memory.count},
                        {"state", nameOf(araucariaStates, placement.state)}});
    return list;
}

json bromeliaSlots(const std::vector<PlacementReport> &placements)
{
    json list = json::array();
    for (const PlacementReport &placement : placements) {
        const Target &target = placement.target;
        std::string name = target.model.value();
        if (!target.adapter.isEmpty())
            name += "+" + target.adapter.value();
        list.push_back({{"name", name},
                        {"mib", (placement.memory.count + mebibyte - 1) / mebibyte},
                        {"phase", nameOf(bromeliaStates, placement.state)}});
    }
    return list;
}

json cinchonaResidents(const std::vector<PlacementReport> &placements)
{
    json residents = json::object();
    for (const PlacementReport &placement : placements) {
        const Target &target = placement.target;
        json &base = residents[target.model.value()];
        json &entry = target.adapter.isEmpty() ? base : base["adapters"][target.adapter.value()];
        entry["bytes"] = placement.memory.count;
        entry["state"] = nameOf(cinchonaStates, placement.state);
        if (target.adapter.isEmpty() && !base.contains("adapters"))
            base["adapters"] = json::object();
    }
    return residents;
}

caller::Answer writeAraucaria(const upstream::OrderOutcome &outcome)
{
    return std::visit(
            Overloaded{[](const upstream::OrderDone &done) {
                           const json body{{"outcome", "done"},
                                           {"inventory", araucariaPlacements(done.inventory)}};
                           return jsonAnswer(statusOk, body.dump());
                       },
                       [](const upstream::OrderStale &stale) {
                           const json body{{"outcome", "stale"}, {"fence", stale.current.value()}};
                           return jsonAnswer(statusConflict, body.dump());
                       },
                       [](const auto &refused) {
                           const json body{{"outcome", "refused"}, {"reason", refused.reason}};
                           return jsonAnswer(statusRefused, body.dump());
                       }},
            outcome);
}

caller::Answer writeBromelia(const upstream::OrderOutcome &outcome)
{
    return std::visit(Overloaded{[](const upstream::OrderDone &done) {
                                     const json body{{"slots", bromeliaSlots(done.inventory)}};
                                     return jsonAnswer(statusOk, body.dump());
                                 },
                                 [](const upstream::OrderStale &stale) {
                                     const json body{{"epoch", stale.current.value()}};
                                     return jsonAnswer(statusStale, body.dump());
                                 },
                                 [](const auto &refused) {
                                     const json body{{"why", refused.reason}};
                                     return jsonAnswer(statusConflict, body.dump());
                                 }},
                      outcome);
}

caller::Answer writeCinchona(const upstream::OrderOutcome &outcome)
{
    const json body = std::visit(
            Overloaded{[](const upstream::OrderDone &done) {
                           return json{{"result", "ok"},
                                       {"resident", cinchonaResidents(done.inventory)}};
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
        return readAraucaria(request.path(), body);
    case Vendor::Bromelia:
        return readBromelia(request, body);
    case Vendor::Cinchona:
        break;
    }
    return readCinchona(request.path(), body);
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
                {"role", nameOf(longRoles, report.role)},
                {"fence", report.fence.value()},
                {"models", araucariaPlacements(report.placements)}};
        break;
    case Vendor::Bromelia:
        body = {{"active", report.running},
                {"waiting", report.waiting},
                {"capacity_mib", report.memoryTotal.count / mebibyte},
                {"free_mib", (report.memoryTotal.count - report.memoryUsed.count) / mebibyte},
                {"role", nameOf(longRoles, report.role)},
                {"epoch", report.fence.value()},
                {"slots", bromeliaSlots(report.placements)}};
        break;
    case Vendor::Cinchona:
        body = {{"load", {report.running, report.waiting}},
                {"memory", {report.memoryUsed.count, report.memoryTotal.count}},
                {"role", nameOf(shortRoles, report.role)},
                {"token", report.fence.value()},
                {"resident", cinchonaResidents(report.placements)}};
        break;
    }
    return jsonAnswer(statusOk, body.dump());
}

caller::Answer writeOutcome(Vendor vendor, const upstream::OrderOutcome &outcome)
{
    switch (vendor) {
    case Vendor::Araucaria:
        return writeAraucaria(outcome);
    case Vendor::Bromelia:
        return writeBromelia(outcome);
    case Vendor::Cinchona:
        break;
    }
    return writeCinchona(outcome);
}

} // namespace bamboochute::fakes
