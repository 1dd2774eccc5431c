/// @file
/// @brief One HTTP call to an upstream; an incomplete answer is always reported as a failure.
#pragma once

#include "core/configuration.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/message_parser.hpp"

#include <functional>
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
    /// The peer had closed the reused idle connection; no part of the answer was received.
    IdleConnectionClosed,
    /// The connection ended before the answer was complete.
    ConnectionLost,
    TimedOut,
    /// The answer is not valid HTTP, or doesn't state its length.
    Malformed,
    /// The header or the body of the answer exceeds its limit.
    Oversized,
    /// This process had no memory for the body; the upstream is not at fault.
    NoMemory,
    /// The call was ended by cancel().
    Cancelled
};

/// @brief Why a call failed, and whether the upstream may have received a part of it.
struct CallError
{
    CallFailure failure = CallFailure::ConnectFailed;
    /// Whether bytes of the request were handed to the kernel.
    bool isAnythingWritten = false;
    std::string message;
    /// The host refused the connection: no process listens at the address.
    bool isRefused = false;
    /// Time for which the connection had been idle before the call; nothing for a new connection.
    std::optional<Duration> idleTime = {};
    auto operator<=>(const CallError &) const = default;
};

/// @brief How an answer states where its body ends.
enum class BodyFraming {
    ContentLength,
    Chunked,
    /// It does not: the body ends with its connection.
    ConnectionClose
};

/// @brief State of a call's connection, as far as it has been read.
enum class ConnectionState {
    Open,
    /// The peer has closed its side in order.
    Closed,
    /// The connection was reset or failed.
    Reset
};

/// @brief Where the reading of an answer ended.
struct AnswerEnd
{
    BodyFraming framing = BodyFraming::ContentLength;
    ConnectionState connection = ConnectionState::Open;
    auto operator<=>(const AnswerEnd &) const = default;
};

/// @brief Name for logs and metrics: "length", "chunked" or "close".
std::string_view bodyFramingName(BodyFraming framing) noexcept;

/// @brief Name for logs and metrics: "open", "closed" or "reset".
std::string_view connectionStateName(ConnectionState state) noexcept;

/// @brief A value or the error of a call.
template<typename T>
using CallResult
        = boost::outcome_v2::basic_result<T, CallError, boost::outcome_v2::policy::terminate>;

/// @brief Which connections a call may use.
enum class ConnectionUse {
    /// An idle connection, or a new one when there is none.
    Any,
    /// Only a new connection: the peer may be about to close an idle one.
    Fresh
};

/// @brief What an upstream has done since UpstreamCall::readAhead().
enum class PeerActivity {
    Silent,
    /// It has sent bytes, or ended an answer whose end is that of its connection.
    GoesOn,
    /// Its connection has ended before the answer was complete.
    Lost
};

/// @brief An answer with its complete body.
struct WholeAnswer
{
    int status = 0;
    HeaderList headers;
    std::string body;
    /// Time from the end of the head to that of the body.
    Duration transferTime{};
};

/// @brief Makes room for a body of a number of bytes; returns false when there is none.
using BodyReservation = std::function<Awaitable<bool>(std::size_t bytes)>;

/// @brief How long an answer may take once its first bytes have come.
struct TransferLimits
{
    /// Longest pause between two parts of it.
    Duration maxPause{};
    /// Slowest mean rate from its first bytes on, in bytes per millisecond; an answer that falls
    /// behind it by maxPause is given up.
    std::size_t minRate = 1;
    /// Longest time from its first bytes on.
    Duration maxTime{};
    auto operator<=>(const TransferLimits &) const = default;
};

/// @brief A call to one upstream over a connection that it has to itself.
///
/// The connection returns to the pool only if the answer was read to its end without an error.
class UpstreamCall
{
public:
    UpstreamCall(ConnectionPool &pool, Endpoint endpoint);
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// @brief Takes an idle connection or connects, and writes the request.
    /// @param head request line and headers, ended by the empty line
    /// @param body body of the length that the head states
    /// @param deadline time limit of all operations until setDeadline()
    /// @param use whether an idle connection may be reused
    Awaitable<CallResult<void>> send(std::string_view head, std::string_view body,
                                     TimePoint deadline, ConnectionUse use);

    /// @brief Lets readWholeBody() accept an answer without a length or chunks.
    ///
    /// Such an answer is complete if the upstream closed the connection in order, which the host of
    /// a crashed process does as well.
    void allowUnframedAnswer() noexcept { this->isUnframedAllowed = true; }

    /// @brief Sets a condition that is checked right before the request is written: what allowed
    /// the request may have ended while the connection was opened, or while the process was paused.
    void setSendCondition(std::function<bool()> condition)
    {
        this->sendCondition = std::move(condition);
    }

    /// @brief Lets an answer that is still arriving at the deadline go on within limits; without
    /// them the deadline is that of the whole answer.
    void setTransferLimits(std::optional<TransferLimits> limits) { this->transferLimits = limits; }

