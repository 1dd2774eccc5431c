/// @file
/// @brief How calls are spoken on the wire, as functions that the adapter of a platform gives.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/routing_table.hpp"
#include "upstream/header_list.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::gateway {

/// @brief What a request says of itself beside method, target and body.
struct RequestAttributes
{
    RequestId id;
    /// How long the caller will wait; nothing when it does not say.
    std::optional<Duration> callerTimeout;
    /// Model and adapter that the request names; empty at plain services.
    Target target;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// Hash of the longest part of the prompt that other requests share; zero when there is none.
    std::uint64_t sharedPromptHash = 0;
    /// Last event of the stream that the caller has; empty when it asks for the beginning.
    std::string lastEventId;
    auto operator<=>(const RequestAttributes &) const = default;
};

/// @brief What this instance says of a request to the upstream that gets it.
struct UpstreamAttributes
{
    /// The process that is meant; any other one refuses.
    UpstreamId expectedUpstream;
    /// Time that the upstream has.
    Duration remaining{};
    /// Rank of the route; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Last event that the caller has; empty when the stream begins.
    std::string lastEventId;
    auto operator<=>(const UpstreamAttributes &) const = default;
};

/// @brief What the head of an upstream's answer says.
struct AnswerAttributes
{
    /// Request that the answer is for; empty when it does not say.
    RequestId request;
    /// The upstream vouches for the answer.
    bool isSigned = false;
    /// The upstream says that it did not run the request and never will.
    bool isNotRun = false;
    /// The process that answered; empty when it does not say.
    UpstreamId answeredBy;
    auto operator<=>(const AnswerAttributes &) const = default;
};

/// @brief The wire's names, behind functions.
struct CallCodec
{
    std::function<RequestAttributes(const upstream::HeaderList &)> readRequest;
    /// Whether a caller's header goes on to the upstream as it is.
    std::function<bool(std::string_view name)> isForwardedHeader;
    /// Appends this instance's headers to the head of an upstream's request.
    std::function<void(std::string &head, const UpstreamAttributes &)> appendHeaders;
    std::function<AnswerAttributes(int status, const upstream::HeaderList &)> readAnswer;
};

} // namespace bamboochute::gateway
