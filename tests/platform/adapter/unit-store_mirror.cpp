#include "call_headers.hpp"
#include "platform/base64.hpp"
#include "registrations.hpp"
#include "store_mirror.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <deque>
#include <limits>
#include <mutex>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

struct Reply
{
    int status = 200;
    std::string body = {};
    /// The store takes the call and never answers.
    bool isSilent = false;
    /// Time before the answer.
    Duration delay{};
    /// Further header lines, each ending with CRLF.
    std::string headers = {};
    /// Number of equal parts in which the answer is sent.
    std::size_t parts = 1;
    /// Pause after each part but the last.
    Duration pause{};
    /// Number of parts that are sent before the connection falls silent.
    std::size_t sentParts = std::numeric_limits<std::size_t>::max();
};

/// HTTP server that answers each call with the next scripted reply, one connection per call, and
/// with 503 when no reply is left.
class ScriptedStore
{
public:
    explicit ScriptedStore(std::deque<Reply> replies)
        : replies(std::move(replies))
        , thread([this] { this->serve(); })
    {}

    ~ScriptedStore()
    {
        this->isStopping = true;
        boost::system::error_code ignored;
        Tcp::socket wakingSocket(this->context);
        wakingSocket.connect(this->acceptor.local_endpoint(), ignored);
        wakingSocket.close(ignored);
        this->thread.join();
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    std::vector<std::string> targets()
    {
        const std::lock_guard lock(this->mutex);
        return this->seenTargets;
    }

private:
    void serve()
    {
        while (!this->isStopping) {
            boost::system::error_code error;
            Tcp::socket socket(this->context);
            this->acceptor.accept(socket, error);
            std::string head;
            asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
            if (error || this->isStopping)
                continue;
            readBody(socket, head);
            std::unique_lock lock(this->mutex);
            const std::size_t begin = head.find(' ') + 1;
            this->seenTargets.push_back(head.substr(begin, head.find(' ', begin) - begin));
            Reply reply{503, {}};
            if (!this->replies.empty()) {
                reply = this->replies.front();
                this->replies.pop_front();
            }
            lock.unlock();
            if (reply.isSilent) {
                this->silentSockets.push_back(std::move(socket));
                continue;
            }
            const std::string text
                    = fmt::format("HTTP/1.1 {} Status\r\nConnection: close\r\n"
                                  "{}Content-Length: {}\r\n\r\n{}",
                                  reply.status, reply.headers, reply.body.size(), reply.body);
            std::this_thread::sleep_for(reply.delay);
            writeInParts(socket, text, reply);
            if (reply.sentParts < reply.parts)
                this->silentSockets.push_back(std::move(socket));
        }
    }

    static void readBody(Tcp::socket &socket, std::string head)
    {
        constexpr std::string_view name = "Content-Length: ";
        const std::size_t field = head.find(name);
        if (field == std::string::npos)
            return;
        const std::size_t size
                = std::stoul(head.substr(field + name.size())) + head.find("\r\n\r\n") + 4;
        boost::system::error_code error;
        if (head.size() < size)
            asio::read(socket, asio::dynamic_buffer(head),
                       asio::transfer_exactly(size - head.size()), error);
    }

    static void writeInParts(Tcp::socket &socket, std::string_view text, const Reply &reply)
    {
        boost::system::error_code error;
        const std::size_t size = text.size() / reply.parts + 1;
        for (std::size_t part = 0; part < std::min(reply.parts, reply.sentParts) && !error;
             ++part) {
            if (part > 0)
                std::this_thread::sleep_for(reply.pause);
            asio::write(socket, asio::buffer(text.substr(std::min(part * size, text.size()), size)),
                        error);
        }
    }

    asio::io_context context;
    Tcp::acceptor acceptor{context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::deque<Reply> replies;
    std::vector<Tcp::socket> silentSockets;
    std::mutex mutex;
    std::vector<std::string> seenTargets;
    std::atomic<bool> isStopping{false};
    std::thread thread;
};

std::string item(const std::string &key, const std::string &value, int revision)
{
    return fmt::format(R"({{"key":"{}","value":"{}","revision":{},"created":1,"lease":0}})", key,
                       platform::encodeBase64(value), revision);
}

std::string removal(const std::string &key, int revision)
{
    return fmt::format(R"({{"key":"{}","revision":{},"tombstone":true}})", key, revision);
}

Reply page(const std::string &items, bool hasMore, int current)
{
    return {.body = fmt::format(R"({{"items":[{}],"more_pages":{},"current_rev":{}}})", items,
                                hasMore, current)};
}

Reply changes(const std::string &events, int current)
{
    return {.body = fmt::format(R"({{"events":[{}],"current_rev":{}}})", events, current)};
}

/// An answer of the store in one of its eras.
Reply inEra(int era, Reply reply)
{
    reply.headers = fmt::format("Store-Era: {}\r\n", era);
    return reply;
}

/// A mirror whose handlers record the current items and the removals.
struct MirrorFixture
{
    explicit MirrorFixture(ScriptedStore &scriptedStore, MirrorSettings settings = {})
        : client(loop)
        , store(client, scriptedStore.endpoint(), metrics)
        , mirror(loop, store, "servers/", settings)
    {
        mirror.onPut = [this](const StoreItem &put, bool) {
            items[put.key] = put.value;
            return true;
        };
        mirror.onRemoved = [this](const std::string &key, bool isDoubtful) {
            items.erase(key);
            removed.emplace_back(key, isDoubtful);
        };
        mirror.start();
    }

    /// Runs the loop until the store has received this number of calls and the answers are handled.
    void runUntil(ScriptedStore &scriptedStore, std::size_t calls)
    {
        while (scriptedStore.targets().size() < calls)
            loop.run_one_for(10ms);
        loop.run_for(20ms);
    }

    asio::io_context loop{1};
    Metrics metrics;
    HttpClient client;
    StoreClient store;
    StoreMirror mirror;
    std::map<std::string, std::string> items;
    std::vector<std::pair<std::string, bool>> removed;
};

} // namespace

TEST_CASE("a change between two pages of a list is returned by the following watch")
{
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), true, 10),
                                 page(item("servers/b", "1", 6), false, 12),
                                 changes(item("servers/a", "2", 11), 12)});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 3);
    const auto targets = scriptedStore.targets();
    CHECK(targets[0] == "/kv-range?path_prefix=servers/");
    CHECK(targets[1] == "/kv-range?path_prefix=servers/&after=servers/a");
    CHECK(targets[2].starts_with("/kv-watch?path_prefix=servers/&after=10&"));
    CHECK(fixture.items
          == std::map<std::string, std::string>{{"servers/a", "2"}, {"servers/b", "1"}});
}