    /// @brief Reads status and headers into answer().
    Awaitable<CallResult<void>> readHead();

    /// @brief Reads more of the body; answer() holds the pieces until the next call.
    /// @return false when the body has ended and there are no further pieces
    /// @note The end of a body without a length or chunks does not show that it is complete.
    Awaitable<CallResult<bool>> readBody();

    /// @brief Takes the whole body, if it was received together with the head.
    /// @param maxBytes largest size of the body
    /// @return nothing when the body is incomplete or larger
    std::optional<std::string> takeBody(std::size_t maxBytes);

    /// @brief Reads the rest of the body.
    /// @param maxBytes largest size of the body; a larger one gives Oversized
    /// @param reserve makes room for an announced body as a whole, else before the body grows;
    /// without room nothing more is read
    /// @return the body; Malformed when it has neither a length nor chunks, unless
    /// allowUnframedAnswer() was called; NoMemory when reserve found no room
    Awaitable<CallResult<std::string>> readWholeBody(std::size_t maxBytes,
                                                     BodyReservation reserve = {});

    const ParsedMessage &answer() const noexcept { return this->message; }

    /// @brief Length of the body that the head announces, in bytes.
    /// @return zero if it announces none, or one that is longer than maxBytes
    std::size_t announcedBytes(std::size_t maxBytes) const;

    /// @brief Memory of the read buffer of the connection, in bytes.
    std::size_t bufferBytes() const { return this->stream ? this->stream->bufferBytes() : 0; }

    /// @brief Whether status, headers and body are complete.
    bool isWhole() const;

    /// @brief How the body is framed, and the state of the connection.
    /// @return nothing before the headers are complete
    std::optional<AnswerEnd> answerEnd() const;

    /// @brief Starts to read, so that activity() tells whether there is something new.
    /// @note Only after readHead() or readBody() has ended with TimedOut.
    void readAhead();

    /// @brief What the upstream has done since readAhead().
    PeerActivity activity() const;

    /// @brief Whether bytes of the request were handed to the kernel.
    bool isAnythingWritten() const;

    /// @brief Replaces the time limit of all operations.
    void setDeadline(TimePoint deadline);

    /// @brief Closes the connection; pending operations end with Cancelled.
    void cancel();

    /// @brief Returns the connection to the pool if it can be reused, else closes it.
    void finish();

private:
    Awaitable<CallResult<void>> open(TimePoint deadline);
    void consumeParsedBytes();
    Awaitable<StreamStatus> readMoreInput();
    void extendDeadline(std::size_t newBytes);
    CallResult<void> parse();
    bool finishUnframedAnswer(StreamStatus status);
    std::size_t pieceBytes() const;
    CallError makeError(CallFailure failure, std::string message) const;
    CallError makeStreamError(StreamStatus status) const;

    ConnectionPool &pool;
    Endpoint endpoint;
    HttpStreamPointer stream;
    ParsedMessage message;
    std::optional<ResponseParser> parser;
    /// Bytes at the front of the stream that are parsed but not consumed: pieces may point into
    /// them.
    std::size_t parsedBytes = 0;
    /// Unread bytes when readAhead() was called; unset when it was not called since the last read.
    std::optional<std::size_t> bytesBeforeReadAhead;
    /// Whether answer() holds pieces that came with the head and weren't returned yet.
    bool hasUnreadPieces = false;
    /// Whether the parser made no progress with the buffered bytes.
    bool needsMoreInput = false;
    /// Time for which the reused connection had been idle; nothing for a new one.
    std::optional<Duration> idleTime;
    bool hasAnswerStarted = false;
    bool isCancelled = false;
    bool isUnframedAllowed = false;
    std::function<bool()> sendCondition;
    std::optional<TransferLimits> transferLimits;
    TimePoint deadline{};
    /// When the first bytes of the answer came.
    std::optional<TimePoint> beganAt;
    std::size_t receivedBytes = 0;
};

/// @brief Sends a request and reads its complete answer; the parameters are those of
/// UpstreamCall::send().
/// @param maxAnswerBytes largest size of the answer's body
/// @param sendCondition see UpstreamCall::setSendCondition()
/// @note When the answer doesn't come in time, the pool's idle connections to the endpoint are
/// closed as well, so that the next call uses a new one.
/// @note An answer without a length or chunks is accepted: callers parse the body, which shows
/// whether it was cut.
/// @param transferLimits limits of an answer that is still arriving at the deadline; without them
/// the deadline is that of the whole answer
Awaitable<CallResult<WholeAnswer>>
sendAndReadAnswer(ConnectionPool &pool, Endpoint endpoint, std::string head, std::string body,
                  TimePoint deadline, std::size_t maxAnswerBytes, ConnectionUse use,
                  std::function<bool()> sendCondition = {},
                  std::optional<TransferLimits> transferLimits = std::nullopt);

} // namespace bamboochute::upstream
