/// @file
/// @brief Writes answers to callers: whole answers, errors by the error table, and streams.
#pragma once

#include "caller/server_settings.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/inbound_budget.hpp"
#include "upstream/header_list.hpp"
#include "upstream/http_stream.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::caller {

/// @brief An answer that is not a stream.
struct Answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// Header lines, each with its CRLF.
    std::string extraHeaders;
};

/// @brief Appends the status line of an answer, with its CRLF.
void appendStatusLine(std::string &head, int status);

/// @brief The JSON body of an error, in the format of the OpenAI API.
std::string errorBody(const Error &error);

/// @brief Value of a run state in the header x-bamboochute-run-state.
std::string_view runStateName(RunState state) noexcept;

/// @brief The answer to a request that is refused or failed.
/// @param error whose kind gives status, body and run state
/// @param minimumRunState run state of earlier attempts; the answer reports the higher of both
Answer errorAnswer(const Error &error, RunState minimumRunState = RunState::NotRun);

/// @brief Writes the answers of one connection, one request at a time.
class AnswerWriter
{
public:
    /// @param stream connection to the caller
    /// @param limits times
    /// @param place of the connection; others may have it while an answer is not read
    AnswerWriter(upstream::HttpStream &stream, const ServerLimits &limits, ConnectionPlace &place);

    /// @brief Begins a new request.
    /// @param requestId sent back in x-request-id
    /// @param isKeepAlive whether the connection stays open after the answer
    void begin(std::string requestId, bool isKeepAlive);

    /// @brief Writes an answer that is not a stream.
    /// @return Ok, or why the caller did not get all of it
    upstream::Awaitable<upstream::StreamStatus> write(const Answer &answer);

    /// @brief Prepares the header of a stream of events; it is sent with the first chunk.
    /// @param extraHeaders header lines, each with its CRLF
    void beginStream(std::string_view extraHeaders);

    /// @brief Writes pieces of a stream as one chunk; writes nothing when all are empty.
    upstream::Awaitable<upstream::StreamStatus>
    writeChunk(std::span<const std::string_view> pieces);

    /// @brief Writes the final chunk, which marks the stream as complete.
    upstream::Awaitable<upstream::StreamStatus> endStream();

    /// @brief Writes an error event but no final chunk, so that the caller sees that the stream is
    /// incomplete; the connection closes afterwards.
    upstream::Awaitable<upstream::StreamStatus> endStreamWithError(const Error &error);

    /// @brief Whether a write of the answer has been attempted.
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
    ConnectionPlace &place;
    std::string id;
    bool keepAlive = false;
    bool hasBegun = false;
    std::string head;
    std::string chunkHead;
    std::vector<upstream::asio::const_buffer> buffers;
};

} // namespace bamboochute::caller