TEST_CASE("an older state of a key is never applied")
{
    ScriptedStore scriptedStore({page(item("servers/a", "new", 9), false, 10),
                                 changes(item("servers/a", "old", 7), 11)});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 2);
    CHECK(fixture.items["servers/a"] == "new");
}

TEST_CASE("when the history is gone, a list detects removed keys, and their removal is certain")
{
    ScriptedStore scriptedStore(
            {page(item("servers/a", "1", 5) + "," + item("servers/b", "1", 6), false, 10),
             {410, "{}"},
             page(item("servers/b", "1", 6), false, 20)});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 3);
    CHECK(fixture.items.size() == 1);
    REQUIRE(fixture.removed.size() == 1);
    CHECK(fixture.removed[0] == std::pair<std::string, bool>("servers/a", false));
}

// Guards against requests to an upstream that has left, because one call to the store failed for a
// moment, in which no registration of a living upstream expires.
TEST_CASE("what vanishes during an outage is doubtful only if a living upstream's entry can expire")
{
    ScriptedStore scriptedStore(
            {page(item("servers/a", "1", 5) + "," + item("servers/b", "1", 6), false, 10),
             {503, "{}"},
             changes(removal("servers/a", 11), 11),
             {.body = changes(removal("servers/b", 12), 12).body, .delay = 60ms}});
    MirrorSettings settings;
    settings.contact.returnTime = 30ms;

    SUBCASE("after a long outage its removals are doubtful, and later ones certain")
    {
        settings.contact.minOutage = 40ms;
        MirrorFixture fixture(scriptedStore, settings);
        fixture.runUntil(scriptedStore, 4);
        fixture.loop.run_for(80ms);
        REQUIRE(fixture.removed.size() == 2);
        CHECK(fixture.removed[0] == std::pair<std::string, bool>("servers/a", true));
        CHECK(fixture.removed[1] == std::pair<std::string, bool>("servers/b", false));
    }
    SUBCASE("after a short outage all are certain")
    {
        settings.contact.minOutage = shortestExpiringOutage(1200ms);
        MirrorFixture fixture(scriptedStore, settings);
        fixture.runUntil(scriptedStore, 4);
        fixture.loop.run_for(80ms);
        REQUIRE(fixture.removed.size() == 2);
        CHECK(fixture.removed[0] == std::pair<std::string, bool>("servers/a", false));
        CHECK(fixture.removed[1] == std::pair<std::string, bool>("servers/b", false));
    }
}

