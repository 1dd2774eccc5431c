#include "upstream/cinchona.hpp"

#include "upstream/dialect_names.hpp"
#include "upstream/json_fields.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::upstream {

namespace {

using nlohmann::json;

constexpr NameTable<PlacementState, 3> states{{{PlacementState::Loading, "loading"},
                                               {PlacementState::Loaded, "ready"},
                                               {PlacementState::Unloading, "leaving"}}};
constexpr NameTable<EngineRole, 3> roles{
        {{EngineRole::Mixed, "m"}, {EngineRole::Prefill, "p"}, {EngineRole::Decode, "d"}}};
constexpr NameTable<OrderKind, 5> orders{{{OrderKind::LoadModel, "load"},
                                          {OrderKind::LoadAdapter, "attach"},
                                          {OrderKind::Unload, "evict"},
                                          {OrderKind::RaiseFence, "fence"},
                                          {OrderKind::ChangeRole, "role"}}};

Result<PlacementReport> parseResident(Target target, const json &entry)
{
    if (!entry.is_object())
        return Error(ErrorKind::ReportDistrusted, "an entry of \"resident\" is not an object",
                     "resident");
    BOOST_OUTCOME_TRY(bytes, readNumber(entry, "bytes", maxAcceptedBytes));
    BOOST_OUTCOME_TRY(state, readString(entry, "state"));
    BOOST_OUTCOME_TRY(parsedState, valueOf(states, state, "state"));
    return PlacementReport{std::move(target), Bytes{bytes}, parsedState};
}

Result<std::vector<PlacementReport>> parseResidents(const json &object)
{
    BOOST_OUTCOME_TRY(residents, readObject(object, "resident"));
    std::vector<PlacementReport> placements;
    for (const auto &[model, entry] : residents->items()) {
        BOOST_OUTCOME_TRY(base, parseResident({ModelId(model), AdapterId()}, entry));
        placements.push_back(std::move(base));
        BOOST_OUTCOME_TRY(adapters, readObject(entry, "adapters"));
        for (const auto &[adapter, adapterEntry] : adapters->items()) {
            BOOST_OUTCOME_TRY(placement,
                              parseResident({ModelId(model), AdapterId(adapter)}, adapterEntry));
            placements.push_back(std::move(placement));
        }
        if (placements.size() > maxReportedPlacements)
            return Error(ErrorKind::ReportDistrusted, "\"resident\" has too many entries",
                         "resident");
    }
    return placements;
}

/// Reads a list of two numbers.
Result<std::pair<std::uint64_t, std::uint64_t>> readPair(const json &object, const char *name,
                                                         std::uint64_t maxValue)
{
    BOOST_OUTCOME_TRY(list, readList(object, name));
    const bool isPair = list->size() == 2 && (*list)[0].is_number_unsigned()
                        && (*list)[1].is_number_unsigned();
    if (!isPair)
        return Error(ErrorKind::ReportDistrusted,
                     "\"" + std::string(name) + "\" is not a list of two non-negative integers",
                     name);
    const auto first = (*list)[0].get<std::uint64_t>();
    const auto second = (*list)[1].get<std::uint64_t>();
    if (first > maxValue || second > maxValue)
        return Error(ErrorKind::ReportDistrusted, "\"" + std::string(name) + "\" is too large",
                     name);
    return std::pair(first, second);
}

Result<OrderOutcome> parseOutcome(const Order &order, std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(result, readString(object, "result"));
    if (result == "stale") {
        BOOST_OUTCOME_TRY(token, readNumber(object, "token", maxAcceptedFence));
        return OrderOutcome(OrderStale{Fence(token)});
    }
    if (result == "no") {
        BOOST_OUTCOME_TRY(reason, readString(object, "why"));
        return OrderOutcome(OrderRefused{std::move(reason)});
    }
    if (result != "ok")
        return Error(ErrorKind::ReportDistrusted, "\"result\" is not \"ok\", \"stale\" or \"no\"",
                     "result");
    OrderDone done;
    if (order.kind == OrderKind::RaiseFence) {
        BOOST_OUTCOME_TRY(inventory, parseResidents(object));
        done.inventory = std::move(inventory);
    }
    return OrderOutcome(std::move(done));
}

} // namespace

DialectCall Cinchona::cancelCall(const RequestId &request)
{
    const json body{{"order", "cancel"}, {"request", request.value()}};
    return {"POST", "/cinchona/orders", body.dump(), {}};
}

DialectCall Cinchona::reportCall()
{
    return {"GET", "/cinchona/state", {}, {}};
}

Result<EngineReport> Cinchona::parseReport(std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(load, readPair(object, "load", maxReportedRequests));
    BOOST_OUTCOME_TRY(memory, readPair(object, "memory", maxAcceptedBytes));
    BOOST_OUTCOME_TRY(role, readString(object, "role"));
    BOOST_OUTCOME_TRY(parsedRole, valueOf(roles, role, "role"));
    BOOST_OUTCOME_TRY(token, readNumber(object, "token", maxAcceptedFence));
    BOOST_OUTCOME_TRY(placements, parseResidents(object));
    EngineReport report;
    report.running = static_cast<std::uint32_t>(load.first);
    report.waiting = static_cast<std::uint32_t>(load.second);
    report.memoryUsed = Bytes{memory.first};
    report.memoryTotal = Bytes{memory.second};
    report.role = parsedRole;
    report.fence = Fence(token);
    report.placements = std::move(placements);
    return report;
}

DialectCall Cinchona::orderCall(const Order &order)
{
    const json body{{"order", nameOf(orders, order.kind)},
                    {"seq", order.number.value()},
                    {"from", order.sender.value()},
                    {"life", order.incarnation.value()},
                    {"token", order.fence.value()},
                    {"model", order.target.model.value()},
                    {"adapter", order.target.adapter.value()},
                    {"bytes", order.memory.count},
                    {"role", nameOf(roles, order.role)}};
    return {"POST", "/cinchona/orders", body.dump(), {}};
}

OrderOutcome Cinchona::parseOrderAnswer(const Order &order, int status, std::string_view body)
{
    return toOrderOutcome(parseOutcome(order, body), status);
}

} // namespace bamboochute::upstream
