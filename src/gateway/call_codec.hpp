/// @file
/// @brief Reads and writes the protocol headers of requests; each platform's adapter supplies it.
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
#include <vector>

namespace bamboochute::gateway {

/// @brief Attributes that a caller's request states in its headers.
struct RequestAttributes
{
    RequestId id;
    /// Time that the caller waits for the end of the answer; unset when the request does not state
    /// it.
    std::optional<Duration> callerTimeout;
    /// Model and adapter that the request asks for; empty for services without an engine.
    Target target;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// Whether the request states its numbers of tokens.
    bool hasTokenCounts = false;
    /// Hash of the longest prompt prefix that other requests share; zero when there is none.
    std::uint64_t sharedPromptHash = 0;
    /// Parts of the prompt that other requests may share, in the order of the prompt.
    std::vector<PromptPartId> promptParts;
    /// Id of the last stream event that the caller received; empty to start at the beginning.
    std::string lastEventId;
    /// Request that brought the first event of a stream that is resumed; empty when the request
    /// does not state it.
    RequestId resumedRequest;
    /// Identity of the caller; empty to go by the address of its connection.
    std::string caller;
    /// Key by which the caller identifies its workspace; empty when the request has none.
    std::string key;
    /// Hash of the headers that are part of what the request asks for, beside its target and body;
    /// the same in each attempt.
    std::uint64_t contentHash = 0;
    auto operator<=>(const RequestAttributes &) const = default;
};

/// @brief Attributes that this instance adds to a request that it sends to an upstream.
struct UpstreamAttributes
{
    /// Upstream that the request is meant for; any other process at its address refuses it.
    UpstreamId expectedUpstream;
    /// Time left for the answer.
    Duration remaining{};
    /// Priority of the route; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Id of the last stream event that the caller received; empty when the stream begins.
    std::string lastEventId;
    /// Workspace of the caller; empty when it has none.
    WorkspaceId workspace = {};
    auto operator<=>(const UpstreamAttributes &) const = default;
};

/// @brief Attributes that an upstream's answer states in its head.
struct AnswerAttributes
{
    /// Request that the answer belongs to; empty when the answer does not state it.
    RequestId request;
    /// The answer carries the upstream's signature.
    bool isSigned = false;
    /// The upstream states that it did not run the request and never will.
    bool isNotRun = false;
    /// Requests per second that the upstream takes from all instances together; unset when the
    /// answer does not limit them.
    std::optional<double> requestsPerSecond;
    /// Requests that the upstream can turn away for want of room in a second without falling over;
    /// unset when it does not say that it is brittle.
    std::optional<double> maxRejectionsPerSecond;
    /// The answer states this with a value that is no number.
    bool isBrittleInvalid = false;
    /// The upstream is shutting down and takes no new requests.
    bool isLeaving = false;
    /// The answer has the header that states this, with a value that has no meaning.
    bool isLeavingInvalid = false;
    /// Time for which the upstream, which turned the request away, wants nothing from this
    /// instance.
    std::optional<Duration> pause;
    /// The answer asks for a pause whose length has no meaning.
    bool isPauseInvalid = false;
    /// The answer states a limit that is no positive number.
    bool isLimitInvalid = false;
    /// Upstream that answered; empty when the answer does not state it.
    UpstreamId answeredBy;
    auto operator<=>(const AnswerAttributes &) const = default;
};

/// @brief Converts between protocol headers and the attributes above.
struct CallCodec
{
    /// Reads the attributes of a caller's request.
    std::function<RequestAttributes(const upstream::HeaderList &)> readRequest;
    /// Whether a caller's header is forwarded to the upstream unchanged.
    std::function<bool(std::string_view name)> isForwardedHeader;
    /// Appends this instance's headers to the head of a request to an upstream.
    std::function<void(std::string &head, const UpstreamAttributes &)> appendHeaders;
    /// Reads the attributes of an upstream's answer.
    std::function<AnswerAttributes(int status, const upstream::HeaderList &)> readAnswer;
    /// Whether a header holds the caller's key; unset if no header does.
    std::function<bool(std::string_view name)> isKeyHeader = {};
    /// Whether a header names the workspace; unset if no header does.
    std::function<bool(std::string_view name)> isWorkspaceHeader = {};
    /// Appends the workspace to the head of a request to another instance; unset if there are none.
    std::function<void(std::string &head, const WorkspaceId &workspace)> appendWorkspace = {};
};

} // namespace bamboochute::gateway
