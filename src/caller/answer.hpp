/// @file
/// @brief Writes answers to callers: whole ones, errors by the error table, and streams.
#pragma once

#include "caller/server_settings.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "upstream/header_list.hpp"
#include "upstream/http_stream.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::caller {

/// @brief A whole answer.
struct Answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// Header lines, each with its end of line.
    std::string extraHeaders;
};

/// @brief The OpenAI-shaped body of an error.
std::string errorBody(const Error &error);

/// @brief Name of a run state, as in the header x-bamboochute-run-state.
std::string_view runStateName(RunState state) noexcept;

/// @brief The answer to a request that is refused or failed.
/// @param error row of the table, message and field
/// @param atLeast what is known from earlier attempts; the answer never claims less
Answer errorAnswer(const Error &error, RunState atLeast = RunState::NotRun);

/// @brief Writes the answers of one connection, one request at a time.
class AnswerWriter
{
public:
    AnswerWriter(upstream::HttpStream &stream, const ServerLimits &limits);

    /// @brief Begins a new request.
    /// @param requestId sent back in x-request-id
    /// @param isKeepAlive whether the connection stays open after the answer
    void begin(std::string requestId, bool isKeepAlive);

    /// @brief Writes a whole answer.
    upstream::Awaitable<upstream::StreamStatus> write(const Answer &answer);

    /// @brief Begins a stream of events; its header goes out with the first bytes.
    void beginStream(std::string_view extraHeaders);

    /// @brief Writes pieces of a stream as one chunk.
    upstream::Awaitable<upstream::StreamStatus>
    writeChunk(std::span<const std::string_view> pieces);

    /// @brief Ends a stream so that the caller sees that it is complete.
    upstream::Awaitable<upstream::StreamStatus> endStream();

    /// @brief Ends a stream with an error event and without its final chunk.
    upstream::Awaitable<upstream::StreamStatus> breakStream(const Error &error);

    /// @brief Whether any byte of an answer was written.
    bool isBegun() const noexcept { return this->hasBegun; }
    bool isKeepAlive() const noexcept { return this->keepAlive; }
    void closeAfterAnswer() noexcept { this->keepAlive = false; }
    const std::string &requestId() const noexcept { return this->id; }

private:
    void appendCommonHeaders(std::string &head) const;
    upstream::Awaitable<upstream::StreamStatus>
    sendRest(std::span<const upstream::asio::const_buffer> parts);
    std::optional<upstream::StreamStatus>
    trySend(std::span<const upstream::asio::const_buffer> parts);

    upstream::HttpStream &stream;
    const ServerLimits &limits;
    std::string id;
    bool keepAlive = false;
    bool hasBegun = false;
    std::string head;
    std::string chunkHead;
    std::vector<upstream::asio::const_buffer> buffers;
};

} // namespace bamboochute::caller
