/// @file
/// @brief The step "parse": reads one HTTP request whole and checks its framing.
#pragma once

#include "caller/server_settings.hpp"
#include "core/error.hpp"
#include "upstream/http_stream.hpp"
#include "upstream/message_parser.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::caller {

/// @brief One request as it was received.
struct CallerRequest
{
    upstream::ParsedMessage message;
    std::string body;
    TimePoint arrival{};
    bool isKeepAlive = false;

    std::string_view method() const noexcept { return this->message.method; }
    /// @brief Path without the query.
    std::string_view path() const noexcept;
    const upstream::HeaderList &headers() const noexcept { return this->message.headers; }
};

/// @brief What a connection gave instead of a request.
struct RequestReadFailure
{
    /// Nothing when the peer closed the connection between two requests, or idled too long.
    std::optional<Error> error;
};

using OptionalReadFailure = std::optional<RequestReadFailure>;

/// @brief Reads the next request of a connection.
/// @param request filled; its memory is used again
/// @return nothing when the request is complete
upstream::Awaitable<OptionalReadFailure>
readRequest(upstream::HttpStream &stream, const ServerLimits &limits, CallerRequest &request);

} // namespace bamboochute::caller
