/// @file
/// @brief The dialect of the vendor Bromelia: placements in named slots, memory in mebibytes, order
/// metadata in headers, the outcome as an HTTP status; broken streams can be resumed.
#pragma once

#include "upstream/dialect.hpp"

namespace bamboochute::upstream {

/// @brief Builds Bromelia's requests and parses its answers; see EngineDialect.
struct Bromelia
{
    static constexpr Vendor vendor = Vendor::Bromelia;
    static constexpr std::string_view priorityHeader = "X-Bromelia-Priority";
    static constexpr bool canResume = true;

    static DialectCall cancelCall(const RequestId &request);
    static DialectCall reportCall();
    static Result<EngineReport> parseReport(std::string_view body);
    static DialectCall orderCall(const Order &order);
    static OrderOutcome parseOrderAnswer(const Order &order, int status, std::string_view body);
};

static_assert(EngineDialect<Bromelia>);

} // namespace bamboochute::upstream
