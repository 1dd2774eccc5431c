#include "admin/configuration_format.hpp"
#include "admin/configuration_in_force.hpp"
#include "core/invariant.hpp"
#include "core/random.hpp"
#include "sample.hpp"

#include <algorithm>
#include <deque>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admin;

namespace {

ConfigurationRoot rootOf(std::uint64_t revision, const PartSet &set)
{
    return {Revision(revision),
            SubmissionId("s" + std::to_string(revision)),
            "ana",
            WallTime(1),
            set.top,
            Revision()};
}

RootAnnouncement wholeAnnouncement(std::uint64_t revision, const Configuration &configuration)
{
    const PartSet set = splitConfiguration(configuration);
    RootAnnouncement message{rootOf(revision, set), {}};
    for (const auto &[hash, text] : set.parts)
        message.parts.push_back(text);
    return message;
}

Configuration changedSample(std::uint32_t weight)
{
    Configuration configuration = sampleConfiguration();
    configuration.deployments[0].callerClasses[0].weight = weight;
    return configuration;
}

const InstanceId accepter("accepter");

/// Lets one instance fetch what it lacks from another until nothing is missing.
std::size_t fetchAll(ConfigurationInForce &to, const ConfigurationInForce &from,
                     PartsRequest wanted)
{
    std::size_t bytes = 0;
    while (!wanted.hashes.empty()) {
        const PartsResponse given = from.answer(wanted);
        for (const std::string &text : given.parts)
            bytes += text.size();
        wanted = to.onPartsResponse(given).wanted;
    }
    return bytes;
}

} // namespace

TEST_CASE("a configuration comes into force when all its parts are there")
{
    ConfigurationInForce source;
    source.onRootAnnounced(accepter, wholeAnnouncement(1, sampleWithAdapters(500)));
    REQUIRE(source.configuration() != nullptr);
    ConfigurationInForce other;
    const ConfigurationUpdate first = other.onRootAnnounced(accepter, {source.newest(), {}});
    CHECK(first.isNewRoot);
    CHECK(first.applied == nullptr);
    CHECK(other.configuration() == nullptr);
    CHECK(first.wanted.hashes.size() == 1);
    fetchAll(other, source, first.wanted);
    REQUIRE(other.configuration() != nullptr);
    CHECK(*other.configuration() == *source.configuration());
    CHECK(other.configuration()->revision == Revision(1));

    SUBCASE("a change of one adapter moves less than 4 KB")
    {
        Configuration changed = sampleWithAdapters(500);
        changed.deployments[0].adapters[250].memory = Bytes{5};
        const PartSet set = splitConfiguration(changed);
        RootAnnouncement message = wholeAnnouncement(2, changed);
        const ConfigurationUpdate applied = source.onRootAnnounced(accepter, message);
        REQUIRE(applied.applied != nullptr);
        const RootAnnouncement announced = source.announcement();
        std::size_t bytes = writeRoot(announced.root).size();
        for (const std::string &text : announced.parts)
            bytes += text.size();
        CHECK(bytes < 4096);
        CHECK(other.onRootAnnounced(accepter, announced).applied != nullptr);
        CHECK(*other.configuration() == *source.configuration());
    }

    SUBCASE("parts that nobody asked for, or that are damaged, change nothing")
    {
        ConfigurationInForce third;
        third.onRootAnnounced(accepter, {source.newest(), {}});
        third.onPartsResponse({{"{\"items\":[]}", "nonsense", std::string(1 << 20, 'x')}});
        CHECK(third.counters().partsIgnored == 3);
        CHECK(third.configuration() == nullptr);
    }
}

TEST_CASE("a change joined to the configuration before gives the same as the whole")
{
    Random random(2811);
    Configuration configuration = sampleWithAdapters(300);
    ConfigurationInForce inForce;
    for (std::uint64_t revision = 1; revision <= 120; ++revision) {
        Deployment &deployment = configuration.deployments[0];
        auto &adapters = deployment.adapters;
        switch (random.below(7)) {
        case 0:
            adapters.erase(adapters.begin() + std::ptrdiff_t(random.below(adapters.size())));
            break;
        case 1:
            adapters.push_back(
                    {AdapterId("new-" + std::to_string(revision)), ModelId("chat@1"), Bytes{1}, 1});
            break;
        case 2:
            adapters[random.below(adapters.size())].memory = Bytes{revision};
            break;
        case 3:
            deployment.store.loadsAtOnce = std::uint32_t(revision);
            break;
        case 4:
            configuration.operators.push_back({"o" + std::to_string(revision), sha256Hex("x")});
            break;
        case 5:
            if (configuration.deployments.size() > 1) {
                configuration.deployments.pop_back();
            } else {
                configuration.deployments.push_back(sampleDeployment());
                configuration.deployments[1].id = DeploymentId("zz-second");
            }
            break;
        default:
            deployment.models[random.below(2)].maxReplicas = 1 + std::uint32_t(random.below(2));
        }
        inForce.onRootAnnounced(accepter, wholeAnnouncement(revision, configuration));
        Configuration expected = sorted(configuration);
        expected.revision = Revision(revision);
        REQUIRE(*inForce.configuration() == expected);
    }
}

