#include "caller/answer.hpp"

#include <algorithm>
#include <array>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::caller {

namespace {

using upstream::appendHeader;
using upstream::Awaitable;
using upstream::StreamStatus;
namespace asio = upstream::asio;

constexpr std::string_view requestIdHeader = "x-request-id";
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr std::string_view runStateHeader = "x-bamboochute-run-state";

asio::const_buffer toBuffer(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

void appendStatusLine(std::string &head, int status)
{
    const auto reason
            = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    head += "HTTP/1.1 ";
    head += std::to_string(status);
    head += ' ';
    head.append(reason.data(), reason.size());
    head += "\r\n";
}

std::string errorBody(const Error &error)
{
    const ErrorRow &row = error.row();
    nlohmann::ordered_json inner;
    inner["message"] = error.message().empty() ? std::string(row.code) : error.message();
    inner["type"] = row.type;
    inner["param"] = error.field().empty() ? nlohmann::ordered_json()
                                           : nlohmann::ordered_json(error.field());
    inner["code"] = row.code;
    nlohmann::ordered_json body;
    body["error"] = std::move(inner);
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string_view runStateName(RunState state) noexcept
{
    constexpr std::array<std::string_view, 3> names{"not-run", "may-have-run", "run"};
    return names[static_cast<std::size_t>(state)];
}

Answer errorAnswer(const Error &error, RunState minimumRunState)
{
    Answer answer;
    const RunState runState = std::max(error.row().runState, minimumRunState);
    const bool isRaised = runState > error.row().runState;
    answer.status = error.row().httpStatus;
    // Callers take 503 for "not run" and send the request again.
    if (isRaised && answer.status == statusUnavailable)
        answer.status = statusBadGateway;
    answer.body = errorBody(error);
    appendHeader(answer.extraHeaders, runStateHeader, runStateName(runState));
    if (const auto delay = error.retryAfter(); delay && !isRaised)
        appendHeader(answer.extraHeaders, "Retry-After", std::to_string(delay->count()));
    return answer;
}

AnswerWriter::AnswerWriter(upstream::HttpStream &stream, const ServerLimits &limits,
                           ConnectionPlace &place)
    : stream(stream)
    , limits(limits)
    , place(place)
{}

void AnswerWriter::begin(std::string requestId, bool isKeepAlive)
{
    this->id = std::move(requestId);
    this->keepAlive = isKeepAlive;
    this->hasBegun = false;
    this->head.clear();
}

void AnswerWriter::appendCommonHeaders(std::string &text) const
{
    appendHeader(text, requestIdHeader, this->id);
    if (!this->keepAlive)
        appendHeader(text, "Connection", "close");
}

std::optional<StreamStatus> AnswerWriter::trySend(std::span<const asio::const_buffer> parts)
{
    this->hasBegun = true;
    return this->stream.tryWrite(parts);
}

Awaitable<StreamStatus> AnswerWriter::sendRest(std::span<const asio::const_buffer> parts)
{
    const ConnectionPlace::Offer offer(this->place, SteadyClock().now());
    this->stream.expireAt(SteadyClock().now() + this->limits.writeTimeout);
    const StreamStatus status = co_await this->stream.writeRest(parts);
    this->stream.neverExpire();
    co_return status;
}

Awaitable<StreamStatus> AnswerWriter::write(const Answer &answer)
{
    this->head.clear();
    appendStatusLine(this->head, answer.status);
    if (!answer.contentType.empty())
        appendHeader(this->head, "Content-Type", answer.contentType);
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (answer.status != noContent && answer.status != notModified)
        appendHeader(this->head, "Content-Length", std::to_string(answer.body.size()));
    this->appendCommonHeaders(this->head);
    this->head += answer.extraHeaders;
    this->head += "\r\n";
    const std::array<asio::const_buffer, 2> parts{toBuffer(this->head), toBuffer(answer.body)};
    const std::optional<StreamStatus> sent = this->trySend(parts);
    if (sent)
        co_return *sent;
    co_return co_await this->sendRest(parts);
}

void AnswerWriter::beginStream(std::string_view extraHeaders)
{
    constexpr int statusOk = 200;
    this->head.clear();
    appendStatusLine(this->head, statusOk);
    appendHeader(this->head, "Content-Type", "text/event-stream");
    appendHeader(this->head, "Cache-Control", "no-cache");
    appendHeader(this->head, "Transfer-Encoding", "chunked");
    this->appendCommonHeaders(this->head);
    this->head += extraHeaders;
    this->head += "\r\n";
}

Awaitable<StreamStatus> AnswerWriter::writeChunk(std::span<const std::string_view> pieces)
{
    std::size_t size = 0;
    for (const std::string_view piece : pieces)
        size += piece.size();
    // A chunk of no bytes would end the stream.
    if (size == 0)
        co_return StreamStatus::Ok;
    this->chunkHead.assign(this->hasBegun ? std::string() : this->head);
    fmt::format_to(std::back_inserter(this->chunkHead), "{:x}\r\n", size);
    this->buffers.clear();
    this->buffers.push_back(toBuffer(this->chunkHead));
    for (const std::string_view piece : pieces)
        this->buffers.push_back(toBuffer(piece));
    this->buffers.push_back(toBuffer("\r\n"));
    const std::optional<StreamStatus> sent = this->trySend(this->buffers);
    if (sent)
        co_return *sent;
    co_return co_await this->sendRest(this->buffers);
}

Awaitable<StreamStatus> AnswerWriter::endStream()
{
    std::string last = this->hasBegun ? std::string() : this->head;
    last += "0\r\n\r\n";
    const std::array<asio::const_buffer, 1> parts{toBuffer(last)};
    const std::optional<StreamStatus> sent = this->trySend(parts);
    if (sent)
        co_return *sent;
    co_return co_await this->sendRest(parts);
}

Awaitable<StreamStatus> AnswerWriter::endStreamWithError(const Error &error)
{
    this->keepAlive = false;
    const std::string event = "data: " + errorBody(error) + "\n\n";
    const std::array<std::string_view, 1> pieces{event};
    co_return co_await this->writeChunk(pieces);
}

} // namespace bamboochute::caller
