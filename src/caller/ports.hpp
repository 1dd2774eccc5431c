/// @file
/// @brief The calls from traffic threads to the control thread, as concepts.
///
/// Every call comes from a traffic thread and must not block. A callback may be called on any
/// thread; the server passes its value to the thread of the request.
#pragma once

#include "admission/operation_claims.hpp"
#include "caller/traffic_snapshot.hpp"

#include <functional>
#include <variant>

namespace bamboochute::caller {

using admission::Ticket;

/// @brief Asks for a target to be loaded, because a request waits for it and it has no replica.
struct ColdStartDemand
{
    DeploymentId deployment;
    CallerClassId callerClass;
    Target target;
    /// Deadline of the request.
    TimePoint deadline;
    auto operator<=>(const ColdStartDemand &) const = default;
};

/// @brief When the target is expected to be loaded; requests with an earlier deadline are refused.
struct ColdStartExpected
{
    TimePoint ready;
    auto operator<=>(const ColdStartExpected &) const = default;
};

/// @brief Answer of the owner of the target to a demand: when it is loaded, or why it is not.
using ColdStartAnswer = std::variant<ColdStartExpected, Error>;

using ColdStartCallback = std::function<void(ColdStartAnswer)>;

/// @brief Receives demands for targets that are not loaded.
///
/// The request waits until a published snapshot has a replica of its target, its deadline passes,
/// or the callback is called with an Error. The callback may be called several times, or never.
template<typename T>
concept ColdStartPort
        = requires(T &port, Ticket ticket, ColdStartDemand demand, ColdStartCallback answered)
{
    port.demand(ticket, std::move(demand), std::move(answered));
    // The request does not wait any more: it was admitted, refused or cancelled.
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
    // The server stops before the claim was decided; a claim that is granted nevertheless is
    // settled.
    port.abandon(ticket);
    // Reports the result of an operation whose claim was granted; called exactly once for each.
    port.settle(ticket, std::move(settlement));
};

/// @brief The type-erased ports; they keep the networking headers out of this one.
struct Ports
{
    std::function<void(Ticket, ColdStartDemand, ColdStartCallback)> demandColdStart;
    std::function<void(Ticket)> withdrawColdStart;
    std::function<void(Ticket, admission::ClaimRequest, ClaimCallback)> claim;
    std::function<void(Ticket)> abandonClaim;
    std::function<void(Ticket, admission::Settlement)> settleClaim;
};

/// @brief Wraps implementations of the ports.
/// @param coldStarts receives demands; must outlive the server
/// @param claims receives claims; must outlive the server
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
