#include "fakes/http_server.hpp"
#include "upstream/upstream_call.hpp"

#include <array>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::upstream;

namespace {

/// A server that answers each request with the same bytes and closes the connection.
struct RawServer
{
    explicit RawServer(std::string bytes)
        : bytes(std::move(bytes))
        , server(this->context,
                 [this](fakes::FakeCall &call) -> Awaitable<void> {
                     const std::array<asio::const_buffer, 1> buffers{asio::buffer(this->bytes)};
                     co_await call.stream.write(buffers);
                     call.writer.closeAfterAnswer();
                 })
        , endpoint(this->server.listen({"127.0.0.1", 0}).value())
        , watch(this->context)
        , pool(this->context, this->watch, PoolLimits())
    {}

    /// Sends one request and reads its answer.
    CallResult<WholeAnswer> call()
    {
        std::optional<CallResult<WholeAnswer>> result;
        asio::co_spawn(
                this->context.get_executor(),
                [&]() -> Awaitable<void> {
                    result = co_await sendAndReadAnswer(
                            this->pool, this->endpoint, "GET /report HTTP/1.1\r\nHost: x\r\n\r\n",
                            {}, SteadyClock().now() + std::chrono::seconds(5), 1 << 20,
                            ConnectionUse::Any);
                },
                asio::detached);
        while (!result)
            this->context.run_one();
        return *result;
    }

    std::string bytes;
    asio::io_context context;
    fakes::FakeHttpServer server;
    Endpoint endpoint;
    DeadlineWatch watch;
    ConnectionPool pool;
};

} // namespace

// Guards against reports and answers to orders being refused because they have neither a length nor
// chunks.
TEST_CASE("a report or an answer to an order may end with its connection")
{
    SUBCASE("without a length or chunks")
    {
        RawServer server("HTTP/1.1 200 OK\r\n\r\n{\"busy\":false}");
        const CallResult<WholeAnswer> answer = server.call();
        REQUIRE(answer.has_value());
        CHECK(answer.value().body == "{\"busy\":false}");
        CHECK(server.call().has_value());
    }
    SUBCASE("an empty body")
    {
        RawServer server("HTTP/1.1 202 Accepted\r\n\r\n");
        const CallResult<WholeAnswer> answer = server.call();
        REQUIRE(answer.has_value());
        CHECK(answer.value().status == 202);
        CHECK(answer.value().body.empty());
    }
    SUBCASE("an answer that states a length still has to reach it")
    {
        RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"busy\":false}");
        const CallResult<WholeAnswer> answer = server.call();
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().failure == CallFailure::ConnectionLost);
    }
    SUBCASE("chunks without the last one are still incomplete")
    {
        RawServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n");
        const CallResult<WholeAnswer> answer = server.call();
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().failure == CallFailure::ConnectionLost);
    }
}

// Guards against an answer that comes once more on an idle connection, and that is taken for the
// answer to the next call.
TEST_CASE("a connection on which bytes arrived while it was idle is not used again")
{
    using namespace std::chrono_literals;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    DeadlineWatch watch(context);
    ConnectionPool pool(context, watch, PoolLimits());
    const std::string answer = "HTTP/1.1 503 Full\r\nX: 1\r\nContent-Length: 4\r\n\r\nfull";
    std::optional<CallResult<WholeAnswer>> result;
    asio::co_spawn(
            context,
            [&]() -> Awaitable<void> {
                result = co_await sendAndReadAnswer(pool, endpoint, "GET / HTTP/1.1\r\n\r\n", {},
                                                    SteadyClock().now() + 5s, 1 << 20,
                                                    ConnectionUse::Any);
            },
            asio::detached);
    context.run_for(20ms);
    asio::ip::tcp::socket peer = acceptor.accept();
    asio::write(peer, asio::buffer(answer));
    context.run_for(50ms);
    REQUIRE(result);
    REQUIRE(result->has_value());
    SUBCASE("and were read")
    {
        asio::write(peer, asio::buffer(answer));
        context.run_for(20ms);
        CHECK_FALSE(pool.takeIdle(endpoint).has_value());
    }
    SUBCASE("and were not read yet")
    {
        asio::write(peer, asio::buffer(answer));
        CHECK_FALSE(pool.takeIdle(endpoint).has_value());
    }
    SUBCASE("one that was quiet is used")
    {
        const std::optional<IdleConnection> taken = pool.takeIdle(endpoint);
        REQUIRE(taken);
        taken->stream->close();
    }
    context.run_for(20ms);
}

// Guards against a crash when a process, or a test, ends while connections with a time limit wait.
TEST_CASE("a connection may be destroyed after what watched its time limit")
{
    asio::io_context context;
    std::optional<DeadlineWatch> watch(std::in_place, context);
    std::optional<HttpStream> first(std::in_place, Socket(context), *watch, 1 << 10);
    std::optional<HttpStream> second(std::in_place, Socket(context), *watch, 1 << 10);
    first->expireAt(SteadyClock().now() + std::chrono::seconds(5));
    second->expireAt(SteadyClock().now() + std::chrono::seconds(5));
    SUBCASE("and of two at once, either first")
    {
        watch.reset();
        first.reset();
        second.reset();
    }
    SUBCASE("or before")
    {
        first.reset();
        watch.reset();
        second.reset();
    }
    CHECK_FALSE(first);
    CHECK_FALSE(second);
}
