#include "admin/configuration_check.hpp"

#include "admin/field_checker.hpp"
#include "admin/replica_bounds.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace bamboochute::admin {

namespace {

Error invalid(const std::string &fieldPath, const std::string &message)
{
    return Error(ErrorKind::ConfigurationInvalid, fmt::format("{} {}", fieldPath, message),
                 fieldPath);
}

/// Finds duplicate values; keeps the field path where each value first occurred.
class UniqueValues
{
public:
    explicit UniqueValues(std::string valueKind)
        : valueKind(std::move(valueKind))
    {}

    Result<void> add(const std::string &name, const std::string &fieldPath)
    {
        const auto [entry, isNew] = this->firstPaths.emplace(name, fieldPath);
        if (!isNew)
            return invalid(fieldPath, fmt::format("is \"{}\"; {} already has this {}", name,
                                                  entry->second, this->valueKind));
        return boost::outcome_v2::success();
    }

private:
    std::string valueKind;
    std::unordered_map<std::string, std::string> firstPaths;
};

/// Values that must be unique in the whole configuration; a pool must be unique among the
/// deployments.
struct GlobalNames
{
    UniqueValues deployments{"id"};
    UniqueValues models{"id"};
    UniqueValues adapters{"id"};
    UniqueValues upstreams{"id"};
    UniqueValues endpoints{"address and port"};
    UniqueValues pathPrefixes{"path prefix"};
    UniqueValues pools{"pool of another deployment"};
    UniqueValues credentials{"credential"};
};

Result<void> addUniqueCredential(GlobalNames &names, const std::string &hash,
                                 const std::string &fieldPath)
{
    if (hash.empty())
        return boost::outcome_v2::success();
    if (!names.credentials.add(hash, fieldPath))
        return invalid(fieldPath, "is given twice; every credential must be another");
    return boost::outcome_v2::success();
}

Result<void> checkOperators(const Configuration &configuration, GlobalNames &names)
{
    UniqueValues operators("name");
    for (std::size_t i = 0; i < configuration.operators.size(); ++i) {
        const OperatorCredential &each = configuration.operators[i];
        const std::string fieldPath = fmt::format("operators[{}]", i);
        BOOST_OUTCOME_TRYV(operators.add(each.name, fieldPath + ".name"));
        BOOST_OUTCOME_TRYV(
                addUniqueCredential(names, each.credentialHash, fieldPath + ".credentialHash"));
    }
    return boost::outcome_v2::success();
}

Result<void> checkCallerClasses(const Deployment &deployment, const std::string &path,
                                GlobalNames &names)
{
    UniqueValues classes("id");
    for (std::size_t i = 0; i < deployment.callerClasses.size(); ++i) {
        const CallerClass &each = deployment.callerClasses[i];
        const std::string fieldPath = fmt::format("{}.callerClasses[{}]", path, i);
        BOOST_OUTCOME_TRYV(classes.add(each.id.value(), fieldPath + ".id"));
        BOOST_OUTCOME_TRYV(
                addUniqueCredential(names, each.credentialHash, fieldPath + ".credentialHash"));
    }
    return boost::outcome_v2::success();
}

Result<void> checkUpstreams(const Deployment &deployment, const std::string &path,
                            GlobalNames &names)
{
    std::map<PoolId, UpstreamKind> kinds;
    for (std::size_t i = 0; i < deployment.upstreams.size(); ++i) {
        const UpstreamSpec &each = deployment.upstreams[i];
        const std::string fieldPath = fmt::format("{}.upstreams[{}]", path, i);
        const std::string endpoint
                = fmt::format("{} port {}", each.endpoint.address, each.endpoint.port);
        BOOST_OUTCOME_TRYV(names.upstreams.add(each.id.value(), fieldPath + ".id"));
        BOOST_OUTCOME_TRYV(names.endpoints.add(endpoint, fieldPath + ".port"));
        const auto [pool, isNew] = kinds.emplace(each.pool, each.kind);
        if (isNew) {
            BOOST_OUTCOME_TRYV(names.pools.add(each.pool.value(), fieldPath + ".pool"));
        }
        if (pool->second != each.kind)
            return invalid(fieldPath + ".pool",
                           fmt::format("is \"{}\"; a pool holds engines or services, not both",
                                       each.pool.value()));
        if (each.kind == UpstreamKind::Engine && each.memory.count == 0)
            return invalid(fieldPath + ".memoryBytes", "is 0; an engine needs at least 1");
    }
    return boost::outcome_v2::success();
}

Result<void> checkRoutes(const Deployment &deployment, const std::string &path, GlobalNames &names)
{
    for (std::size_t i = 0; i < deployment.routes.size(); ++i) {
        const ServiceRoute &each = deployment.routes[i];
        const std::string fieldPath = fmt::format("{}.routes[{}]", path, i);
        BOOST_OUTCOME_TRYV(names.pathPrefixes.add(each.pathPrefix, fieldPath + ".pathPrefix"));
        bool isServicePool = false;
        for (const UpstreamSpec &upstream : deployment.upstreams)
            isServicePool |= upstream.pool == each.pool && upstream.kind == UpstreamKind::Service;
        if (!isServicePool)
            return invalid(fieldPath + ".pool",
                           fmt::format("is \"{}\"; no service of this deployment is in this pool",
                                       each.pool.value()));
    }
    return boost::outcome_v2::success();
}

Result<void> checkTargetNames(const Deployment &deployment, const std::string &path,
                              GlobalNames &names)
{
    for (std::size_t i = 0; i < deployment.models.size(); ++i) {
        const std::string fieldPath = fmt::format("{}.models[{}].id", path, i);
        BOOST_OUTCOME_TRYV(names.models.add(deployment.models[i].id.value(), fieldPath));
    }
    for (std::size_t i = 0; i < deployment.adapters.size(); ++i) {
        const std::string fieldPath = fmt::format("{}.adapters[{}].id", path, i);
        BOOST_OUTCOME_TRYV(names.adapters.add(deployment.adapters[i].id.value(), fieldPath));
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
