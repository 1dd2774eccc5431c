/// @file
/// @brief What the traffic threads need from the control thread, as concepts.
///
/// Every call comes from a traffic thread and must return at once. A callback may be called on any
/// thread; the server hands the answer to the request's own thread.
#pragma once

#include "admission/operation_claims.hpp"
#include "caller/traffic_snapshot.hpp"

#include <functional>
#include <variant>

namespace bamboochute::caller {

using admission::Ticket;

/// @brief A request waits for a target that has no replica.
struct ColdStartDemand
{
    DeploymentId deployment;
    CallerClassId callerClass;
    Target target;
    /// Last time at which the answer is of use.
    TimePoint deadline;
    auto operator<=>(const ColdStartDemand &) const = default;
};

/// @brief The target is expected to be loaded at a time; requests that can't wait are refused.
struct ColdStartExpected
{
    TimePoint ready;
    auto operator<=>(const ColdStartExpected &) const = default;
};

/// @brief What the owner says on a demand: when, or why not.
using ColdStartAnswer = std::variant<ColdStartExpected, Error>;

using ColdStartCallback = std::function<void(ColdStartAnswer)>;

/// @brief Takes demands for targets that are not loaded.
///
/// The request waits until a published snapshot has a replica of its target, until its deadline, or
/// until the callback says Error. The callback may be called several times, or never.
template<typename T>
concept ColdStartPort
        = requires(T &port, Ticket ticket, ColdStartDemand demand, ColdStartCallback answered)
{
    port.demand(ticket, std::move(demand), std::move(answered));
    // The request waits no longer, whatever the reason.
    port.withdraw(ticket);
};

using ClaimCallback = std::function<void(admission::ClaimDecision)>;

/// @brief Claims operations that must run at most once; see admission::OperationClaims.
template<typename T>
concept ClaimPort = requires(T &port, Ticket ticket, admission::ClaimRequest request,
                             ClaimCallback decided, admission::Settlement settlement)
{
    // The callback is called exactly once, unless the ticket is abandoned before.
    port.claim(ticket, std::move(request), std::move(decided));
    // The caller of an undecided request has gone.
    port.abandon(ticket);
    // What became of an operation that got Dispatch; called exactly once for each.
    port.settle(ticket, std::move(settlement));
};

/// @brief The ports with their types erased, so that sockets stay out of this header.
struct Ports
{
    std::function<void(Ticket, ColdStartDemand, ColdStartCallback)> demandColdStart;
    std::function<void(Ticket)> withdrawColdStart;
    std::function<void(Ticket, admission::ClaimRequest, ClaimCallback)> claim;
    std::function<void(Ticket)> abandonClaim;
    std::function<void(Ticket, admission::Settlement)> settleClaim;
};

/// @brief Joins implementations of the ports.
/// @param coldStarts where demands go; must outlive the server
/// @param claims where claims go; must outlive the server
template<ColdStartPort ColdStarts, ClaimPort Claims>
Ports makePorts(ColdStarts &coldStarts, Claims &claims)
{
    Ports ports;
    ports.demandColdStart
            = [&coldStarts](Ticket ticket, ColdStartDemand demand, ColdStartCallback answered) {
                  coldStarts.demand(ticket, std::move(demand), std::move(answered));
              };
    ports.withdrawColdStart = [&coldStarts](Ticket ticket) { coldStarts.withdraw(ticket); };
    ports.claim = [&claims](Ticket ticket, admission::ClaimRequest request, ClaimCallback decided) {
        claims.claim(ticket, std::move(request), std::move(decided));
    };
    ports.abandonClaim = [&claims](Ticket ticket) { claims.abandon(ticket); };
    ports.settleClaim = [&claims](Ticket ticket, admission::Settlement settlement) {
        claims.settle(ticket, std::move(settlement));
    };
    return ports;
}

} // namespace bamboochute::caller
