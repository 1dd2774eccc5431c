/// @file
/// @brief The dialect of the vendor Araucaria.
#pragma once

#include "upstream/dialect.hpp"

namespace bamboochute::upstream {

struct Araucaria
{
    static constexpr Vendor vendor = Vendor::Araucaria;
    static constexpr std::string_view priorityHeader = "X-Araucaria-Priority";
    static constexpr bool canResume = false;

    static DialectCall cancelCall(const RequestId &request)
    {
        return {"POST", "/araucaria/v1/cancel", R"({"request_id":")" + request.value() + R"("})"};
    }
};

static_assert(GenerationDialect<Araucaria>);

} // namespace bamboochute::upstream
