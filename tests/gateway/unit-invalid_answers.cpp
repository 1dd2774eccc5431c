#include "relay_fixture.hpp"

#include <atomic>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

std::string answerWithStatusLine(const std::string &line)
{
    return line + "\r\ntest-id: {id}\r\ntest-signature: s\r\nContent-Length: 4\r\n\r\nbody";
}

/// An upstream that answers before it has read the request's body, without a length, and closes its
/// sending side in order; it resets the connection when it is told to.
class EarlyUpstream
{
public:
    EarlyUpstream()
        : acceptor(this->context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread([this] { this->serve(); })
    {}
    ~EarlyUpstream()
    {
        this->isOver = true;
        this->thread.join();
    }
    EarlyUpstream(const EarlyUpstream &) = delete;
    EarlyUpstream &operator=(const EarlyUpstream &) = delete;

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    void serve()
    {
        boost::system::error_code error;
        Tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        std::string head;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
        asio::write(socket,
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\npart")),
                    error);
        socket.shutdown(Tcp::socket::shutdown_send, error);
        while (!this->isOver)
            std::this_thread::sleep_for(10ms);
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

    asio::io_context context;
    Tcp::acceptor acceptor;
    std::atomic<bool> isOver{false};
    std::thread thread;
};

} // namespace

// Guards against answers of an upstream in trouble that reach the caller although their status or
// version is none.
TEST_CASE("an answer whose status line means nothing is a fault of the upstream")
{
    for (const char *line :
         {"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
          "HTTP/1.1 2000 Long", "HTTP/1.1 20 Short", "HTTP/1.1 -200 Negative", "HTTP/1.1 abc Text",
          "HTTP/1.1  ", "HTTP/1.1 101 Switching Protocols", "HTTP/9.1 200 OK", "HTTP/2.0 200 OK",
          "HTTP/1.7 200 OK", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK"}) {
        CAPTURE(line);
        ScriptedUpstream odd({Script{answerWithStatusLine(line)}});

        SUBCASE("the caller of a request that may run once is told that it may have run")
        {
            RelayFixture fixture({&odd});
            CHECK(containsText(fixture.call(request("/once/a", "body")), "HTTP/1.1 502 "));
        }
        SUBCASE("another upstream answers a request that may be repeated")
        {
            ScriptedUpstream sound({Script{answer(200, "sound")}});
            RelayFixture fixture({&odd, &sound});
            CHECK(containsText(fixture.call(request("/plain/a")), "sound"));
        }
        SUBCASE("also a stream that has not begun")
        {
            ScriptedUpstream sound({Script{streamAnswer("id: 1\ndata: a\n\n", true)}});
            RelayFixture fixture({&odd, &sound});
            CHECK(containsText(fixture.call(request("/stream/a")), "data: a"));
        }
    }
}

// Guards against informational answers without an end, which keep a call busy until its deadline.
TEST_CASE("an upstream that sends many informational answers is given up")
{
    Script script;
    for (int i = 0; i < 100; ++i)
        script.answer += "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    script.answer += answer(200, "late");
    ScriptedUpstream odd({script});
    RelayFixture fixture({&odd});
    CHECK(containsText(fixture.call(request("/once/a", "body")), "HTTP/1.1 502 "));
}

// Guards against the first part of an answer that is taken for all of it: its upstream has not read
// the request, and resets the connection.
TEST_CASE("an answer without a length to an upload that was not taken is not complete")
{
    EarlyUpstream upstream;
    // The gateway can write all of it, and the upstream's host can't take all of it.
    constexpr std::size_t uploadBytes = 1 << 20;
    RelayFixture fixture({});
    gateway::RegisteredUpstream registered;
    registered.id = UpstreamId("u0");
    registered.service = gateway::ServiceId("rooms");
    registered.endpoint = upstream.endpoint();
    registered.slots = 8;
    registered.softwareVersion = SoftwareVersion("v1");
    fixture.runOnLoop([&](gateway::Gateway &own) {
        own.table.applyRegistration(registered, SteadyClock().now());
    });
    const std::string got = fixture.call(request("/once/a", std::string(uploadBytes, 'u')));
    CHECK_FALSE(containsText(got, "HTTP/1.1 200"));
    CHECK(containsText(got, "HTTP/1.1 50"));
}
