/// @file
/// @brief HTTP server on one event loop, which the fakes build on.
#pragma once

#include "caller/answer.hpp"
#include "caller/caller_request.hpp"
#include "core/configuration.hpp"
#include "upstream/http_stream.hpp"

#include <functional>
#include <memory>

namespace bamboochute::fakes {

/// @brief One request, with the writer of its answer and its connection.
struct FakeCall
{
    const caller::CallerRequest &request;
    caller::AnswerWriter &writer;
    upstream::HttpStream &stream;
};

/// @brief Handles one request.
using FakeHandler = std::function<upstream::Awaitable<void>(FakeCall &)>;

/// @brief Passes the requests of all connections of one port to a handler.
class FakeHttpServer
{
public:
    /// @param context event loop; must outlive the server and be run by one thread
    /// @param handler answers a request, or closes the stream without an answer
    FakeHttpServer(upstream::asio::io_context &context, FakeHandler handler);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer &) = delete;
    FakeHttpServer &operator=(const FakeHttpServer &) = delete;

    /// @brief Binds the endpoint and begins to accept connections.
    /// @param endpoint address and port; port 0 takes a free port
    /// @return the bound endpoint, or SettingInvalid when the endpoint can't be bound
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// @brief Stops accepting and closes all connections; only on the event loop's thread.
    void close();

private:
    struct State;
    std::shared_ptr<State> state;
};

/// @brief Builds an answer from a status and a JSON text.
caller::Answer jsonAnswer(int status, std::string body);

} // namespace bamboochute::fakes
