#include "bamboochute/operator.hpp"

#include "example.hpp"

#include <fmt/format.h>

namespace bamboochute::examples {

using namespace bamboochute::operators;
using namespace std::chrono_literals;

namespace {

constexpr const char *dataCentres[] = {"saddar", "korangi", "clifton", "site-a"};
constexpr std::size_t dataCentreCount = 4;

/// A model family, of which five versions are served.
struct Family
{
    const char *name;
    std::uint64_t memoryGibibytes;
    std::uint32_t maxReplicas;
};

/// 5 families of 5 versions each, 25 models in total; none is kept loaded (minReplicas 0).
constexpr Family families[] = {
        {"layout-draft", 34, 4}, {"layout-check", 18, 2}, {"inscription", 8, 6},
        {"calligraphy", 24, 2},  {"translate", 12, 2},
};
constexpr int versionCount = 5;
constexpr int newestVersion = 5;

/// 25 attar houses and export buyers, each with an adapter on 3 families: 75 adapters.
constexpr int houseCount = 25;
constexpr const char *familiesWithAdapters[] = {"layout-draft", "inscription", "calligraphy"};

std::string makeModelId(const char *family, int version)
{
    return fmt::format("{}@{}", family, version);
}

void addModels(operators::Deployment &drafting)
{
    for (const Family &family : families) {
        for (int version = 1; version <= versionCount; ++version)
            drafting.add(Model(makeModelId(family.name, version))
                                 .memory(gibibytes(family.memoryGibibytes))
                                 .replicas(0, version == newestVersion ? family.maxReplicas : 1));
    }
}

void addAdapters(operators::Deployment &drafting)
{
    for (const char *family : familiesWithAdapters) {
        for (int house = 1; house <= houseCount; ++house)
            drafting.add(Adapter(fmt::format("{}-house-{:02}", family, house))
                                 .on(makeModelId(family, newestVersion))
                                 .memory(mebibytes(192))
                                 .atMost(2));
    }
}

/// Adds engines of two vendors in turn. Those of the second, Bromelia, ignore fencing numbers and
/// don't check the sender of an order.
void addEngines(operators::Deployment &drafting, const ExampleParameters &parameters)
{
    for (std::size_t i = 0; i < engineCount; ++i) {
        const bool isBromelia = i % 2 == 1;
        Upstream upstream = engine(fmt::format("drafting-{:02}", i + 1));
        upstream.pool("drafting")
                .at(parameters.engines[i])
                .in(dataCentres[i % dataCentreCount])
                .vendor(isBromelia ? Vendor::Bromelia : Vendor::Cinchona)
                .fencing(isBromelia ? Fencing::Ignores : Fencing::Refuses)
                .memory(gibibytes(80))
                .accelerators(2)
                .maxConcurrent(24);
        if (!isBromelia)
            upstream.checksSender();
        drafting.add(upstream);
    }
}

operators::Deployment makeDraftingDeployment(const ExampleParameters &parameters)
{
    operators::Deployment drafting("drafting");
    drafting.add(Callers("export-house").weight(8).enginePriority(2).maxQueued(128))
            .add(Callers("local-shop").weight(2).enginePriority(0).maxQueued(128))
            .add(Callers("walk-in").weight(1).enginePriority(1).maxQueued(256))
            .deadlines(60s, 15min)
            .store(3.0, 4, 32)
            .idleSecondsPerColdStartSecond(30.0);
    addModels(drafting);
    addAdapters(drafting);
    addEngines(drafting, parameters);
    return drafting;
}

operators::Deployment makeOrdersDeployment(const ExampleParameters &parameters)
{
    operators::Deployment orders("orders");
    orders.add(Callers("shop-floor").weight(4).maxQueued(128))
            .add(Route("/lathe-slots")
                         .to("orders")
                         .runAtMostOnce({"POST", "DELETE"})
                         .remembered(24h))
            .add(Route("/charges").to("orders").runAtMostOnce({"POST"}).remembered(72h))
            .add(Route("/stock").to("orders"))
            .deadlines(10s, 1min);
    for (std::size_t i = 0; i < serviceCount; ++i)
        orders.add(service(fmt::format("orders-{}", i + 1))
                           .pool("orders")
                           .at(parameters.services[i])
                           .in(dataCentres[i])
                           .maxConcurrent(64));
    return orders;
}

} // namespace

Result<std::string> makeGlassmarkConfiguration(const ExampleParameters &parameters)
{
    return operators::Configuration()
            .allow(parameters.operatorName, parameters.operatorHash)
            .add(makeDraftingDeployment(parameters))
            .add(makeOrdersDeployment(parameters))
            .print();
}

} // namespace bamboochute::examples
