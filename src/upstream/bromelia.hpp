/// @file
/// @brief The dialect of the vendor Bromelia: named slots, mebibytes, orders by headers; streams
/// can be resumed.
#pragma once

#include "upstream/dialect.hpp"

namespace bamboochute::upstream {

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
