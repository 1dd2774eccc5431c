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

ConfigurationRoot makeRoot(std::uint64_t revision, const PartSet &set)
{
    return {Revision(revision),
            SubmissionId("s" + std::to_string(revision)),
            "ana",
            WallTime(1),
            set.top,
            Revision()};
}

RootAnnouncement announcementWithAllParts(std::uint64_t revision,
                                          const Configuration &configuration)
{
    const PartSet set = splitConfiguration(configuration);
    RootAnnouncement message{makeRoot(revision, set), {}};
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

const InstanceId announcingPeer("accepter");

/// Lets one instance fetch parts from another until none is missing; returns the bytes transferred.
std::size_t fetchMissingParts(ConfigurationInForce &to, const ConfigurationInForce &from,
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

TEST_CASE("a configuration comes into force once all its parts are known")
{
    ConfigurationInForce source;
    source.onRootAnnounced(announcingPeer, announcementWithAllParts(1, sampleWithAdapters(500)));
    REQUIRE(source.configuration() != nullptr);
    ConfigurationInForce other;
    const ConfigurationUpdate first = other.onRootAnnounced(announcingPeer, {source.newest(), {}});
    CHECK(first.isNewRoot);
    CHECK(first.applied == nullptr);
    CHECK(other.configuration() == nullptr);
    CHECK(first.wanted.hashes.size() == 1);
    fetchMissingParts(other, source, first.wanted);
    REQUIRE(other.configuration() != nullptr);
    CHECK(*other.configuration() == *source.configuration());
    CHECK(other.configuration()->revision == Revision(1));

    SUBCASE("a change of one adapter transfers less than 4 KB")
    {
        Configuration changed = sampleWithAdapters(500);
        changed.deployments[0].adapters[250].memory = Bytes{5};
        const PartSet set = splitConfiguration(changed);
        RootAnnouncement message = announcementWithAllParts(2, changed);
        const ConfigurationUpdate applied = source.onRootAnnounced(announcingPeer, message);
        REQUIRE(applied.applied != nullptr);
        const RootAnnouncement announced = source.announcement();
        std::size_t bytes = writeRoot(announced.root).size();
        for (const std::string &text : announced.parts)
            bytes += text.size();
        CHECK(bytes < 4096);
        CHECK(other.onRootAnnounced(announcingPeer, announced).applied != nullptr);
        CHECK(*other.configuration() == *source.configuration());
    }

    SUBCASE("parts that were not requested or are corrupt are ignored and counted")
    {
        ConfigurationInForce third;
        third.onRootAnnounced(announcingPeer, {source.newest(), {}});
        third.onPartsResponse({{"{\"items\":[]}", "nonsense", std::string(1 << 20, 'x')}});
        CHECK(third.counters().partsIgnored == 3);
        CHECK(third.configuration() == nullptr);
    }
}

TEST_CASE("applying only the changed parts gives the same as the whole configuration")
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
        inForce.onRootAnnounced(announcingPeer, announcementWithAllParts(revision, configuration));
        Configuration expected = sorted(configuration);
        expected.revision = Revision(revision);
        REQUIRE(*inForce.configuration() == expected);
    }
}

