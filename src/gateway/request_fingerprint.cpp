#include "gateway/request_fingerprint.hpp"

#include "core/random.hpp"

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

constexpr std::string_view anyCallerPrefix = "any-";

} // namespace

RequestFingerprints computeFingerprints(const RequestContent &content)
{
    std::uint64_t hash = content.headerHash;
    for (const std::string_view field :
         {content.method, content.host, content.target, content.body})
        hash = stableHash(field, hash);
    return {RequestFingerprint(fmt::format("{:016x}", stableHash(content.caller, hash))),
            RequestFingerprint(fmt::format("{}{:016x}", anyCallerPrefix, hash))};
}

bool isOfAnyCaller(std::string_view fingerprint) noexcept
{
    return fingerprint.starts_with(anyCallerPrefix);
}

} // namespace bamboochute::gateway
