/// @file
/// @brief What one instance tells another one about a request that it forwards to it.
#pragma once

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::forwarding {

/// Header of a forwarded request; has a meaning on connections between instances only.
constexpr std::string_view forwardedHeader = "Bamboochute-Forwarded";
/// Header of an answer by which a helper says that it has not taken the request, and why.
constexpr std::string_view notTakenHeader = "Bamboochute-Not-Taken";
/// Header of a forwarded answer: software version of the upstream that began the stream.
constexpr std::string_view streamVersionHeader = "Bamboochute-Stream-Version";

/// @brief Whether a header belongs to the exchange between instances and goes no further.
bool isForwardingHeader(std::string_view name);

/// @brief How the request is handled where it comes from: its route there, as far as a helper needs
/// it.
struct ForwardedRoute
{
    std::string id;
    /// Name of the kind of its requests.
    std::string kind;
    bool isResumable = false;
    Duration objective{};
    Duration maxEventGap{};
    Duration maxFirstEventDelay{};
    std::uint32_t maxUpstreams = 1;
    std::uint32_t priority = 0;
    auto operator<=>(const ForwardedRoute &) const = default;
};

/// @brief State of a request at the instance that forwards it.
struct ForwardedRequest
{
    /// Time left for the end of the answer.
    Duration remaining{};
    /// Service that it was given to, of those of its route.
    std::string service;
    /// Identity of the caller.
    std::string caller;
    /// Version of the routing configuration in force where it comes from.
    std::uint64_t configuration = 0;
    /// Its route in that configuration; unset if the sender does not tell it.
    std::optional<ForwardedRoute> route;
    /// Upstreams that may have run it.
    std::uint32_t possibleRuns = 0;
    /// Whether it was counted for the retry budget and the demand of models already.
    bool isCounted = false;
    /// Last event that the caller has; empty if the stream begins.
    std::string lastEventId;
    /// Software version that began the stream; unset if it has not begun or the version is not
    /// known.
    std::optional<SoftwareVersion> version;
    /// Upstreams that it is not sent to again.
    std::vector<UpstreamId> tried;
    /// Workspace of the caller, whose key was checked; unset if that is left to the helper, as by
    /// instances of earlier releases, and empty for a caller that needs no key.
    std::optional<WorkspaceId> workspace = {};
    auto operator<=>(const ForwardedRequest &) const = default;
};

/// @brief Encodes the state as the value of a header.
std::string encodeForwardedRequest(const ForwardedRequest &request);

/// @brief Decodes the value of the header; fields that are missing keep their defaults.
/// @return the state, or MalformedRequest
Result<ForwardedRequest> decodeForwardedRequest(std::string_view value);

} // namespace bamboochute::forwarding
