#include "node/placement_stream.hpp"

#include "core/bounded_json.hpp"

#include <array>

#include <nlohmann/json.hpp>

namespace bamboochute::node {

namespace {

/// Separates upstream, model and adapter in an item's name; no identifier contains it.
constexpr char separator = '\n';

} // namespace

peer::StreamKey placementStream(const PoolId &pool)
{
    return {peer::Topic::Placements, pool.value()};
}

std::string serializePlacementItem(const PlacementItem &item)
{
    return item.upstream.value() + separator + item.target.model.value() + separator
           + item.target.adapter.value();
}

std::optional<PlacementItem> parsePlacementItem(std::string_view name)
{
    const std::size_t first = name.find(separator);
    if (first == std::string_view::npos)
        return std::nullopt;
    const std::size_t second = name.find(separator, first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    return PlacementItem{
            UpstreamId(std::string(name.substr(0, first))),
            Target{
                    ModelId(std::string(name.substr(first + 1, second - first - 1))),
                    AdapterId(std::string(name.substr(second + 1))),
            },
    };
}

std::string serializeOwnerAnnouncement(const OwnerAnnouncement &owner)
{
    const auto object = nlohmann::json::array({owner.instance.value(), owner.incarnation.value()});
    std::string bytes;
    nlohmann::json::to_cbor(object, bytes);
    return bytes;
}

std::optional<OwnerAnnouncement> parseOwnerAnnouncement(std::string_view payload)
{
    const auto read = tryParseBoundedJson(payload, {}, nlohmann::json::input_format_t::cbor);
    if (!read || !read->is_array() || read->size() != 2 || !(*read)[0].is_string())
        return std::nullopt;
    const auto incarnation = toInteger<std::uint64_t>((*read)[1]);
    if (!incarnation)
        return std::nullopt;
    return OwnerAnnouncement{InstanceId((*read)[0].get<std::string>()), Incarnation(*incarnation)};
}

} // namespace bamboochute::node
