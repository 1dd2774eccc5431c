/// @file
/// @brief Server side of the engine vendors' dialects, for the fake engine.
#pragma once

#include "fakes/engine_state.hpp"
#include "fakes/http_server.hpp"

#include <optional>
#include <string>

namespace bamboochute::fakes {

/// @brief Kind of a request to an engine other than a completion.
enum class EngineRequestKind { Report, Order, Cancel, Unknown, Malformed };

/// @brief A request parsed from one vendor's dialect.
struct EngineRequest
{
    EngineRequestKind kind = EngineRequestKind::Unknown;
    /// Set for Order only.
    upstream::Order order;
    /// Id of the request to cancel; set for Cancel only.
    std::string requestId;
};

/// @brief Parses a request in a vendor's dialect.
/// @return the request; Malformed when the body is not a JSON object, Unknown for an unknown path
EngineRequest readEngineRequest(Vendor vendor, const caller::CallerRequest &request);

/// @brief Encodes a report in a vendor's dialect.
caller::Answer writeReport(Vendor vendor, const upstream::EngineReport &report);

/// @brief Encodes the outcome of an order in a vendor's dialect.
caller::Answer writeOutcome(Vendor vendor, const upstream::OrderOutcome &outcome);

} // namespace bamboochute::fakes
