/// @file
/// @brief Payloads of the load that upstreams report, in the gossiped state.
#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::node {

/// @brief Payloads of the topic LoadSummary, as CBOR; each fits into a datagram.
/// @param loads requests at each upstream
std::vector<std::string> serializeLoads(const std::map<UpstreamId, std::uint32_t> &loads);

/// @brief Parses a payload of the topic LoadSummary.
/// @return the loads that are whole numbers of the expected range; none when the payload is
/// malformed
std::map<UpstreamId, std::uint32_t> parseLoads(std::string_view payload);

} // namespace bamboochute::node
