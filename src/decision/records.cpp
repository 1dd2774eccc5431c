#include "decision/records.hpp"

#include "core/bounded_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::decision {

namespace {

using Json = nlohmann::json;

/// Most bytes of a record.
constexpr JsonBounds recordBounds{.maxBytes = 2 << 20};
/// Most memory of a placement, in bytes: sums over a record's placements don't wrap.
constexpr std::uint64_t maxPlacementBytes = std::uint64_t{1} << 46;

Json toJson(const Target &target)
{
    return Json::array({target.model.value(), target.adapter.value()});
}

Target targetFrom(const Json &json)
{
    return Target{ModelId(json.at(0).get<std::string>()), AdapterId(json.at(1).get<std::string>())};
}

Json toJson(const OutstandingOrder &order)
{
    return Json{{"i", order.id.sender.instance.value()},
                {"c", order.id.sender.incarnation.value()},
                {"f", order.id.fence.value()},
                {"n", order.id.number},
                {"k", static_cast<int>(order.kind)},
                {"t", toJson(order.target)},
                {"d", order.isInitialLoad}};
}

OutstandingOrder orderFrom(const Json &json)
{
    OutstandingOrder order;
    order.id.sender.instance = InstanceId(json.at("i").get<std::string>());
    order.id.sender.incarnation = Incarnation(readInteger<std::uint64_t>(json.at("c")));
    order.id.fence = Fence(readInteger<std::uint64_t>(json.at("f")));
    order.id.number = readInteger<std::uint64_t>(json.at("n"));
    order.kind = readEnumeration(json.at("k"), OrderKind::ChangeRole);
    order.target = targetFrom(json.at("t"));
    order.isInitialLoad = json.at("d").get<bool>();
    return order;
}

Json toJson(const Placement &placement)
{
    return Json{{"t", toJson(placement.target)},
                {"b", placement.memory.count},
                {"s", static_cast<int>(placement.state)}};
}

Placement placementFrom(const Json &json)
{
    Placement placement;
    placement.target = targetFrom(json.at("t"));
    placement.memory = Bytes{readInteger<std::uint64_t>(json.at("b"))};
    if (placement.memory.count > maxPlacementBytes)
        throw JsonBoundsError("a placement's memory is too large");
    placement.state = readEnumeration(json.at("s"), PlacementState::Unloading);
    return placement;
}

Error makeRecordError(std::string_view what, std::string_view message)
{
    return Error(ErrorKind::ReportDistrusted,
                 fmt::format("{} record in the key-value service can't be parsed: {}", what,
                             JsonBoundsError(message).what()));
}

/// Parses the text of a record and runs a decoder on it.
template<typename Decode>
auto parseRecord(std::string_view what, std::string_view text, const Decode &decode)
        -> Result<decltype(decode(Json()))>
{
    try {
        return decode(parseBoundedJson(text, recordBounds));
    } catch (const Json::exception &exception) {
        return makeRecordError(what, exception.what());
    } catch (const JsonBoundsError &exception) {
        return makeRecordError(what, exception.what());
    }
}

OwnerRecord ownerRecordFrom(const Json &json)
{
    OwnerRecord record;
    record.holder.instance = InstanceId(json.at("instance").get<std::string>());
    record.holder.incarnation = Incarnation(readInteger<std::uint64_t>(json.at("incarnation")));
    record.fence = Fence(readInteger<std::uint64_t>(json.at("fence")));
    record.attempt = readInteger<std::uint64_t>(json.at("attempt"));
    record.isReleased = json.at("released").get<bool>();
    return record;
}

UpstreamRecord upstreamRecordFrom(const Json &json)
{
    UpstreamRecord record;
    record.upstream = UpstreamId(json.at("u").get<std::string>());
    record.fence = Fence(readInteger<std::uint64_t>(json.at("f")));
    record.token = json.at("w").get<std::string>();
    record.mayHoldUnrecordedTargets = json.at("x").get<bool>();
    for (const Json &each : readList(json.at("p")))
        record.placements.push_back(placementFrom(each));
    for (const Json &each : readList(json.at("o")))
        record.orders.push_back(orderFrom(each));
    return record;
}

} // namespace

std::string poolPrefix(const PoolId &pool)
{
    return fmt::format("pools/{}/", pool.value());
}

std::string ownerKey(const PoolId &pool)
{
    return poolPrefix(pool) + "owner";
}

std::string upstreamPrefix(const PoolId &pool)
{
    return poolPrefix(pool) + "upstreams/";
}

std::string upstreamKey(const PoolId &pool, const UpstreamId &upstream)
{
    return upstreamPrefix(pool) + upstream.value();
}

std::string encode(const OwnerRecord &record)
{
    return Json{{"instance", record.holder.instance.value()},
                {"incarnation", record.holder.incarnation.value()},
                {"fence", record.fence.value()},
                {"attempt", record.attempt},
                {"released", record.isReleased}}
            .dump();
}

std::string encode(const UpstreamRecord &record)
{
    Json placements = Json::array();
    for (const Placement &placement : record.placements)
        placements.push_back(toJson(placement));
    Json orders = Json::array();
    for (const OutstandingOrder &order : record.orders)
        orders.push_back(toJson(order));
    return Json{{"u", record.upstream.value()},
                {"f", record.fence.value()},
                {"w", record.token},
                {"x", record.mayHoldUnrecordedTargets},
                {"p", std::move(placements)},
                {"o", std::move(orders)}}
            .dump();
}

Result<OwnerRecord> parseOwnerRecord(std::string_view text)
{
    return parseRecord("owner", text, ownerRecordFrom);
}

Result<UpstreamRecord> parseUpstreamRecord(std::string_view text)
{
    return parseRecord("upstream", text, upstreamRecordFrom);
}

} // namespace bamboochute::decision
