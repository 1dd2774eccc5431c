#include "admin/replica_bounds.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

Error invalid(const std::string &fieldPath, const std::string &message)
{
    return Error(ErrorKind::ConfigurationInvalid, fmt::format("{} {}", fieldPath, message),
                 fieldPath);
}

bool mayRunIn(const ModelSpec &model, const DataCentreId &dataCentre)
{
    return model.dataCentres.empty()
           || std::find(model.dataCentres.begin(), model.dataCentres.end(), dataCentre)
                      != model.dataCentres.end();
}

/// Number of engines that can hold a replica of the model, by pool; pools without one have zero.
std::map<PoolId, std::uint32_t> replicaSlotsByPool(const Deployment &deployment,
                                                   const ModelSpec &model, Bytes memory)
{
    std::map<PoolId, std::uint32_t> slots;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        if (upstream.kind != UpstreamKind::Engine || !mayRunIn(model, upstream.dataCentre))
            continue;
        slots[upstream.pool] += upstream.memory >= memory ? 1 : 0;
    }
    return slots;
}

Result<void> checkDataCentres(const Deployment &deployment, const ModelSpec &model,
                              const std::string &fieldPath)
{
    for (std::size_t i = 0; i < model.dataCentres.size(); ++i) {
        const bool hasEngine
                = std::any_of(deployment.upstreams.begin(), deployment.upstreams.end(),
                              [&](const UpstreamSpec &upstream) {
                                  return upstream.kind == UpstreamKind::Engine
                                         && upstream.dataCentre == model.dataCentres[i];
                              });
        if (!hasEngine)
            return invalid(fmt::format("{}.dataCentres[{}]", fieldPath, i),
                           fmt::format("is \"{}\"; no engine of this deployment is there",
                                       model.dataCentres[i].value()));
    }
    return boost::outcome_v2::success();
}

Result<void> checkModel(const Deployment &deployment, const ModelSpec &model,
                        const std::string &fieldPath)
{
    BOOST_OUTCOME_TRYV(checkDataCentres(deployment, model, fieldPath));
    if (model.minReplicas > model.maxReplicas)
        return invalid(fieldPath + ".minReplicas",
                       fmt::format("is {}; it must be at most maxReplicas, which is {}",
                                   model.minReplicas, model.maxReplicas));
    std::uint32_t maxSlots = 0;
    for (const auto &[pool, slots] : replicaSlotsByPool(deployment, model, model.memory)) {
        maxSlots = std::max(maxSlots, slots);
        if (model.minReplicas > slots)
            return invalid(fieldPath + ".minReplicas",
                           fmt::format("is {}; pool \"{}\" has room for at most {}",
                                       model.minReplicas, pool.value(), slots));
    }
    if (maxSlots == 0)
        return invalid(fieldPath + ".memoryBytes",
                       fmt::format("is {}; no engine on which the model may run has that much",
                                   model.memory.count));
    if (model.maxReplicas > maxSlots)
        return invalid(fieldPath + ".maxReplicas",
                       fmt::format("is {}; the engines have room for at most {}", model.maxReplicas,
                                   maxSlots));
    return boost::outcome_v2::success();
}

Result<void> checkAdapter(const Deployment &deployment, const AdapterSpec &adapter,
                          const ModelSpec *base, const std::string &fieldPath)
{
    if (base == nullptr)
        return invalid(
                fieldPath + ".base",
                fmt::format("is \"{}\"; this deployment has no such model", adapter.base.value()));
    if (adapter.maxReplicas > base->maxReplicas)
        return invalid(fieldPath + ".maxReplicas",
                       fmt::format("is {}; its base \"{}\" has at most {}", adapter.maxReplicas,
                                   base->id.value(), base->maxReplicas));
    std::uint64_t largestMemoryBytes = 0;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        if (upstream.kind == UpstreamKind::Engine && mayRunIn(*base, upstream.dataCentre))
            largestMemoryBytes = std::max(largestMemoryBytes, upstream.memory.count);
    }
    if (base->memory.count + adapter.memory.count > largestMemoryBytes)
        return invalid(fieldPath + ".memoryBytes",
                       fmt::format("is {}; beside its base \"{}\" at most {} are free",
                                   adapter.memory.count, base->id.value(),
                                   largestMemoryBytes - base->memory.count));
    return boost::outcome_v2::success();
}

/// The minReplicas of all models together must fit the memory of each pool.
Result<void> checkMinReplicasFit(const Deployment &deployment, const std::string &path)
{
    std::map<PoolId, std::uint64_t> memory;
    std::map<PoolId, std::set<DataCentreId>> dataCentres;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        if (upstream.kind != UpstreamKind::Engine)
            continue;
        memory[upstream.pool] += upstream.memory.count;
        dataCentres[upstream.pool].insert(upstream.dataCentre);
    }
    std::map<PoolId, std::uint64_t> requiredBytes;
    for (std::size_t i = 0; i < deployment.models.size(); ++i) {
        const ModelSpec &model = deployment.models[i];
        for (const auto &[pool, poolDataCentres] : dataCentres) {
            const bool mayRun
                    = std::any_of(poolDataCentres.begin(), poolDataCentres.end(),
                                  [&](const DataCentreId &each) { return mayRunIn(model, each); });
            requiredBytes[pool] += mayRun ? model.memory.count * model.minReplicas : 0;
            if (requiredBytes[pool] > memory[pool])
                return invalid(fmt::format("{}.models[{}].minReplicas", path, i),
                               fmt::format("is {}; with the models before it {} bytes are always "
                                           "loaded in pool \"{}\", which has {}",
                                           model.minReplicas, requiredBytes[pool], pool.value(),
                                           memory[pool]));
        }
    }
    return boost::outcome_v2::success();
}

} // namespace

Result<void> checkReplicaBounds(const Deployment &deployment, const std::string &path)
{
    std::unordered_map<ModelId, const ModelSpec *> models;
    for (const ModelSpec &model : deployment.models)
        models.emplace(model.id, &model);
    for (std::size_t i = 0; i < deployment.models.size(); ++i) {
        const ModelSpec &model = deployment.models[i];
        const std::string fieldPath = fmt::format("{}.models[{}]", path, i);
        BOOST_OUTCOME_TRYV(checkModel(deployment, model, fieldPath));
        const bool isFollowedByInvalid
                = !model.followedBy.isEmpty()
                  && (model.followedBy == model.id || !models.contains(model.followedBy));
        if (isFollowedByInvalid)
            return invalid(fieldPath + ".followedBy",
                           fmt::format("is \"{}\"; it must be another model of this deployment",
                                       model.followedBy.value()));
    }
    for (std::size_t i = 0; i < deployment.adapters.size(); ++i) {
        const AdapterSpec &adapter = deployment.adapters[i];
        const auto base = models.find(adapter.base);
        BOOST_OUTCOME_TRYV(checkAdapter(deployment, adapter,
                                        base == models.end() ? nullptr : base->second,
                                        fmt::format("{}.adapters[{}]", path, i)));
    }
    return checkMinReplicasFit(deployment, path);
}

} // namespace bamboochute::admin
