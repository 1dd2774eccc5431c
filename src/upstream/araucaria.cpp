#include "upstream/araucaria.hpp"

#include "upstream/dialect_names.hpp"
#include "upstream/json_fields.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::upstream {

namespace {

using nlohmann::json;

constexpr NameTable<PlacementState, 3> states{{{PlacementState::Loading, "loading"},
                                               {PlacementState::Loaded, "loaded"},
                                               {PlacementState::Unloading, "unloading"}}};
constexpr NameTable<EngineRole, 3> roles{{{EngineRole::Mixed, "mixed"},
                                          {EngineRole::Prefill, "prefill"},
                                          {EngineRole::Decode, "decode"}}};
constexpr NameTable<OrderKind, 5> actions{{{OrderKind::LoadModel, "load_model"},
                                           {OrderKind::LoadAdapter, "load_adapter"},
                                           {OrderKind::Unload, "unload"},
                                           {OrderKind::RaiseFence, "raise_fence"},
                                           {OrderKind::ChangeRole, "set_role"}}};

Result<PlacementReport> parsePlacement(const json &entry)
{
    if (!entry.is_object())
        return Error(ErrorKind::ReportDistrusted, "an entry of \"models\" is not an object",
                     "models");
    PlacementReport placement;
    BOOST_OUTCOME_TRY(model, readString(entry, "model"));
    BOOST_OUTCOME_TRY(adapter, readString(entry, "adapter"));
    BOOST_OUTCOME_TRY(memory, readNumber(entry, "memory", maxAcceptedBytes));
    BOOST_OUTCOME_TRY(state, readString(entry, "state"));
    BOOST_OUTCOME_TRY(parsedState, valueOf(states, state, "state"));
    placement.target = {ModelId(std::move(model)), AdapterId(std::move(adapter))};
    placement.memory = Bytes{memory};
    placement.state = parsedState;
    return placement;
}

Result<std::vector<PlacementReport>> parsePlacements(const json &object, const char *name)
{
    BOOST_OUTCOME_TRY(list, readList(object, name));
    std::vector<PlacementReport> placements;
    for (const json &entry : *list) {
        BOOST_OUTCOME_TRY(placement, parsePlacement(entry));
        placements.push_back(std::move(placement));
    }
    return placements;
}

Result<OrderOutcome> parseOutcome(const Order &order, std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(outcome, readString(object, "outcome"));
    if (outcome == "stale") {
        BOOST_OUTCOME_TRY(fence, readNumber(object, "fence", maxAcceptedFence));
        return OrderOutcome(OrderStale{Fence(fence)});
    }
    if (outcome == "refused") {
        BOOST_OUTCOME_TRY(reason, readString(object, "reason"));
        return OrderOutcome(OrderRefused{std::move(reason)});
    }
    if (outcome != "done")
        return Error(ErrorKind::ReportDistrusted,
                     "\"outcome\" is not \"done\", \"stale\" or \"refused\"", "outcome");
    OrderDone done;
    if (order.kind == OrderKind::RaiseFence) {
        BOOST_OUTCOME_TRY(inventory, parsePlacements(object, "inventory"));
        done.inventory = std::move(inventory);
    }
    return OrderOutcome(std::move(done));
}

} // namespace

DialectCall Araucaria::cancelCall(const RequestId &request)
{
    return {"POST", "/araucaria/v1/cancel", json{{"request_id", request.value()}}.dump(), {}};
}

DialectCall Araucaria::reportCall()
{
    return {"GET", "/araucaria/v1/report", {}, {}};
}

Result<EngineReport> Araucaria::parseReport(std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(running, readNumber(object, "running", maxReportedRequests));
    BOOST_OUTCOME_TRY(queued, readNumber(object, "queued", maxReportedRequests));
    BOOST_OUTCOME_TRY(memory, readObject(object, "memory"));
    BOOST_OUTCOME_TRY(total, readNumber(*memory, "total", maxAcceptedBytes));
    BOOST_OUTCOME_TRY(used, readNumber(*memory, "used", maxAcceptedBytes));
    BOOST_OUTCOME_TRY(role, readString(object, "role"));
    BOOST_OUTCOME_TRY(parsedRole, valueOf(roles, role, "role"));
    BOOST_OUTCOME_TRY(fence, readNumber(object, "fence", maxAcceptedFence));
    BOOST_OUTCOME_TRY(placements, parsePlacements(object, "models"));
    EngineReport report;
    report.running = static_cast<std::uint32_t>(running);
    report.waiting = static_cast<std::uint32_t>(queued);
    report.memoryTotal = Bytes{total};
    report.memoryUsed = Bytes{used};
    report.role = parsedRole;
    report.fence = Fence(fence);
    report.placements = std::move(placements);
    return report;
}

DialectCall Araucaria::orderCall(const Order &order)
{
    const json body{{"order", order.number.value()},
                    {"sender", order.sender.value()},
                    {"incarnation", order.incarnation.value()},
                    {"fence", order.fence.value()},
                    {"action", nameOf(actions, order.kind)},
                    {"model", order.target.model.value()},
                    {"adapter", order.target.adapter.value()},
                    {"memory", order.memory.count},
                    {"role", nameOf(roles, order.role)}};
    return {"POST", "/araucaria/v1/orders", body.dump(), {}};
}

OrderOutcome Araucaria::parseOrderAnswer(const Order &order, int status, std::string_view body)
{
    return toOrderOutcome(parseOutcome(order, body), status);
}

} // namespace bamboochute::upstream
