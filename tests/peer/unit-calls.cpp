#include "peer/call_client.hpp"
#include "peer/call_server.hpp"
#include "peer/datagram_socket.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::peer;

namespace {

const Endpoint anyPort{"127.0.0.1", 0};
constexpr Duration longTimeout = std::chrono::seconds(30);

KeyRing parseKeyRing(const char *text = "1:00112233445566778899aabbccddeeff")
{
    return KeyRing::parse(text).value();
}

/// Runs the context until the condition holds; a hang ends at the test's time limit.
void runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    context.restart();
    while (!condition())
        REQUIRE(context.run_one() > 0);
}

struct Node
{
    Node(boost::asio::io_context &context, const std::string &name, const KeyRing &keys)
        : server(CallServer::open(context, anyPort, keys, this->inbound).value())
        , client(context, keys, CallingInstance{InstanceId(name), Incarnation(7)})
    {
        this->server->handle<Ping>([name](const CallingInstance &, Ping, const auto &reply) {
            reply(Pong{InstanceId(name), Incarnation(7)});
        });
        this->server->handle<DemandReport>(
                [this](const CallingInstance &callingInstance, DemandReport report, auto reply) {
                    this->callingInstances.push_back(callingInstance);
                    this->reports.push_back(std::move(report));
                    this->replies.push_back(std::move(reply));
                });
        this->server->handle<ConfigurationPartsRequest>([](const CallingInstance &,
                                                           const ConfigurationPartsRequest &request,
                                                           const auto &reply) {
            ConfigurationPartsAnswer answer;
            for (const PartPosition &part : request.parts)
                answer.chunks.push_back(PartChunk{part.hash, part.offset, maxChunkBytes,
                                                  std::string(maxChunkBytes, '\xfe')});
            reply(std::move(answer));
        });
        this->server->start();
    }

    Metrics metrics;
    InboundBudget inbound{InboundLimits{}, this->metrics};
    std::unique_ptr<CallServer> server;
    CallClient client;
    std::vector<CallingInstance> callingInstances;
    std::vector<DemandReport> reports;
    std::vector<CallServer::Reply<DemandAnswer>> replies;
};

DemandReport makeReport()
{
    DemandReport report;
    report.pool = PoolId("quito");
    report.demands.push_back(TargetDemand{Target{ModelId("lease@3"), AdapterId("es")}, 4,
                                          std::chrono::milliseconds(1500), 12});
    return report;
}

} // namespace

