/// @file
/// @brief Requests of this instance that wait for targets that are not loaded.
#pragma once

#include "caller/ports.hpp"
#include "node/control_context.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace bamboochute::node {

/// @brief The waiting requests for one target, added up.
struct WaitingDemand
{
    Target target;
    std::uint32_t waiting = 0;
    TimePoint earliestDeadline;
    /// Highest weight of the caller classes that wait.
    std::uint32_t weight = 0;
    auto operator<=>(const WaitingDemand &) const = default;
};

/// @brief Satisfies caller::ColdStartPort; its table belongs to the control thread.
class ColdStarts
{
public:
    /// @param context of the control thread
    /// @param onChanged called on the control thread when the demand for a target has changed
    ColdStarts(ControlContext &context, std::function<void(const Target &)> onChanged);

    /// @brief Notes a waiting request; safe to call from any thread.
    void demand(caller::Ticket ticket, caller::ColdStartDemand demand,
                caller::ColdStartCallback answered);

    /// @brief Notes that a request waits no longer; safe to call from any thread.
    void withdraw(caller::Ticket ticket);

    /// @brief Sets the weights of caller classes, for demand that comes later.
    void setConfiguration(ConfigurationPointer configuration);

    /// @brief Refuses the requests for a target whose deadline is before a time.
    void refuse(const Target &target, const Error &error, TimePoint deadlineBefore);

    /// @brief The demand for one target; none waiting when nobody does.
    WaitingDemand demandFor(const Target &target) const;

    /// @brief All targets for which requests wait.
    std::vector<WaitingDemand> all() const;

private:
    struct Waiter
    {
        caller::ColdStartDemand demand;
        std::uint32_t weight = 1;
        caller::ColdStartCallback answered;
    };

    void add(caller::Ticket ticket, Waiter waiter);
    void remove(caller::Ticket ticket);
    std::uint32_t weightOf(const caller::ColdStartDemand &demand) const;

    ControlContext &context;
    std::function<void(const Target &)> onChanged;
    ConfigurationPointer configuration;
    std::map<Target, std::map<caller::Ticket, Waiter>> waiters;
    std::unordered_map<caller::Ticket, Target> targets;
};

static_assert(caller::ColdStartPort<ColdStarts>);

} // namespace bamboochute::node
