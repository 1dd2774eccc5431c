/// @file
/// @brief A small valid configuration for tests.
#pragma once

#include "core/configuration.hpp"
#include "core/digest.hpp"

#include <string>

namespace bamboochute::admin {

constexpr std::uint64_t gibibyte = std::uint64_t(1) << 30;

inline UpstreamSpec sampleEngine(int number)
{
    UpstreamSpec engine;
    engine.id = UpstreamId("worker-" + std::to_string(number));
    engine.pool = PoolId("workers");
    engine.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
    engine.dataCentre = DataCentreId(number % 2 == 0 ? "north" : "south");
    engine.memory = Bytes{80 * gibibyte};
    return engine;
}

inline Deployment sampleDeployment()
{
    Deployment deployment;
    deployment.id = DeploymentId("assistant");
    deployment.callerClasses = {{CallerClassId("guest"), 4, 1, 256, ""}};
    deployment.models = {{ModelId("chat@1"), Bytes{20 * gibibyte}, 0, 2, {}, ModelId()},
                         {ModelId("lease@2"), Bytes{40 * gibibyte}, 1, 1, {}, ModelId("chat@1")}};
    deployment.adapters = {{AdapterId("quito"), ModelId("chat@1"), Bytes{gibibyte}, 1}};
    for (int number = 0; number < 4; ++number)
        deployment.upstreams.push_back(sampleEngine(number));
    return deployment;
}

inline Configuration sampleConfiguration()
{
    Configuration configuration;
    configuration.operators = {{"ana", sha256Hex("ana's credential")}};
    configuration.deployments = {sampleDeployment()};
    return configuration;
}

/// @brief The sample with additional adapters.
inline Configuration sampleWithAdapters(std::size_t count)
{
    Configuration configuration = sampleConfiguration();
    for (std::size_t i = 0; i < count; ++i)
        configuration.deployments[0].adapters.push_back(
                {AdapterId("adapter-" + std::to_string(i)), ModelId("chat@1"), Bytes{gibibyte}, 1});
    return configuration;
}

} // namespace bamboochute::admin
