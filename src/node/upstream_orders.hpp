/// @file
/// @brief Sends orders to upstreams and reads their reports, with the types of package decision.
#pragma once

#include "decision/events.hpp"
#include "node/control_context.hpp"

#include <functional>
#include <memory>

namespace bamboochute::node {

/// @brief Translates between package decision and upstream::OrderClient, which speaks the engines'
/// protocols; looks upstreams up in the configuration.
class UpstreamOrders
{
public:
    explicit UpstreamOrders(ControlContext &context);
    ~UpstreamOrders();
    UpstreamOrders(const UpstreamOrders &) = delete;
    UpstreamOrders &operator=(const UpstreamOrders &) = delete;

    void setConfiguration(ConfigurationPointer configuration);

    /// @brief Sends an order to its upstream, without retries.
    /// @param order refused when no configuration had its upstream
    /// @param done called once with the outcome, on the control thread
    void send(const decision::Order &order, std::function<void(decision::OrderFinished)> done);

    /// @brief Reads an upstream's report of its load and of the targets that it holds.
    /// @param upstream whose report is read
    /// @param done gets the report, UpstreamUnavailable when no process listens there, or another
    ///        error that says why the report can't be trusted
    void readReport(const UpstreamSpec &upstream,
                    std::function<void(Result<decision::ReportReceived>)> done);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
