/// @file
/// @brief The dialect of the vendor Cinchona.
#pragma once

#include "upstream/dialect.hpp"

namespace bamboochute::upstream {

struct Cinchona
{
    static constexpr Vendor vendor = Vendor::Cinchona;
    static constexpr std::string_view priorityHeader = "X-Cinchona-Priority";
    static constexpr bool canResume = false;

    static DialectCall cancelCall(const RequestId &request)
    {
        return {"POST", "/cinchona/orders",
                R"({"order":"cancel","request":")" + request.value() + R"("})"};
    }
};

static_assert(GenerationDialect<Cinchona>);

} // namespace bamboochute::upstream