// Guards against an instance that misses a change for longer than allowed because the store took a
// watch and never answered it, as one does that falls silent for a moment.
TEST_CASE("a change is seen in time although the store never answers one call")
{
    constexpr Duration bound = 2000ms;
    MirrorSettings settings;
    settings.watchTime = watchTimeWithin(bound);
    std::deque<Reply> replies{page(item("servers/a", "1", 5), false, 10)};
    std::size_t calls = 2;
    SUBCASE("the first one") {}
    SUBCASE("the last one of an outage, after refused ones")
    {
        for (int i = 0; i < 5; ++i)
            replies.push_back({503, "{}"});
        calls += 5;
    }
    replies.push_back(Reply{.isSilent = true});
    replies.push_back(changes(item("servers/a", "2", 12), 12));
    ScriptedStore scriptedStore(replies);
    MirrorFixture fixture(scriptedStore, settings);
    while (scriptedStore.targets().size() < calls)
        fixture.loop.run_one_for(10ms);
    const TimePoint changedAt = SteadyClock().now();
    while (fixture.items["servers/a"] != "2" && SteadyClock().now() < changedAt + 2 * bound)
        fixture.loop.run_one_for(10ms);
    const Duration missedFor = SteadyClock().now() - changedAt;
    fixture.mirror.stop();
    fixture.loop.run_for(20ms);
    CHECK(missedFor < bound);
}

// Guards against a removal that counts as doubtful, and so for seconds not at all, although the
// store had long been back.
TEST_CASE("the first watch after an outage is short, so that what vanishes later is certain")
{
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), false, 10),
                                 {503, "{}"},
                                 changes("", 10),
                                 changes(removal("servers/a", 11), 11)});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 4);
    const auto targets = scriptedStore.targets();
    const auto waitOf = [](const std::string &target) {
        return std::stoi(target.substr(target.find("wait_ms=") + 8));
    };
    CHECK(waitOf(targets[2]) <= 100);
    CHECK(waitOf(targets[3]) > 100);
    REQUIRE(fixture.removed.size() == 1);
    CHECK_FALSE(fixture.removed[0].second);
}

// Guards against a large configuration that never comes into force, because the call that reads it
// ends while the answer arrives over a slow or busy link, and is begun anew again and again.
TEST_CASE("an answer that takes longer than the call's timeout is read as long as its bytes come")
{
    const std::string large(200'000, 'x');
    Reply first = page(item("servers/a", "1", 5), false, 10);
    Reply slow = changes(item("servers/a", large, 11), 11);
    slow.parts = 13;
    slow.pause = 100ms;
    const Duration timeout = MirrorSettings().shortWatchTime + storeWatchMargin;
    REQUIRE(slow.pause * static_cast<int>(slow.parts - 1) >= 2 * timeout);

    SUBCASE("a watch")
    {
        ScriptedStore scriptedStore({first, slow});
        MirrorFixture fixture(scriptedStore, {.watchTime = MirrorSettings().shortWatchTime});
        fixture.runUntil(scriptedStore, 3);
        CHECK(fixture.items["servers/a"] == large);
        SUBCASE("what it tells is as old as its first bytes")
        {
            CHECK(fixture.mirror.age() >= 2 * timeout);
        }
    }
    SUBCASE("a list")
    {
        slow.body = page(item("servers/a", large, 11), false, 11).body;
        ScriptedStore scriptedStore({slow});
        MirrorFixture fixture(scriptedStore);
        fixture.runUntil(scriptedStore, 2);
        CHECK(fixture.items["servers/a"] == large);
    }
    SUBCASE("one whose bytes cease is given up")
    {
        slow.sentParts = 3;
        ScriptedStore scriptedStore({first, slow, changes(item("servers/a", "3", 12), 12)});
        MirrorFixture fixture(scriptedStore, {.watchTime = MirrorSettings().shortWatchTime});
        const TimePoint begin = SteadyClock().now();
        fixture.runUntil(scriptedStore, 3);
        CHECK(fixture.items["servers/a"] == "3");
        CHECK(SteadyClock().now() - begin < 2000ms);
    }
}

// Guards against an instance that follows no changes for seconds, because the store's answer of a
// few bytes never ends, though a byte of it comes now and then.
TEST_CASE("a short answer that arrives byte by byte is given up as soon as one that ceases")
{
    const Reply first = page(item("servers/a", "1", 5), false, 10);
    Reply trickling = changes(item("servers/a", "2", 11), 11);
    trickling.parts = 100;
    trickling.pause = 40ms;
    ScriptedStore scriptedStore({first, trickling, changes(item("servers/a", "3", 12), 12)});
    MirrorFixture fixture(scriptedStore, {.watchTime = MirrorSettings().shortWatchTime});
    const TimePoint begin = SteadyClock().now();
    fixture.runUntil(scriptedStore, 3);
    CHECK(SteadyClock().now() - begin < 2000ms);
    CHECK(fixture.items["servers/a"] == "3");
}

// Guards against a large configuration that can't be kept in the store, because the call that
// writes it ends before all of it is sent over a slow link.
TEST_CASE("a call that writes a large value has the time that its size needs")
{
    ScriptedStore scriptedStore({{.body = R"({"revision":7})", .delay = 1200ms}});
    asio::io_context loop{1};
    Metrics metrics;
    HttpClient client(loop);
    StoreClient store(client, scriptedStore.endpoint(), metrics);
    const auto isWritten = [&](std::size_t size) {
        std::optional<bool> result;
        asio::co_spawn(
                loop,
                [&]() -> upstream::Awaitable<void> {
                    std::vector<StorePut> puts{{"a", std::string(size, 'x'), StoreLease()}};
                    const auto commit = co_await store.commit({}, std::move(puts));
                    result = commit && commit.value().revision == StoreRevision(7);
                },
                asio::detached);
        while (!result)
            loop.run_one();
        return *result;
    };
    SUBCASE("a large one")
    {
        CHECK(isWritten(700'000));
    }
    SUBCASE("a small one is given up as before")
    {
        CHECK_FALSE(isWritten(10));
    }
}

// Guards against an owner that reports its progress as newer than it is, so that the other
// instances rely on it for too long.
TEST_CASE("the time of a delay between two watches counts for the age of what is known")
{
    MirrorSettings settings;
    settings.batchDelay = 300ms;
    ScriptedStore scriptedStore(
            {page(item("servers/a", "1", 5), false, 10), changes(item("servers/a", "2", 12), 12)});
    MirrorFixture fixture(scriptedStore, settings);
    fixture.runUntil(scriptedStore, 3);
    CHECK(fixture.items["servers/a"] == "2");
    CHECK(fixture.mirror.age() >= 300ms);
}

// Guards against the same for a list, which is as old as its first page.
TEST_CASE("a list is as old as its first page")
{
    Reply slowPage = page(item("servers/b", "1", 6), false, 10);
    slowPage.delay = 300ms;
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), true, 10), slowPage});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 3);
    CHECK(fixture.items.size() == 2);
    CHECK(fixture.mirror.age() >= 300ms);
}

