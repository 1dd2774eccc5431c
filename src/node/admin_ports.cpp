#include "node/admin_ports.hpp"

#include "decision/ledger.hpp"
#include "node/members.hpp"
#include "node/placement_stream.hpp"

#include <fmt/format.h>

namespace bamboochute::node {

namespace {

std::uint32_t maxReplicasOf(const Configuration &configuration, const Target &target)
{
    for (const Deployment &deployment : configuration.deployments) {
        for (const ModelSpec &model : deployment.models) {
            if (target.adapter.isEmpty() && model.id == target.model)
                return model.maxReplicas;
        }
        for (const AdapterSpec &adapter : deployment.adapters) {
            if (adapter.id == target.adapter && adapter.base == target.model)
                return adapter.maxReplicas;
        }
    }
    return 0;
}

/// Adds one placement to the row of its target.
void countPlacement(admin::ReplicaStatus &row, decision::PlacementState state)
{
    switch (state) {
    case decision::PlacementState::Loading:
        ++row.loading;
        break;
    case decision::PlacementState::Loaded:
        ++row.loaded;
        break;
    case decision::PlacementState::Unloading:
        ++row.unloading;
        break;
    }
}

std::string describePlacement(const decision::Placement &placement, const UpstreamId &upstream)
{
    return fmt::format("{} at {}, holding {} bytes", decision::placementStateName(placement.state),
                       upstream.value(), placement.memory.count);
}

} // namespace

AdminPorts::AdminPorts(AdminPortsDependencies dependencies)
    : dependencies(std::move(dependencies))
{}

void AdminPorts::submit(admin::SubmitRequest request,
                        std::function<void(Result<admin::SubmitOutcome>)> done)
{
    this->dependencies.configuration.submit(std::move(request), std::move(done));
}

void AdminPorts::history(std::function<void(Result<std::vector<admin::ConfigurationRoot>>)> done)
{
    this->dependencies.configuration.history(std::move(done));
}

void AdminPorts::status(std::function<void(Result<admin::FleetStatus>)> done)
{
    admin::FleetStatus status;
    status.answeredBy = this->dependencies.context.settings.instance;
    status.newestRevision = this->inForce().newest().revision;
    status.instances = this->instanceStatus();
    status.upstreams = this->upstreamStatus();
    status.replicas = this->replicaStatus();
    status.owners = this->ownerStatus();
    status.keyValue.isAvailable = this->dependencies.keyValue.isAvailable();
    status.keyValue.sinceLastAnswer = this->dependencies.keyValue.sinceLastAnswer();
    done(status);
}

void AdminPorts::drainUpstream(const UpstreamId &upstream,
                               std::function<void(Result<admin::DrainStatus>)> done)
{
    if (!this->dependencies.upstreams.drain(upstream)) {
        done(Error(ErrorKind::InvalidField,
                   fmt::format("upstream \"{}\" is not in the configuration", upstream.value()),
                   "upstream"));
        return;
    }
    const auto &loads = this->dependencies.upstreams.observations().reportedLoad;
    const auto load = loads.find(upstream);
    done(admin::DrainStatus{upstream.value(), load == loads.end() ? 0 : load->second});
}

void AdminPorts::drainInstance(const InstanceId &instance,
                               std::function<void(Result<admin::DrainStatus>)> done)
{
    if (instance != this->dependencies.context.settings.instance) {
        done(Error(ErrorKind::InvalidField,
                   fmt::format(
                           "instance \"{}\" can be drained only at its own administration address; "
                           "this address belongs to \"{}\"",
                           instance.value(), this->dependencies.context.settings.instance.value()),
                   "instance"));
        return;
    }
    const auto running = static_cast<std::uint32_t>(this->dependencies.server.openRequestCount());
    done(admin::DrainStatus{instance.value(), running});
    this->dependencies.beginStop();
}

void AdminPorts::explainRequest(const RequestId &request,
                                std::function<void(Result<admin::Explanation>)> done)
{
    done(Error(ErrorKind::InvalidField,
               fmt::format("no record is kept of request \"{}\"; search the log for its id",
                           request.value()),
               "request"));
}

void AdminPorts::explainPlacement(const Target &target,
                                  std::function<void(Result<admin::Explanation>)> done)
{
    const ConfigurationPointer &configuration = this->inForce().configuration();
    if (!configuration || maxReplicasOf(*configuration, target) == 0) {
        done(Error(ErrorKind::InvalidField,
                   fmt::format("target \"{}:{}\" is not in the configuration", target.model.value(),
                               target.adapter.value()),
                   "model"));
        return;
    }
    admin::Explanation explanation{target.model.value() + ":" + target.adapter.value(), {}};
    for (const auto &[pool, driver] : this->dependencies.pools.all()) {
        const auto owner = this->dependencies.pools.ownerOf(pool);
        const bool isOwner = driver->controller().isOwner();
        explanation.steps.push_back(
                {"owner", fmt::format("pool {} is owned by {}", pool.value(),
                                      isOwner ? this->dependencies.context.settings.instance.value()
                                              : (owner ? owner->instance.value() : "nobody"))});
        for (const auto &[upstream, record] : driver->controller().ledger().records()) {
            for (const decision::Placement &placement : record.placements) {
                if (placement.target == target)
                    explanation.steps.push_back({"ledger", describePlacement(placement, upstream)});
            }
        }
    }
    done(explanation);
}

const admin::ConfigurationInForce &AdminPorts::inForce() const
{
    return this->dependencies.configuration.inForce();
}

admin::Readiness AdminPorts::readiness() const
{
    return this->inForce().readiness();
}

std::string AdminPorts::metricsText() const
{
    this->dependencies.gossip.gossip().exportMetrics(this->dependencies.context.metrics);
    for (const auto &[pool, driver] : this->dependencies.pools.all())
        driver->exportMetrics(this->dependencies.context.metrics);
    return this->dependencies.context.metrics.print();
}

admin::WallTime AdminPorts::wallTime() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<admin::WallTime>(sinceEpoch);
}

