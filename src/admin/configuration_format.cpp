#include "admin/configuration_format.hpp"

#include "admin/configuration_check.hpp"
#include "admin/field_reader.hpp"
#include "admin/field_writer.hpp"
#include "admin/json_text.hpp"

#include <algorithm>
#include <functional>

namespace bamboochute::admin {

namespace {

constexpr int indentation = 2;
constexpr JsonLimits configurationLimits{maxConfigurationBytes, maxConfigurationDepth};

template<typename Spec, typename Key>
void sortBy(std::vector<Spec> &specs, Key Spec::*key)
{
    std::stable_sort(specs.begin(), specs.end(),
                     [key](const Spec &left, const Spec &right) { return left.*key < right.*key; });
}

void sortDeployment(Deployment &deployment)
{
    sortBy(deployment.callerClasses, &CallerClass::id);
    sortBy(deployment.models, &ModelSpec::id);
    sortBy(deployment.adapters, &AdapterSpec::id);
    sortBy(deployment.upstreams, &UpstreamSpec::id);
    sortBy(deployment.routes, &ServiceRoute::pathPrefix);
    for (ModelSpec &model : deployment.models)
        std::sort(model.dataCentres.begin(), model.dataCentres.end());
    for (ServiceRoute &route : deployment.routes)
        std::sort(route.nonIdempotentMethods.begin(), route.nonIdempotentMethods.end());
}

} // namespace

Result<Configuration> readConfiguration(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text, configurationLimits));
    std::optional<Error> error;
    Configuration configuration;
    FieldReader reader(json, "", error);
    if (!error) {
        visitFields(reader, configuration);
        reader.finish();
    }
    if (error)
        return *error;
    BOOST_OUTCOME_TRYV(checkConfiguration(configuration));
    return sorted(std::move(configuration));
}

std::string writeConfiguration(const Configuration &configuration)
{
    return toJson(sorted(configuration)).dump(indentation) + "\n";
}

Configuration sorted(Configuration configuration)
{
    sortBy(configuration.operators, &OperatorCredential::name);
    sortBy(configuration.deployments, &Deployment::id);
    for (Deployment &deployment : configuration.deployments)
        sortDeployment(deployment);
    return configuration;
}

} // namespace bamboochute::admin