TEST_CASE("a list older than the known state is ignored")
{
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), false, 10),
                                 changes(item("servers/a", "2", 15), 15),
                                 {410, "{}"},
                                 page("", false, 12),
                                 page(item("servers/a", "2", 15), false, 15)});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 5);
    CHECK(fixture.items["servers/a"] == "2");
    CHECK(fixture.removed.empty());
}

TEST_CASE("an invalid answer changes nothing and the call is repeated")
{
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), false, 10),
                                 {200, R"({"events":[{"key":"servers/a"}],"current_rev":11})"},
                                 {200, "no JSON"},
                                 changes(item("servers/a", "2", 12), 12)});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 4);
    CHECK(fixture.items["servers/a"] == "2");
}

TEST_CASE("the mirror makes no calls while a peer's progress report is valid")
{
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), false, 10), changes("", 10),
                                 changes(item("servers/a", "2", 14), 14)});
    MirrorFixture fixture(scriptedStore);
    fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(10), StoreRevision(10), 0ms, 1h);
    fixture.runUntil(scriptedStore, 1);
    fixture.loop.run_for(50ms);
    CHECK(scriptedStore.targets().size() == 1);

    SUBCASE("a reported change that the mirror lacks makes it call the store")
    {
        fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(14), StoreRevision(14), 0ms,
                                          1h);
        fixture.runUntil(scriptedStore, 3);
        CHECK(fixture.items["servers/a"] == "2");
        CHECK(fixture.mirror.lastChange() == StoreRevision(14));
    }
}

// Guards against requests to an upstream that has left, for as long as it serves: its entry was
// removed while the owner's process was being started again, and the others took the new process's
// word that nothing had changed.
TEST_CASE(
        "what was removed before another instance listed the store is not missed by relying on it")
{
    const std::string both = item("servers/a", "1", 5) + "," + item("servers/b", "1", 6);
    ScriptedStore store({page(both, false, 10), changes(removal("servers/a", 12), 17)});
    MirrorFixture fixture(store);
    fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(10), StoreRevision(10), 0ms, 1h);
    fixture.runUntil(store, 1);
    REQUIRE(store.targets().size() == 1);
    std::deque<Reply> replies{page(item("servers/b", "1", 6), false, 15)};
    std::optional<StoreRevision> previous;
    const auto run = [&](std::size_t calls) {
        ScriptedStore otherStore(replies);
        MirrorFixture other(otherStore);
        other.mirror.onRelevantChange = [&previous](const StoreChange &, StoreRevision before,
                                                    bool) { previous = before; };
        other.runUntil(otherStore, calls);
        fixture.mirror.acceptPeerProgress(StoreEra(), other.mirror.lastChange(),
                                          other.mirror.seenUpTo(), 0ms, 1h);
    };

    SUBCASE("the other one has just started")
    {
        run(1);
    }
    SUBCASE("it lists anew after the store has dropped its history")
    {
        replies.push_front({410, "{}"});
        replies.push_front(page(item("servers/b", "1", 6), false, 8));
        run(3);
    }
    SUBCASE("it has just started and forwards the next change")
    {
        replies.push_back(changes(item("servers/b", "2", 17), 17));
        run(2);
        REQUIRE(previous);
        const StoreItem next{"servers/b", "2", StoreRevision(17), {}};
        fixture.mirror.applyForwardedChange({next, false}, StoreEra(), *previous);
    }
    fixture.loop.run_for(100ms);
    CHECK_FALSE(fixture.items.contains("servers/a"));
    REQUIRE(fixture.removed.size() == 1);
    CHECK(fixture.removed[0] == std::pair<std::string, bool>("servers/a", false));
}

