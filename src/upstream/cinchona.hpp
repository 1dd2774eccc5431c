/// @file
/// @brief The dialect of the vendor Cinchona: adapters nested in their models, one path for all
/// orders, always status 200.
#pragma once

#include "upstream/dialect.hpp"

namespace bamboochute::upstream {

/// @brief Builds Cinchona's requests and parses its answers; see EngineDialect.
struct Cinchona
{
    static constexpr Vendor vendor = Vendor::Cinchona;
    static constexpr std::string_view priorityHeader = "X-Cinchona-Priority";
    static constexpr bool canResume = false;

    static DialectCall cancelCall(const RequestId &request);
    static DialectCall reportCall();
    static Result<EngineReport> parseReport(std::string_view body);
    static DialectCall orderCall(const Order &order);
    static OrderOutcome parseOrderAnswer(const Order &order, int status, std::string_view body);
};

static_assert(EngineDialect<Cinchona>);

} // namespace bamboochute::upstream
