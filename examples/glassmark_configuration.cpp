#include "bamboochute/operator.hpp"

#include "example.hpp"

#include <fmt/format.h>

namespace bamboochute::examples {

using namespace bamboochute::operators;
using namespace std::chrono_literals;

namespace {

constexpr const char *dataCentres[] = {"saddar", "korangi", "clifton", "site-a"};
constexpr std::size_t dataCentreCount = 4;

/// A line of models of which five versions are served.
struct Family
{
    const char *name;
    std::uint64_t memoryGibibytes;
    std::uint32_t mostReplicas;
};

/// Five families of five versions: 25 models, none of them always loaded.
constexpr Family families[] = {
        {"layout-draft", 34, 4}, {"layout-check", 18, 2}, {"inscription", 8, 6},
        {"calligraphy", 24, 2},  {"translate", 12, 2},
};
constexpr int versions = 5;
constexpr int newestVersion = 5;

/// Twenty-five attar houses and export buyers with an adapter on each of three families: 75.
constexpr int houses = 25;
constexpr const char *adaptedFamilies[] = {"layout-draft", "inscription", "calligraphy"};

std::string versioned(const char *family, int version)
{
    return fmt::format("{}@{}", family, version);
}

void addModels(operators::Deployment &drafting)
{
    for (const Family &family : families) {
        for (int version = 1; version <= versions; ++version)
            drafting.add(Model(versioned(family.name, version))
                                 .memory(gibibytes(family.memoryGibibytes))
                                 .replicas(0, version == newestVersion ? family.mostReplicas : 1));
    }
}

void addAdapters(operators::Deployment &drafting)
{
    for (const char *family : adaptedFamilies) {
        for (int house = 1; house <= houses; ++house)
            drafting.add(Adapter(fmt::format("{}-house-{:02}", family, house))
                                 .on(versioned(family, newestVersion))
                                 .memory(mebibytes(192))
                                 .atMost(2));
    }
}

/// Two vendors; the engines of the second ignore fencing numbers and don't check the sender.
void addEngines(operators::Deployment &drafting, const ExampleParameters &parameters)
{
    for (std::size_t i = 0; i < engineCount; ++i) {
        const bool isBromelia = i % 2 == 1;
        Upstream worker = engine(fmt::format("drafting-{:02}", i + 1));
        worker.pool("drafting")
                .at(parameters.engines[i])
                .in(dataCentres[i % dataCentreCount])
                .vendor(isBromelia ? Vendor::Bromelia : Vendor::Cinchona)
                .fencing(isBromelia ? Fencing::Ignores : Fencing::Refuses)
                .memory(gibibytes(80))
                .accelerators(2)
                .maxConcurrent(24);
        if (!isBromelia)
            worker.checksSender();
        drafting.add(worker);
    }
}

operators::Deployment draftingDeployment(const ExampleParameters &parameters)
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

operators::Deployment ordersDeployment(const ExampleParameters &parameters)
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

Result<std::string> glassmarkConfiguration(const ExampleParameters &parameters)
{
    return operators::Configuration()
            .allow(parameters.operatorName, parameters.operatorHash)
            .add(draftingDeployment(parameters))
            .add(ordersDeployment(parameters))
            .print();
}

} // namespace bamboochute::examples
