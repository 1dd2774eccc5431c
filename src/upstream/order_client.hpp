/// @file
/// @brief Sends orders to engines and reads their reports, from the control thread.
#pragma once

#include "core/configuration.hpp"
#include "core/metrics.hpp"
#include "upstream/engine_report.hpp"
#include "upstream/orders.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace bamboochute::upstream {

/// @brief Time limits of calls to engines.
struct OrderTimeouts
{
    /// From the order to the confirmation of a load.
    Duration load = std::chrono::minutes(5);
    /// Other orders.
    Duration order = std::chrono::seconds(30);
    Duration report = std::chrono::seconds(2);
    Duration connect = std::chrono::seconds(1);
    auto operator<=>(const OrderTimeouts &) const = default;
};

using OrderCallback = std::function<void(OrderOutcome)>;
using ReportCallback = std::function<void(Result<EngineReport>)>;

/// @brief Calls engines in the dialect of their vendor; callbacks run on the context's thread.
class OrderClient
{
public:
    /// @param context event loop of the control thread; must outlive the client
    /// @param orderCredential bearer credential for upstreams that check the sender
    /// @param metrics where calls and their outcomes are counted
    OrderClient(boost::asio::io_context &context, std::string orderCredential, Metrics &metrics,
                OrderTimeouts timeouts = {});
    ~OrderClient();
    OrderClient(const OrderClient &) = delete;
    OrderClient &operator=(const OrderClient &) = delete;

    /// @brief Sends an order; it is sent once and never repeated here.
    /// @param done called once, unless the client is gone by then
    void send(const Order &order, const UpstreamSpec &upstream, OrderCallback done);

    /// @brief Asks for load and inventory, and checks them against what is configured.
    /// @param done gets the report, ReportDistrusted, UpstreamUnavailable when the host answered
    /// that
    ///        no process listens there, or UpstreamTimedOut when nothing is known of the process
    void fetchReport(const UpstreamSpec &upstream, ReportCallback done);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::upstream