TEST_CASE("the revision in force never decreases")
{
    ConfigurationInForce inForce;
    inForce.onRootAnnounced(announcingPeer, announcementWithAllParts(3, changedSample(3)));
    CHECK(inForce.configuration()->revision == Revision(3));

    SUBCASE("an older root from a peer that was disconnected is ignored")
    {
        const ConfigurationUpdate step = inForce.onRootAnnounced(
                announcingPeer, announcementWithAllParts(2, changedSample(2)));
        CHECK(!step.isNewRoot);
        CHECK(inForce.counters().olderRootsIgnored == 1);
        CHECK(inForce.configuration()->revision == Revision(3));
    }

    SUBCASE("an older root from a stale replica of the key-value service is ignored")
    {
        inForce.onRootRead(makeRoot(1, splitConfiguration(changedSample(1))));
        inForce.onRootRead(std::nullopt);
        CHECK(inForce.configuration()->revision == Revision(3));
    }

    SUBCASE("a second root of the same revision is ignored and counted")
    {
        inForce.onRootAnnounced(announcingPeer, announcementWithAllParts(3, changedSample(4)));
        CHECK(inForce.counters().conflictingRootsIgnored == 1);
        CHECK(inForce.configuration()->deployments[0].callerClasses[0].weight == 3);
    }

    SUBCASE("a newer root replaces one whose parts are still missing")
    {
        inForce.onRootAnnounced(announcingPeer,
                                {makeRoot(4, splitConfiguration(changedSample(4))), {}});
        CHECK(inForce.configuration()->revision == Revision(3));
        inForce.onRootAnnounced(announcingPeer, announcementWithAllParts(5, changedSample(5)));
        CHECK(inForce.configuration()->revision == Revision(5));
        inForce.onRootAnnounced(announcingPeer, announcementWithAllParts(4, changedSample(4)));
        CHECK(inForce.configuration()->revision == Revision(5));
    }

    SUBCASE("with messages reordered, duplicated or lost")
    {
        Random random(28);
        ConfigurationInForce node;
        std::uint64_t last = 0;
        for (int step = 0; step < 400; ++step) {
            const std::uint64_t revision = 1 + random.below(20);
            const Configuration configuration = changedSample(std::uint32_t(revision));
            if (random.chance(0.5))
                node.onRootAnnounced(announcingPeer,
                                     {makeRoot(revision, splitConfiguration(configuration)), {}});
            else
                node.onRootAnnounced(announcingPeer,
                                     announcementWithAllParts(revision, configuration));
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

TEST_CASE("readiness of an instance that starts")
{
    ConfigurationInForce inForce;
    CHECK(!inForce.readiness().isReady);

    SUBCASE("with the key-value service: ready once all parts of the newest revision are known")
    {
        const PartSet set = splitConfiguration(sampleConfiguration());
        const ConfigurationUpdate step = inForce.onRootRead(makeRoot(1, set));
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason.find("parts are still missing") != std::string::npos);
        PartsResponse all;
        for (const auto &[hash, text] : set.parts)
            all.parts.push_back(text);
        CHECK(step.wanted.hashes.size() == 1);
        inForce.onPartsResponse(all);
        CHECK(inForce.readiness().isReady);
    }

    SUBCASE("before the first submission: not ready, with this reason")
    {
        inForce.onRootRead(std::nullopt);
        CHECK(inForce.readiness() == Readiness{false, "no configuration has been submitted yet"});
    }

    SUBCASE("key-value service down, no peers: not ready, with this reason")
    {
        inForce.onKeyValueUnavailable();
        CHECK(inForce.readiness().reason
              == "the key-value service does not answer and no other instance is known");
    }

    SUBCASE("key-value service down: ready with the newest revision of more than half of the peers")
    {
        inForce.onKeyValueUnavailable();
        inForce.onPeers({InstanceId("a"), InstanceId("b"), InstanceId("c")});
        inForce.onRootAnnounced(InstanceId("a"), announcementWithAllParts(1, changedSample(1)));
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason.find("1 of 3") != std::string::npos);
        inForce.onRootAnnounced(InstanceId("b"), announcementWithAllParts(2, changedSample(2)));
        CHECK(inForce.readiness().isReady);
        CHECK(inForce.configuration()->revision == Revision(2));

        SUBCASE("stays ready while a newer revision is being fetched")
        {
            inForce.onRootAnnounced(InstanceId("c"),
                                    {makeRoot(3, splitConfiguration(changedSample(3))), {}});
            CHECK(inForce.readiness().isReady);
            CHECK(inForce.configuration()->revision == Revision(2));
        }
    }

    SUBCASE("key-value service down, peers report revisions before parts arrive: ready once the "
            "parts are "
            "known")
    {
        inForce.onKeyValueUnavailable();
        inForce.onPeers({InstanceId("a"), InstanceId("b"), InstanceId("c")});
        inForce.onPeerRevision(InstanceId("a"), Revision(2));
        inForce.onPeerRevision(InstanceId("b"), Revision(1));
        inForce.onPeerRevision(InstanceId("c"), Revision(2));
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason
              == "instance \"a\" has configuration revision 2; here it is 0");
        inForce.onRootAnnounced(InstanceId("a"), announcementWithAllParts(2, changedSample(2)));
        CHECK(inForce.readiness().isReady);
    }

    SUBCASE("key-value service down, peers have no configuration: not ready")
    {
        inForce.onKeyValueUnavailable();
        inForce.onPeers({InstanceId("a")});
        inForce.onRootAnnounced(InstanceId("a"), {});
        CHECK(!inForce.readiness().isReady);
        CHECK(inForce.readiness().reason.find("know no configuration") != std::string::npos);
    }
}

TEST_CASE("a recorded configuration that can't be parsed does not come into force")
{
    ConfigurationInForce inForce;
    inForce.onRootAnnounced(announcingPeer, announcementWithAllParts(1, sampleConfiguration()));
    const std::string strange = R"({"items":[{"kind":"future","deployment":"x","value":{}}]})";
    ConfigurationRoot root = makeRoot(2, splitConfiguration(sampleConfiguration()));
    root.top = hashPart(strange);
    inForce.onRootAnnounced(announcingPeer, {root, {strange}});
    CHECK(inForce.configuration()->revision == Revision(1));
}
