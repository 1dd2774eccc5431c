#include "silent_server.hpp"
#include "store_client.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace bamboochute;
using namespace bamboochute::adapter;

namespace {

namespace asio = boost::asio;

/// A store that answers every call with status 200 and the same body.
struct MalformedStore
{
    template<typename Call>
    auto run(const Call &call)
    {
        std::optional<typename decltype(call())::value_type> result;
        asio::co_spawn(
                this->loop, [&]() -> upstream::Awaitable<void> { result = co_await call(); },
                asio::detached);
        while (!result)
            this->loop.run_one();
        return *result;
    }

    Result<StorePage> list(const std::string &answer)
    {
        this->body = answer;
        return this->run([this] { return this->store.list("op/", ""); });
    }

    Result<bool> renew(const std::string &answer)
    {
        this->body = answer;
        return this->run([this] { return this->store.renewLease(StoreLease(7)); });
    }

    std::uint64_t malformed()
    {
        return this->metrics
                .counter("bamboochute_store_answers_ignored_total", "reason=\"malformed\"")
                .value();
    }

    asio::io_context loop{1};
    std::string body;
    SilentServer server{this->loop, [this](const std::string &) { return this->body; }};
    Metrics metrics;
    HttpClient client{this->loop};
    StoreClient store{this->client, this->server.endpoint(), this->metrics};
};

/// A store that sends the same bytes on each connection and then ends it.
class CutStore
{
public:
    CutStore() { asio::co_spawn(this->loop, this->serve(), asio::detached); }

    /// @param isReset whether the connection is reset
    Result<StorePage> list(const std::string &bytes, bool isReset)
    {
        this->answer = bytes;
        this->resets = isReset;
        std::optional<Result<StorePage>> result;
        asio::co_spawn(
                this->loop,
                [&]() -> upstream::Awaitable<void> {
                    result = co_await this->store.list("op/", "");
                },
                asio::detached);
        while (!result)
            this->loop.run_one();
        return *result;
    }

    int connections = 0;

private:
    using Tcp = asio::ip::tcp;

    asio::awaitable<void> serve()
    {
        boost::system::error_code error;
        const auto token = [&error] { return asio::redirect_error(asio::use_awaitable, error); };
        while (true) {
            Tcp::socket socket(this->loop);
            co_await this->acceptor.async_accept(socket, token());
            ++this->connections;
            std::string received;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                            token());
            co_await asio::async_write(socket, asio::buffer(this->answer), token());
            if (this->resets)
                socket.set_option(asio::socket_base::linger(true, 0), error);
            // The destructor would end it in order all the same.
            socket.close(error);
        }
    }

    asio::io_context loop{1};
    std::string answer;
    bool resets = false;
    Tcp::acceptor acceptor{this->loop, {asio::ip::make_address("127.0.0.1"), 0}};
    Metrics metrics;
    HttpClient client{this->loop};
    StoreClient store{
            this->client, {"127.0.0.1", this->acceptor.local_endpoint().port()}, this->metrics};
};

} // namespace

// Guards against an answer of the store that breaks off being taken for a list, such as an empty
// one where a length of fewer digits was read.
TEST_CASE("a list of the store that ends within its head or its body is none")
{
    CutStore store;
    const std::string body = R"({"items":[],"more_pages":false,"current_rev":7})";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size());
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
                                + fmt::format("{:x}\r\n", body.size()) + body + "\r\n";
    REQUIRE(store.list(head + length + "\r\n\r\n" + body, false));
    REQUIRE(store.list(chunked + "0\r\n\r\n", false));
    const int before = store.connections;
    int cuts = 0;
    const std::vector<std::string> cutAnswers{std::string(),
                                              std::string("HTTP/1.1 2"),
                                              std::string("HTTP/1.1 200"),
                                              head,
                                              head + "Content-Le",
                                              head + length.substr(0, length.size() - 1),
                                              head + length,
                                              head + length + "\r\n",
                                              head + length + "\r\n\r",
                                              head + length + "\r\n\r\n",
                                              head + length + "1\r\n\r\n" + body,
                                              head + "Transfer-Encoding: chunked\r\n",
                                              std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                                              "HTTP/1.1 100 Continue\r\n\r\n" + head,
                                              chunked,
                                              chunked + "0",
                                              chunked + "0\r\n",
                                              chunked + "0\r\nChecksum: 1"};
    for (const bool isReset : {false, true}) {
        for (const std::string &bytes : cutAnswers) {
            CAPTURE(isReset);
            CAPTURE(bytes);
            CHECK_FALSE(store.list(bytes, isReset));
            ++cuts;
        }
    }
    // Without a length the body ends with the connection, if that is not reset.
    CHECK_FALSE(store.list(head + "\r\n" + body, true));
    CHECK(store.connections > before + cuts);
}

// Guards against registrations and a configuration that count as removed because an answer lacks
// its items.
TEST_CASE("a list of the store without items is malformed")
{
    MalformedStore store;
    REQUIRE(store.list(R"({"items":[],"more_pages":false,"current_rev":7})"));
    REQUIRE(store.malformed() == 0);
    for (const char *items : {"", R"("items":null,)", R"("items":{},)", R"("items":0,)"}) {
        CAPTURE(items);
        CHECK_FALSE(
                store.list(std::string("{") + items + R"("more_pages":false,"current_rev":7})"));
    }
    CHECK(store.malformed() == 4);
}

// Guards against an owner that goes on although its lease was not renewed.
TEST_CASE("a renewal whose answer is malformed or names another lease is of unknown outcome")
{
    MalformedStore store;
    REQUIRE(store.renew("{}"));
    REQUIRE(store.renew(R"({"lease":7,"ttl_ms":5000})"));
    for (const char *answer : {"x", "[]", "null", R"({"lease":8})", R"({"lease":"7"})",
                               R"({"lease":7.5})", R"({"ttl_ms":0})", R"({"ttl_ms":-1})"}) {
        CAPTURE(answer);
        const Result<bool> renewed = store.renew(answer);
        REQUIRE_FALSE(renewed);
        CHECK(renewed.error().kind() == ErrorKind::KeyValueOutcomeUnknown);
    }
}
