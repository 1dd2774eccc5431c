#include "gateway/request_fingerprint.hpp"

#include "core/random.hpp"

#include <fmt/format.h>

namespace bamboochute::gateway {

RequestFingerprint computeFingerprint(const RequestContent &content)
{
    std::uint64_t hash = content.headerHash;
    for (const std::string_view field :
         {content.method, content.host, content.target, content.caller, content.body})
        hash = stableHash(field, hash);
    return RequestFingerprint(fmt::format("{:016x}", hash));
}

} // namespace bamboochute::gateway
