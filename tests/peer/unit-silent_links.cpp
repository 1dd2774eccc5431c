#include "peer/call_client.hpp"
#include "peer/call_server.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::peer;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// Passes the bytes of connections on to a server, until all present ones fall silent for good.
class SilencingProxy
{
public:
    SilencingProxy(asio::io_context &context, Endpoint server)
        : context(context)
        , server(std::move(server))
        , acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->accept();
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    void silence()
    {
        for (const auto &pair : this->pairs)
            pair->isSilent = true;
    }

    std::size_t connections() const { return this->pairs.size(); }

private:
    struct Pair
    {
        explicit Pair(asio::io_context &context)
            : near(context)
            , far(context)
        {}

        Tcp::socket near;
        Tcp::socket far;
        std::array<std::array<char, 4096>, 2> buffers{};
        bool isSilent = false;
    };

    void accept()
    {
        auto pair = std::make_shared<Pair>(this->context);
        this->acceptor.async_accept(pair->near, [this, pair](boost::system::error_code error) {
            if (error)
                return;
            pair->far.connect({asio::ip::make_address(this->server.address), this->server.port});
            this->pairs.push_back(pair);
            pass(pair, 0);
            pass(pair, 1);
            this->accept();
        });
    }

    static void pass(const std::shared_ptr<Pair> &pair, std::size_t direction)
    {
        Tcp::socket &from = direction == 0 ? pair->near : pair->far;
        from.async_read_some(
                asio::buffer(pair->buffers.at(direction)),
                [pair, direction](boost::system::error_code error, std::size_t size) {
                    if (error || pair->isSilent)
                        return;
                    Tcp::socket &to = direction == 0 ? pair->far : pair->near;
                    asio::write(to, asio::buffer(pair->buffers.at(direction).data(), size), error);
                    if (!error)
                        pass(pair, direction);
                });
    }

    asio::io_context &context;
    Endpoint server;
    Tcp::acceptor acceptor;
    std::vector<std::shared_ptr<Pair>> pairs;
};

struct SilentPeerFixture
{
    SilentPeerFixture()
    {
        this->server->handle<Ping>([](const CallingInstance &, Ping, const auto &reply) {
            reply(Pong{InstanceId("i2"), Incarnation(1)});
        });
        this->server->handle<UsageReport>(
                [this](const CallingInstance &, const UsageReport &, const auto &reply) {
                    this->held.push_back(reply);
                });
        this->server->start();
    }

    template<typename Message>
    void call(const Message &message, Duration timeout, std::vector<bool> &answers)
    {
        this->client.call(this->proxy.endpoint(), message, timeout,
                          [&answers](const Result<typename Message::Response> &answer) {
                              answers.push_back(answer.has_value());
                          });
    }

    void runUntilSize(const std::vector<bool> &answers, std::size_t size)
    {
        while (answers.size() < size)
            this->context.run_one();
    }

    Metrics metrics;
    InboundBudget inbound{InboundLimits{}, this->metrics};
    asio::io_context context;
    KeyRing keys = KeyRing::parse("1:00112233445566778899aabbccddeeff").value();
    std::unique_ptr<CallServer> server
            = CallServer::open(this->context, Endpoint{"127.0.0.1", 0}, this->keys, this->inbound)
                      .value();
    std::vector<CallServer::Reply<UsageAnswer>> held;
    SilencingProxy proxy{this->context, this->server->localEndpoint()};
    CallClient client{this->context, this->keys, CallingInstance{InstanceId("i1"), Incarnation(7)}};
};

} // namespace

// Guards against calls to another instance that all time out on the same connection, which fell
// silent for good.
TEST_CASE("to other instances: a call after one on a silent connection uses a new one")
{
    SilentPeerFixture fixture;
    std::vector<bool> answers;
    fixture.call(Ping{}, 5s, answers);
    fixture.runUntilSize(answers, 1);
    REQUIRE(answers.front());
    fixture.proxy.silence();
    fixture.call(Ping{}, 100ms, answers);
    fixture.call(Ping{}, 150ms, answers);
    fixture.runUntilSize(answers, 2);
    fixture.call(Ping{}, 1s, answers);
    fixture.runUntilSize(answers, 4);
    CHECK(std::count(answers.begin(), answers.end(), true) == 2);
    CHECK(fixture.proxy.connections() == 2);
}

TEST_CASE("to other instances: a call that is answered late leaves its connection to the others")
{
    SilentPeerFixture fixture;
    std::vector<bool> late;
    std::vector<bool> answers;
    fixture.call(Ping{}, 5s, answers);
    fixture.runUntilSize(answers, 1);
    fixture.call(UsageReport{PoolId("p"), {}}, 100ms, late);
    fixture.call(Ping{}, 5s, answers);
    fixture.runUntilSize(late, 1);
    // The late answer belongs to no call by the time it arrives.
    REQUIRE(fixture.held.size() == 1);
    fixture.held.front()(UsageAnswer{});
    fixture.call(Ping{}, 5s, answers);
    fixture.runUntilSize(answers, 3);
    CHECK(late == std::vector<bool>{false});
    CHECK(answers == std::vector<bool>{true, true, true});
    CHECK(fixture.proxy.connections() == 1);
}