// Guards against a mirror that counts as cut off for as long as it relies on the owner: it makes no
// call that could end this, so that upstreams that have left stay in use.
TEST_CASE("a failed call counts no more once another instance has followed the store further")
{
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), false, 10),
                                 {503, "{}"},
                                 changes(removal("servers/a", 18), 18)});
    MirrorSettings settings;
    settings.minRetryDelay = 300ms;
    MirrorFixture fixture(scriptedStore, settings);
    fixture.runUntil(scriptedStore, 2);
    REQUIRE_FALSE(fixture.mirror.isStoreReachable());
    const auto accept = [&fixture](int lastChange, Duration age) {
        fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(lastChange), StoreRevision(15),
                                          age, 1h);
    };

    SUBCASE("the progress is later than the failure")
    {
        accept(10, 0ms);
        CHECK(fixture.mirror.isStoreReachable());
        CHECK(scriptedStore.targets().size() == 2);
        SUBCASE("what the next call of its own shows as gone is gone")
        {
            accept(18, 0ms);
            fixture.runUntil(scriptedStore, 3);
            REQUIRE(fixture.removed.size() == 1);
            CHECK_FALSE(fixture.removed[0].second);
        }
    }
    SUBCASE("progress from before the failure says nothing of it")
    {
        accept(10, 200ms);
        CHECK_FALSE(fixture.mirror.isStoreReachable());
    }
    SUBCASE("progress with a change that the mirror lacks needs a call of its own")
    {
        accept(18, 0ms);
        CHECK_FALSE(fixture.mirror.isStoreReachable());
    }
}

TEST_CASE("forwarded changes are applied without a call to the store")
{
    ScriptedStore scriptedStore(
            {page(item("servers/a", "1", 5), false, 10), changes(item("servers/a", "4", 30), 30)});
    MirrorFixture fixture(scriptedStore);
    fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(10), StoreRevision(10), 0ms, 1h);
    fixture.runUntil(scriptedStore, 1);
    const auto put = [](const std::string &value, std::uint64_t revision) {
        return StoreChange{{"servers/a", value, StoreRevision(revision), {}}, false};
    };
    fixture.mirror.applyForwardedChange(put("2", 14), StoreEra(), StoreRevision(5));
    CHECK(fixture.items["servers/a"] == "2");
    fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(14), StoreRevision(18), 0ms, 1h);
    CHECK(fixture.mirror.seenUpTo() == StoreRevision(18));
    fixture.loop.run_for(50ms);
    CHECK(scriptedStore.targets().size() == 1);

    SUBCASE("a change whose predecessor was lost is ignored, and the store is called")
    {
        fixture.mirror.applyForwardedChange(put("4", 30), StoreEra(), StoreRevision(22));
        CHECK(fixture.items["servers/a"] == "2");
        fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(30), StoreRevision(31), 0ms,
                                          1h);
        fixture.runUntil(scriptedStore, 2);
        CHECK(fixture.items["servers/a"] == "4");
    }
    SUBCASE("a change older than the current state is ignored")
    {
        fixture.mirror.applyForwardedChange(put("1", 12), StoreEra(), StoreRevision(5));
        CHECK(fixture.items["servers/a"] == "2");
    }
}