TEST_CASE("Instances call one another")
{
    boost::asio::io_context context;
    Node first(context, "first", parseKeyRing());
    Node second(context, "second", parseKeyRing());
    Node third(context, "third", parseKeyRing());

    SUBCASE("each of three instances can call each of them")
    {
        std::vector<std::string> answers;
        for (Node *from : {&first, &second, &third}) {
            for (Node *to : {&first, &second, &third}) {
                from->client.call(to->server->localEndpoint(), Ping{}, longTimeout,
                                  [&](const Result<Pong> &pong) {
                                      answers.push_back(pong.value().instance.value());
                                  });
            }
        }
        runUntil(context, [&] { return answers.size() == 9; });
        CHECK(std::count(answers.begin(), answers.end(), "second") == 3);
    }

    SUBCASE("a typed request arrives complete, with the authenticated identity of the calling "
            "instance")
    {
        std::optional<Result<DemandAnswer>> answer;
        first.client.call(second.server->localEndpoint(), makeReport(), longTimeout,
                          [&](Result<DemandAnswer> given) { answer = std::move(given); });
        runUntil(context, [&] { return !second.replies.empty(); });
        CHECK(second.reports.front() == makeReport());
        CHECK(second.callingInstances.front()
              == CallingInstance{InstanceId("first"), Incarnation(7)});

        SUBCASE("and can be answered later")
        {
            DemandAnswer expected;
            expected.outcome = ReportOutcome::NotOwner;
            expected.ownerHint = InstanceId("third");
            expected.fence = Fence(9);
            expected.refusals.push_back(DemandRefusal{Target{ModelId("lease@3"), AdapterId("es")},
                                                      ErrorKind::NoCapacity, "full \xc3\xa9",
                                                      std::chrono::seconds(4)});
            second.replies.front()(expected);
            runUntil(context, [&] { return answer.has_value(); });
            CHECK(answer->value() == expected);
        }
        SUBCASE("and an error answer keeps its kind, message, field and retry delay")
        {
            const Error expected = Error(ErrorKind::Draining, "stops", "pool")
                                           .withRetryAfter(std::chrono::seconds(3));
            second.replies.front()(expected);
            runUntil(context, [&] { return answer.has_value(); });
            CHECK(answer->error() == expected);
        }
        SUBCASE("and closing the server ends the call with an error whose field is \"sent\"")
        {
            second.server->close();
            runUntil(context, [&] { return answer.has_value(); });
            CHECK(answer->error().kind() == ErrorKind::PeerUnreachable);
            CHECK(answer->error().field() == "sent");
        }
    }

    SUBCASE("answers in reverse order reach their own requests, and a second answer is ignored")
    {
        std::vector<std::string> hints(2);
        for (std::size_t i = 0; i < hints.size(); ++i) {
            first.client.call(second.server->localEndpoint(), makeReport(), longTimeout,
                              [&, i](const Result<DemandAnswer> &given) {
                                  hints[i] = given.value().ownerHint.value();
                              });
        }
        runUntil(context, [&] { return second.replies.size() == 2; });
        DemandAnswer answer;
        answer.ownerHint = InstanceId("of the later");
        second.replies[1](answer);
        answer.ownerHint = InstanceId("of the earlier");
        second.replies[0](answer);
        second.replies[0](answer);
        runUntil(context, [&] { return !hints[0].empty() && !hints[1].empty(); });
        CHECK(hints[0] == "of the earlier");
        CHECK(hints[1] == "of the later");
    }

    SUBCASE("an unanswered call ends at its time-out, and a late answer is dropped")
    {
        std::optional<Result<DemandAnswer>> answer;
        first.client.call(second.server->localEndpoint(), makeReport(),
                          std::chrono::milliseconds(200),
                          [&](Result<DemandAnswer> given) { answer = std::move(given); });
        runUntil(context, [&] { return answer.has_value(); });
        CHECK(answer->error().kind() == ErrorKind::PeerUnreachable);
        CHECK(first.client.counts().timedOut == 1);
        for (const auto &reply : second.replies)
            reply(DemandAnswer{});
        std::optional<Result<Pong>> pong;
        first.client.call(second.server->localEndpoint(), Ping{}, longTimeout,
                          [&](Result<Pong> given) { pong = std::move(given); });
        runUntil(context, [&] { return pong.has_value(); });
        CHECK(pong->value().instance == InstanceId("second"));
    }

    SUBCASE("a call to a closed port is reported as not sent, and a later call connects again")
    {
        const Endpoint endpoint = third.server->localEndpoint();
        third.server->close();
        std::optional<Result<Pong>> pong;
        first.client.call(endpoint, Ping{}, longTimeout,
                          [&](Result<Pong> given) { pong = std::move(given); });
        CHECK_FALSE(pong.has_value());
        runUntil(context, [&] { return pong.has_value(); });
        CHECK(pong->error().field() == "not_sent");
        const auto again
                = CallServer::open(context, endpoint, parseKeyRing(), third.inbound).value();
        again->handle<Ping>([](const CallingInstance &, Ping, const auto &reply) {
            reply(Pong{InstanceId("again"), Incarnation(8)});
        });
        again->start();
        pong.reset();
        first.client.call(endpoint, Ping{}, longTimeout,
                          [&](Result<Pong> given) { pong = std::move(given); });
        runUntil(context, [&] { return pong.has_value(); });
        CHECK(pong->value().instance == InstanceId("again"));
    }

    SUBCASE("an answer of maxChunkBytes is delivered, one above the frame limit becomes an error")
    {
        ConfigurationPartsRequest request;
        request.parts.push_back(PartPosition{"abc", 5});
        std::optional<Result<ConfigurationPartsAnswer>> answer;
        const auto storeResult
                = [&](Result<ConfigurationPartsAnswer> given) { answer = std::move(given); };
        first.client.call(second.server->localEndpoint(), request, longTimeout, storeResult);
        runUntil(context, [&] { return answer.has_value(); });
        CHECK(answer->value().chunks.front().bytes == std::string(maxChunkBytes, '\xfe'));
        answer.reset();
        request.parts.push_back(PartPosition{"def", 0});
        first.client.call(second.server->localEndpoint(), request, longTimeout, storeResult);
        runUntil(context, [&] { return answer.has_value(); });
        CHECK(answer->error().kind() == ErrorKind::UpstreamOversized);
    }

    SUBCASE("a call of an unknown method is rejected with a protocol error")
    {
        std::optional<Result<OwnershipGivenUpAnswer>> answer;
        first.client.call(second.server->localEndpoint(), OwnershipGivenUpReport{}, longTimeout,
                          [&](Result<OwnershipGivenUpAnswer> given) { answer = std::move(given); });
        runUntil(context, [&] { return answer.has_value(); });
        CHECK(answer->error().kind() == ErrorKind::MalformedRequest);
    }
}

