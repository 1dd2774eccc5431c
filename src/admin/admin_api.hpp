/// @file
/// @brief The administration API: a request becomes a call, a call goes to a port, the port's
/// result becomes an answer.
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

/// @brief What the administration API needs of the node.
///
/// All functions are called on the control thread, and done functions may be called at once or
/// later, on the same thread, exactly once. explain and drain answer InvalidField naming what
/// doesn't exist.
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

/// @brief Answers administration requests over the node's ports.
template<AdminPorts Ports>
class AdminApi
{
public:
    /// @param ports must outlive the API and every call under way
    /// @param bootstrapHash SHA-256 (hex) of the credential that is valid while no operator is
    /// configured; empty when there is none
    AdminApi(Ports &ports, std::string bootstrapHash)
        : ports(ports)
        , bootstrapHash(std::move(bootstrapHash))
    {}

    /// @brief Checks path, method and credential; the body need not be there yet.
    /// @return name of the operator; empty for public calls
    Result<std::string> admit(const AdminRequest &request) const
    {
        BOOST_OUTCOME_TRY(call, parseCall(request));
        if (isPublic(call))
            return std::string();
        const ConfigurationPointer &configuration = this->ports.inForce().configuration();
        return authenticate(request.authorization, configuration.get(), this->bootstrapHash);
    }

    /// @brief Answers one request.
    /// @param done called exactly once, at once or later on the same thread
    void handle(const AdminRequest &request, AdminDone done)
    {
        const Result<std::string> author = this->admit(request);
        if (!author) {
            done(errorResponse(author.error()));
            return;
        }
        auto call = parseCall(request);
        std::visit([&](auto &each) { this->answer(each, author.value(), std::move(done)); },
                   call.value());
    }

private:
    template<typename T, typename Render>
    static std::function<void(Result<T>)> answering(AdminDone done, Render render)
    {
        return [done = std::move(done), render](Result<T> result) {
            done(result ? render(result.value()) : errorResponse(result.error()));
        };
    }

    void answer(const SubmitCall &call, const std::string &author, AdminDone done)
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

    void answer(const RollbackCall &call, const std::string &author, AdminDone done)
    {
        this->submit({RollBackTo{call.revision}, call.expectedRevision, call.submissionId, author,
                      this->ports.wallTime(), call.isDryRun},
                     std::move(done));
    }

    void submit(SubmitRequest request, AdminDone done)
    {
        this->ports.submit(std::move(request),
                           answering<SubmitOutcome>(std::move(done), submitResponse));
    }

    void answer(const GetConfigurationCall &, const std::string &, AdminDone done)
    {
        done(configurationResponse(this->ports.inForce()));
    }

    void answer(const HistoryCall &, const std::string &, AdminDone done)
    {
        this->ports.history(
                answering<std::vector<ConfigurationRoot>>(std::move(done), historyResponse));
    }

    void answer(const StatusCall &, const std::string &, AdminDone done)
    {
        this->ports.status(answering<FleetStatus>(std::move(done), statusResponse));
    }

    void answer(const DrainUpstreamCall &call, const std::string &, AdminDone done)
    {
        this->ports.drainUpstream(call.upstream,
                                  answering<DrainStatus>(std::move(done), drainResponse));
    }

    void answer(const DrainInstanceCall &call, const std::string &, AdminDone done)
    {
        this->ports.drainInstance(call.instance,
                                  answering<DrainStatus>(std::move(done), drainResponse));
    }

    void answer(const ExplainRequestCall &call, const std::string &, AdminDone done)
    {
        this->ports.explainRequest(call.request,
                                   answering<Explanation>(std::move(done), explanationResponse));
    }

    void answer(const ExplainPlacementCall &call, const std::string &, AdminDone done)
    {
        this->ports.explainPlacement(call.target,
                                     answering<Explanation>(std::move(done), explanationResponse));
    }

    void answer(const MetricsCall &, const std::string &, AdminDone done)
    {
        done(metricsResponse(this->ports.metricsText()));
    }

    void answer(const HealthCall &, const std::string &, AdminDone done) { done(healthResponse()); }

    void answer(const ReadyCall &, const std::string &, AdminDone done)
    {
        done(readinessResponse(this->ports.readiness()));
    }

    Ports &ports;
    std::string bootstrapHash;
};

} // namespace bamboochute::admin