// Guards against the doubt of an owner whose way to the store was cut, which it forwards to
// instances that nothing disturbs: they went on using upstreams that had left.
TEST_CASE("a forwarded removal is judged by what the receiver knows of the store")
{
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), false, 10), {503, "{}"}});
    MirrorSettings settings;
    settings.minRetryDelay = 1h;
    settings.contact.minOutage = 40ms;
    MirrorFixture fixture(scriptedStore, settings);
    const auto forwardRemoval = [&fixture] {
        fixture.mirror.applyForwardedChange(
                StoreChange{{"servers/a", {}, StoreRevision(20), {}}, true}, StoreEra(),
                StoreRevision(10));
        REQUIRE(fixture.removed.size() == 1);
        return fixture.removed[0].second;
    };

    SUBCASE("it is certain at an instance whose calls were answered")
    {
        fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(10), StoreRevision(10), 0ms,
                                          1h);
        fixture.runUntil(scriptedStore, 1);
        CHECK_FALSE(forwardRemoval());
    }
    SUBCASE("it is doubtful where the store was not known to answer for long")
    {
        fixture.runUntil(scriptedStore, 2);
        fixture.loop.run_for(60ms);
        CHECK(forwardRemoval());
    }
    SUBCASE("it is certain if the store has answered another instance meanwhile")
    {
        fixture.runUntil(scriptedStore, 2);
        fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(10), StoreRevision(10), 0ms,
                                          1h);
        CHECK_FALSE(forwardRemoval());
    }
}

TEST_CASE("changes that share a revision are not forwarded, so each instance calls the store")
{
    const std::string threeItems = item("servers/a", "1", 5) + "," + item("servers/b", "1", 6) + ","
                                   + item("servers/c", "1", 7);
    std::vector<std::string> forwardedKeys;
    const auto recordForwardedKeys = [&forwardedKeys](MirrorFixture &fixture) {
        fixture.mirror.onRelevantChange
                = [&forwardedKeys](const StoreChange &change, StoreRevision, bool) {
                      forwardedKeys.push_back(change.item.key);
                  };
    };

    SUBCASE("removals detected by a list share the list's revision")
    {
        ScriptedStore scriptedStore({page(threeItems, false, 10),
                                     {410, "{}"},
                                     page(item("servers/c", "1", 7), false, 20)});
        MirrorFixture fixture(scriptedStore);
        recordForwardedKeys(fixture);
        fixture.runUntil(scriptedStore, 3);
        CHECK(fixture.removed.size() == 2);
        CHECK(forwardedKeys.empty());
        CHECK(fixture.mirror.lastChange() == StoreRevision(20));
    }
    SUBCASE("changes of one transaction share a revision; a later change is forwarded")
    {
        ScriptedStore scriptedStore(
                {page(threeItems, false, 10),
                 changes(item("servers/a", "2", 12) + "," + item("servers/b", "2", 12) + ","
                                 + item("servers/c", "2", 13),
                         13)});
        MirrorFixture fixture(scriptedStore);
        recordForwardedKeys(fixture);
        fixture.runUntil(scriptedStore, 2);
        CHECK(fixture.items["servers/b"] == "2");
        CHECK(forwardedKeys == std::vector<std::string>{"servers/c"});
    }
}

// Guards against a change that is dropped after the store came back from a copy, because its
// revision is below those from before.
TEST_CASE("changes of a later era of the store are applied, whatever their revisions")
{
    const Reply known = inEra(1, page(item("servers/a", "1", 90), false, 100));
    SUBCASE("read by a list after the history is gone")
    {
        ScriptedStore scriptedStore({known, inEra(2, {410, "{}"}),
                                     inEra(2, page(item("servers/a", "2", 41), false, 41)),
                                     Reply{.isSilent = true}});
        MirrorFixture fixture(scriptedStore);
        fixture.runUntil(scriptedStore, 4);
        CHECK(fixture.items["servers/a"] == "2");
        CHECK(fixture.mirror.isStoreReachable());
        CHECK(fixture.mirror.seenUpTo() == StoreRevision(41));
    }
    SUBCASE("read by the watch that follows such a list")
    {
        ScriptedStore scriptedStore({known, inEra(2, {410, "{}"}),
                                     inEra(2, page(item("servers/a", "1", 39), false, 40)),
                                     inEra(2, changes(item("servers/a", "2", 45), 45))});
        MirrorFixture fixture(scriptedStore);
        fixture.runUntil(scriptedStore, 4);
        CHECK(fixture.items["servers/a"] == "2");
    }
    SUBCASE("also when the revisions have passed the former ones, so that the watch goes on")
    {
        // The change at revision 95 was given out twice; the watch from 100 doesn't return it.
        ScriptedStore scriptedStore(
                {known, inEra(2, changes(item("servers/b", "1", 101), 101)),
                 inEra(2, page(item("servers/a", "2", 95) + "," + item("servers/b", "1", 101),
                               false, 101))});
        MirrorFixture fixture(scriptedStore);
        fixture.runUntil(scriptedStore, 3);
        CHECK(fixture.items["servers/a"] == "2");
        CHECK(fixture.items["servers/b"] == "1");
    }
    SUBCASE("also when the era changes between two pages of a list")
    {
        ScriptedStore scriptedStore(
                {inEra(1, page(item("servers/a", "1", 90), true, 100)),
                 inEra(2, page(item("servers/b", "2", 41), false, 41)),
                 inEra(2, page(item("servers/a", "2", 42) + "," + item("servers/b", "2", 41), false,
                               42))});
        MirrorFixture fixture(scriptedStore);
        fixture.runUntil(scriptedStore, 3);
        CHECK(fixture.items["servers/a"] == "2");
    }
}

