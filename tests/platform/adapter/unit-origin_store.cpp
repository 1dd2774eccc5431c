#include "origin_store.hpp"

#include "platform/base64.hpp"

#include <deque>
#include <mutex>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;
using gateway::StreamOrigin;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

StreamOrigin makeOrigin(const std::string &request, const std::string &version,
                        std::uint32_t correction = 0)
{
    return {RequestId(request), gateway::ServiceId("drafting"), SoftwareVersion(version),
            correction};
}

/// A store that grants leases and keeps what is written, or answers with a scripted status.
class FakeStore
{
public:
    FakeStore()
        : thread([this] { this->serve(); })
    {}
    ~FakeStore()
    {
        this->isStopping = true;
        boost::system::error_code ignored;
        Tcp::socket waking(this->context);
        waking.connect(this->acceptor.local_endpoint(), ignored);
        waking.close(ignored);
        this->thread.join();
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    /// Keys in the order of their writes, and values by key.
    std::mutex mutex;
    std::vector<std::string> writes;
    std::map<std::string, std::string> values;
    std::vector<std::uint64_t> leasesOfWrites;
    int grantedLeases = 0;
    int era = 1;
    /// Status of the next commits, which have no effect; 200 when there is none left.
    std::deque<int> statuses;
    /// Items on a page of a list.
    std::size_t pageSize = 2;

private:
    void serve()
    {
        while (!this->isStopping) {
            boost::system::error_code error;
            Tcp::socket socket(this->context);
            this->acceptor.accept(socket, error);
            std::string text;
            const std::size_t head
                    = asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
            if (error || this->isStopping)
                continue;
            std::size_t length = 0;
            if (const auto at = text.find("Content-Length: "); at != std::string::npos)
                length = std::stoul(text.substr(at + 16));
            asio::read(socket, asio::dynamic_buffer(text),
                       asio::transfer_exactly(head + length - std::min(text.size(), head + length)),
                       error);
            const std::lock_guard lock(this->mutex);
            const auto [status, body] = this->answer(text.substr(0, head), text.substr(head));
            const std::string reply
                    = fmt::format("HTTP/1.1 {} Status\r\nConnection: close\r\nStore-Era: {}\r\n"
                                  "Content-Length: {}\r\n\r\n{}",
                                  status, this->era, body.size(), body);
            asio::write(socket, asio::buffer(reply), error);
        }
    }

    std::pair<int, std::string> answer(const std::string &head, const std::string &body)
    {
        if (head.starts_with("POST /kv-lease"))
            return {200, fmt::format(R"({{"lease":{},"ttl_ms":90000}})", ++this->grantedLeases)};
        if (head.starts_with("POST /kv-txn"))
            return this->commit(nlohmann::json::parse(body));
        return {200, this->page(head)};
    }

    std::pair<int, std::string> commit(const nlohmann::json &body)
    {
        const auto &put = body.at("puts").at(0);
        this->writes.push_back(put.at("key"));
        if (!this->statuses.empty()) {
            const int status = this->statuses.front();
            this->statuses.pop_front();
            return {status, "{}"};
        }
        this->values[put.at("key")] = platform::decodeBase64(std::string(put.at("value"))).value();
        this->leasesOfWrites.push_back(put.at("lease"));
        return {200, R"({"revision":7})"};
    }

    std::string page(const std::string &head) const
    {
        const std::size_t at = head.find("after=");
        const std::string after
                = at == std::string::npos ? "" : head.substr(at + 6, head.find(' ', at) - at - 6);
        nlohmann::json items = nlohmann::json::array();
        bool hasMore = false;
        for (const auto &[key, value] : this->values) {
            // The keys of the test hold no characters that a query escapes but slashes.
            if (!after.empty() && key.substr(key.find('/') + 1) <= after.substr(after.size() - 1))
                continue;
            hasMore = items.size() == this->pageSize;
            if (hasMore)
                break;
            items.push_back({{"key", key},
                             {"value", platform::encodeBase64(value)},
                             {"revision", 5},
                             {"lease", 1}});
        }
        return nlohmann::json{{"items", items}, {"more_pages", hasMore}, {"current_rev", 9}}.dump();
    }

    asio::io_context context;
    Tcp::acceptor acceptor{context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::atomic<bool> isStopping{false};
    std::thread thread;
};

struct OriginFixture
{
    explicit OriginFixture(FakeStore &fakeStore)
        : client(loop)
        , store(client, fakeStore.endpoint(), metrics)
        , origins(loop, store, metrics, [this] { return this->isOwner; }, 1,
                  {.writeInterval = 1ms, .retryDelay = 1ms})
    {
        origins.onStored
                = [this](const gateway::OriginReceipt &receipt) { stored.push_back(receipt); };
        origins.onOrigin = [this](const StreamOrigin &origin) { read.record(origin, TimePoint()); };
        origins.onRead = [this] { isRead = true; };
        store.onEraChanged = [this] { origins.handleStoreEra(); };
    }

    void receive(std::uint64_t number, const std::vector<StreamOrigin> &batch)
    {
        origins.receive(sender, {gateway::OriginBatchNumber(number), batch});
    }

    /// Runs the loop until a condition holds, or two seconds have passed.
    template<typename Condition>
    bool runUntil(const Condition &holds)
    {
        for (int i = 0; i < 400 && !holds(); ++i)
            loop.run_for(5ms);
        return holds();
    }

    const Endpoint sender{"10.0.0.2", 7380};
    asio::io_context loop{1};
    Metrics metrics;
    HttpClient client;
    StoreClient store;
    bool isOwner = true;
    OriginStore origins;
    std::vector<gateway::OriginReceipt> stored;
    gateway::StreamOrigins read;
    bool isRead = false;
};

} // namespace

TEST_CASE("a segment of origins is restored from its encoding")
{
    const std::vector<StreamOrigin> origins{makeOrigin("r1", "v1"), makeOrigin("r3", "v1"),
                                            makeOrigin("r2", "v2"), makeOrigin("r1", "v2", 1)};
    CHECK(decodeOrigins(encodeOrigins(origins)).value() == origins);
    CHECK(decodeOrigins(encodeOrigins({})).value().empty());
    CHECK(decodeOrigins(encodeOrigins({makeOrigin("r\xff", "v1"), makeOrigin("r2", "v1")})).value()
          == std::vector{makeOrigin("r2", "v1")});

    SUBCASE("a value of another form is an error")
    {
        const std::string deep = std::string(100000, '[') + std::string(100000, ']');
        for (const std::string &value :
             {std::string(), std::string("[]"), std::string("{\"groups\":3}"),
              std::string("{\"groups\":[3]}"), std::string("{\"groups\":[{\"service\":\"a\"}]}"),
              std::string(R"({"groups":[{"service":"a","version":"b","requests":[1]}]})"),
              std::string(R"({"groups":[{"service":"a","version":"b","correction":4294967296,)"
                          R"("requests":["r"]}]})"),
              std::string("{\"groups\":[\"\xff\"]}"), deep, "{\"groups\":" + deep + "}"})
            CHECK(decodeOrigins(value).error().kind() == ErrorKind::MalformedJson);
    }
}

// Guards against streams that can't be taken up after an end of all instances beside a release,
// because only these remembered which version had begun them.
TEST_CASE("a new instance knows the origins that were stored before it started")
{
    FakeStore fakeStore;
    {
        OriginFixture owner(fakeStore);
        owner.origins.start();
        REQUIRE(owner.runUntil([&] { return owner.isRead; }));
        owner.receive(7, {makeOrigin("r1", "v1"), makeOrigin("r2", "v2")});
        owner.receive(8, {makeOrigin("r3", "v1")});
        REQUIRE(owner.runUntil([&] { return owner.stored.size() == 2; }));
        CHECK(owner.stored
              == std::vector<gateway::OriginReceipt>{
                      {owner.sender, gateway::OriginBatchNumber(7)},
                      {owner.sender, gateway::OriginBatchNumber(8)}});
        const std::lock_guard lock(fakeStore.mutex);
        CHECK(fakeStore.writes.size() == 1);
        CHECK(fakeStore.leasesOfWrites == std::vector<std::uint64_t>{1});
    }
    {
        const std::lock_guard lock(fakeStore.mutex);
        const std::string value = fakeStore.values.begin()->second;
        // Several pages, of which one has a key that was written otherwise.
        fakeStore.values = {
                {"bamboochute-origins/a", encodeOrigins({makeOrigin("r1", "v2", 1)})},
                {"bamboochute-origins/b", "?"},
                {"bamboochute-origins/c", value},
                {"bamboochute-origins/d", encodeOrigins({makeOrigin("r4", "v2")})},
                {"bamboochute-origins/e", encodeOrigins({makeOrigin("r5", "v2")})},
        };
    }
    OriginFixture fresh(fakeStore);
    fresh.origins.start();
    REQUIRE(fresh.runUntil([&] { return fresh.isRead; }));
    CHECK(fresh.read.find(RequestId("r2")) == makeOrigin("r2", "v2"));
    CHECK(fresh.read.find(RequestId("r3")) == makeOrigin("r3", "v1"));
    CHECK(fresh.read.find(RequestId("r5")) == makeOrigin("r5", "v2"));
    CHECK(fresh.read.find(RequestId("r1")) == makeOrigin("r1", "v2", 1));
    CHECK(fresh.read.size() == 5);
}

// Guards against an instance that answers nobody while it takes over the stored origins of a
// release.
TEST_CASE("thousands of stored origins are taken over in several turns of the event loop")
{
    FakeStore fakeStore;
    std::vector<StreamOrigin> many;
    many.reserve(5000);
    for (int i = 0; i < 5000; ++i)
        many.push_back(makeOrigin("request-" + std::to_string(i), "v1"));
    fakeStore.values = {{"bamboochute-origins/a", encodeOrigins(many)}};
    OriginFixture fresh(fakeStore);
    std::size_t mostInOneTurn = 0;
    std::size_t inThisTurn = 0;
    fresh.origins.onOrigin = [&](const StreamOrigin &) { ++inThisTurn; };
    fresh.origins.start();
    const TimePoint giveUpAt = SteadyClock().now() + 5s;
    while (!fresh.isRead && SteadyClock().now() < giveUpAt) {
        inThisTurn = 0;
        fresh.loop.run_one_for(10ms);
        mostInOneTurn = std::max(mostInOneTurn, inThisTurn);
    }
    CHECK(fresh.isRead);
    CHECK(mostInOneTurn > 0);
    CHECK(mostInOneTurn <= 250);
}

TEST_CASE("the owner acknowledges origins only when the store holds them")
{
    FakeStore fakeStore;
    OriginFixture owner(fakeStore);
    owner.origins.start();
    REQUIRE(owner.runUntil([&] { return owner.isRead; }));

    SUBCASE("a write that failed is repeated under its key")
    {
        fakeStore.statuses = {503, 429, 500};
        owner.receive(7, {makeOrigin("r1", "v1")});
        REQUIRE(owner.runUntil([&] { return owner.stored.size() == 1; }));
        const std::lock_guard lock(fakeStore.mutex);
        REQUIRE(fakeStore.writes.size() == 4);
        CHECK(fakeStore.writes.front() == fakeStore.writes.back());
        CHECK(fakeStore.grantedLeases == 1);
    }
    SUBCASE("a lease that has ended is replaced")
    {
        fakeStore.statuses = {404};
        owner.receive(7, {makeOrigin("r1", "v1")});
        REQUIRE(owner.runUntil([&] { return owner.stored.size() == 1; }));
        const std::lock_guard lock(fakeStore.mutex);
        CHECK(fakeStore.leasesOfWrites == std::vector<std::uint64_t>{2});
    }
    SUBCASE("what was written in a former era is not acknowledged, and its lease not used again")
    {
        owner.receive(7, {makeOrigin("r1", "v1")});
        REQUIRE(owner.runUntil([&] { return owner.stored.size() == 1; }));
        {
            const std::lock_guard lock(fakeStore.mutex);
            fakeStore.era = 2;
        }
        owner.receive(8, {makeOrigin("r2", "v1")});
        REQUIRE(owner.runUntil([&] { return owner.store.era() == StoreEra(2); }));
        owner.loop.run_for(20ms);
        CHECK(owner.stored.size() == 1);
        owner.receive(8, {makeOrigin("r2", "v1")});
        REQUIRE(owner.runUntil([&] { return owner.stored.size() == 2; }));
        const std::lock_guard lock(fakeStore.mutex);
        CHECK(fakeStore.leasesOfWrites == std::vector<std::uint64_t>{1, 1, 2});
    }
    SUBCASE("an instance that is not the owner writes and acknowledges nothing")
    {
        owner.isOwner = false;
        owner.receive(7, {makeOrigin("r1", "v1")});
        owner.loop.run_for(20ms);
        CHECK(owner.stored.empty());
        CHECK(fakeStore.writes.empty());
    }
}
