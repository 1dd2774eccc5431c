#include "admin/replica_bounds.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

Error invalid(const std::string &place, const std::string &message)
{
    return Error(ErrorKind::ConfigurationInvalid, fmt::format("{} {}", place, message), place);
}

bool mayRunIn(const ModelSpec &model, const DataCentreId &dataCentre)
{
    return model.dataCentres.empty()
           || std::find(model.dataCentres.begin(), model.dataCentres.end(), dataCentre)
                      != model.dataCentres.end();
}

/// Engines on which one replica fits, by pool; pools with none are listed with zero.
std::map<PoolId, std::uint32_t> placesByPool(const Deployment &deployment, const ModelSpec &model,
                                             Bytes memory)
{
    std::map<PoolId, std::uint32_t> places;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        if (upstream.kind != UpstreamKind::Engine || !mayRunIn(model, upstream.dataCentre))
            continue;
        places[upstream.pool] += upstream.memory >= memory ? 1 : 0;
    }
    return places;
}

Result<void> checkDataCentres(const Deployment &deployment, const ModelSpec &model,
                              const std::string &place)
{
    for (std::size_t i = 0; i < model.dataCentres.size(); ++i) {
        const bool hasEngine
                = std::any_of(deployment.upstreams.begin(), deployment.upstreams.end(),
                              [&](const UpstreamSpec &upstream) {
                                  return upstream.kind == UpstreamKind::Engine
                                         && upstream.dataCentre == model.dataCentres[i];
                              });
        if (!hasEngine)
            return invalid(fmt::format("{}.dataCentres[{}]", place, i),
                           fmt::format("is \"{}\"; no engine of this deployment is there",
                                       model.dataCentres[i].value()));
    }
    return boost::outcome_v2::success();
}

Result<void> checkModel(const Deployment &deployment, const ModelSpec &model,
                        const std::string &place)
{
    BOOST_OUTCOME_TRYV(checkDataCentres(deployment, model, place));
    if (model.minReplicas > model.maxReplicas)
        return invalid(place + ".minReplicas",
                       fmt::format("is {}; it must be at most maxReplicas, which is {}",
                                   model.minReplicas, model.maxReplicas));
    std::uint32_t most = 0;
    for (const auto &[pool, places] : placesByPool(deployment, model, model.memory)) {
        most = std::max(most, places);
        if (model.minReplicas > places)
            return invalid(place + ".minReplicas",
                           fmt::format("is {}; pool \"{}\" has room for at most {}",
                                       model.minReplicas, pool.value(), places));
    }
    if (most == 0)
        return invalid(place + ".memoryBytes",
                       fmt::format("is {}; no engine on which the model may run has that much",
                                   model.memory.count));
    if (model.maxReplicas > most)
        return invalid(place + ".maxReplicas",
                       fmt::format("is {}; the engines have room for at most {}", model.maxReplicas,
                                   most));
    return boost::outcome_v2::success();
}

Result<void> checkAdapter(const Deployment &deployment, const AdapterSpec &adapter,
                          const ModelSpec *base, const std::string &place)
{
    if (base == nullptr)
        return invalid(place + ".base", fmt::format("is \"{}\"; this deployment has no such model",
                                                    adapter.base.value()));
    if (adapter.maxReplicas > base->maxReplicas)
        return invalid(place + ".maxReplicas",
                       fmt::format("is {}; its base \"{}\" has at most {}", adapter.maxReplicas,
                                   base->id.value(), base->maxReplicas));
    std::uint64_t greatest = 0;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        if (upstream.kind == UpstreamKind::Engine && mayRunIn(*base, upstream.dataCentre))
            greatest = std::max(greatest, upstream.memory.count);
    }
    if (base->memory.count + adapter.memory.count > greatest)
        return invalid(place + ".memoryBytes",
                       fmt::format("is {}; beside its base \"{}\" at most {} are free",
                                   adapter.memory.count, base->id.value(),
                                   greatest - base->memory.count));
    return boost::outcome_v2::success();
}

/// The least replicas of all models together must fit each pool.
Result<void> checkLeastReplicas(const Deployment &deployment, const std::string &path)
{
    std::map<PoolId, std::uint64_t> memory;
    std::map<PoolId, std::set<DataCentreId>> dataCentres;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        if (upstream.kind != UpstreamKind::Engine)
            continue;
        memory[upstream.pool] += upstream.memory.count;
        dataCentres[upstream.pool].insert(upstream.dataCentre);
    }
    std::map<PoolId, std::uint64_t> wanted;
    for (std::size_t i = 0; i < deployment.models.size(); ++i) {
        const ModelSpec &model = deployment.models[i];
        for (const auto &[pool, places] : dataCentres) {
            const bool mayRun
                    = std::any_of(places.begin(), places.end(),
                                  [&](const DataCentreId &each) { return mayRunIn(model, each); });
            wanted[pool] += mayRun ? model.memory.count * model.minReplicas : 0;
            if (wanted[pool] > memory[pool])
                return invalid(fmt::format("{}.models[{}].minReplicas", path, i),
                               fmt::format("is {}; with the models before it {} bytes are always "
                                           "loaded in pool \"{}\", which has {}",
                                           model.minReplicas, wanted[pool], pool.value(),
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
        const std::string place = fmt::format("{}.models[{}]", path, i);
        BOOST_OUTCOME_TRYV(checkModel(deployment, model, place));
        const bool isFollowerWrong
                = !model.followedBy.isEmpty()
                  && (model.followedBy == model.id || !models.contains(model.followedBy));
        if (isFollowerWrong)
            return invalid(place + ".followedBy",
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
    return checkLeastReplicas(deployment, path);
}

} // namespace bamboochute::admin