// Guards against an answer from before the step back that arrives after it and counts as newer.
TEST_CASE("an answer of an earlier era is not applied")
{
    ScriptedStore scriptedStore({inEra(2, page(item("servers/a", "new", 41), false, 41)),
                                 inEra(1, changes(item("servers/a", "old", 95), 100)),
                                 inEra(2, changes("", 41))});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 3);
    CHECK(fixture.items["servers/a"] == "new");
    CHECK(fixture.mirror.seenUpTo() == StoreRevision(41));
}

// Guards against upstreams that are dropped because the store's copy is older than their
// registration.
TEST_CASE("what the first list of a later era lacks is removed doubtfully, and comes back")
{
    const std::string both = item("servers/a", "1", 90) + "," + item("servers/b", "1", 91);
    ScriptedStore scriptedStore({inEra(1, page(both, false, 100)), inEra(2, {410, "{}"}),
                                 inEra(2, page(item("servers/a", "1", 30), false, 40)),
                                 inEra(2, changes(item("servers/b", "1", 41), 41)),
                                 inEra(2, changes(removal("servers/a", 42), 42))});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 5);
    CHECK(fixture.items.contains("servers/b"));
    REQUIRE(fixture.removed.size() == 2);
    CHECK(fixture.removed[0] == std::pair<std::string, bool>("servers/b", true));
    CHECK(fixture.removed[1] == std::pair<std::string, bool>("servers/a", true));
}

TEST_CASE("an era that is no number changes nothing")
{
    Reply invalid = changes(item("servers/a", "2", 101), 101);
    invalid.headers = "Store-Era: next\r\n";
    ScriptedStore scriptedStore({inEra(1, page(item("servers/a", "1", 90), false, 100)),
                                 std::move(invalid),
                                 inEra(1, changes(item("servers/a", "3", 102), 102))});
    MirrorFixture fixture(scriptedStore);
    fixture.runUntil(scriptedStore, 3);
    CHECK(fixture.items["servers/a"] == "3");
    CHECK(scriptedStore.targets()[2].starts_with("/kv-watch"));
}

// Guards against an instance that relies on what the owner saw in another era of the store.
TEST_CASE("what another instance has seen counts within one era of the store only")
{
    ScriptedStore scriptedStore({inEra(2, page(item("servers/a", "1", 30), false, 40)),
                                 inEra(3, page(item("servers/a", "3", 12), false, 20))});
    MirrorFixture fixture(scriptedStore);
    fixture.mirror.acceptPeerProgress(StoreEra(2), StoreRevision(40), StoreRevision(40), 0ms, 1h);
    fixture.runUntil(scriptedStore, 1);
    const auto put = [](const std::string &value, std::uint64_t revision) {
        return StoreChange{{"servers/a", value, StoreRevision(revision), {}}, false};
    };

    SUBCASE("progress of an earlier era, or without one, is not relied on")
    {
        fixture.mirror.acceptPeerProgress(StoreEra(1), StoreRevision(90), StoreRevision(90), 0ms,
                                          1h);
        fixture.mirror.acceptPeerProgress(StoreEra(), StoreRevision(90), StoreRevision(90), 0ms,
                                          1h);
        CHECK(fixture.mirror.seenUpTo() == StoreRevision(40));
    }
    SUBCASE("progress of a later era makes it list all keys")
    {
        fixture.mirror.acceptPeerProgress(StoreEra(3), StoreRevision(20), StoreRevision(20), 0ms,
                                          1h);
        fixture.runUntil(scriptedStore, 2);
        CHECK(scriptedStore.targets()[1].starts_with("/kv-range"));
    }
    SUBCASE("a forwarded change of another era is ignored")
    {
        fixture.mirror.applyForwardedChange(put("old", 95), StoreEra(1), StoreRevision(30));
        fixture.mirror.applyForwardedChange(put("later", 95), StoreEra(3), StoreRevision(30));
        CHECK(fixture.items["servers/a"] == "1");
        fixture.mirror.applyForwardedChange(put("2", 41), StoreEra(2), StoreRevision(30));
        CHECK(fixture.items["servers/a"] == "2");
    }
}

