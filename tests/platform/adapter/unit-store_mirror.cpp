#include "platform/base64.hpp"
#include "store_mirror.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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
    std::string body;
};

/// Answers each call by the next reply, a connection for each; watches without one wait.
class ScriptedStore
{
public:
    explicit ScriptedStore(std::deque<Reply> replies)
        : replies(std::move(replies))
        , thread([this] { this->serve(); })
    {}

    ~ScriptedStore()
    {
        this->isOver = true;
        boost::system::error_code ignored;
        Tcp::socket waker(this->context);
        waker.connect(this->acceptor.local_endpoint(), ignored);
        waker.close(ignored);
        this->thread.join();
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    std::vector<std::string> targets()
    {
        const std::lock_guard lock(this->mutex);
        return this->seen;
    }

private:
    void serve()
    {
        while (!this->isOver) {
            boost::system::error_code error;
            Tcp::socket socket(this->context);
            this->acceptor.accept(socket, error);
            std::string head;
            asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
            if (error || this->isOver)
                continue;
            const std::lock_guard lock(this->mutex);
            const std::size_t begin = head.find(' ') + 1;
            this->seen.push_back(head.substr(begin, head.find(' ', begin) - begin));
            Reply reply{503, {}};
            if (!this->replies.empty()) {
                reply = this->replies.front();
                this->replies.pop_front();
            }
            const std::string text = fmt::format("HTTP/1.1 {} Status\r\nConnection: close\r\n"
                                                 "Content-Length: {}\r\n\r\n{}",
                                                 reply.status, reply.body.size(), reply.body);
            asio::write(socket, asio::buffer(text), error);
        }
    }

    asio::io_context context;
    Tcp::acceptor acceptor{context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::deque<Reply> replies;
    std::mutex mutex;
    std::vector<std::string> seen;
    std::atomic<bool> isOver{false};
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
    return {200, fmt::format(R"({{"items":[{}],"more_pages":{},"current_rev":{}}})", items, hasMore,
                             current)};
}

Reply changes(const std::string &events, int current)
{
    return {200, fmt::format(R"({{"events":[{}],"current_rev":{}}})", events, current)};
}

/// A mirror with what its handlers were told.
struct Bed
{
    explicit Bed(ScriptedStore &scripted)
        : client(loop)
        , store(client, scripted.endpoint(), metrics)
        , mirror(loop, store, "servers/")
    {
        mirror.onPut = [this](const StoreItem &put) {
            items[put.key] = put.value;
            return true;
        };
        mirror.onRemoved = [this](const std::string &key, bool isDoubtful) {
            items.erase(key);
            removed.emplace_back(key, isDoubtful);
        };
        mirror.start();
    }

    /// Runs the loop until the store has seen so many calls, and their answers are handled.
    void runUntil(ScriptedStore &scripted, std::size_t calls)
    {
        while (scripted.targets().size() < calls)
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

TEST_CASE("a change between two pages is not missed")
{
    ScriptedStore scripted({page(item("servers/a", "1", 5), true, 10),
                            page(item("servers/b", "1", 6), false, 12),
                            changes(item("servers/a", "2", 11), 12)});
    Bed bed(scripted);
    bed.runUntil(scripted, 3);
    const auto targets = scripted.targets();
    CHECK(targets[0] == "/kv-range?path_prefix=servers/");
    CHECK(targets[1] == "/kv-range?path_prefix=servers/&after=servers/a");
    CHECK(targets[2].starts_with("/kv-watch?path_prefix=servers/&after=10&"));
    CHECK(bed.items == std::map<std::string, std::string>{{"servers/a", "2"}, {"servers/b", "1"}});
}

TEST_CASE("an older state of a key is never applied")
{
    ScriptedStore scripted({page(item("servers/a", "new", 9), false, 10),
                            changes(item("servers/a", "old", 7), 11)});
    Bed bed(scripted);
    bed.runUntil(scripted, 2);
    CHECK(bed.items["servers/a"] == "new");
}

TEST_CASE("when the history is gone, a list tells what has vanished, and that is certain")
{
    ScriptedStore scripted(
            {page(item("servers/a", "1", 5) + "," + item("servers/b", "1", 6), false, 10),
             {410, "{}"},
             page(item("servers/b", "1", 6), false, 20)});
    Bed bed(scripted);
    bed.runUntil(scripted, 3);
    CHECK(bed.items.size() == 1);
    REQUIRE(bed.removed.size() == 1);
    CHECK(bed.removed[0] == std::pair<std::string, bool>("servers/a", false));
}

TEST_CASE("what the first result after an outage shows as gone is doubtful, later ones are not")
{
    ScriptedStore scripted(
            {page(item("servers/a", "1", 5) + "," + item("servers/b", "1", 6), false, 10),
             {503, "{}"},
             changes(removal("servers/a", 11), 11),
             changes(removal("servers/b", 12), 12)});
    Bed bed(scripted);
    bed.runUntil(scripted, 4);
    REQUIRE(bed.removed.size() == 2);
    CHECK(bed.removed[0] == std::pair<std::string, bool>("servers/a", true));
    CHECK(bed.removed[1] == std::pair<std::string, bool>("servers/b", false));
}

TEST_CASE("a list that is older than what is known is not believed")
{
    ScriptedStore scripted({page(item("servers/a", "1", 5), false, 10),
                            changes(item("servers/a", "2", 15), 15),
                            {410, "{}"},
                            page("", false, 12),
                            page(item("servers/a", "2", 15), false, 15)});
    Bed bed(scripted);
    bed.runUntil(scripted, 5);
    CHECK(bed.items["servers/a"] == "2");
    CHECK(bed.removed.empty());
}

TEST_CASE("an answer that can't be read changes nothing")
{
    ScriptedStore scripted({page(item("servers/a", "1", 5), false, 10),
                            {200, R"({"events":[{"key":"servers/a"}],"current_rev":11})"},
                            {200, "no JSON"},
                            changes(item("servers/a", "2", 12), 12)});
    Bed bed(scripted);
    bed.runUntil(scripted, 4);
    CHECK(bed.items["servers/a"] == "2");
}

TEST_CASE("as long as somebody vouches for it, the mirror makes no calls")
{
    ScriptedStore scripted({page(item("servers/a", "1", 5), false, 10), changes("", 10),
                            changes(item("servers/a", "2", 14), 14)});
    Bed bed(scripted);
    bed.mirror.vouch(StoreRevision(10), StoreRevision(10), SteadyClock().now() + 1h);
    bed.runUntil(scripted, 1);
    bed.loop.run_for(50ms);
    CHECK(scripted.targets().size() == 1);

    SUBCASE("a change that it has not seen ends the rest")
    {
        bed.mirror.vouch(StoreRevision(14), StoreRevision(14), SteadyClock().now() + 1h);
        bed.runUntil(scripted, 3);
        CHECK(bed.items["servers/a"] == "2");
        CHECK(bed.mirror.lastChange() == StoreRevision(14));
    }
}

TEST_CASE("changes that another instance passes on need no call")
{
    ScriptedStore scripted(
            {page(item("servers/a", "1", 5), false, 10), changes(item("servers/a", "4", 30), 30)});
    Bed bed(scripted);
    const TimePoint later = SteadyClock().now() + 1h;
    bed.mirror.vouch(StoreRevision(10), StoreRevision(10), later);
    bed.runUntil(scripted, 1);
    const auto put = [](const std::string &value, std::uint64_t revision) {
        return StoreChange{{"servers/a", value, StoreRevision(revision), {}}, false};
    };
    bed.mirror.learn(put("2", 14), StoreRevision(5), false);
    CHECK(bed.items["servers/a"] == "2");
    bed.mirror.vouch(StoreRevision(14), StoreRevision(18), later);
    CHECK(bed.mirror.seenUpTo() == StoreRevision(18));
    bed.loop.run_for(50ms);
    CHECK(scripted.targets().size() == 1);

    SUBCASE("unless the one before has got lost: then the store is asked")
    {
        bed.mirror.learn(put("4", 30), StoreRevision(22), false);
        CHECK(bed.items["servers/a"] == "2");
        bed.mirror.vouch(StoreRevision(30), StoreRevision(31), later);
        bed.runUntil(scripted, 2);
        CHECK(bed.items["servers/a"] == "4");
    }
    SUBCASE("one that comes twice or late changes nothing")
    {
        bed.mirror.learn(put("1", 12), StoreRevision(5), false);
        CHECK(bed.items["servers/a"] == "2");
    }
    SUBCASE("a removal says whether it is certain")
    {
        bed.mirror.learn(StoreChange{{"servers/a", {}, StoreRevision(20), {}}, true},
                         StoreRevision(14), true);
        REQUIRE(bed.removed.size() == 1);
        CHECK(bed.removed[0] == std::pair<std::string, bool>("servers/a", true));
    }
}

TEST_CASE("changes that share a revision are not passed on one by one: each instance asks itself")
{
    const std::string three = item("servers/a", "1", 5) + "," + item("servers/b", "1", 6) + ","
                              + item("servers/c", "1", 7);
    std::vector<std::string> passedOn;
    const auto follow = [&passedOn](Bed &bed) {
        bed.mirror.onNews = [&passedOn](const StoreChange &change, StoreRevision, bool) {
            passedOn.push_back(change.item.key);
        };
    };

    SUBCASE("removals that a list shows have its revision")
    {
        ScriptedStore scripted(
                {page(three, false, 10), {410, "{}"}, page(item("servers/c", "1", 7), false, 20)});
        Bed bed(scripted);
        follow(bed);
        bed.runUntil(scripted, 3);
        CHECK(bed.removed.size() == 2);
        CHECK(passedOn.empty());
        CHECK(bed.mirror.lastChange() == StoreRevision(20));
    }
    SUBCASE("so may changes of one transaction; the one after them is passed on again")
    {
        ScriptedStore scripted(
                {page(three, false, 10),
                 changes(item("servers/a", "2", 12) + "," + item("servers/b", "2", 12) + ","
                                 + item("servers/c", "2", 13),
                         13)});
        Bed bed(scripted);
        follow(bed);
        bed.runUntil(scripted, 2);
        CHECK(bed.items["servers/b"] == "2");
        CHECK(passedOn == std::vector<std::string>{"servers/c"});
    }
}
