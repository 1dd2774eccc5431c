/// @file
/// @brief The dialect of the vendor Bromelia.
#pragma once

#include "upstream/dialect.hpp"

namespace bamboochute::upstream {

struct Bromelia
{
    static constexpr Vendor vendor = Vendor::Bromelia;
    static constexpr std::string_view priorityHeader = "X-Bromelia-Priority";
    static constexpr bool canResume = true;

    static DialectCall cancelCall(const RequestId &request)
    {
        return {"DELETE", "/bromelia/requests/" + request.value(), {}};
    }
};

static_assert(GenerationDialect<Bromelia>);

} // namespace bamboochute::upstream
