#include "engine_calls.hpp"
#include "silent_server.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <thread>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// An engine that counts what it gets, and an owner's connection to it.
struct OrderFixture
{
    OrderFixture()
    {
        upstream.id = UpstreamId("engine");
        upstream.endpoint = engine.endpoint();
    }

    residency::OrderAnswer sendOrder()
    {
        const residency::EnginePort port = makeEnginePort(
                client, [](const auto &, const auto &) {}, [this] { return mayOrder; });
        std::optional<residency::OrderAnswer> answer;
        asio::co_spawn(
                loop,
                [&]() -> upstream::Awaitable<void> {
                    residency::EngineOrder load;
                    load.target.model = ModelId("m");
                    answer = co_await port.order(upstream, load);
                },
                asio::detached);
        if (onConnecting)
            onConnecting();
        while (!answer)
            loop.run_one();
        return *answer;
    }

    asio::io_context loop{1};
    int received = 0;
    SilentServer engine{loop, [this](const std::string &) {
                            ++received;
                            return std::string("{}");
                        }};
    HttpClient client{loop};
    gateway::RegisteredUpstream upstream;
    bool mayOrder = true;
    /// Called while the connection for the order is opened.
    std::function<void()> onConnecting;
};

} // namespace

// Guards against an owner that was paused, or waited for a connection, and then sends an order for
// which its lease has run out.
TEST_CASE("an order is not sent if the ownership has ended while its connection was opened")
{
    OrderFixture fixture;
    CHECK(fixture.sendOrder() != residency::OrderAnswer::NotSent);
    REQUIRE(fixture.received == 1);
    fixture.onConnecting = [&fixture] {
        fixture.loop.run_one();
        fixture.loop.run_one();
        fixture.mayOrder = false;
    };
    CHECK(fixture.sendOrder() == residency::OrderAnswer::NotSent);
    CHECK(fixture.received == 1);
}

// Guards against calls that a paused process sends after their time.
TEST_CASE("a call is not sent if the process was paused past its deadline while it connected")
{
    OrderFixture fixture;
    std::optional<bool> isAnythingWritten;
    ClientCall call;
    call.target = "/report";
    call.timeout = 30ms;
    asio::co_spawn(
            fixture.loop,
            [&]() -> upstream::Awaitable<void> {
                const auto answer = co_await fixture.client.call(fixture.engine.endpoint(), call);
                isAnythingWritten = answer || answer.error().isAnythingWritten;
            },
            asio::detached);
    // The engine begins to accept, and the call to connect.
    fixture.loop.run_one();
    fixture.loop.run_one();
    // What a pause of the process looks like to it.
    std::this_thread::sleep_for(40ms);
    while (!isAnythingWritten)
        fixture.loop.run_one();
    CHECK_FALSE(*isAnythingWritten);
    CHECK(fixture.received == 0);
}
