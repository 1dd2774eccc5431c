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

/// @brief Time limits of orders and reports.
struct OrderTimeouts
{
    /// From sending an order to load until its confirmation.
    Duration load = std::chrono::minutes(5);
    /// All other orders.
    Duration order = std::chrono::seconds(30);
    Duration report = std::chrono::seconds(2);
    Duration connect = std::chrono::seconds(1);
    auto operator<=>(const OrderTimeouts &) const = default;
};

using OrderCallback = std::function<void(OrderOutcome)>;
using ReportCallback = std::function<void(Result<EngineReport>)>;

/// @brief Calls engines in the dialect of their vendor; callbacks run in the given event loop.
class OrderClient
{
public:
    /// @param context event loop of the control thread; must outlive the client
    /// @param orderCredential bearer credential for upstreams that check the sender
    /// @param metrics counts the outcomes of orders and the errors of reports; must outlive
    /// the calls in progress, also after the client's destruction
    OrderClient(boost::asio::io_context &context, std::string orderCredential, Metrics &metrics,
                OrderTimeouts timeouts = {});
    ~OrderClient();
    OrderClient(const OrderClient &) = delete;
    OrderClient &operator=(const OrderClient &) = delete;

    /// @brief Sends an order once; the client never repeats it.
    /// @param done called once with the outcome, unless the client was destroyed before
    void send(const Order &order, const UpstreamSpec &upstream, OrderCallback done);

    /// @brief Requests load and inventory, and checks them against the configuration.
    /// @param done called once, unless the client was destroyed before, with the report,
    /// ReportDistrusted, UpstreamUnavailable when the host refused the connection because no
    /// process listens, or UpstreamTimedOut when the state of the process is unknown
    void fetchReport(const UpstreamSpec &upstream, ReportCallback done);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::upstream