namespace {

std::string registration(int heartbeat)
{
    return fmt::format(
            R"({{"service":"chat","address":"10.0.0.9:8080","zone":"norte","version":"v1","slots":4,)"
            R"("state":"ready","sequence":{},"born":1700000000000}})",
            heartbeat);
}

/// Entries of another writer, none of which names an upstream.
std::vector<std::string> oddRegistrations()
{
    const auto with = [](const std::string &from, const std::string &to) {
        std::string text = registration(1);
        return text.replace(text.find(from), from.size(), to);
    };
    std::string models = R"("models":[)";
    while (models.size() < 900'000)
        models += R"({"name":"m1","adapters":["a1"]},)";
    models.back() = ']';
    return {"",
            "\xff\xfe\x01",
            std::string(100'000, '[') + std::string(100'000, ']'),
            with("\"slots\":4", "\"slots\":1e400"),
            with("\"slots\":4", "\"slots\":18446744073709551616"),
            with("\"slots\":4", "\"slots\":-1"),
            with("8080", "99999999999"),
            with("\"v1\"", "\"\xc3\x28\""),
            with("\"slots\":4", "\"slots\":4," + models)};
}

/// A gateway whose upstreams are those of the mirror.
struct RegistrationFixture : MirrorFixture
{
    explicit RegistrationFixture(ScriptedStore &scriptedStore)
        : MirrorFixture(scriptedStore)
    {
        mirror.onPut = [this](const StoreItem &put, bool isRestored) {
            isRelevant.push_back(registrations.put(put, isRestored));
            isUsed.push_back(this->has("a"));
            return isRelevant.back();
        };
        mirror.onRemoved = [this](const std::string &key, bool isDoubtful) {
            registrations.remove(key, isDoubtful);
        };
    }

    bool has(const char *id) const { return gateway.table.find(UpstreamId(id)) != nullptr; }

    gateway::Gateway gateway{loop, {}, makeCallCodec(), metrics};
    Registrations registrations{gateway};
    /// For each value: whether other instances need it, and whether the upstream "a" is used then.
    std::vector<bool> isRelevant;
    std::vector<bool> isUsed;
};

} // namespace

// Guards against an odd entry of another writer that ends an instance, keeps it from following the
// others, or is used.
TEST_CASE("one odd registration names no upstream, and the others hold and are followed")
{
    SUBCASE("in the first list of an instance, and in a later page")
    {
        for (const std::string &odd : oddRegistrations()) {
            CAPTURE(odd.substr(0, 200));
            ScriptedStore scriptedStore(
                    {page(item("servers/a", registration(1), 5) + "," + item("servers/b", odd, 6),
                          true, 10),
                     page(item("servers/c", odd, 7) + "," + item("servers/d", registration(1), 8),
                          false, 10),
                     changes(item("servers/b", odd, 11) + "," + removal("servers/a", 12) + ","
                                     + item("servers/e", registration(1), 13),
                             13)});
            RegistrationFixture fixture(scriptedStore);
            fixture.runUntil(scriptedStore, 4);
            CHECK(fixture.isUsed == std::vector<bool>{true, true, true, true, true, false});
            CHECK_FALSE(fixture.has("b"));
            CHECK_FALSE(fixture.has("c"));
            CHECK(fixture.has("d"));
            CHECK_FALSE(fixture.has("a"));
            CHECK(fixture.has("e"));
        }
    }
    SUBCASE("one that becomes odd is removed, and is back when it is sound again")
    {
        for (const std::string &odd : oddRegistrations()) {
            CAPTURE(odd.substr(0, 200));
            ScriptedStore scriptedStore({page(item("servers/a", registration(1), 5), false, 10),
                                         changes(item("servers/a", odd, 11), 11),
                                         changes(item("servers/a", odd, 12), 12),
                                         changes(item("servers/a", registration(2), 13), 13)});
            RegistrationFixture fixture(scriptedStore);
            fixture.runUntil(scriptedStore, 5);
            CHECK(fixture.isUsed == std::vector<bool>{true, false, false, true});
            // Other instances need a change to an odd value once, not with each heartbeat.
            CHECK(fixture.isRelevant == std::vector<bool>{true, true, false, true});
        }
    }
}

// Guards against a mirror that asks again and again for changes that are longer than an answer may
// be, as many versions of an entry of a megabyte are.
TEST_CASE("changes that don't fit an answer are read as a list")
{
    const std::string large(9 << 20, ' ');
    ScriptedStore scriptedStore({page(item("servers/a", "1", 5), false, 10),
                                 {.body = large},
                                 page(item("servers/a", "2", 12), false, 12),
                                 changes("", 12)});
    MirrorFixture fixture(scriptedStore);
    const TimePoint latest = SteadyClock().now() + 5s;
    while (fixture.items["servers/a"] != "2" && SteadyClock().now() < latest)
        fixture.loop.run_one_for(10ms);
    fixture.mirror.stop();
    fixture.loop.run_for(20ms);
    CHECK(fixture.items["servers/a"] == "2");
    CHECK(scriptedStore.targets().at(2).starts_with("/kv-range"));
}