TEST_CASE("revisions never fall")
{
    ConfigurationInForce inForce;
    inForce.onRootAnnounced(accepter, wholeAnnouncement(3, changedSample(3)));
    CHECK(inForce.configuration()->revision == Revision(3));

    SUBCASE("an older root from a peer that was cut off is ignored")
    {
        const ConfigurationUpdate step
                = inForce.onRootAnnounced(accepter, wholeAnnouncement(2, changedSample(2)));
        CHECK(!step.isNewRoot);
        CHECK(inForce.counters().olderRootsIgnored == 1);
        CHECK(inForce.configuration()->revision == Revision(3));
    }

    SUBCASE("nor an older one from a key-value service that answers from a late copy")
    {
        inForce.onRootRead(rootOf(1, splitConfiguration(changedSample(1))));
        inForce.onRootRead(std::nullopt);
        CHECK(inForce.configuration()->revision == Revision(3));
    }

    SUBCASE("a second root of the same revision is ignored and counted")
    {
        inForce.onRootAnnounced(accepter, wholeAnnouncement(3, changedSample(4)));
        CHECK(inForce.counters().conflictingRootsIgnored == 1);
        CHECK(inForce.configuration()->deployments[0].callerClasses[0].weight == 3);
    }

    SUBCASE("a newer root takes the place of one whose parts are still missing")
    {
        inForce.onRootAnnounced(accepter, {rootOf(4, splitConfiguration(changedSample(4))), {}});
        CHECK(inForce.configuration()->revision == Revision(3));
        inForce.onRootAnnounced(accepter, wholeAnnouncement(5, changedSample(5)));
        CHECK(inForce.configuration()->revision == Revision(5));
        inForce.onRootAnnounced(accepter, wholeAnnouncement(4, changedSample(4)));
        CHECK(inForce.configuration()->revision == Revision(5));
    }

    SUBCASE("under any order of messages, twice or lost")
    {
        Random random(28);
        ConfigurationInForce node;
        std::uint64_t last = 0;
        for (int step = 0; step < 400; ++step) {
            const std::uint64_t revision = 1 + random.below(20);
            const Configuration configuration = changedSample(std::uint32_t(revision));
            if (random.chance(0.5))
                node.onRootAnnounced(accepter,
                                     {rootOf(revision, splitConfiguration(configuration)), {}});
            else
                node.onRootAnnounced(accepter, wholeAnnouncement(revision, configuration));
            if (node.configuration() == nullptr)
                continue;
            const std::uint64_t now = node.configuration()->revision.value();
            CHECK(now >= last);
            CHECK(node.configuration()->deployments[0].callerClasses[0].weight == now);
            last = now;
        }
        CHECK(last > 0);
    }
}

TEST_CASE("an instance starts")
{
    ConfigurationInForce inForce;
    CHECK(!inForce.readiness().isReady);

    SUBCASE("with the key-value service: ready when the newest is complete")
    {
        const PartSet set = splitConfiguration(sampleConfiguration());
        const ConfigurationUpdate step = inForce.onRootRead(rootOf(1, set));
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason.find("parts are still missing") != std::string::npos);
        PartsResponse all;
        for (const auto &[hash, text] : set.parts)
            all.parts.push_back(text);
        CHECK(step.wanted.hashes.size() == 1);
        inForce.onPartsResponse(all);
        CHECK(inForce.readiness().isReady);
    }

    SUBCASE("before the first submission: not ready, and says so")
    {
        inForce.onRootRead(std::nullopt);
        CHECK(inForce.readiness() == Readiness{false, "no configuration has been submitted yet"});
    }

    SUBCASE("in an outage without peers: not ready, and says why")
    {
        inForce.onKeyValueUnavailable();
        CHECK(inForce.readiness().reason
              == "the key-value service does not answer and no other instance is known");
    }

    SUBCASE("in an outage with peers: takes the newest of more than half of them")
    {
        inForce.onKeyValueUnavailable();
        inForce.onPeers({InstanceId("a"), InstanceId("b"), InstanceId("c")});
        inForce.onRootAnnounced(InstanceId("a"), wholeAnnouncement(1, changedSample(1)));
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason.find("1 of 3") != std::string::npos);
        inForce.onRootAnnounced(InstanceId("b"), wholeAnnouncement(2, changedSample(2)));
        CHECK(inForce.readiness().isReady);
        CHECK(inForce.configuration()->revision == Revision(2));

        SUBCASE("and stays ready while a newer one is being fetched")
        {
            inForce.onRootAnnounced(InstanceId("c"),
                                    {rootOf(3, splitConfiguration(changedSample(3))), {}});
            CHECK(inForce.readiness().isReady);
            CHECK(inForce.configuration()->revision == Revision(2));
        }
    }

    SUBCASE("in an outage, when peers tell their revisions before the parts have come")
    {
        inForce.onKeyValueUnavailable();
        inForce.onPeers({InstanceId("a"), InstanceId("b"), InstanceId("c")});
        inForce.onPeerRevision(InstanceId("a"), Revision(2));
        inForce.onPeerRevision(InstanceId("b"), Revision(1));
        inForce.onPeerRevision(InstanceId("c"), Revision(2));
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason
              == "instance \"a\" has configuration revision 2; here it is 0");
        inForce.onRootAnnounced(InstanceId("a"), wholeAnnouncement(2, changedSample(2)));
        CHECK(inForce.readiness().isReady);
    }

    SUBCASE("in an outage among peers that know nothing: not ready")
    {
        inForce.onKeyValueUnavailable();
        inForce.onPeers({InstanceId("a")});
        inForce.onRootAnnounced(InstanceId("a"), {});
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason.find("know no configuration") != std::string::npos);
    }
}

TEST_CASE("a recorded configuration that can't be read stays out of force")
{
    ConfigurationInForce inForce;
    inForce.onRootAnnounced(accepter, wholeAnnouncement(1, sampleConfiguration()));
    const std::string strange = R"({"items":[{"kind":"future","deployment":"x","value":{}}]})";
    ConfigurationRoot root = rootOf(2, splitConfiguration(sampleConfiguration()));
    root.top = hashOf(strange);
    inForce.onRootAnnounced(accepter, {root, {strange}});
    CHECK(inForce.configuration()->revision == Revision(1));
}
