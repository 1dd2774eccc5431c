/// @file
/// @brief The step "parse": reads a whole HTTP request and checks its framing.
#pragma once

#include "caller/server_settings.hpp"
#include "core/error.hpp"
#include "core/inbound_budget.hpp"
#include "upstream/http_stream.hpp"
#include "upstream/message_parser.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::caller {

/// @brief An HTTP request with its body.
struct CallerRequest
{
    upstream::ParsedMessage message;
    std::string body;
    /// When its first byte was read.
    TimePoint arrival{};
    bool isKeepAlive = false;

    std::string_view method() const noexcept { return this->message.method; }
    /// @brief Path without the query.
    std::string_view path() const noexcept;
    /// @brief Memory that the request takes, in bytes.
    std::size_t heldBytes() const noexcept
    {
        return this->message.heldBytes() + this->body.capacity();
    }
    /// @brief Frees the memory of a request that was answered, unless it is little.
    void trim();
    const upstream::HeaderList &headers() const noexcept { return this->message.headers; }
};

/// @brief Why no request was read from a connection.
struct RequestReadFailure
{
    /// Nothing when no answer is due: the peer closed the connection or was idle for too long.
    std::optional<Error> error;
};

/// @brief Set when reading failed.
using OptionalReadFailure = std::optional<RequestReadFailure>;

/// @brief What a request that is read is counted in.
struct RequestAccount
{
    /// Bytes of the request.
    MemoryBudget::Holding &memory;
    /// Place of its connection; held from the end of the request on.
    ConnectionPlace &place;
};

/// @brief Reads and drops what a peer still sends of a refused request, for at most 1 s and 32 MB.
/// A connection that is closed before that is reset, and the peer may lose the refusal.
upstream::Awaitable<void> discardRest(upstream::HttpStream &stream);

/// @brief Waits until a connection has bytes of a request, at most until the stream's time limit.
/// @return false when there are none: the peer closed the connection, or the time has passed
upstream::Awaitable<bool> waitForRequest(upstream::HttpStream &stream);

/// @brief Reads the next request of a connection.
/// @param stream connection to the caller
/// @param limits sizes and timeouts
/// @param request output; the memory of its body is reused
/// @param account counts what is held, and refuses it if there is too little memory
/// @return nothing when the request is complete, else the failure: MalformedRequest,
/// HeaderTooLarge, BodyTooLarge, SlowSender, MemoryExhausted, or no error when there is nothing to
/// answer
upstream::Awaitable<OptionalReadFailure> readRequest(upstream::HttpStream &stream,
                                                     const ServerLimits &limits,
                                                     CallerRequest &request,
                                                     RequestAccount account);

} // namespace bamboochute::caller
