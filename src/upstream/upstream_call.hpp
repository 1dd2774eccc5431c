/// @file
/// @brief One HTTP call to an upstream, whose answer is whole or recognisably failed.
#pragma once

#include "core/configuration.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/message_parser.hpp"

#include <optional>
#include <string>
#include <string_view>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace bamboochute::upstream {

/// @brief How a call failed.
enum class CallFailure {
    /// No connection was made; nothing was written.
    ConnectFailed,
    /// A kept connection had been closed by the peer; nothing of the answer came.
    IdleConnectionClosed,
    /// The connection ended before the answer did.
    ConnectionLost,
    TimedOut,
    /// The answer is not HTTP, or its length can't be known.
    Malformed,
    Oversized,
    /// The call was cancelled here.
    Cancelled
};

/// @brief A failed call, and whether the upstream may have got anything of it.
struct CallError
{
    CallFailure failure = CallFailure::ConnectFailed;
    bool isAnythingWritten = false;
    std::string message;
    /// The host answered that no process listens at the address.
    bool isRefused = false;
    auto operator<=>(const CallError &) const = default;
};

template<typename T>
using CallResult
        = boost::outcome_v2::basic_result<T, CallError, boost::outcome_v2::policy::terminate>;

/// @brief Which connections a call may use.
enum class ConnectionUse {
    Any,
    /// Only a new one, which the peer can't have been about to close.
    Fresh
};

/// @brief An answer that was read to its end.
struct WholeAnswer
{
    int status = 0;
    HeaderList headers;
    std::string body;
};

/// @brief A call to one upstream over a connection that nobody else uses meanwhile.
///
/// The connection is used again only if the answer was read to its end without a fault.
class UpstreamCall
{
public:
    UpstreamCall(ConnectionPool &pool, Endpoint endpoint);
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// @brief Connects and writes the request.
    /// @param head request line and headers with the empty line
    /// @param body exactly as long as the head says
    /// @param deadline limit of all operations until setDeadline()
    Awaitable<CallResult<void>> send(std::string_view head, std::string_view body,
                                     TimePoint deadline, ConnectionUse use);

    /// @brief Takes answers without a length, which end with their connection.
    ///
    /// Such an answer is whole only if the upstream closed the connection in order.
    void allowUnframedAnswer() noexcept { this->isUnframedAllowed = true; }

    /// @brief Reads status and headers into answer().
    Awaitable<CallResult<void>> readHead();

    /// @brief Reads more of the body; the pieces are in answer() until the next call.
    /// @return false when the body had ended before
    Awaitable<CallResult<bool>> readBody();

    /// @brief The whole body, if it came together with the head.
    /// @param maxBytes longest body
    /// @return nothing when there is more to read, or too much was read
    std::optional<std::string> takeBody(std::size_t maxBytes);

    /// @brief Reads the rest of the body.
    /// @param maxBytes longest body
    Awaitable<CallResult<std::string>> readWholeBody(std::size_t maxBytes);

    const ParsedMessage &answer() const noexcept { return this->message; }

    /// @brief Whether status, headers and body have come to their end.
    bool isWhole() const;

    /// @brief Whether bytes of the request were handed to the kernel.
    bool isAnythingWritten() const;

    void setDeadline(TimePoint deadline);

    /// @brief Closes the connection; operations under way end with Cancelled.
    void cancel();

    /// @brief Gives the connection back if it can be used again, else closes it.
    void finish();

private:
    Awaitable<CallResult<void>> open(TimePoint deadline);
    void dropUsed();
    CallResult<void> parse();
    bool endsWithConnection(StreamStatus status);
    CallError error(CallFailure failure, std::string message) const;
    CallError streamError(StreamStatus status) const;

    ConnectionPool &pool;
    Endpoint endpoint;
    HttpStreamPointer stream;
    ParsedMessage message;
    std::optional<ResponseParser> parser;
    /// Bytes of the stream that the parser has used and that the pieces may point into.
    std::size_t used = 0;
    bool hasFreshPieces = false;
    /// Whether the parser found nothing to use in what was read.
    bool isStuck = false;
    bool isKept = false;
    bool isAnswerBegun = false;
    bool isCancelled = false;
    bool isUnframedAllowed = false;
};

/// @brief Makes a call and reads its whole answer.
Awaitable<CallResult<WholeAnswer>> sendAndReadAnswer(ConnectionPool &pool, Endpoint endpoint,
                                                     std::string head, std::string body,
                                                     TimePoint deadline, std::size_t maxAnswerBytes,
                                                     ConnectionUse use);

} // namespace bamboochute::upstream