TEST_CASE("Calls are authenticated")
{
    boost::asio::io_context context;
    Node server(context, "server", parseKeyRing("1:00112233445566778899aabbccddeeff"));
    std::optional<Result<Pong>> pong;
    const auto storeResult = [&](Result<Pong> given) { pong = std::move(given); };
    const auto callWith = [&](const char *keys) {
        CallClient client(context, parseKeyRing(keys),
                          CallingInstance{InstanceId("client"), Incarnation(1)});
        client.call(server.server->localEndpoint(), Ping{}, longTimeout, storeResult);
        runUntil(context, [&] { return pong.has_value(); });
    };

    SUBCASE("a different secret under the same identifier is rejected before the call is sent")
    {
        callWith("1:ffffffffffffffffffffffffffffffff");
        CHECK(pong->error().kind() == ErrorKind::PeerUnauthenticated);
        CHECK(pong->error().field() == "not_sent");
        CHECK(server.server->counts().calls == 0);
    }
    SUBCASE("during a rotation either key is accepted")
    {
        server.server->replaceKeys(parseKeyRing(
                "2:22222222222222222222222222222222,1:00112233445566778899aabbccddeeff"));
        callWith("1:00112233445566778899aabbccddeeff,2:22222222222222222222222222222222");
        CHECK(pong->has_value());
    }
    SUBCASE("invalid bytes end the connection and are counted, and the server keeps serving")
    {
        using Tcp = boost::asio::ip::tcp;
        const Endpoint to = server.server->localEndpoint();
        for (const std::string &bytes :
             {std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
              std::string("BCC1") + std::string(16, 'n') + std::string("\xff\xff\xff\xff", 4),
              std::string("BCC1") + std::string(16, 'n') + std::string("\0\0\0\x01x", 5),
              std::string("BCC1") + std::string(16, 'n') + std::string("\0\0\0\x20", 4)
                      + std::string(32, '\x01')}) {
            Tcp::socket socket(context);
            socket.connect(Tcp::endpoint(boost::asio::ip::make_address(to.address), to.port));
            boost::asio::write(socket, boost::asio::buffer(bytes));
            const CallServerCounts before = server.server->counts();
            runUntil(context, [&] {
                const CallServerCounts now = server.server->counts();
                return now.malformed + now.oversized + now.unauthenticated
                       > before.malformed + before.oversized + before.unauthenticated;
            });
        }
        CHECK(server.server->counts().malformed == 2);
        CHECK(server.server->counts().oversized == 1);
        CHECK(server.server->counts().unauthenticated == 1);
        callWith("1:00112233445566778899aabbccddeeff");
        CHECK(pong->has_value());
    }
}

TEST_CASE("The datagram socket")
{
    boost::asio::io_context context;
    const auto first = DatagramSocket::open(context, anyPort).value();
    const auto second = DatagramSocket::open(context, anyPort).value();
    std::vector<std::string> received;
    std::vector<Endpoint> sources;
    std::vector<Endpoint> refused;
    first->start([](std::string_view, const Endpoint &) {},
                 [&](const Endpoint &endpoint) { refused.push_back(endpoint); });
    second->start(
            [&](std::string_view bytes, const Endpoint &source) {
                received.emplace_back(bytes);
                sources.push_back(source);
            },
            [](const Endpoint &) {});

    SUBCASE("delivers datagrams with their source")
    {
        first->send(second->localEndpoint(), "hello");
        runUntil(context, [&] { return !received.empty(); });
        CHECK(received.front() == "hello");
        CHECK(sources.front() == first->localEndpoint());
    }
    SUBCASE("reports an endpoint at which no process listens, and keeps sending")
    {
        const auto closed = DatagramSocket::open(context, anyPort).value();
        const Endpoint endpoint = closed->localEndpoint();
        closed->close();
        first->send(endpoint, "to nobody");
        runUntil(context, [&] { return !refused.empty(); });
        CHECK(refused.front() == endpoint);
        first->send(endpoint, "to nobody again");
        first->send(second->localEndpoint(), "to somebody");
        runUntil(context, [&] { return refused.size() == 2 && !received.empty(); });
        CHECK(received.front() == "to somebody");
    }
    SUBCASE("truncates an oversized datagram to more than the limit, so that it can be detected")
    {
        first->send(second->localEndpoint(), std::string(5000, 'x'));
        runUntil(context, [&] { return !received.empty(); });
        CHECK(received.front().size() > 1400);
    }
    SUBCASE("rejects an invalid listen address")
    {
        const auto failed = DatagramSocket::open(context, Endpoint{"nowhere", 1});
        REQUIRE_FALSE(failed.has_value());
        CHECK(failed.error().kind() == ErrorKind::SettingInvalid);
    }
}
