/// @file
/// @brief The steps "admit" and "route": one queue and one router for all traffic threads.
#pragma once

#include "admission/ejector.hpp"
#include "admission/request_queue.hpp"
#include "admission/retry_policy.hpp"
#include "admission/router.hpp"
#include "caller/ports.hpp"
#include "caller/target_usage.hpp"
#include "caller/traffic_snapshot.hpp"
#include "core/metrics.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bamboochute::caller {

/// @brief An upstream that was picked; holds the routing table that it points into.
using UpstreamPointer = std::shared_ptr<const UpstreamState>;

/// @brief What admission knows of a request.
struct AdmissionRequest
{
    DeploymentId deployment;
    CallerClassId callerClass;
    Target target;
    TimePoint deadline;
    std::uint64_t prefix = 0;
    std::uint64_t bytes = 0;
    bool isStream = false;
};

/// @brief How a call to an upstream ended, for its health.
enum class CallVerdict {
    Succeeded,
    Failed,
    /// Says nothing about the upstream.
    Neutral
};

/// @brief What is known at the end of a call to an upstream.
struct FinishedCall
{
    DeploymentId deployment;
    Target target;
    UpstreamId upstream;
    CallVerdict verdict = CallVerdict::Neutral;
    /// From dispatch to the first byte of a stream or the end of another answer.
    Duration latency{};
    bool isStream = false;
};

/// @brief Another attempt may be made.
struct RetryGrant
{
    UpstreamPointer upstream;
    Duration delay{};
};

using RetryAnswer = std::variant<RetryGrant, admission::RetryRefusal>;

using AdmissionCallback = std::function<void(Result<UpstreamPointer>)>;

/// @brief Decides which request goes to which upstream, and when.
///
/// Safe to use from several threads: each call takes a mutex for a short time and never calls out
/// while it holds it.
class AdmissionControl : public std::enable_shared_from_this<AdmissionControl>
{
public:
    /// @param dataCentre of this instance
    /// @param seed of random choices
    /// @param ports where demands for targets without a replica go
    /// @param metrics where refusals and retries are counted
    AdmissionControl(DataCentreId dataCentre, std::uint64_t seed, const Ports &ports,
                     Metrics &metrics);

    /// @brief Takes a new snapshot into use.
    void update(const TrafficSnapshotPointer &snapshot);

    /// @brief Picks an upstream at once if one has a free slot and nobody waits for it, else null.
    UpstreamPointer admitNow(const AdmissionRequest &request);

    /// @brief Lets a request wait; admitted() is called once, on any thread, unless leave() is.
    /// @return the ticket, or a refusal, after which admitted() is not called
    Result<Ticket> wait(const AdmissionRequest &request, AdmissionCallback admitted);

    /// @brief Takes a waiting request out.
    /// @return false when it has been answered already
    bool leave(Ticket ticket);

    /// @brief Counts the first attempt of a request for the retry budgets.
    void firstAttempt(const CallerClassId &callerClass, const UpstreamId &upstream);

    /// @brief Decides on another attempt, and picks its upstream if there may be one.
    /// @param request as it was admitted
    /// @param attempt that failed; its nextUpstream is filled in here
    /// @param tried upstreams that were tried before
    RetryAnswer retry(const AdmissionRequest &request, admission::FailedAttempt attempt,
                      const std::vector<UpstreamId> &tried);

    /// @brief Takes another slot of an upstream that holds the rest of a broken stream.
    /// @return false when the upstream is gone
    bool takeAgain(const AdmissionRequest &request, const UpstreamPointer &upstream);

    /// @brief Gives an upstream's slot back.
    void finished(const FinishedCall &call);

    /// @brief Refuses what can't meet its deadline any more, and dispatches what can go.
    void tick();

    /// @brief Refuses everything that waits.
    void refuseAll(const Error &error);

    /// @brief A number that names a request; never used again.
    Ticket newTicket();

    std::size_t waiting() const;
    std::vector<TargetUsage> takeUsage();

private:
    struct UsageKey
    {
        DeploymentId deployment;
        Target target;
        auto operator<=>(const UsageKey &) const = default;
    };
    struct Waiter
    {
        Ticket publicTicket;
        AdmissionRequest request;
        AdmissionCallback admitted;
        bool hasDemand = false;
    };
    /// Names a waiting request in the queue of one deployment.
    struct QueuePlace
    {
        DeploymentId deployment;
        Ticket ticket;
        auto operator<=>(const QueuePlace &) const = default;
    };
    /// Calls to make after the mutex was released.
    using Deferred = std::vector<std::function<void()>>;

    admission::RequestQueue &queueOf(const DeploymentId &deployment);
    admission::RouteQuery query(const DeploymentId &deployment, const CallerClassId &callerClass,
                                const Target &target, std::uint64_t prefix) const;
    admission::RouteQuery query(const AdmissionRequest &request) const
    {
        return this->query(request.deployment, request.callerClass, request.target, request.prefix);
    }
    std::vector<UpstreamId> candidates(const Target &target) const;
    UpstreamPointer pick(const admission::RouteQuery &query, TimePoint now);
    Duration expectedService(const Target &target, bool isStream) const;
    void pump(TimePoint now, Deferred &deferred);
    void pumpDeployment(const DeploymentId &deployment, admission::RequestQueue &queue,
                        TimePoint now, Deferred &deferred);
    void answer(const QueuePlace &place, Result<UpstreamPointer> result, Deferred &deferred);
    void refuse(const DeploymentId &deployment,
                const std::vector<admission::ExpiredRequest> &expired, Deferred &deferred);
    void demand(Waiter &waiter, Deferred &deferred);
    void demandMissing(Deferred &deferred);
    void coldStartAnswered(Ticket ticket, const ColdStartAnswer &answer);
    TargetUsage &usageOf(const DeploymentId &deployment, const Target &target);
    static void run(Deferred &deferred);

    mutable std::mutex mutex;
    const Ports &ports;
    admission::Ejector ejector;
    admission::Router router;
    admission::RetryPolicy retries;
    TrafficSnapshotPointer snapshot;
    std::map<DeploymentId, admission::RequestQueue> queues;
    std::map<QueuePlace, Waiter> waiters;
    std::unordered_map<Ticket, QueuePlace> places;
    std::map<UsageKey, TargetUsage> usage;
    /// Smoothed seconds from dispatch to answer, for streams to the first byte.
    std::map<Target, double> plainSeconds;
    std::map<Target, double> streamSeconds;
    Ticket lastTicket;
};

} // namespace bamboochute::caller
