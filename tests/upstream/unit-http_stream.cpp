#include "upstream/http_stream.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::upstream;
using namespace std::chrono_literals;

namespace {

/// Two ends of a connection on one event loop.
struct Connection
{
    asio::io_context loop;
    DeadlineWatch watch{this->loop};
    asio::ip::tcp::socket peer{this->loop};
    HttpStreamPointer stream;
    std::optional<StreamStatus> status;

    Connection()
    {
        asio::ip::tcp::acceptor acceptor(this->loop, {asio::ip::make_address("127.0.0.1"), 0});
        this->peer.connect(acceptor.local_endpoint());
        Socket socket(this->loop);
        acceptor.accept(socket);
        this->stream = std::make_shared<HttpStream>(std::move(socket), this->watch, 4096);
    }

    /// Waits for bytes under a time limit that has passed when the loop looks for the first time.
    void readUntilExpired()
    {
        asio::co_spawn(this->loop, this->read(), asio::detached);
        this->loop.poll();
        this->stream->expireAt(SteadyClock().now());
        std::this_thread::sleep_for(2 * DeadlineWatch::tickInterval);
    }

    Awaitable<void> read()
    {
        this->status = co_await this->stream->readMore();
        this->stream->neverExpire();
    }

    /// Runs the loop, also when it had nothing left to do before.
    void run(Duration duration)
    {
        this->loop.restart();
        this->loop.run_for(duration);
    }

    void send(std::string_view text)
    {
        asio::write(this->peer, asio::buffer(text.data(), text.size()));
    }
};

} // namespace

// Guards against a connection that is closed by a former time limit, with a request on it, because
// a longer one was set just when the former one had passed.
TEST_CASE("a read goes on under a time limit that is set when the former one has just passed")
{
    Connection connection;
    connection.readUntilExpired();
    // The limit passes, but the loop has not ended the read yet.
    connection.loop.poll_one();
    REQUIRE(connection.stream->isExpired());
    REQUIRE_FALSE(connection.status);
    SUBCASE("bytes have arrived")
    {
        connection.send("GET");
        connection.stream->expireAt(SteadyClock().now() + 1s);
        connection.loop.run_for(2s);
        CHECK(connection.status == StreamStatus::Ok);
        CHECK(connection.stream->unread() == "GET");
    }
    SUBCASE("bytes arrive later")
    {
        connection.stream->expireAt(SteadyClock().now() + 1s);
        connection.loop.poll();
        CHECK_FALSE(connection.status);
        connection.send("GET");
        connection.loop.run_for(2s);
        CHECK(connection.status == StreamStatus::Ok);
    }
    SUBCASE("the new limit passes as well")
    {
        connection.stream->expireAt(SteadyClock().now());
        connection.loop.run_for(2s);
        CHECK(connection.status == StreamStatus::Expired);
    }
}

TEST_CASE("a read ends with its time limit")
{
    Connection connection;
    connection.readUntilExpired();
    connection.loop.run_for(2s);
    CHECK(connection.status == StreamStatus::Expired);
    CHECK(connection.stream->isOpen());
}

TEST_CASE("a peer that resets its connection is noticed although its bytes are not read")
{
    Connection connection;
    bool hasClosed = false;
    connection.send("bytes that nobody reads");
    connection.stream->setPeerClosedHandler([&hasClosed] { hasClosed = true; });
    connection.stream->readAhead();
    connection.run(50ms);
    CHECK_FALSE(hasClosed);

    SUBCASE("also after a time limit")
    {
        connection.stream->expireAt(SteadyClock().now());
        connection.run(4 * DeadlineWatch::tickInterval);
        CHECK_FALSE(hasClosed);
    }
    SUBCASE("and not taken for one that sends urgent data")
    {
        connection.peer.send(asio::buffer("!", 1), asio::socket_base::message_out_of_band);
        connection.run(50ms);
        CHECK_FALSE(hasClosed);
        connection.stream->readAhead();
    }
    connection.peer.set_option(asio::socket_base::linger(true, 0));
    connection.peer.close();
    connection.run(2s);
    CHECK(hasClosed);
    CHECK(connection.stream->isPeerClosed());
    CHECK_FALSE(connection.stream->isClosedInOrder());
}

// Guards against a crash at the end of a process, or of a test, whose event loop still holds
// waiting calls.
TEST_CASE("a stream with a time limit may be destroyed after its deadline watch")
{
    asio::io_context loop;
    auto watch = std::make_unique<DeadlineWatch>(loop);
    const auto first = std::make_shared<HttpStream>(Socket(loop), *watch, 4096);
    auto second = std::make_shared<HttpStream>(Socket(loop), *watch, 4096);
    first->expireAt(SteadyClock().now() + 1s);
    second->expireAt(SteadyClock().now() + 1s);
    watch.reset();
    second.reset();
    first->neverExpire();
    CHECK_FALSE(first->isExpired());
}
