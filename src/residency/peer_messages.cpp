#include "residency/peer_messages.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace bamboochute::residency {

namespace {

using Json = nlohmann::json;

/// First member of a message: who speaks.
constexpr int demandKind = 1;
constexpr int ownerKind = 2;
/// Share of the cache is sent in thousandths.
constexpr double cacheUseScale = 1000;

std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration fromMillis(const Json &value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

Json toJson(const Target &target)
{
    return Json::array({target.model.value(), target.adapter.value()});
}

Target targetFrom(const Json &value)
{
    return Target{ModelId(value.at(0).get<std::string>()),
                  AdapterId(value.at(1).get<std::string>())};
}

Json toJson(const gateway::TargetDemand &demand)
{
    return Json::array({demand.target.service.value(), toJson(demand.target.target),
                        demand.arrivals, demand.waiting, toMillis(demand.shortestWait),
                        demand.running});
}

gateway::TargetDemand demandFrom(const Json &value)
{
    return gateway::TargetDemand{
            {gateway::ServiceId(value.at(0).get<std::string>()), targetFrom(value.at(1))},
            value.at(2).get<std::uint32_t>(),
            value.at(3).get<std::uint32_t>(),
            fromMillis(value.at(4)),
            value.at(5).get<std::uint32_t>()};
}

Json toJson(const HeldTargets &held)
{
    Json models = Json::array();
    for (const gateway::ResidentModel &model : held.residency.models) {
        Json adapters = Json::array();
        for (const AdapterId &adapter : model.adapters)
            adapters.push_back(adapter.value());
        models.push_back(Json::array({model.model.value(), std::move(adapters)}));
    }
    const gateway::ResidencyVersion &version = held.residency.version;
    return Json::array({held.upstream.value(), version.startedAt, version.acceptedOrders,
                        version.isSettled, std::move(models)});
}

HeldTargets heldFrom(const Json &value)
{
    HeldTargets held;
    held.upstream = UpstreamId(value.at(0).get<std::string>());
    held.residency.version = {value.at(1).get<std::uint64_t>(), value.at(2).get<std::uint64_t>(),
                              value.at(3).get<bool>()};
    for (const Json &entry : value.at(4)) {
        gateway::ResidentModel model{ModelId(entry.at(0).get<std::string>()), {}};
        for (const Json &adapter : entry.at(1))
            model.adapters.emplace_back(adapter.get<std::string>());
        held.residency.models.push_back(std::move(model));
    }
    return held;
}

Json toJson(const UpstreamLoad &load)
{
    return Json::array({load.upstream.value(), load.load.running, load.load.waiting,
                        static_cast<int>(load.load.kvCacheUse * cacheUseScale)});
}

UpstreamLoad loadFrom(const Json &value)
{
    return UpstreamLoad{UpstreamId(value.at(0).get<std::string>()),
                        {value.at(1).get<std::uint32_t>(), value.at(2).get<std::uint32_t>(),
                         value.at(3).get<double>() / cacheUseScale}};
}

Json toJson(const PromisedTarget &promise)
{
    return Json::array({promise.target.service.value(), toJson(promise.target.target),
                        toMillis(promise.readyIn)});
}

PromisedTarget promiseFrom(const Json &value)
{
    return PromisedTarget{
            {gateway::ServiceId(value.at(0).get<std::string>()), targetFrom(value.at(1))},
            fromMillis(value.at(2))};
}

Json toJson(const FollowedPart &part)
{
    return Json::array({part.lastChange, part.position});
}

FollowedPart partFrom(const Json &value)
{
    return FollowedPart{value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

Json toJson(const ForwardedChange &change)
{
    return Json::array({change.key, change.value, change.revision, change.previous,
                        change.isRemoval, change.isDoubtful});
}

ForwardedChange changeFrom(const Json &value)
{
    return ForwardedChange{value.at(0).get<std::string>(),   value.at(1).get<std::string>(),
                           value.at(2).get<std::uint64_t>(), value.at(3).get<std::uint64_t>(),
                           value.at(4).get<bool>(),          value.at(5).get<bool>()};
}

Json toJson(const UpstreamId &id)
{
    return id.value();
}

UpstreamId upstreamFrom(const Json &value)
{
    return UpstreamId(value.get<std::string>());
}

template<typename T>
Json toArray(const std::vector<T> &items)
{
    Json array = Json::array();
    for (const T &item : items)
        array.push_back(toJson(item));
    return array;
}

template<typename T, typename Read>
std::vector<T> fromArray(const Json &array, const Read &read)
{
    std::vector<T> items;
    for (const Json &value : array)
        items.push_back(read(value));
    return items;
}

Json toJson(const DemandMessage &message)
{
    return Json::array({demandKind, message.sender.value(), message.isContinuation,
                        toArray(message.demand), toArray(message.suspected)});
}

Json toJson(const OwnerMessage &message)
{
    Json followed;
    if (message.followed)
        followed = Json::array({toJson(message.followed->configuration),
                                toJson(message.followed->registrations),
                                toMillis(message.followed->age)});
    return Json::array({ownerKind, message.fence.value(), message.instances, toArray(message.held),
                        toArray(message.loads), toArray(message.promises),
                        toArray(message.suspected), toArray(message.changes), std::move(followed)});
}

PeerMessage messageFrom(const Json &value)
{
    if (value.at(0).get<int>() == demandKind)
        return DemandMessage{InstanceId(value.at(1).get<std::string>()), value.at(2).get<bool>(),
                             fromArray<gateway::TargetDemand>(value.at(3), demandFrom),
                             fromArray<UpstreamId>(value.at(4), upstreamFrom)};
    std::optional<FollowedState> followed;
    if (const Json &told = value.at(8); !told.is_null())
        followed
                = FollowedState{partFrom(told.at(0)), partFrom(told.at(1)), fromMillis(told.at(2))};
    return OwnerMessage{Fence(value.at(1).get<std::uint64_t>()),
                        value.at(2).get<std::uint32_t>(),
                        fromArray<HeldTargets>(value.at(3), heldFrom),
                        fromArray<UpstreamLoad>(value.at(4), loadFrom),
                        fromArray<PromisedTarget>(value.at(5), promiseFrom),
                        fromArray<UpstreamId>(value.at(6), upstreamFrom),
                        fromArray<ForwardedChange>(value.at(7), changeFrom),
                        followed};
}

std::string encode(const Json &value)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

/// Moves the items of a list into as many parts as needed.
template<typename Message, typename T>
void spread(std::vector<Message> &parts, const Message &empty, const std::vector<T> &items,
            std::vector<T> Message::*list, std::size_t maxBytes)
{
    std::size_t bytes = encode(toJson(parts.back())).size();
    for (const T &item : items) {
        const std::size_t added = encode(toJson(item)).size();
        if (bytes + added > maxBytes) {
            parts.push_back(empty);
            bytes = encode(toJson(parts.back())).size();
        }
        (parts.back().*list).push_back(item);
        bytes += added;
    }
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    return std::visit([](const auto &one) { return encode(toJson(one)); }, message);
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        const Json value = Json::from_cbor(bytes.begin(), bytes.end());
        return messageFrom(value);
    } catch (const Json::exception &failure) {
        return Error(ErrorKind::MalformedRequest, failure.what());
    }
}

std::vector<DemandMessage> divide(const DemandMessage &message, std::size_t maxBytes)
{
    const DemandMessage empty{message.sender, true, {}, {}};
    std::vector<DemandMessage> parts{{message.sender, message.isContinuation, {}, {}}};
    spread(parts, empty, message.demand, &DemandMessage::demand, maxBytes);
    spread(parts, empty, message.suspected, &DemandMessage::suspected, maxBytes);
    return parts;
}

std::vector<OwnerMessage> divide(const OwnerMessage &message, std::size_t maxBytes)
{
    const OwnerMessage empty{message.fence, message.instances, {}, {}, {}, {}, {}, std::nullopt};
    std::vector<OwnerMessage> parts{empty};
    parts.front().followed = message.followed;
    spread(parts, empty, message.held, &OwnerMessage::held, maxBytes);
    spread(parts, empty, message.loads, &OwnerMessage::loads, maxBytes);
    spread(parts, empty, message.promises, &OwnerMessage::promises, maxBytes);
    spread(parts, empty, message.suspected, &OwnerMessage::suspected, maxBytes);
    spread(parts, empty, message.changes, &OwnerMessage::changes, maxBytes);
    return parts;
}

} // namespace bamboochute::residency
