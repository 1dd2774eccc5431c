/// @file
/// @brief The steps "admit" and "route": queues, routing and retries of all traffic threads.
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

/// @brief An upstream in a routing table; shares ownership of that table.
using UpstreamPointer = std::shared_ptr<const UpstreamState>;

/// @brief The properties of a request that admission and routing depend on.
struct AdmissionRequest
{
    DeploymentId deployment;
    CallerClassId callerClass;
    Target target;
    TimePoint deadline;
    /// Hash of the beginning of the prompt; zero when there is none.
    std::uint64_t prefixHash = 0;
    /// Size of the body.
    std::uint64_t bytes = 0;
    bool isStream = false;
};

/// @brief Result of a call to an upstream, as it counts for the health of the upstream.
enum class CallOutcome {
    Succeeded,
    Failed,
    /// Has no effect on the health, for example when the caller cancelled the call.
    Neutral
};

/// @brief Record of a call to an upstream that has ended.
struct FinishedCall
{
    DeploymentId deployment;
    Target target;
    UpstreamId upstream;
    CallOutcome outcome = CallOutcome::Neutral;
    /// From dispatch to the first byte of a stream, or to the end of any other answer.
    Duration latency{};
    bool isStream = false;
};

/// @brief Permission for another attempt; a slot of the upstream is taken.
struct RetryGrant
{
    UpstreamPointer upstream;
    /// Time to wait before the attempt.
    Duration delay{};
};

/// @brief The next attempt with its upstream, or why there is none.
using RoutedRetryDecision = std::variant<RetryGrant, admission::RetryRefusal>;

/// @brief Receives an upstream with a slot that is taken, or the reason of the refusal.
using AdmissionCallback = std::function<void(Result<UpstreamPointer>)>;

/// @brief Queues requests, assigns them to upstreams and decides on retries.
///
/// Thread-safe: each call holds a mutex for a short time. Callbacks and ports are called only after
/// the mutex is released.
class AdmissionControl : public std::enable_shared_from_this<AdmissionControl>
{
public:
    /// @param dataCentre data centre of this instance
    /// @param seed for random choices
    /// @param ports receives cold start demands; must outlive this object
    /// @param metrics counts refusals and retries; must outlive this object
    AdmissionControl(DataCentreId dataCentre, std::uint64_t seed, const Ports &ports,
                     Metrics &metrics);

    /// @brief Replaces the snapshot, dispatches waiting requests and demands cold starts for those
    /// whose target has no upstream any more.
    void update(const TrafficSnapshotPointer &snapshot);

    /// @brief Counts a request as arrived and takes a slot if that needs no waiting.
    /// @return the upstream, or null when no slot is free or other requests wait for the target
    UpstreamPointer tryAdmit(const AdmissionRequest &request);

    /// @brief Puts a request into the queue of its deployment.
    /// @param request to be admitted
    /// @param admitted called once, on any thread, unless the wait is cancelled first
    /// @return the ticket, or a refusal, after which admitted is not called; UpstreamUnavailable
    /// when the pool of a service is empty
    Result<Ticket> enqueue(const AdmissionRequest &request, AdmissionCallback admitted);

    /// @brief Removes a waiting request from its queue.
    /// @return false when it has been admitted or refused already
    bool cancelWait(Ticket ticket);

    /// @brief Counts the first attempt of a request towards the retry budgets of its caller class
    /// and its upstream.
    void recordFirstAttempt(const CallerClassId &callerClass, const UpstreamId &upstream);

    /// @brief Decides whether a failed attempt is repeated, and takes a slot for the next one.
    /// @param request as it was admitted
    /// @param attempt that failed; its nextUpstream and expectedService are filled in here
    /// @param tried upstreams of earlier attempts; picked again only when there is no other
    RoutedRetryDecision decideRetry(const AdmissionRequest &request,
                                    admission::FailedAttempt attempt,
                                    const std::vector<UpstreamId> &tried);

    /// @brief Takes a slot of the upstream that a broken stream is resumed at.
    /// @return false when the upstream is not in the routing table any more
    bool acquireSlotAgain(const AdmissionRequest &request, const UpstreamPointer &upstream);

    /// @brief Releases the slot of a finished call, updates the upstream's health and the smoothed
    /// times, and dispatches waiting requests.
    void releaseSlot(const FinishedCall &call);

    /// @brief Refuses waiting requests that can't meet their deadline any more, and dispatches
    /// those that an upstream has a free slot for.
    void expireAndDispatch();

    /// @brief Refuses all waiting requests with an error.
    void refuseAll(const Error &error);

    /// @brief A ticket that no other request of this process has.
    Ticket newTicket();

    /// @brief Number of requests that wait in all queues.
    std::size_t waitingCount() const;

    /// @brief Usage by target; resets the counts of arrived requests.
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
        /// Ticket that enqueue() returned; unique over all queues.
        Ticket publicTicket;
        AdmissionRequest request;
        AdmissionCallback admitted;
        bool hasDemand = false;
    };
    /// Ticket of the queue of one deployment; unique only together with the deployment.
    struct WaiterKey
    {
        DeploymentId deployment;
        Ticket ticket;
        auto operator<=>(const WaiterKey &) const = default;
    };
    /// Calls to make after the mutex is released.
    using Deferred = std::vector<std::function<void()>>;

    admission::RequestQueue &queueOf(const DeploymentId &deployment);
    admission::RouteQuery routeQuery(const DeploymentId &deployment,
                                     const CallerClassId &callerClass, const Target &target,
                                     std::uint64_t prefixHash) const;
    admission::RouteQuery routeQuery(const AdmissionRequest &request) const
    {
        return this->routeQuery(request.deployment, request.callerClass, request.target,
                                request.prefixHash);
    }
    std::vector<UpstreamId> candidates(const Target &target) const;
    UpstreamPointer pickUpstream(const admission::RouteQuery &query, TimePoint now);
    Duration expectedServiceTime(const Target &target, bool isStream) const;
    void processQueues(TimePoint now, Deferred &deferred);
    void processQueue(const DeploymentId &deployment, admission::RequestQueue &queue, TimePoint now,
                      Deferred &deferred);
    void resolveWaiter(const WaiterKey &key, Result<UpstreamPointer> result, Deferred &deferred);
    void refuseExpired(const DeploymentId &deployment,
                       const std::vector<admission::ExpiredRequest> &expired, Deferred &deferred);
    void demandColdStart(Waiter &waiter, Deferred &deferred);
    void demandMissingColdStarts(Deferred &deferred);
    void handleColdStartAnswer(Ticket ticket, const ColdStartAnswer &answer);
    TargetUsage &usageOf(const DeploymentId &deployment, const Target &target);
    static void runDeferred(Deferred &deferred);

    mutable std::mutex mutex;
    const Ports &ports;
    admission::Ejector ejector;
    admission::Router router;
    admission::RetryPolicy retries;
    TrafficSnapshotPointer snapshot;
    std::map<DeploymentId, admission::RequestQueue> queues;
    std::map<WaiterKey, Waiter> waiters;
    std::unordered_map<Ticket, WaiterKey> keyByTicket;
    std::map<UsageKey, TargetUsage> usage;
    /// Smoothed time from dispatch to the end of an answer that is not a stream.
    std::map<Target, double> answerSeconds;
    /// Smoothed time from dispatch to the first byte of a stream.
    std::map<Target, double> firstByteSeconds;
    Ticket lastTicket;
};

} // namespace bamboochute::caller
