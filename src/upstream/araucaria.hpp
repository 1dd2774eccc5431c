/// @file
/// @brief The dialect of the vendor Araucaria: placements in flat lists, memory in bytes, the
/// outcome of an order as HTTP status and as a name in the body.
#pragma once

#include "upstream/dialect.hpp"

namespace bamboochute::upstream {

/// @brief Builds Araucaria's requests and parses its answers; see EngineDialect.
struct Araucaria
{
    static constexpr Vendor vendor = Vendor::Araucaria;
    static constexpr std::string_view priorityHeader = "X-Araucaria-Priority";
    static constexpr bool canResume = false;

    static DialectCall cancelCall(const RequestId &request);
    static DialectCall reportCall();
    static Result<EngineReport> parseReport(std::string_view body);
    static DialectCall orderCall(const Order &order);
    static OrderOutcome parseOrderAnswer(const Order &order, int status, std::string_view body);
};

static_assert(EngineDialect<Araucaria>);

} // namespace bamboochute::upstream
