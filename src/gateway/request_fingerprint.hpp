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

/// @brief Computes the fingerprint of a request; takes a time that is proportional to its length.
RequestFingerprint computeFingerprint(const RequestContent &content);

} // namespace bamboochute::gateway
