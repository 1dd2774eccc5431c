/// @file
/// @brief Sends orders to upstreams and reads their reports, in the decision core's terms.
#pragma once

#include "decision/events.hpp"
#include "node/control_context.hpp"

#include <functional>
#include <memory>

namespace bamboochute::node {

/// @brief Finds upstreams in the configuration in force and speaks their vendors' dialects.
class UpstreamOrders
{
public:
    explicit UpstreamOrders(ControlContext &context);
    ~UpstreamOrders();
    UpstreamOrders(const UpstreamOrders &) = delete;
    UpstreamOrders &operator=(const UpstreamOrders &) = delete;

    void setConfiguration(ConfigurationPointer configuration);

    /// @brief Sends an order once.
    /// @param done gets its end, once
    void send(const decision::Order &order, std::function<void(decision::OrderFinished)> done);

    /// @brief Reads an upstream's report.
    /// @param done gets the report, UpstreamUnavailable when no process listens there, or why it
    ///        is not trusted
    void readReport(const UpstreamSpec &upstream,
                    std::function<void(Result<decision::ReportReceived>)> done);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
