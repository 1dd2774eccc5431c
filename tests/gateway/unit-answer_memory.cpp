// What answers hold that wait for memory.

#include "relay_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <future>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1 << 20;
/// Requests and answers may take 10 MB of it.
const InboundLimits smallMachine{25 * megabyte, 0};
constexpr std::size_t answerBytes = 6 * megabyte;

/// The first half of an answer, after which the upstream sends nothing more.
Script halfAnswer(const std::string &framing)
{
    Script script;
    script.answer
            = fmt::format("HTTP/1.1 200 OK\r\ntest-id: {{id}}\r\ntest-signature: s\r\n{}", framing);
    script.answer.append(answerBytes / 2, 'x');
    script.isSilentAfterwards = true;
    return script;
}

std::string lengthOf(std::size_t bytes)
{
    return fmt::format("Content-Length: {}\r\n\r\n", bytes);
}

/// What other connections hold of a gateway's memory during its lifetime.
class OtherConnections
{
public:
    OtherConnections(const RelayFixture &fixture, std::size_t bytes)
        : fixture(fixture)
    {
        this->fixture.runOnLoop([this, bytes](gateway::Gateway &gateway) {
            this->holding = std::make_unique<MemoryBudget::Holding>(
                    gateway.inboundBudget().requests(), MemoryUse::Admitted);
            REQUIRE(this->holding->resize(bytes, SteadyClock().now()));
        });
    }
    ~OtherConnections()
    {
        this->fixture.runOnLoop([this](gateway::Gateway &) { this->holding.reset(); });
    }
    OtherConnections(const OtherConnections &) = delete;
    OtherConnections &operator=(const OtherConnections &) = delete;

private:
    const RelayFixture &fixture;
    std::unique_ptr<MemoryBudget::Holding> holding;
};

std::size_t usedBytes(const RelayFixture &fixture)
{
    std::size_t bytes = 0;
    fixture.runOnLoop([&bytes](gateway::Gateway &gateway) {
        bytes = gateway.inboundBudget().requests().usedBytes();
    });
    return bytes;
}

} // namespace

// Guards against answers that each hold a part of the memory and wait for the rest, so that none
// can end: requests ended twice their time after they came, and large ones were refused meanwhile.
TEST_CASE("an answer takes memory for all of its body, or none")
{
    ScriptedUpstream upstream({halfAnswer(lengthOf(answerBytes))});
    RelayFixture fixture({&upstream}, {}, smallMachine);

    SUBCASE("where there is room for a half, the caller is told before its deadline")
    {
        const OtherConnections others(fixture, 6 * megabyte);
        const std::string got
                = fixture.call(request("/once/", "pay", "test-patience-ms: 4000\r\n"));
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(containsText(got, "Retry-After"));
    }
    SUBCASE("where there is room for the whole, it is taken with the first bytes")
    {
        const OtherConnections others(fixture, megabyte);
        auto got = std::async(std::launch::async, [&fixture] {
            return fixture.call(request("/once/", "pay", "test-patience-ms: 1000\r\n"));
        });
        std::size_t most = 0;
        while (got.wait_for(1ms) != std::future_status::ready)
            most = std::max(most, usedBytes(fixture));
        CHECK(got.get().starts_with("HTTP/1.1 504 "));
        CHECK(most >= megabyte + answerBytes);
    }
    fixture.waitForIdle();
    CHECK(usedBytes(fixture) < megabyte);
}

// Guards against events that are held for callers who don't read, and counted nowhere.
TEST_CASE("a long event of a stream needs memory")
{
    const std::string event = "id: 1\ndata: " + std::string(200 << 10, 'x') + "\n\n";
    ScriptedUpstream upstream({{streamAnswer(event, true)}});
    RelayFixture fixture({&upstream}, {}, smallMachine);

    SUBCASE("of which there is enough in calm")
    {
        const std::string got = fixture.call(request("/fragile/"));
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(containsText(got, std::string(200 << 10, 'x')));
    }
    SUBCASE("and without any, the stream is not begun")
    {
        const OtherConnections others(fixture, 10 * megabyte - (64 << 10));
        const std::string got = fixture.call(request("/fragile/"));
        CHECK(got.starts_with("HTTP/1.1 502 "));
    }
    fixture.waitForIdle();
    CHECK(usedBytes(fixture) < megabyte);
}

TEST_CASE("an answer that announces more than any may have takes memory as it arrives")
{
    ScriptedUpstream upstream({halfAnswer(lengthOf(1024 * megabyte))});
    RelayFixture fixture({&upstream}, {}, smallMachine);
    const std::string got = fixture.call(request("/once/", "pay", "test-patience-ms: 500\r\n"));
    CHECK(got.starts_with("HTTP/1.1 504 "));
}
