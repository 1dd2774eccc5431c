#include "decision/records.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::decision {

namespace {

using Json = nlohmann::json;

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
    order.id.sender.incarnation = Incarnation(json.at("c").get<std::uint64_t>());
    order.id.fence = Fence(json.at("f").get<std::uint64_t>());
    order.id.number = json.at("n").get<std::uint64_t>();
    order.kind = static_cast<OrderKind>(json.at("k").get<int>());
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
    placement.memory = Bytes{json.at("b").get<std::uint64_t>()};
    placement.state = static_cast<PlacementState>(json.at("s").get<int>());
    return placement;
}

Error makeRecordError(std::string_view what, const Json::exception &exception)
{
    return Error(ErrorKind::ReportDistrusted,
                 fmt::format("{} record in the key-value service can't be parsed: {}", what,
                             exception.what()));
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
    try {
        const Json json = Json::parse(text);
        OwnerRecord record;
        record.holder.instance = InstanceId(json.at("instance").get<std::string>());
        record.holder.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
        record.fence = Fence(json.at("fence").get<std::uint64_t>());
        record.attempt = json.at("attempt").get<std::uint64_t>();
        record.isReleased = json.at("released").get<bool>();
        return record;
    } catch (const Json::exception &exception) {
        return makeRecordError("owner", exception);
    }
}

Result<UpstreamRecord> parseUpstreamRecord(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        UpstreamRecord record;
        record.upstream = UpstreamId(json.at("u").get<std::string>());
        record.fence = Fence(json.at("f").get<std::uint64_t>());
        record.token = json.at("w").get<std::string>();
        record.mayHoldUnrecordedTargets = json.at("x").get<bool>();
        for (const Json &each : json.at("p"))
            record.placements.push_back(placementFrom(each));
        for (const Json &each : json.at("o"))
            record.orders.push_back(orderFrom(each));
        return record;
    } catch (const Json::exception &exception) {
        return makeRecordError("upstream", exception);
    }
}

} // namespace bamboochute::decision
