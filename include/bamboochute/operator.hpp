/// @file
/// @brief Public header of the operators' library: builds a configuration and prints it as JSON.
///
/// Every builder is a value whose functions return it again, so that a deployment reads in one
/// expression. Values are checked as they are added; the first thing that is wrong is kept and
/// returned by Configuration::print, naming field, value and limit.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <chrono>
#include <initializer_list>
#include <optional>
#include <string>

namespace bamboochute::operators {

constexpr Bytes mebibytes(std::uint64_t count)
{
    return Bytes{count << 20};
}

constexpr Bytes gibibytes(std::uint64_t count)
{
    return Bytes{count << 30};
}

/// @brief Callers that are treated alike.
class Callers
{
public:
    explicit Callers(const std::string &id) { this->spec.id = CallerClassId(id); }

    /// @brief Share of the capacity under overload, relative to the other classes.
    Callers &weight(std::uint32_t weight);
    /// @brief Passed on to engines; higher goes first.
    Callers &enginePriority(std::int32_t priority);
    /// @brief Requests of the class that may wait at one instance.
    Callers &maxQueued(std::uint32_t requests);
    /// @brief Requires a bearer credential.
    /// @param sha256 SHA-256 of the credential, 64 lower-case hexadecimal digits
    Callers &credentialHash(const std::string &sha256);

    const CallerClass &value() const { return this->spec; }

private:
    CallerClass spec;
};

/// @brief A model in one version.
class Model
{
public:
    /// @param id such as "lease-terms@3"
    explicit Model(const std::string &id) { this->spec.id = ModelId(id); }

    /// @brief Accelerator memory of one replica, with its KV cache.
    Model &memory(Bytes memory);
    /// @brief Replicas that are always loaded, and the most that may be, in each pool.
    Model &replicas(std::uint32_t least, std::uint32_t most);
    /// @brief Data centres where it may run; any if this is not called.
    Model &onlyIn(std::initializer_list<std::string> dataCentres);
    /// @brief Model that is likely wanted next.
    Model &followedBy(const std::string &model);

    const ModelSpec &value() const { return this->spec; }

private:
    ModelSpec spec;
};

/// @brief An adapter on a base model.
class Adapter
{
public:
    explicit Adapter(const std::string &id) { this->spec.id = AdapterId(id); }

    /// @brief The base model.
    Adapter &on(const std::string &model);
    Adapter &memory(Bytes memory);
    /// @brief Most replicas in each pool.
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

    Upstream &pool(const std::string &pool);
    /// @param address IP number
    Upstream &at(const std::string &address, std::uint16_t port);
    Upstream &at(const Endpoint &endpoint);
    Upstream &in(const std::string &dataCentre);
    Upstream &vendor(Vendor vendor);
    /// @brief Whether it refuses orders with an old fencing number.
    Upstream &fencing(Fencing fencing);
    /// @brief States that it checks who gives it an order; without this, it doesn't.
    Upstream &checksSender();
    Upstream &role(EngineRole role);
    Upstream &memory(Bytes memory);
    Upstream &accelerators(std::uint32_t count);
    /// @brief Requests that it works on at once.
    Upstream &maxConcurrent(std::uint32_t requests);

    const UpstreamSpec &value() const { return this->spec; }

private:
    UpstreamSpec spec;
};

/// @brief A worker with a model engine.
Upstream engine(const std::string &id);
/// @brief A plain service.
Upstream service(const std::string &id);

/// @brief Calls to a plain service, by path prefix.
class Route
{
public:
    explicit Route(const std::string &pathPrefix) { this->spec.pathPrefix = pathPrefix; }

    Route &to(const std::string &pool);
    /// @brief Methods whose calls must not run twice.
    Route &runAtMostOnce(std::initializer_list<std::string> methods);
    /// @brief How long an operation key is remembered.
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
    /// @brief Deadline of a request that names none, and the greatest that it may name.
    Deployment &deadlines(std::chrono::milliseconds usual, std::chrono::milliseconds greatest);
    /// @brief Limits of the weight store, for the whole fleet.
    Deployment &store(double loadsPerSecond, std::uint32_t loadsAtOnce,
                      std::uint32_t adaptersInTransit);
    /// @brief Idle accelerator seconds that are worth one second of cold start.
    Deployment &idleSecondsPerColdStartSecond(double seconds);

    const bamboochute::Deployment &value() const { return this->spec; }
    /// @brief The first thing that is wrong so far.
    const std::optional<Error> &error() const { return this->firstError; }

private:
    bamboochute::Deployment spec;
    std::optional<Error> firstError;
};

/// @brief Everything that is submitted at once.
class Configuration
{
public:
    /// @brief Names an operator who may use the administration API.
    /// @param sha256 SHA-256 of the credential, 64 lower-case hexadecimal digits
    Configuration &allow(const std::string &operatorName, const std::string &sha256);
    Configuration &add(const Deployment &deployment);

    /// @brief Checks the whole and prints it.
    /// @return JSON, the same bytes for the same configuration; or ConfigurationInvalid
    Result<std::string> print() const;

    const bamboochute::Configuration &value() const { return this->spec; }

private:
    bamboochute::Configuration spec;
    std::optional<Error> firstError;
};

} // namespace bamboochute::operators
