/// @file
/// @brief Recognises requests that ask the same for the same caller.
#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace bamboochute::gateway {

/// @brief What all attempts of a request have in common; nothing of one attempt, such as its id or
/// deadline.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    /// Identity of the caller, or its address without the port.
    std::string_view caller;
    std::string_view body;
    /// Hash of the headers that are part of what the request asks for.
    std::uint64_t headerHash = 0;
};

/// @brief What identifies a request: with its caller, and as the same request of any caller, as one
/// caller may come from several addresses.
struct RequestFingerprints
{
    RequestFingerprint ofCaller;
    RequestFingerprint ofAnyCaller;
    auto operator<=>(const RequestFingerprints &) const = default;
};

/// @brief Computes the fingerprints of a request; takes a time that is proportional to its length.
RequestFingerprints computeFingerprints(const RequestContent &content);

/// @brief Whether a fingerprint is RequestFingerprints::ofAnyCaller of a request.
bool isOfAnyCaller(std::string_view fingerprint) noexcept;

} // namespace bamboochute::gateway
