#include "upstream/bromelia.hpp"

#include "upstream/dialect_names.hpp"
#include "upstream/header_list.hpp"
#include "upstream/json_fields.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::upstream {

namespace {

using nlohmann::json;

constexpr std::uint64_t mebibyte = 1 << 20;
constexpr std::uint64_t maxAcceptedMebibytes = maxAcceptedBytes / mebibyte;
constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusStale = 412;
constexpr int statusNoMemory = 507;
/// Separates base model and adapter in a slot's name.
constexpr char adapterSeparator = '+';

constexpr NameTable<PlacementState, 3> phases{{{PlacementState::Loading, "coming"},
                                               {PlacementState::Loaded, "up"},
                                               {PlacementState::Unloading, "going"}}};
constexpr NameTable<EngineRole, 3> roles{{{EngineRole::Mixed, "mixed"},
                                          {EngineRole::Prefill, "prefill"},
                                          {EngineRole::Decode, "decode"}}};

std::string formatSlotName(const Target &target)
{
    if (target.adapter.isEmpty())
        return target.model.value();
    return target.model.value() + adapterSeparator + target.adapter.value();
}

Target parseSlotName(const std::string &name)
{
    const std::size_t separator = name.find(adapterSeparator);
    if (separator == std::string::npos)
        return {ModelId(name), AdapterId()};
    return {ModelId(name.substr(0, separator)), AdapterId(name.substr(separator + 1))};
}

std::uint64_t toMebibytes(Bytes bytes)
{
    return (bytes.count + mebibyte - 1) / mebibyte;
}

Result<PlacementReport> parseSlot(const json &slot)
{
    if (!slot.is_object())
        return Error(ErrorKind::ReportDistrusted, "an entry of \"slots\" is not an object",
                     "slots");
    BOOST_OUTCOME_TRY(name, readString(slot, "name"));
    BOOST_OUTCOME_TRY(mebibytes, readNumber(slot, "mib", maxAcceptedMebibytes));
    BOOST_OUTCOME_TRY(phase, readString(slot, "phase"));
    BOOST_OUTCOME_TRY(state, valueOf(phases, phase, "phase"));
    return PlacementReport{parseSlotName(name), Bytes{mebibytes * mebibyte}, state};
}

Result<std::vector<PlacementReport>> parseSlots(const json &object)
{
    BOOST_OUTCOME_TRY(list, readList(object, "slots"));
    std::vector<PlacementReport> placements;
    for (const json &slot : *list) {
        BOOST_OUTCOME_TRY(placement, parseSlot(slot));
        placements.push_back(std::move(placement));
    }
    return placements;
}

Result<OrderOutcome> parseOutcome(const Order &order, int status, std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    if (status == statusStale) {
        BOOST_OUTCOME_TRY(epoch, readNumber(object, "epoch", maxAcceptedFence));
        return OrderOutcome(OrderStale{Fence(epoch)});
    }
    if (status == statusConflict || status == statusNoMemory) {
        BOOST_OUTCOME_TRY(reason, readString(object, "why"));
        return OrderOutcome(OrderRefused{std::move(reason)});
    }
    if (status != statusOk)
        return Error(ErrorKind::ReportDistrusted, "the answer's status is not 200, 409, 412 or 507",
                     "status");
    OrderDone done;
    if (order.kind == OrderKind::RaiseFence) {
        BOOST_OUTCOME_TRY(inventory, parseSlots(object));
        done.inventory = std::move(inventory);
    }
    return OrderOutcome(std::move(done));
}

std::string orderHeaders(const Order &order)
{
    std::string headers;
    appendHeader(headers, "X-Bromelia-Epoch", std::to_string(order.fence.value()));
    appendHeader(headers, "X-Bromelia-Order", std::to_string(order.number.value()));
    appendHeader(headers, "X-Bromelia-Sender",
                 order.sender.value() + "/" + std::to_string(order.incarnation.value()));
    return headers;
}

} // namespace

DialectCall Bromelia::cancelCall(const RequestId &request)
{
    return {"DELETE", "/bromelia/requests/" + request.value(), {}, {}};
}

DialectCall Bromelia::reportCall()
{
    return {"GET", "/bromelia/status", {}, {}};
}

Result<EngineReport> Bromelia::parseReport(std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(active, readNumber(object, "active", maxReportedRequests));
    BOOST_OUTCOME_TRY(waiting, readNumber(object, "waiting", maxReportedRequests));
    BOOST_OUTCOME_TRY(capacity, readNumber(object, "capacity_mib", maxAcceptedMebibytes));
    BOOST_OUTCOME_TRY(free, readNumber(object, "free_mib", capacity));
    BOOST_OUTCOME_TRY(role, readString(object, "role"));
    BOOST_OUTCOME_TRY(parsedRole, valueOf(roles, role, "role"));
    BOOST_OUTCOME_TRY(epoch, readNumber(object, "epoch", maxAcceptedFence));
    BOOST_OUTCOME_TRY(placements, parseSlots(object));
    EngineReport report;
    report.running = static_cast<std::uint32_t>(active);
    report.waiting = static_cast<std::uint32_t>(waiting);
    report.memoryTotal = Bytes{capacity * mebibyte};
    report.memoryUsed = Bytes{(capacity - free) * mebibyte};
    report.role = parsedRole;
    report.fence = Fence(epoch);
    report.placements = std::move(placements);
    return report;
}

DialectCall Bromelia::orderCall(const Order &order)
{
    DialectCall call;
    call.headers = orderHeaders(order);
    json body;
    switch (order.kind) {
    case OrderKind::LoadModel:
    case OrderKind::LoadAdapter:
        call.method = "PUT";
        call.target = "/bromelia/slots";
        body = {{"name", formatSlotName(order.target)}, {"mib", toMebibytes(order.memory)}};
        break;
    case OrderKind::Unload:
        call.method = "DELETE";
        call.target = "/bromelia/slots";
        body = {{"name", formatSlotName(order.target)}};
        break;
    case OrderKind::RaiseFence:
        call.method = "PUT";
        call.target = "/bromelia/epoch";
        body = json::object();
        break;
    case OrderKind::ChangeRole:
        call.method = "PUT";
        call.target = "/bromelia/role";
        body = {{"role", nameOf(roles, order.role)}};
        break;
    }
    call.body = body.dump();
    return call;
}

OrderOutcome Bromelia::parseOrderAnswer(const Order &order, int status, std::string_view body)
{
    return toOrderOutcome(parseOutcome(order, status, body), status);
}

} // namespace bamboochute::upstream
