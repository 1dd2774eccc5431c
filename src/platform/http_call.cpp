#include "platform/http_call.hpp"

#include <deque>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace bamboochute::platform {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream(context)
    {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isOpen = false;
};

struct WaitingCall
{
    HttpRequest request;
    HttpCallback done;
    std::chrono::steady_clock::time_point deadline;
};

Error unavailable(const HttpRequest &request, std::string_view reason)
{
    return Error(ErrorKind::KeyValueUnavailable,
                 fmt::format("{} {} was not sent: {}", request.method, request.target, reason));
}

Error outcomeUnknown(const HttpRequest &request, const error_code &error)
{
    return Error(ErrorKind::KeyValueOutcomeUnknown,
                 fmt::format("{} {} may have been sent, but no complete response arrived: {}",
                             request.method, request.target, error.message()));
}

http::request<http::string_body> toMessage(const HttpRequest &request, const Endpoint &endpoint)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             11);
    message.set(http::field::host, fmt::format("{}:{}", endpoint.address, endpoint.port));
    if (!request.purpose.empty())
        message.set("x-bamboochute-purpose", request.purpose);
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

} // namespace

struct AsyncHttpClient::State : std::enable_shared_from_this<AsyncHttpClient::State>
{
    State(asio::io_context &context, std::vector<Endpoint> endpoints, HttpClientLimits limits)
        : context(context)
        , endpoints(std::move(endpoints))
        , limits(limits)
    {}

    asio::io_context &context;
    std::vector<Endpoint> endpoints;
    HttpClientLimits limits;
    std::size_t currentEndpoint = 0;
    std::size_t connectionCount = 0;
    std::deque<WaitingCall> waiting;
    std::vector<std::unique_ptr<Connection>> idle;

    void startNext()
    {
        while (!this->waiting.empty() && this->connectionCount < this->limits.maxConnections) {
            WaitingCall call = std::move(this->waiting.front());
            this->waiting.pop_front();
            ++this->connectionCount;
            asio::co_spawn(
                    this->context,
                    [self = this->shared_from_this(),
                     call = std::move(call)]() mutable -> asio::awaitable<void> {
                        co_await self->run(std::move(call));
                        --self->connectionCount;
                        self->startNext();
                    },
                    asio::detached);
        }
    }

    asio::awaitable<void> run(WaitingCall call)
    {
        Result<HttpAnswer> result = co_await this->exchange(call);
        call.done(std::move(result));
    }

    asio::awaitable<Result<HttpAnswer>> exchange(const WaitingCall &call)
    {
        if (std::chrono::steady_clock::now() >= call.deadline)
            co_return unavailable(call.request, "timed out while waiting for a connection");
        std::unique_ptr<Connection> connection = co_await this->connect(call);
        if (!connection)
            co_return unavailable(call.request, "no endpoint is reachable");
        const auto message = toMessage(call.request, this->endpoints[this->currentEndpoint]);
        connection->stream.expires_at(call.deadline);
        error_code error;
        co_await http::async_write(connection->stream, message,
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return this->fail(call.request, error);
        http::response_parser<http::string_body> parser;
        parser.body_limit(this->limits.maxAnswerBytes);
        co_await http::async_read(connection->stream, connection->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return this->fail(call.request, error);
        HttpAnswer answer{static_cast<int>(parser.get().result_int()),
                          std::move(parser.get().body())};
        // Bytes after the answer belong to no call.
        if (parser.get().keep_alive() && connection->buffer.size() == 0)
            this->idle.push_back(std::move(connection));
        co_return answer;
    }

    /// Closes the idle connections after a timeout, as they may have fallen silent as well.
    Error fail(const HttpRequest &request, const error_code &error)
    {
        if (error == beast::error::timeout)
            this->idle.clear();
        return outcomeUnknown(request, error);
    }

    /// Returns an idle connection that the peer has not closed, or a new one; null when no endpoint
    /// is reachable.
    asio::awaitable<std::unique_ptr<Connection>> connect(const WaitingCall &call)
    {
        while (!this->idle.empty()) {
            std::unique_ptr<Connection> reusedConnection = std::move(this->idle.back());
            this->idle.pop_back();
            if (isStillOpen(reusedConnection->stream))
                co_return reusedConnection;
        }
        for (std::size_t attempt = 0; attempt < this->endpoints.size(); ++attempt) {
            auto newConnection = std::make_unique<Connection>(this->context);
            if (co_await this->connectTo(*newConnection, call.deadline))
                co_return newConnection;
            this->currentEndpoint = (this->currentEndpoint + 1) % this->endpoints.size();
        }
        co_return nullptr;
    }

    asio::awaitable<bool> connectTo(Connection &connection,
                                    std::chrono::steady_clock::time_point deadline)
    {
        const Endpoint &endpoint = this->endpoints[this->currentEndpoint];
        error_code error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        if (error)
            co_return false;
        connection.stream.expires_at(deadline);
        co_await connection.stream.async_connect(asio::ip::tcp::endpoint(address, endpoint.port),
                                                 asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
        co_return !error;
    }

    /// Returns whether an idle connection can be reused. One that is readable was closed by the
    /// peer or holds unexpected bytes.
    static bool isStillOpen(beast::tcp_stream &stream)
    {
        error_code error;
        stream.socket().non_blocking(true, error);
        char byte = 0;
        stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error == asio::error::would_block;
    }
};

AsyncHttpClient::AsyncHttpClient(boost::asio::io_context &context, std::vector<Endpoint> endpoints,
                                 HttpClientLimits limits)
    : state(std::make_shared<State>(context, std::move(endpoints), limits))
{}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::call(HttpRequest request, HttpCallback done)
{
    if (this->state->waiting.size() >= this->state->limits.maxWaiting) {
        done(unavailable(request, "too many calls are waiting for a connection"));
        return;
    }
    const auto deadline = std::chrono::steady_clock::now() + this->state->limits.timeout;
    this->state->waiting.push_back({std::move(request), std::move(done), deadline});
    this->state->startNext();
}

} // namespace bamboochute::platform
