#include "gateway/upstream_table.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

const UpstreamId worker("worker");
const ServiceId assistant("assistant");
const Target chat{ModelId("chat"), {}};
const Target lease{ModelId("lease"), {}};

RegisteredUpstream makeRegistration(std::uint64_t startedAt, std::uint64_t heartbeat,
                                    const std::vector<std::string> &models)
{
    RegisteredUpstream upstream;
    upstream.id = worker;
    upstream.service = assistant;
    upstream.endpoint = {"127.0.0.1", 1};
    upstream.heartbeat = heartbeat;
    upstream.residency.version.startedAt = startedAt;
    for (const std::string &model : models)
        upstream.residency.models.push_back({ModelId(model), {}});
    return upstream;
}

Residency makeResidency(std::uint64_t startedAt, std::uint64_t acceptedOrders,
                        const std::vector<std::string> &models)
{
    Residency residency;
    residency.version = {startedAt, acceptedOrders, true};
    for (const std::string &model : models)
        residency.models.push_back({ModelId(model), {}});
    return residency;
}

} // namespace

TEST_CASE("a registration makes an upstream known with what it holds")
{
    UpstreamTable table;
    TimePoint now(10s);
    REQUIRE(table.applyRegistration(makeRegistration(5, 1, {"chat"}), now));
    CHECK(table.findHolding(assistant, chat, now).size() == 1);
    CHECK(table.findHolding(assistant, lease, now).empty());

    SUBCASE("a late heartbeat changes nothing")
    {
        RegisteredUpstream late = makeRegistration(5, 0, {"lease"});
        CHECK_FALSE(table.applyRegistration(late, now));
        CHECK(table.findHolding(assistant, lease, now).empty());
    }

    SUBCASE("a registration of an earlier process changes nothing")
    {
        CHECK_FALSE(table.applyRegistration(makeRegistration(4, 9, {}), now));
        CHECK(table.findHolding(assistant, chat, now).size() == 1);
    }

    SUBCASE("a new process under the old name holds only what it says")
    {
        REQUIRE(table.updateResidency(worker, makeResidency(5, 3, {"chat", "lease"}), now));
        REQUIRE(table.applyRegistration(makeRegistration(6, 1, {}), now + 1s));
        CHECK(table.findHolding(assistant, chat, now + 1s).empty());

        SUBCASE("and what the owner says of the former process counts for nothing")
        {
            CHECK_FALSE(table.updateResidency(worker, makeResidency(5, 4, {"chat"}), now + 1s));
            CHECK(table.findHolding(assistant, chat, now + 1s).empty());
        }
    }

    SUBCASE("the owner's word goes before a registration for some seconds")
    {
        REQUIRE(table.updateResidency(worker, makeResidency(5, 1, {"lease"}), now));
        REQUIRE(table.applyRegistration(makeRegistration(5, 2, {"chat"}), now + 1s));
        CHECK(table.findHolding(assistant, lease, now + 1s).size() == 1);
        REQUIRE(table.applyRegistration(makeRegistration(5, 3, {"chat"}), now + 4s));
        CHECK(table.findHolding(assistant, lease, now + 4s).empty());
    }

    SUBCASE("an older word of the owner is not taken")
    {
        REQUIRE(table.updateResidency(worker, makeResidency(5, 2, {"lease"}), now));
        CHECK_FALSE(table.updateResidency(worker, makeResidency(5, 1, {"chat"}), now));
    }

    SUBCASE("a target that was refused is not looked for there for a moment")
    {
        table.recordRefusal(worker, chat, now + 50ms);
        CHECK(table.findHolding(assistant, chat, now).empty());
        CHECK(table.findHolding(assistant, chat, now + 50ms).size() == 1);
    }

    SUBCASE("a leaving upstream gets no new work")
    {
        RegisteredUpstream leaving = makeRegistration(5, 2, {"chat"});
        leaving.isLeaving = true;
        REQUIRE(table.applyRegistration(leaving, now));
        CHECK(table.findServing(assistant).empty());
    }

    SUBCASE("what vanished while the list was in doubt is forgotten unless it returns")
    {
        table.markMissing(worker, now);
        CHECK(table.findServing(assistant).size() == 1);
        CHECK(table.removeMissing(now).empty());
        SUBCASE("it returns")
        {
            REQUIRE(table.applyRegistration(makeRegistration(5, 2, {"chat"}), now + 1s));
            CHECK(table.removeMissing(now + 3s).empty());
        }
        SUBCASE("it does not")
        {
            CHECK(table.removeMissing(now + 3s) == std::vector{worker});
            CHECK(table.find(worker) == nullptr);
        }
    }
}
