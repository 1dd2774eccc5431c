/// @file
/// @brief Deployments of the users' present sizes, and request traces generated from a seed.
#pragma once

#include "core/configuration.hpp"
#include "core/random.hpp"
#include "core/routing_table.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace bamboochute::bench {

/// @brief Size and load of one team's deployment.
struct DeploymentShape
{
    std::string name;
    int models = 45;
    int adapters = 65;
    int workers = 12;
    StoreLimits store;
    double idleSecondsPerColdStartSecond = 60.0;
    /// Sessions per hour, over all targets.
    double sessionsPerHour = 120.0;
    /// Share (0 to 1) of the workers that refuse stale fencing numbers.
    double fencingShare = 0.75;
};

inline DeploymentShape instituto()
{
    return {"instituto", 45, 65, 12, StoreLimits{2.0, 4, 32}, 600.0, 240.0, 0.75};
}

inline DeploymentShape glassmark()
{
    return {"glassmark", 25, 75, 12, StoreLimits{3.0, 4, 32}, 30.0, 120.0, 0.75};
}

/// @brief Returns the shape with all sizes, rates and limits multiplied by a factor.
inline DeploymentShape scaled(DeploymentShape shape, int factor)
{
    shape.models *= factor;
    shape.adapters *= factor;
    shape.workers *= factor;
    shape.sessionsPerHour *= factor;
    shape.store.loadsPerSecond *= factor;
    shape.store.loadsAtOnce *= static_cast<std::uint32_t>(factor);
    return shape;
}

constexpr std::uint64_t gigabyte = 1000000000ULL;

/// @brief Builds the configuration of one deployment, with one pool of engines.
inline Configuration configurationOf(const DeploymentShape &shape, std::uint64_t seed)
{
    Random random(seed * 31 + 5);
    Deployment deployment;
    deployment.id = DeploymentId(shape.name);
    deployment.store = shape.store;
    deployment.idleSecondsPerColdStartSecond = shape.idleSecondsPerColdStartSecond;
    for (int i = 0; i < shape.models; ++i) {
        ModelSpec model;
        model.id = ModelId(fmt::format("model-{}", i));
        model.memory = Bytes{(8 + random.below(25)) * gigabyte};
        // Every eighth model has a successor that is likely to be requested next.
        if (i % 8 == 0 && i + 1 < shape.models)
            model.followedBy = ModelId(fmt::format("model-{}", i + 1));
        deployment.models.push_back(model);
    }
    for (int i = 0; i < shape.adapters; ++i) {
        AdapterSpec adapter;
        adapter.id = AdapterId(fmt::format("adapter-{}", i));
        adapter.base = ModelId(
                fmt::format("model-{}", random.below(static_cast<std::uint64_t>(shape.models))));
        adapter.memory = Bytes{gigabyte / 4};
        deployment.adapters.push_back(adapter);
    }
    for (int i = 0; i < shape.workers; ++i) {
        UpstreamSpec upstream;
        upstream.id = UpstreamId(fmt::format("worker-{}", i));
        upstream.pool = PoolId("pool");
        upstream.dataCentre = DataCentreId(fmt::format("dc-{}", i % 4));
        upstream.fencing
                = i < shape.fencingShare * shape.workers ? Fencing::Refuses : Fencing::Ignores;
        upstream.memory = Bytes{64 * gigabyte};
        upstream.accelerators = 4;
        deployment.upstreams.push_back(upstream);
    }
    Configuration configuration;
    configuration.revision = Revision(1);
    configuration.deployments.push_back(std::move(deployment));
    return configuration;
}

/// @brief One request of a caller.
struct TraceRequest
{
    TimePoint at;
    std::size_t instance = 0;
    Target target;
    TimePoint deadline;
    Duration runs;
    std::uint32_t weight = 1;
};

/// @brief Generates requests in sessions: the popularity of targets follows a Zipf distribution,
/// one session in ten begins with a burst at all instances, and every half hour sessions of a tenth
/// of the number of targets begin at once.
/// @return requests, sorted by time
inline std::vector<TraceRequest> traceOf(const DeploymentShape &shape,
                                         const Configuration &configuration, std::size_t instances,
                                         Duration length, std::uint64_t seed)
{
    constexpr double zipfExponent = 0.9;
    constexpr double burstShare = 0.1;
    constexpr double followChance = 0.6;
    Random random(seed * 977 + 3);
    const Deployment &deployment = configuration.deployments.front();
    std::vector<Target> targets;
    for (const ModelSpec &model : deployment.models)
        targets.push_back(Target{model.id, {}});
    for (const AdapterSpec &adapter : deployment.adapters)
        targets.push_back(Target{adapter.base, adapter.id});
    for (std::size_t i = targets.size(); i > 1; --i)
        std::swap(targets[i - 1], targets[random.below(i)]);
    std::vector<double> weights;
    double sum = 0.0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        weights.push_back(1.0 / std::pow(static_cast<double>(i + 1), zipfExponent));
        sum += weights.back();
    }
    std::vector<TraceRequest> trace;
    const auto seconds = [](double value) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    };
    const auto addRequest = [&](TimePoint at, std::size_t instance, const Target &target) {
        const std::uint32_t weight = random.chance(0.3) ? 4 : 1;
        const Duration patience = seconds(random.chance(0.5) ? 30.0 : 60.0);
        trace.push_back({at, instance, target, at + patience,
                         seconds(2.0 + random.exponential(6.0)), weight});
    };
    const auto addSession = [&](TimePoint begin, const Target &target) {
        if (random.chance(burstShare)) {
            for (std::size_t i = 0; i < instances; ++i)
                addRequest(begin + seconds(random.unit() * 0.05), i, target);
        }
        TimePoint at = begin;
        const std::uint64_t count = 2 + random.below(12);
        for (std::uint64_t i = 0; i < count; ++i) {
            addRequest(at, random.below(instances), target);
            at += seconds(random.exponential(12.0));
        }
    };
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const double meanGap = 3600.0 / (shape.sessionsPerHour * weights[i] / sum);
        TimePoint at = TimePoint() + seconds(10.0 + random.unit() * meanGap);
        // A third of the targets is used at regular times, the others at random ones.
        const bool isRegular = i % 3 == 0;
        while (at < TimePoint() + length) {
            addSession(at, targets[i]);
            const auto follower = std::find_if(
                    deployment.models.begin(), deployment.models.end(), [&](const ModelSpec &each) {
                        return targets[i] == Target{each.id, {}} && !each.followedBy.isEmpty();
                    });
            if (follower != deployment.models.end() && random.chance(followChance))
                addSession(at + seconds(15.0 + random.unit() * 30.0),
                           Target{follower->followedBy, {}});
            at += seconds(isRegular ? meanGap * (0.9 + 0.2 * random.unit())
                                    : random.exponential(meanGap));
        }
    }
    // At fixed intervals, sessions of many different targets begin at once.
    constexpr double peakInterval = 1800.0;
    const std::uint64_t sessionsPerPeak = targets.size() / 10;
    for (double at = peakInterval; at < toSeconds(length); at += peakInterval) {
        for (std::uint64_t i = 0; i < sessionsPerPeak; ++i)
            addSession(TimePoint() + seconds(at + 3.0 * random.unit()),
                       targets[random.below(targets.size())]);
    }
    std::stable_sort(trace.begin(), trace.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return trace;
}

} // namespace bamboochute::bench
