#include "admin/configuration_check.hpp"

#include "admin/field_checker.hpp"
#include "admin/replica_bounds.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace bamboochute::admin {

namespace {

Error invalid(const std::string &place, const std::string &message)
{
    return Error(ErrorKind::ConfigurationInvalid, fmt::format("{} {}", place, message), place);
}

/// Remembers where each name was first given.
class NameTable
{
public:
    explicit NameTable(std::string what)
        : what(std::move(what))
    {}

    Result<void> add(const std::string &name, const std::string &place)
    {
        const auto [entry, isNew] = this->places.emplace(name, place);
        if (!isNew)
            return invalid(place, fmt::format("is \"{}\"; {} already has this {}", name,
                                              entry->second, this->what));
        return boost::outcome_v2::success();
    }

private:
    std::string what;
    std::unordered_map<std::string, std::string> places;
};

/// Names that must be unique in the whole configuration.
struct GlobalNames
{
    NameTable deployments{"id"};
    NameTable models{"id"};
    NameTable adapters{"id"};
    NameTable upstreams{"id"};
    NameTable endpoints{"address and port"};
    NameTable pathPrefixes{"path prefix"};
    NameTable pools{"pool of another deployment"};
    NameTable credentials{"credential"};
};

Result<void> addCredential(GlobalNames &names, const std::string &hash, const std::string &place)
{
    if (hash.empty())
        return boost::outcome_v2::success();
    if (!names.credentials.add(hash, place))
        return invalid(place, "is given twice; every credential must be another");
    return boost::outcome_v2::success();
}

Result<void> checkOperators(const Configuration &configuration, GlobalNames &names)
{
    NameTable operators("name");
    for (std::size_t i = 0; i < configuration.operators.size(); ++i) {
        const OperatorCredential &each = configuration.operators[i];
        const std::string place = fmt::format("operators[{}]", i);
        BOOST_OUTCOME_TRYV(operators.add(each.name, place + ".name"));
        BOOST_OUTCOME_TRYV(addCredential(names, each.credentialHash, place + ".credentialHash"));
    }
    return boost::outcome_v2::success();
}

Result<void> checkCallerClasses(const Deployment &deployment, const std::string &path,
                                GlobalNames &names)
{
    NameTable classes("id");
    for (std::size_t i = 0; i < deployment.callerClasses.size(); ++i) {
        const CallerClass &each = deployment.callerClasses[i];
        const std::string place = fmt::format("{}.callerClasses[{}]", path, i);
        BOOST_OUTCOME_TRYV(classes.add(each.id.value(), place + ".id"));
        BOOST_OUTCOME_TRYV(addCredential(names, each.credentialHash, place + ".credentialHash"));
    }
    return boost::outcome_v2::success();
}

Result<void> checkUpstreams(const Deployment &deployment, const std::string &path,
                            GlobalNames &names)
{
    std::map<PoolId, UpstreamKind> kinds;
    for (std::size_t i = 0; i < deployment.upstreams.size(); ++i) {
        const UpstreamSpec &each = deployment.upstreams[i];
        const std::string place = fmt::format("{}.upstreams[{}]", path, i);
        const std::string endpoint
                = fmt::format("{} port {}", each.endpoint.address, each.endpoint.port);
        BOOST_OUTCOME_TRYV(names.upstreams.add(each.id.value(), place + ".id"));
        BOOST_OUTCOME_TRYV(names.endpoints.add(endpoint, place + ".port"));
        const auto [pool, isNew] = kinds.emplace(each.pool, each.kind);
        if (isNew) {
            BOOST_OUTCOME_TRYV(names.pools.add(each.pool.value(), place + ".pool"));
        }
        if (pool->second != each.kind)
            return invalid(place + ".pool",
                           fmt::format("is \"{}\"; a pool holds engines or services, not both",
                                       each.pool.value()));
        if (each.kind == UpstreamKind::Engine && each.memory.count == 0)
            return invalid(place + ".memoryBytes", "is 0; an engine needs at least 1");
    }
    return boost::outcome_v2::success();
}

Result<void> checkRoutes(const Deployment &deployment, const std::string &path, GlobalNames &names)
{
    for (std::size_t i = 0; i < deployment.routes.size(); ++i) {
        const ServiceRoute &each = deployment.routes[i];
        const std::string place = fmt::format("{}.routes[{}]", path, i);
        BOOST_OUTCOME_TRYV(names.pathPrefixes.add(each.pathPrefix, place + ".pathPrefix"));
        bool isServicePool = false;
        for (const UpstreamSpec &upstream : deployment.upstreams)
            isServicePool |= upstream.pool == each.pool && upstream.kind == UpstreamKind::Service;
        if (!isServicePool)
            return invalid(place + ".pool",
                           fmt::format("is \"{}\"; no service of this deployment is in this pool",
                                       each.pool.value()));
    }
    return boost::outcome_v2::success();
}

Result<void> checkTargetNames(const Deployment &deployment, const std::string &path,
                              GlobalNames &names)
{
    for (std::size_t i = 0; i < deployment.models.size(); ++i) {
        const std::string place = fmt::format("{}.models[{}].id", path, i);
        BOOST_OUTCOME_TRYV(names.models.add(deployment.models[i].id.value(), place));
    }
    for (std::size_t i = 0; i < deployment.adapters.size(); ++i) {
        const std::string place = fmt::format("{}.adapters[{}].id", path, i);
        BOOST_OUTCOME_TRYV(names.adapters.add(deployment.adapters[i].id.value(), place));
    }
    return boost::outcome_v2::success();
}

Result<void> checkDeadlines(const DeadlinePolicy &deadlines, const std::string &path)
{
    if (deadlines.defaultDeadline > deadlines.maxDeadline)
        return invalid(path + ".deadlines.defaultDeadlineMs",
                       fmt::format("is {}; it must be at most maxDeadlineMs, which is {}",
                                   deadlines.defaultDeadline.count(),
                                   deadlines.maxDeadline.count()));
    return boost::outcome_v2::success();
}

Result<void> checkDeployment(const Deployment &deployment, const std::string &path,
                             GlobalNames &names)
{
    BOOST_OUTCOME_TRYV(names.deployments.add(deployment.id.value(), path + ".id"));
    BOOST_OUTCOME_TRYV(checkCallerClasses(deployment, path, names));
    BOOST_OUTCOME_TRYV(checkUpstreams(deployment, path, names));
    BOOST_OUTCOME_TRYV(checkTargetNames(deployment, path, names));
    BOOST_OUTCOME_TRYV(checkRoutes(deployment, path, names));
    BOOST_OUTCOME_TRYV(checkDeadlines(deployment.deadlines, path));
    return checkReplicaBounds(deployment, path);
}

} // namespace

Result<void> checkConfiguration(const Configuration &configuration)
{
    std::optional<Error> error;
    FieldChecker checker("", error);
    visitFields(checker, configuration);
    if (error)
        return *error;
    GlobalNames names;
    BOOST_OUTCOME_TRYV(checkOperators(configuration, names));
    for (std::size_t i = 0; i < configuration.deployments.size(); ++i) {
        const std::string path = fmt::format("deployments[{}]", i);
        BOOST_OUTCOME_TRYV(checkDeployment(configuration.deployments[i], path, names));
    }
    return boost::outcome_v2::success();
}

} // namespace bamboochute::admin
