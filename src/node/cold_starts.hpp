/// @file
/// @brief Requests of this instance that wait for a target to be loaded (cold starts).
#pragma once

#include "caller/ports.hpp"
#include "node/control_context.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace bamboochute::node {

/// @brief Summary of the requests that wait for one target at this instance.
struct DemandSummary
{
    Target target;
    /// Number of waiting requests.
    std::uint32_t waiting = 0;
    /// Earliest deadline of the waiting requests; TimePoint::max() when none wait.
    TimePoint earliestDeadline;
    /// Highest weight among the caller classes of the waiting requests.
    std::uint32_t weight = 0;
    auto operator<=>(const DemandSummary &) const = default;
};

/// @brief Satisfies caller::ColdStartPort: table of the requests that wait for a cold start.
///
/// The table is only touched on the control thread. The object must outlive the event loop's
/// handlers, which refer to it.
class ColdStarts
{
public:
    /// @param context of the control thread
    /// @param onDemandChanged called on the control thread with the target whose demand changed
    ColdStarts(ControlContext &context, std::function<void(const Target &)> onDemandChanged);

    /// @brief Adds a waiting request; safe to call from any thread.
    /// @param ticket identifies the request in withdraw()
    /// @param demand target, deadline and caller class of the request
    /// @param answered called with an error when the request is refused
    void demand(caller::Ticket ticket, caller::ColdStartDemand demand,
                caller::ColdStartCallback answered);

    /// @brief Removes a request that no longer waits; safe to call from any thread.
    void withdraw(caller::Ticket ticket);

    /// @brief Sets the configuration that gives the weights of caller classes; requests that are
    /// already waiting keep theirs.
    void setConfiguration(ConfigurationPointer configuration);

    /// @brief Refuses the waiting requests for a target that have a deadline before the given time.
    /// @param target whose requests are refused
    /// @param error given to each refused request
    /// @param deadlineBefore requests with this deadline or a later one go on waiting
    void refuse(const Target &target, const Error &error, TimePoint deadlineBefore);

    /// @brief Demand for one target; its count is 0 when no request waits.
    DemandSummary demandFor(const Target &target) const;

    /// @brief Demand for each target that has waiting requests.
    std::vector<DemandSummary> allDemand() const;

private:
    struct Waiter
    {
        caller::ColdStartDemand demand;
        std::uint32_t weight = 1;
        caller::ColdStartCallback answered;
    };

    void addWaiter(caller::Ticket ticket, Waiter waiter);
    void removeWaiter(caller::Ticket ticket);
    std::uint32_t weightOf(const caller::ColdStartDemand &demand) const;

    ControlContext &context;
    std::function<void(const Target &)> onDemandChanged;
    ConfigurationPointer configuration;
    std::map<Target, std::map<caller::Ticket, Waiter>> waiters;
    std::unordered_map<caller::Ticket, Target> targetByTicket;
};

static_assert(caller::ColdStartPort<ColdStarts>);

} // namespace bamboochute::node