std::vector<admin::InstanceStatus> AdminPorts::instanceStatus() const
{
    const Settings &settings = this->dependencies.context.settings;
    std::vector<admin::InstanceStatus> rows;
    const bool isReady = this->readiness().isReady;
    rows.push_back({settings.instance, settings.dataCentre, this->inForce().newest().revision,
                    isReady, false});
    const auto revisions = this->dependencies.configuration.revisions();
    for (const peer::Member &member : this->dependencies.gossip.gossip().membership().members()) {
        if (member.state == peer::MemberState::Gone)
            continue;
        const auto revision = revisions.find(member.identity.instance);
        const Revision inForceThere = revision == revisions.end() ? Revision() : revision->second;
        rows.push_back({member.identity.instance, member.identity.dataCentre, inForceThere,
                        isUsable(member) && inForceThere != Revision(), member.isLeaving});
    }
    return rows;
}

std::vector<admin::UpstreamStatus> AdminPorts::upstreamStatus() const
{
    std::vector<admin::UpstreamStatus> rows;
    const ConfigurationPointer &configuration = this->inForce().configuration();
    if (!configuration)
        return rows;
    const UpstreamObservations &observations = this->dependencies.upstreams.observations();
    for (const Deployment &deployment : configuration->deployments) {
        for (const UpstreamSpec &spec : deployment.upstreams) {
            const auto load = observations.reportedLoad.find(spec.id);
            Bytes used;
            if (PoolDriver *driver = this->dependencies.pools.find(spec.pool))
                used = driver->controller().ledger().usedMemory(spec.id);
            rows.push_back({spec.id, spec.pool, observations.leaving.contains(spec.id),
                            load == observations.reportedLoad.end() ? 0 : load->second, used,
                            spec.memory});
        }
    }
    return rows;
}

std::vector<admin::ReplicaStatus> AdminPorts::replicaStatus() const
{
    std::map<std::pair<PoolId, Target>, admin::ReplicaStatus> rows;
    const ConfigurationPointer &configuration = this->inForce().configuration();
    if (!configuration)
        return {};
    const peer::Dissemination &dissemination = this->dependencies.gossip.gossip().dissemination();
    for (const auto &[pool, driver] : this->dependencies.pools.all()) {
        const auto rowOf = [&, &pool = pool](const Target &target) -> admin::ReplicaStatus & {
            admin::ReplicaStatus &row = rows[{pool, target}];
            row.pool = pool;
            row.target = target;
            row.maxReplicas = maxReplicasOf(*configuration, target);
            return row;
        };
        if (driver->controller().isOwner()) {
            for (const auto &[upstream, record] : driver->controller().ledger().records()) {
                for (const decision::Placement &placement : record.placements)
                    countPlacement(rowOf(placement.target), placement.state);
            }
            continue;
        }
        for (const peer::StateDelta &entry : dissemination.entries(placementStream(pool))) {
            if (const auto item = parsePlacementItem(entry.key.item))
                ++rowOf(item->target).loaded;
        }
    }
    std::vector<admin::ReplicaStatus> list;
    list.reserve(rows.size());
    for (auto &[key, row] : rows)
        list.push_back(std::move(row));
    return list;
}

std::vector<admin::OwnerStatus> AdminPorts::ownerStatus() const
{
    std::vector<admin::OwnerStatus> rows;
    for (const auto &[pool, driver] : this->dependencies.pools.all()) {
        if (driver->controller().isOwner()) {
            const auto record = driver->controller().knownOwner();
            rows.push_back({pool, this->dependencies.context.settings.instance,
                            record ? record->fence : Fence()});
        } else if (const auto owner = this->dependencies.pools.ownerOf(pool)) {
            const auto stream = this->dependencies.gossip.gossip().dissemination().digest(
                    placementStream(pool));
            rows.push_back({pool, owner->instance, stream.fence});
        }
    }
    return rows;
}

} // namespace bamboochute::node
