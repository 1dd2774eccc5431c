/// @file
/// @brief A small HTTP server on one event loop, for the stand-ins.
#pragma once

#include "caller/answer.hpp"
#include "caller/caller_request.hpp"
#include "core/configuration.hpp"
#include "upstream/http_stream.hpp"

#include <functional>
#include <memory>

namespace bamboochute::fakes {

/// @brief One request and the way to answer it.
struct FakeCall
{
    const caller::CallerRequest &request;
    caller::AnswerWriter &writer;
    upstream::HttpStream &stream;
};

using FakeHandler = std::function<upstream::Awaitable<void>(FakeCall &)>;

/// @brief Serves all connections of one port by a handler.
class FakeHttpServer
{
public:
    /// @param context event loop; must outlive the server and be run by one thread
    /// @param handler answers one request, or closes the stream without an answer
    FakeHttpServer(upstream::asio::io_context &context, FakeHandler handler);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer &) = delete;
    FakeHttpServer &operator=(const FakeHttpServer &) = delete;

    /// @brief Binds the port and begins to accept.
    /// @return the bound endpoint, or SettingInvalid
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// @brief Accepts no more and closes all connections; on the loop's thread.
    void close();

private:
    struct State;
    std::shared_ptr<State> state;
};

/// @brief A JSON answer.
caller::Answer jsonAnswer(int status, std::string body);

} // namespace bamboochute::fakes
