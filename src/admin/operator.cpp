#include "bamboochute/operator.hpp"

#include "admin/configuration_check.hpp"
#include "admin/configuration_format.hpp"
#include "admin/field_checker.hpp"

namespace bamboochute::operators {

namespace {

/// Appends a value to a list and checks its fields, unless an earlier value had an error.
template<typename Spec>
void append(std::vector<Spec> &specs, const Spec &spec, const char *list,
            std::optional<Error> &firstError)
{
    admin::FieldChecker checker(fmt::format("{}[{}]", list, specs.size()), firstError);
    if (!firstError)
        visitFields(checker, spec);
    specs.push_back(spec);
}

} // namespace

Callers &Callers::weight(std::uint32_t weight)
{
    this->spec.weight = weight;
    return *this;
}

Callers &Callers::enginePriority(std::int32_t priority)
{
    this->spec.enginePriority = priority;
    return *this;
}

Callers &Callers::maxQueued(std::uint32_t requests)
{
    this->spec.maxQueued = requests;
    return *this;
}

Callers &Callers::credentialHash(const std::string &sha256)
{
    this->spec.credentialHash = sha256;
    return *this;
}

Model &Model::memory(Bytes memory)
{
    this->spec.memory = memory;
    return *this;
}

Model &Model::replicas(std::uint32_t least, std::uint32_t most)
{
    this->spec.minReplicas = least;
    this->spec.maxReplicas = most;
    return *this;
}

Model &Model::onlyIn(std::initializer_list<std::string> dataCentres)
{
    this->spec.dataCentres.clear();
    for (const std::string &each : dataCentres)
        this->spec.dataCentres.emplace_back(each);
    return *this;
}

Model &Model::followedBy(const std::string &model)
{
    this->spec.followedBy = ModelId(model);
    return *this;
}

Adapter &Adapter::on(const std::string &model)
{
    this->spec.base = ModelId(model);
    return *this;
}

Adapter &Adapter::memory(Bytes memory)
{
    this->spec.memory = memory;
    return *this;
}

Adapter &Adapter::atMost(std::uint32_t replicas)
{
    this->spec.maxReplicas = replicas;
    return *this;
}

Upstream::Upstream(const std::string &id, UpstreamKind kind)
{
    this->spec.id = UpstreamId(id);
    this->spec.kind = kind;
    if (kind == UpstreamKind::Service)
        this->spec.accelerators = 0;
}

Upstream &Upstream::pool(const std::string &pool)
{
    this->spec.pool = PoolId(pool);
    return *this;
}

Upstream &Upstream::at(const std::string &address, std::uint16_t port)
{
    return this->at(Endpoint{address, port});
}

Upstream &Upstream::at(const Endpoint &endpoint)
{
    this->spec.endpoint = endpoint;
    return *this;
}

Upstream &Upstream::in(const std::string &dataCentre)
{
    this->spec.dataCentre = DataCentreId(dataCentre);
    return *this;
}

Upstream &Upstream::vendor(Vendor vendor)
{
    this->spec.vendor = vendor;
    return *this;
}

Upstream &Upstream::fencing(Fencing fencing)
{
    this->spec.fencing = fencing;
    return *this;
}

Upstream &Upstream::checksSender()
{
    this->spec.checksSender = true;
    return *this;
}

Upstream &Upstream::role(EngineRole role)
{
    this->spec.role = role;
    return *this;
}

Upstream &Upstream::memory(Bytes memory)
{
    this->spec.memory = memory;
    return *this;
}

Upstream &Upstream::accelerators(std::uint32_t count)
{
    this->spec.accelerators = count;
    return *this;
}

Upstream &Upstream::maxConcurrent(std::uint32_t requests)
{
    this->spec.maxConcurrent = requests;
    return *this;
}

Upstream engine(const std::string &id)
{
    return {id, UpstreamKind::Engine};
}

Upstream service(const std::string &id)
{
    return {id, UpstreamKind::Service};
}

Route &Route::to(const std::string &pool)
{
    this->spec.pool = PoolId(pool);
    return *this;
}

Route &Route::runAtMostOnce(std::initializer_list<std::string> methods)
{
    this->spec.nonIdempotentMethods = methods;
    return *this;
}

Route &Route::remembered(std::chrono::seconds time)
{
    this->spec.claimRetention = time;
    return *this;
}

Deployment::Deployment(const std::string &id)
{
    this->spec.id = DeploymentId(id);
}

Deployment &Deployment::add(const Callers &callers)
{
    append(this->spec.callerClasses, callers.value(), "callerClasses", this->firstError);
    return *this;
}

Deployment &Deployment::add(const Model &model)
{
    append(this->spec.models, model.value(), "models", this->firstError);
    return *this;
}

Deployment &Deployment::add(const Adapter &adapter)
{
    append(this->spec.adapters, adapter.value(), "adapters", this->firstError);
    return *this;
}

Deployment &Deployment::add(const Upstream &upstream)
{
    append(this->spec.upstreams, upstream.value(), "upstreams", this->firstError);
    return *this;
}

Deployment &Deployment::add(const Route &route)
{
    append(this->spec.routes, route.value(), "routes", this->firstError);
    return *this;
}

Deployment &Deployment::deadlines(std::chrono::milliseconds usual,
                                  std::chrono::milliseconds greatest)
{
    this->spec.deadlines = DeadlinePolicy{usual, greatest};
    return *this;
}

Deployment &Deployment::store(double loadsPerSecond, std::uint32_t loadsAtOnce,
                              std::uint32_t adaptersInTransit)
{
    this->spec.store = StoreLimits{loadsPerSecond, loadsAtOnce, adaptersInTransit};
    return *this;
}

Deployment &Deployment::idleSecondsPerColdStartSecond(double seconds)
{
    this->spec.idleSecondsPerColdStartSecond = seconds;
    return *this;
}

Configuration &Configuration::allow(const std::string &operatorName, const std::string &sha256)
{
    append(this->spec.operators, OperatorCredential{operatorName, sha256}, "operators",
           this->firstError);
    return *this;
}

Configuration &Configuration::add(const Deployment &deployment)
{
    if (!this->firstError && deployment.error()) {
        const Error &error = *deployment.error();
        const std::string path = fmt::format("deployments[{}].", this->spec.deployments.size());
        this->firstError = Error(error.kind(), path + error.message(), path + error.field());
    }
    this->spec.deployments.push_back(deployment.value());
    return *this;
}

Result<std::string> Configuration::print() const
{
    if (this->firstError)
        return *this->firstError;
    BOOST_OUTCOME_TRYV(admin::checkConfiguration(this->spec));
    return admin::writeConfiguration(this->spec);
}

} // namespace bamboochute::operators
