#include "node/load_summary.hpp"

#include "core/bounded_json.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::node {

namespace {

/// Upstreams in one item of the load summary, so that the item fits into a datagram.
constexpr std::size_t upstreamsPerSummary = 24;

} // namespace

std::vector<std::string> serializeLoads(const std::map<UpstreamId, std::uint32_t> &loads)
{
    std::vector<std::string> payloads;
    nlohmann::json object = nlohmann::json::object();
    const auto finish = [&] {
        nlohmann::json::to_cbor(object, payloads.emplace_back());
        object = nlohmann::json::object();
    };
    for (const auto &[upstream, load] : loads) {
        object[upstream.value()] = load;
        if (object.size() == upstreamsPerSummary)
            finish();
    }
    if (!object.empty())
        finish();
    return payloads;
}

std::map<UpstreamId, std::uint32_t> parseLoads(std::string_view payload)
{
    std::map<UpstreamId, std::uint32_t> loads;
    const auto object = tryParseBoundedJson(payload, {}, nlohmann::json::input_format_t::cbor);
    if (!object || !object->is_object())
        return loads;
    for (const auto &[name, load] : object->items()) {
        if (const auto number = toInteger<std::uint32_t>(load))
            loads[UpstreamId(name)] = *number;
    }
    return loads;
}

} // namespace bamboochute::node
