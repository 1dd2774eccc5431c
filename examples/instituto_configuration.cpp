#include "bamboochute/operator.hpp"

#include "example.hpp"

#include <fmt/format.h>

namespace bamboochute::examples {

using namespace bamboochute::operators;
using namespace std::chrono_literals;

namespace {

constexpr const char *dataCentres[] = {"quito-norte", "quito-sur", "cuenca-centro", "ambato"};
constexpr std::size_t dataCentreCount = 4;

/// A model family, of which three versions are served.
struct Family
{
    const char *name;
    std::uint64_t memoryGibibytes;
    std::uint32_t minReplicas;
    std::uint32_t maxReplicas;
    /// Family of the model that is likely to be requested next; null when there is none.
    const char *nextFamily;
};

/// 15 families of 3 versions each: 45 models.
constexpr Family families[] = {
        {"lease-terms", 38, 1, 4, "lease-summary"}, {"lease-summary", 20, 0, 3, nullptr},
        {"lease-translate", 16, 0, 2, nullptr},     {"grant-draft", 38, 0, 3, "grant-review"},
        {"grant-review", 24, 0, 2, nullptr},        {"grant-budget", 14, 0, 2, nullptr},
        {"guest-chat", 12, 2, 8, nullptr},          {"guest-arrival", 10, 0, 4, "guest-chat"},
        {"guest-translate", 8, 0, 4, nullptr},      {"housing-search", 10, 0, 3, nullptr},
        {"housing-rules", 18, 0, 2, nullptr},       {"visa-letters", 22, 0, 2, nullptr},
        {"complaints", 12, 0, 2, nullptr},          {"forms-reader", 9, 0, 2, nullptr},
        {"speech-notes", 6, 0, 2, nullptr},
};
constexpr int versionCount = 3;
constexpr int newestVersion = 3;

/// 13 partner universities, each with an adapter on 5 families: 65 adapters.
constexpr const char *partners[] = {
        "puce", "usfq", "epn",  "uce",   "udla", "ups",    "ucuenca",
        "utpl", "uta",  "espe", "espol", "iaen", "flacso",
};
constexpr const char *familiesWithAdapters[] = {
        "lease-terms", "grant-draft", "guest-chat", "housing-rules", "visa-letters",
};

std::string makeModelId(const char *family, int version)
{
    return fmt::format("{}@{}", family, version);
}

void addModels(operators::Deployment &assistant)
{
    for (const Family &family : families) {
        for (int version = 1; version <= versionCount; ++version) {
            const bool isNewest = version == newestVersion;
            Model model(makeModelId(family.name, version));
            model.memory(gibibytes(family.memoryGibibytes))
                    .replicas(isNewest ? family.minReplicas : 0, isNewest ? family.maxReplicas : 1);
            if (isNewest && family.nextFamily != nullptr)
                model.followedBy(makeModelId(family.nextFamily, newestVersion));
            assistant.add(model);
        }
    }
}

void addAdapters(operators::Deployment &assistant)
{
    for (const char *family : familiesWithAdapters) {
        for (const char *partner : partners)
            assistant.add(Adapter(fmt::format("{}-{}", family, partner))
                                  .on(makeModelId(family, newestVersion))
                                  .memory(mebibytes(256))
                                  .atMost(2));
    }
}

/// Adds engines of three vendors in turn. Those of the second, Bromelia, ignore fencing numbers and
/// don't check the sender of an order.
void addEngines(operators::Deployment &assistant, const ExampleParameters &parameters)
{
    constexpr Vendor vendors[] = {Vendor::Araucaria, Vendor::Bromelia, Vendor::Cinchona};
    for (std::size_t i = 0; i < engineCount; ++i) {
        const Vendor vendor = vendors[i % 3];
        Upstream upstream = engine(fmt::format("assistant-{:02}", i + 1));
        upstream.pool("assistant")
                .at(parameters.engines[i])
                .in(dataCentres[i % dataCentreCount])
                .vendor(vendor)
                .fencing(vendor == Vendor::Bromelia ? Fencing::Ignores : Fencing::Refuses)
                .memory(gibibytes(96))
                .accelerators(4)
                .maxConcurrent(32);
        if (vendor != Vendor::Bromelia)
            upstream.checksSender();
        assistant.add(upstream);
    }
}

operators::Deployment makeAssistantDeployment(const ExampleParameters &parameters)
{
    operators::Deployment assistant("assistant");
    assistant.add(Callers("grant-officer").weight(8).enginePriority(2).maxQueued(64))
            .add(Callers("lease-desk").weight(4).enginePriority(1).maxQueued(128))
            .add(Callers("guest-chat").weight(2).enginePriority(0).maxQueued(256))
            .deadlines(30s, 10min)
            .store(2.0, 4, 32)
            .idleSecondsPerColdStartSecond(600.0);
    addModels(assistant);
    addAdapters(assistant);
    addEngines(assistant, parameters);
    return assistant;
}

operators::Deployment makeReservationsDeployment(const ExampleParameters &parameters)
{
    operators::Deployment reservations("reservations");
    reservations.add(Callers("booking-desk").weight(4).maxQueued(128))
            .add(Callers("guest").weight(1).maxQueued(256))
            .add(Route("/reservations").to("reservations").runAtMostOnce({"POST"}).remembered(24h))
            .add(Route("/deposits").to("reservations").runAtMostOnce({"POST"}).remembered(72h))
            .add(Route("/reservations/status").to("reservations"))
            .deadlines(10s, 1min);
    for (std::size_t i = 0; i < serviceCount; ++i)
        reservations.add(service(fmt::format("reservations-{}", i + 1))
                                 .pool("reservations")
                                 .at(parameters.services[i])
                                 .in(dataCentres[i])
                                 .maxConcurrent(64));
    return reservations;
}

} // namespace

Result<std::string> makeInstitutoConfiguration(const ExampleParameters &parameters)
{
    return operators::Configuration()
            .allow(parameters.operatorName, parameters.operatorHash)
            .add(makeAssistantDeployment(parameters))
            .add(makeReservationsDeployment(parameters))
            .print();
}

} // namespace bamboochute::examples
