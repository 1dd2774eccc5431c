/// @file
/// @brief The administration API: parses a request, passes the call to the instance and turns the
/// result into a response.
#pragma once

#include "admin/admin_call.hpp"
#include "admin/admin_json.hpp"
#include "admin/admin_message.hpp"
#include "admin/configuration_format.hpp"
#include "admin/credentials.hpp"
#include "admin/fleet_status.hpp"
#include "admin/submission.hpp"
#include "core/overloaded.hpp"

#include <concepts>
#include <functional>
#include <utility>

namespace bamboochute::admin {

/// @brief The functions of an instance that the administration API calls.
///
/// All functions are called on the control thread. Each callback is called exactly once on the same
/// thread, either within the call or later. The explain and drain functions return InvalidField
/// with the name of an object that doesn't exist.
template<typename T>
concept AdminPorts = requires(T &ports, SubmitRequest request, UpstreamId upstream,
                              InstanceId instance, RequestId requestId, Target target,
                              std::function<void(Result<SubmitOutcome>)> submitted,
                              std::function<void(Result<std::vector<ConfigurationRoot>>)> listed,
                              std::function<void(Result<DrainStatus>)> drained,
                              std::function<void(Result<FleetStatus>)> collected,
                              std::function<void(Result<Explanation>)> explained)
{
    ports.submit(std::move(request), std::move(submitted));
    ports.history(std::move(listed));
    ports.status(std::move(collected));
    ports.drainUpstream(upstream, drained);
    ports.drainInstance(instance, drained);
    ports.explainRequest(requestId, explained);
    ports.explainPlacement(target, explained);
    {
        ports.inForce()
        } -> std::same_as<const ConfigurationInForce &>;
    {
        ports.readiness()
        } -> std::same_as<Readiness>;
    {
        ports.metricsText()
        } -> std::same_as<std::string>;
    {
        ports.wallTime()
        } -> std::same_as<WallTime>;
};

/// @brief Handles administration requests by calling the functions of the instance.
/// @tparam Ports provides these functions
template<AdminPorts Ports>
class AdminApi
{
public:
    /// @param ports must outlive the API and every call in progress
    /// @param bootstrapHash SHA-256 (hex) of the credential that is valid while no operator is
    /// configured; empty when there is none
    AdminApi(Ports &ports, std::string bootstrapHash)
        : ports(ports)
        , bootstrapHash(std::move(bootstrapHash))
    {}

    /// @brief Checks path, method, parameters and credential; doesn't use the body.
    /// @return name of the operator, empty for public calls; or UnknownPath, MethodNotAllowed,
    /// MalformedRequest, InvalidField or Unauthenticated
    Result<std::string> admit(const AdminRequest &request) const
    {
        BOOST_OUTCOME_TRY(call, parseCall(request));
        if (isPublic(call))
            return std::string();
        const ConfigurationPointer &configuration = this->ports.inForce().configuration();
        return authenticate(request.authorization, configuration.get(), this->bootstrapHash);
    }

    /// @brief Handles one request.
    /// @param done called exactly once with the response, within this call or later on the same
    /// thread
    void handle(const AdminRequest &request, AdminDone done)
    {
        const Result<std::string> author = this->admit(request);
        if (!author) {
            done(errorResponse(author.error()));
            return;
        }
        auto call = parseCall(request);
        std::visit(
                [&](auto &typedCall) {
                    this->handleCall(typedCall, author.value(), std::move(done));
                },
                call.value());
    }

private:
    template<typename T, typename MakeResponse>
    static std::function<void(Result<T>)> makeResultCallback(AdminDone done,
                                                             MakeResponse makeResponse)
    {
        return [done = std::move(done), makeResponse](Result<T> result) {
            done(result ? makeResponse(result.value()) : errorResponse(result.error()));
        };
    }

    void handleCall(const SubmitCall &call, const std::string &author, AdminDone done)
    {
        auto configuration = readConfiguration(call.text);
        if (!configuration) {
            done(errorResponse(configuration.error()));
            return;
        }
        this->submit({std::move(configuration.value()), call.expectedRevision, call.submissionId,
                      author, this->ports.wallTime(), call.isDryRun},
                     std::move(done));
    }

    void handleCall(const RollbackCall &call, const std::string &author, AdminDone done)
    {
        this->submit({RollBackTo{call.revision}, call.expectedRevision, call.submissionId, author,
                      this->ports.wallTime(), call.isDryRun},
                     std::move(done));
    }

    void submit(SubmitRequest request, AdminDone done)
    {
        this->ports.submit(std::move(request),
                           makeResultCallback<SubmitOutcome>(std::move(done), submitResponse));
    }

    void handleCall(const GetConfigurationCall &, const std::string &, AdminDone done)
    {
        done(configurationResponse(this->ports.inForce()));
    }

    void handleCall(const HistoryCall &, const std::string &, AdminDone done)
    {
        this->ports.history(makeResultCallback<std::vector<ConfigurationRoot>>(std::move(done),
                                                                               historyResponse));
    }

    void handleCall(const StatusCall &, const std::string &, AdminDone done)
    {
        this->ports.status(makeResultCallback<FleetStatus>(std::move(done), statusResponse));
    }

    void handleCall(const DrainUpstreamCall &call, const std::string &, AdminDone done)
    {
        this->ports.drainUpstream(call.upstream,
                                  makeResultCallback<DrainStatus>(std::move(done), drainResponse));
    }

    void handleCall(const DrainInstanceCall &call, const std::string &, AdminDone done)
    {
        this->ports.drainInstance(call.instance,
                                  makeResultCallback<DrainStatus>(std::move(done), drainResponse));
    }

    void handleCall(const ExplainRequestCall &call, const std::string &, AdminDone done)
    {
        this->ports.explainRequest(call.request, makeResultCallback<Explanation>(
                                                         std::move(done), explanationResponse));
    }

    void handleCall(const ExplainPlacementCall &call, const std::string &, AdminDone done)
    {
        this->ports.explainPlacement(
                call.target, makeResultCallback<Explanation>(std::move(done), explanationResponse));
    }

    void handleCall(const MetricsCall &, const std::string &, AdminDone done)
    {
        done(metricsResponse(this->ports.metricsText()));
    }

    void handleCall(const HealthCall &, const std::string &, AdminDone done)
    {
        done(healthResponse());
    }

    void handleCall(const ReadyCall &, const std::string &, AdminDone done)
    {
        done(readinessResponse(this->ports.readiness()));
    }

    Ports &ports;
    std::string bootstrapHash;
};

} // namespace bamboochute::admin
