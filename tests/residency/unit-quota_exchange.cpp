#include "residency/quota_exchange.hpp"

#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};

struct ExchangeFixture
{
    ExchangeFixture()
    {
        this->exchange.send = [this](const Endpoint &to, const PeerMessage &message) {
            if (std::holds_alternative<QuotaSharesMessage>(message))
                this->receivers.push_back(to);
        };
    }

    void configure()
    {
        gateway::Workspace workspace;
        workspace.id = WorkspaceId("w");
        workspace.quota.perSecond = 100;
        this->meter.configure({workspace}, start);
        this->exchange.configure({workspace}, start);
    }

    gateway::QuotaMeter meter{gateway::QuotaLimits(), true, 1, start};
    QuotaExchange exchange{meter, gateway::QuotaLimits(), InstanceId("self")};
    std::vector<Endpoint> receivers;
};

QuotaReportMessage makeReport(const std::string &reporter)
{
    return {{InstanceId(reporter), 8s, {}}};
}

} // namespace

// Guards against a former aggregator that goes on telling instances to admit everything.
TEST_CASE("an instance that reports to another aggregator gets no more shares")
{
    ExchangeFixture fixture;
    fixture.configure();
    fixture.exchange.receiveReport(makeReport("a"), {"10.0.0.1", 7380}, start);
    fixture.exchange.sendDue(std::nullopt, false, start + 1s);
    CHECK(fixture.receivers.size() == 1);
    fixture.exchange.sendDue(std::nullopt, false, start + 2100ms);
    CHECK(fixture.receivers.size() == 1);
}

// Guards against memory that reports with ever new names take.
TEST_CASE("reporters are bounded")
{
    ExchangeFixture fixture;

    SUBCASE("there are none without quotas")
    {
        fixture.exchange.receiveReport(makeReport("a"), {"10.0.0.1", 7380}, start);
        fixture.configure();
        fixture.exchange.sendDue(std::nullopt, false, start + 1s);
        CHECK(fixture.receivers.empty());
    }
    SUBCASE("and a limited number with quotas")
    {
        fixture.configure();
        for (int i = 0; i < 5000; ++i)
            fixture.exchange.receiveReport(makeReport(std::to_string(i)), {"10.0.0.1", 7380},
                                           start);
        fixture.exchange.sendDue(std::nullopt, false, start + 1s);
        CHECK(fixture.receivers.size() == 4096);
    }
}
