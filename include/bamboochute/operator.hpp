/// @file
/// @brief Public header of the operators' library: builds a configuration and prints it as JSON.
///
/// Every function of a builder returns the builder, so that calls can be chained. Values are
/// checked when they are added to a deployment or configuration. The first error is kept and
/// returned by Configuration::print; it names the field, its value and the limit.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <chrono>
#include <initializer_list>
#include <optional>
#include <string>

namespace bamboochute::operators {

/// @brief Converts MiB to bytes.
constexpr Bytes mebibytes(std::uint64_t count)
{
    return Bytes{count << 20};
}

/// @brief Converts GiB to bytes.
constexpr Bytes gibibytes(std::uint64_t count)
{
    return Bytes{count << 30};
}

/// @brief A caller class: callers that share a weight, a priority and a queue limit.
class Callers
{
public:
    explicit Callers(const std::string &id) { this->spec.id = CallerClassId(id); }

    /// @brief Sets the share of the capacity under overload, relative to the other classes.
    Callers &weight(std::uint32_t weight);
    /// @brief Sets the priority that is passed on to engines; higher goes first.
    Callers &enginePriority(std::int32_t priority);
    /// @brief Sets the maximum number of requests of the class that wait at one instance.
    Callers &maxQueued(std::uint32_t requests);
    /// @brief Requires callers of the class to send a bearer credential.
    /// @param sha256 SHA-256 of the credential, 64 lower-case hexadecimal digits
    Callers &credentialHash(const std::string &sha256);

    const CallerClass &value() const { return this->spec; }

private:
    CallerClass spec;
};

/// @brief One version of a model.
class Model
{
public:
    /// @param id name and version, such as "lease-terms@3"
    explicit Model(const std::string &id) { this->spec.id = ModelId(id); }

    /// @brief Sets the accelerator memory of one replica, with its KV cache.
    Model &memory(Bytes memory);
    /// @brief Sets the number of replicas in each pool.
    /// @param least minimum; these replicas are always loaded
    /// @param most maximum
    Model &replicas(std::uint32_t least, std::uint32_t most);
    /// @brief Restricts the data centres in which the model may run; without this call, any.
    Model &onlyIn(std::initializer_list<std::string> dataCentres);
    /// @brief Names the model that is likely to be requested next.
    Model &followedBy(const std::string &model);

    const ModelSpec &value() const { return this->spec; }

private:
    ModelSpec spec;
};

/// @brief An adapter for a base model.
class Adapter
{
public:
    explicit Adapter(const std::string &id) { this->spec.id = AdapterId(id); }

    /// @brief Sets the base model, by its id.
    Adapter &on(const std::string &model);
    /// @brief Sets the accelerator memory of the adapter.
    Adapter &memory(Bytes memory);
    /// @brief Sets the maximum number of replicas in each pool.
    Adapter &atMost(std::uint32_t replicas);

    const AdapterSpec &value() const { return this->spec; }

private:
    AdapterSpec spec;
};

/// @brief An upstream: a worker with a model engine, or a plain service.
class Upstream
{
public:
    Upstream(const std::string &id, UpstreamKind kind);

    /// @brief Sets the pool; a pool holds engines or services, not both.
    Upstream &pool(const std::string &pool);
    /// @brief Sets the endpoint.
    /// @param address IP address
    /// @param port TCP port
    Upstream &at(const std::string &address, std::uint16_t port);
    /// @brief Sets the endpoint.
    Upstream &at(const Endpoint &endpoint);
    /// @brief Sets the data centre in which the upstream runs.
    Upstream &in(const std::string &dataCentre);
    Upstream &vendor(Vendor vendor);
    /// @brief Sets whether the engine refuses orders with an old fencing number.
    Upstream &fencing(Fencing fencing);
    /// @brief Declares that the engine checks who sends it an order; without this call, it doesn't.
    Upstream &checksSender();
    Upstream &role(EngineRole role);
    /// @brief Sets the accelerator memory.
    Upstream &memory(Bytes memory);
    /// @brief Sets the number of accelerators.
    Upstream &accelerators(std::uint32_t count);
    /// @brief Sets the maximum number of requests that the upstream runs at the same time.
    Upstream &maxConcurrent(std::uint32_t requests);

    const UpstreamSpec &value() const { return this->spec; }

private:
    UpstreamSpec spec;
};

/// @brief Creates a worker with a model engine.
Upstream engine(const std::string &id);
/// @brief Creates a plain service, that is, an upstream without a model engine.
Upstream service(const std::string &id);

/// @brief Routes requests with a path prefix to a pool of plain services.
class Route
{
public:
    explicit Route(const std::string &pathPrefix) { this->spec.pathPrefix = pathPrefix; }

    /// @brief Sets the pool of plain services.
    Route &to(const std::string &pool);
    /// @brief Sets the HTTP methods that are not idempotent: their requests must not run twice.
    Route &runAtMostOnce(std::initializer_list<std::string> methods);
    /// @brief Sets how long an operation key is kept.
    Route &remembered(std::chrono::seconds time);

    const ServiceRoute &value() const { return this->spec; }

private:
    ServiceRoute spec;
};

/// @brief One team's models, adapters, upstreams and callers.
class Deployment
{
public:
    explicit Deployment(const std::string &id);

    Deployment &add(const Callers &callers);
    Deployment &add(const Model &model);
    Deployment &add(const Adapter &adapter);
    Deployment &add(const Upstream &upstream);
    Deployment &add(const Route &route);
    /// @brief Sets the deadlines of requests.
    /// @param usual deadline of a request that gives none
    /// @param greatest maximum deadline that a request may give
    Deployment &deadlines(std::chrono::milliseconds usual, std::chrono::milliseconds greatest);
    /// @brief Sets the limits of the weight store, which hold for the whole fleet.
    /// @param loadsPerSecond maximum rate of loads
    /// @param loadsAtOnce maximum number of concurrent loads
    /// @param adaptersInTransit maximum number of adapters that are loading at the same time
    Deployment &store(double loadsPerSecond, std::uint32_t loadsAtOnce,
                      std::uint32_t adaptersInTransit);
    /// @brief Sets the number of idle accelerator seconds that cost as much as one second of cold
    /// start.
    Deployment &idleSecondsPerColdStartSecond(double seconds);

    const bamboochute::Deployment &value() const { return this->spec; }
    /// @return the first error of the values added so far, if any
    const std::optional<Error> &error() const { return this->firstError; }

private:
    bamboochute::Deployment spec;
    std::optional<Error> firstError;
};

/// @brief A complete configuration, which is submitted as one: operators and deployments.
class Configuration
{
public:
    /// @brief Adds an operator who may use the administration API.
    /// @param sha256 SHA-256 of the credential, 64 lower-case hexadecimal digits
    Configuration &allow(const std::string &operatorName, const std::string &sha256);
    Configuration &add(const Deployment &deployment);

    /// @brief Checks the configuration as a whole and converts it to JSON.
    /// @return JSON, the same bytes for the same configuration; or ConfigurationInvalid with the
    /// first error
    Result<std::string> print() const;

    const bamboochute::Configuration &value() const { return this->spec; }

private:
    bamboochute::Configuration spec;
    std::optional<Error> firstError;
};

} // namespace bamboochute::operators
