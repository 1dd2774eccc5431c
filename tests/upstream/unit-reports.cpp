#include "upstream/araucaria.hpp"
#include "upstream/bromelia.hpp"
#include "upstream/cinchona.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bamboochute;
using namespace bamboochute::upstream;

namespace {

EngineReport sampleReport()
{
    EngineReport report;
    report.memoryTotal = Bytes{8ULL << 30};
    report.memoryUsed = Bytes{3ULL << 30};
    report.placements = {{{ModelId("a"), AdapterId()}, Bytes{2ULL << 30}, PlacementState::Loaded},
                         {{ModelId("a"), AdapterId("x")}, Bytes{1 << 20}, PlacementState::Loaded}};
    return report;
}

/// Returns the member for which checkReport() distrusts a report; empty when it accepts the report.
std::string findDistrustedField(const EngineReport &report, const ReportExpectation &expected = {})
{
    const Result<EngineReport> checked = checkReport(report, expected);
    if (checked)
        return {};
    CHECK(checked.error().kind() == ErrorKind::ReportDistrusted);
    return checked.error().field();
}

/// Whether a text is parsed, or distrusted without any other error.
template<typename Dialect>
bool isParsedOrDistrusted(const std::string &text)
{
    const Result<EngineReport> report = Dialect::parseReport(text);
    return report || report.error().kind() == ErrorKind::ReportDistrusted;
}

} // namespace

TEST_CASE("an implausible report is distrusted")
{
    EngineReport report = sampleReport();
    CHECK(findDistrustedField(report).empty());

    SUBCASE("more memory used than the engine has")
    {
        report.memoryUsed = Bytes{9ULL << 30};
        CHECK(findDistrustedField(report) == "memory");
    }

    SUBCASE("less memory than is configured")
    {
        CHECK(findDistrustedField(report, {Bytes{16ULL << 30}}) == "memory");
    }

    SUBCASE("placements that hold more than is used")
    {
        report.placements[0].memory = Bytes{7ULL << 30};
        CHECK(findDistrustedField(report) == "placements");
    }

    SUBCASE("a target listed twice")
    {
        report.placements.push_back(report.placements[1]);
        CHECK(findDistrustedField(report) == "placements");
    }

    SUBCASE("an adapter without its base")
    {
        report.placements.erase(report.placements.begin());
        CHECK(findDistrustedField(report) == "placements");
    }

    SUBCASE("a target that is not configured")
    {
        const std::vector<Target> known{{ModelId("a"), AdapterId()}};
        CHECK(findDistrustedField(report, {Bytes{0}, &known}) == "placements");
    }

    SUBCASE("more requests than a report may count")
    {
        report.running = maxReportedRequests + 1;
        CHECK(findDistrustedField(report) == "running");
    }
}

TEST_CASE("each dialect's parser names the malformed member")
{
    SUBCASE("negative memory")
    {
        const auto report = Araucaria::parseReport(
                R"({"running":0,"queued":0,"memory":{"total":-5,"used":0}})");
        CHECK(report.error().field() == "total");
    }

    SUBCASE("more free than capacity")
    {
        const auto report = Bromelia::parseReport(
                R"({"active":0,"waiting":0,"capacity_mib":5,"free_mib":6})");
        CHECK(report.error().field() == "free_mib");
    }

    SUBCASE("a list that is not a pair")
    {
        const auto report = Cinchona::parseReport(R"({"load":[1]})");
        CHECK(report.error().field() == "load");
    }

    SUBCASE("an unknown state")
    {
        const auto report = Cinchona::parseReport(
                R"({"load":[1,2],"memory":[1,2],"role":"m","token":1,
                    "resident":{"a":{"bytes":1,"state":"odd","adapters":{}}}})");
        CHECK(report.error().field() == "state");
    }

    SUBCASE("objects nested 100000 levels deep")
    {
        std::string deep;
        for (int i = 0; i < 100000; ++i)
            deep += "{\"a\":";
        CHECK(isParsedOrDistrusted<Araucaria>(deep));
    }
}

TEST_CASE("mutated reports are parsed or distrusted, and cause no other error")
{
    const std::string valid = R"({"running":1,"queued":2,"memory":{"total":5,"used":4},"load":[1,2],
        "active":1,"waiting":1,"capacity_mib":7,"free_mib":2,"epoch":4,"token":4,"fence":4,
        "role":"mixed","slots":[{"name":"a","mib":1,"phase":"up"}],
        "models":[{"model":"a","adapter":"","memory":1,"state":"loaded"}],"resident":{}})";
    const bool holds = rc::check("mutated reports are parsed or distrusted", [&] {
        std::string text = valid;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i)
            text[*rc::gen::inRange<std::size_t>(0, text.size())]
                    = *rc::gen::elementOf(std::string("{}[]\",:0-9eE.x\\ \x80"));
        RC_ASSERT(isParsedOrDistrusted<Araucaria>(text));
        RC_ASSERT(isParsedOrDistrusted<Bromelia>(text));
        RC_ASSERT(isParsedOrDistrusted<Cinchona>(text));
    });
    CHECK(holds);
}
