/// @file
/// @brief Gives the administration API access to the state and the operations of this instance.
#pragma once

#include "admin/admin_api.hpp"
#include "caller/server.hpp"
#include "node/configuration_driver.hpp"
#include "node/pools.hpp"
#include "node/upstream_monitor.hpp"

#include <functional>

namespace bamboochute::node {

/// @brief Objects of the control thread that AdminPorts uses; all must outlive it.
struct AdminPortsDependencies
{
    ControlContext &context;
    ConfigurationDriver &configuration;
    GossipDriver &gossip;
    Pools &pools;
    UpstreamMonitor &upstreams;
    platform::KeyValueClient &keyValue;
    caller::Server &server;
    /// Begins the graceful stop of this instance.
    std::function<void()> beginStop;
};

/// @brief Satisfies admin::AdminPorts, which documents the functions; control thread only.
class AdminPorts
{
public:
    explicit AdminPorts(AdminPortsDependencies dependencies);

    void submit(admin::SubmitRequest request,
                std::function<void(Result<admin::SubmitOutcome>)> done);
    void history(std::function<void(Result<std::vector<admin::ConfigurationRoot>>)> done);
    void status(std::function<void(Result<admin::FleetStatus>)> done);
    void drainUpstream(const UpstreamId &upstream,
                       std::function<void(Result<admin::DrainStatus>)> done);
    void drainInstance(const InstanceId &instance,
                       std::function<void(Result<admin::DrainStatus>)> done);
    void explainRequest(const RequestId &request,
                        std::function<void(Result<admin::Explanation>)> done);
    void explainPlacement(const Target &target,
                          std::function<void(Result<admin::Explanation>)> done);
    const admin::ConfigurationInForce &inForce() const;
    admin::Readiness readiness() const;
    std::string metricsText() const;
    admin::WallTime wallTime() const;

private:
    std::vector<admin::InstanceStatus> instanceStatus() const;
    std::vector<admin::UpstreamStatus> upstreamStatus() const;
    std::vector<admin::ReplicaStatus> replicaStatus() const;
    std::vector<admin::OwnerStatus> ownerStatus() const;

    AdminPortsDependencies dependencies;
};

static_assert(admin::AdminPorts<AdminPorts>);

} // namespace bamboochute::node
