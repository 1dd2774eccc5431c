/// @file
/// @brief The engine's side of the vendors' dialects, for the stand-in.
#pragma once

#include "fakes/engine_state.hpp"
#include "fakes/http_server.hpp"

#include <optional>
#include <string>

namespace bamboochute::fakes {

/// @brief What a request to an engine asks for besides completions.
enum class EngineRequestKind { Report, Order, Cancel, Unknown, Malformed };

/// @brief A request in the dialect of one vendor, as typed values.
struct EngineRequest
{
    EngineRequestKind kind = EngineRequestKind::Unknown;
    upstream::Order order;
    /// For Cancel.
    std::string request;
};

/// @brief Reads a request in a vendor's dialect.
EngineRequest readEngineRequest(Vendor vendor, const caller::CallerRequest &request);

/// @brief Writes a report in a vendor's dialect.
caller::Answer writeReport(Vendor vendor, const upstream::EngineReport &report);

/// @brief Writes what became of an order in a vendor's dialect.
caller::Answer writeOutcome(Vendor vendor, const upstream::OrderOutcome &outcome);

} // namespace bamboochute::fakes
