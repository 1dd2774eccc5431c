/// @file
/// @brief The queue of requests that wait at one instance for an upstream.
#pragma once

#include "admission/drain_rate.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/routing_table.hpp"

#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bamboochute::admission {

/// Names one waiting request; never used again within a process.
using Ticket = Number<struct TicketTag>;

/// @brief What the queue knows of a request.
struct WaitingRequest
{
    CallerClassId callerClass;
    Target target;
    /// The caller's answer must be complete by then.
    TimePoint deadline;
    /// Time that the answer is expected to take once the request is dispatched.
    Duration expectedService{};
    /// Memory that the request holds while it waits.
    std::uint64_t bytes = 0;
    /// Earliest time at which the target is expected to be loaded; zero when it is loaded.
    TimePoint targetReady{};
    auto operator<=>(const WaitingRequest &) const = default;

    /// @brief Last time at which a dispatch can still meet the deadline.
    TimePoint latestStart() const { return this->deadline - this->expectedService; }
};

/// @brief A request with its place in the queue.
struct QueuedRequest
{
    Ticket ticket;
    TimePoint arrival;
    WaitingRequest request;
    auto operator<=>(const QueuedRequest &) const = default;
};

/// @brief A request that left the queue without a dispatch, and its final answer.
struct ExpiredRequest
{
    QueuedRequest request;
    Error error;
};

/// @brief Bounds of the queue besides CallerClass::maxQueued.
struct QueueLimits
{
    /// Memory that all waiting requests may hold together.
    std::uint64_t maxBytes = 64ULL << 20;
    /// A request is refused early if this many times its estimated wait is longer than it can wait.
    double waitSafety = 1.5;
    /// One in this many dispatches goes to the class that was served longest ago.
    std::uint32_t ageingInterval = 16;
    auto operator<=>(const QueueLimits &) const = default;
};

/// @brief Tells whether a request of a class can be dispatched to a target now.
template<typename T>
concept DispatchPredicate = std::predicate<T, const Target &, const CallerClassId &>;

/// @brief Waiting requests by class, target and deadline.
///
/// Classes share the dispatches by their weights; within a class the request with the earliest
/// latest start goes first. Every request leaves by a dispatch, by its latest start, or by
/// remove().
/// @note Not safe for use by several threads at once; a process has one, guarded by a mutex.
class RequestQueue
{
public:
    explicit RequestQueue(std::vector<CallerClass> classes, QueueLimits limits = {});

    /// @brief Replaces weights and bounds; requests of removed classes keep their place.
    void configure(std::vector<CallerClass> classes);

    /// @brief Lets a request wait.
    /// @return its ticket, or QueueFull or DeadlineUnreachable with Retry-After
    Result<Ticket> offer(WaitingRequest request, TimePoint now);

    /// @brief Takes the request that is to be dispatched next.
    /// @param now time of the dispatch
    /// @param canDispatch whether a class's requests can go to a target now
    template<DispatchPredicate Predicate>
    std::optional<QueuedRequest> takeNext(TimePoint now, const Predicate &canDispatch)
    {
        std::vector<Candidate> candidates;
        for (const auto &[id, classQueue] : this->classQueues) {
            for (const auto &[target, places] : classQueue.waiting) {
                const auto place = places.lower_bound(Place{now, Ticket()});
                if (place != places.end() && canDispatch(target, id))
                    candidates.push_back({&id, *place});
            }
        }
        return this->takeBest(candidates, now);
    }

    /// @brief Takes all requests whose deadline can't be met any more.
    std::vector<ExpiredRequest> expire(TimePoint now);

    /// @brief Takes a request out, such as one whose caller has gone.
    std::optional<QueuedRequest> remove(Ticket ticket);

    /// @brief When expire() has something to do next.
    std::optional<TimePoint> nextExpiry() const;

    /// @brief Tells when a target is expected to be loaded, and refuses the requests that can't
    /// wait so long.
    std::vector<ExpiredRequest> expireUnreachable(const Target &target, TimePoint ready,
                                                  TimePoint now);

    /// @brief Targets that have waiting requests.
    std::vector<Target> targets() const;

    /// @brief Number of requests that wait for a target.
    std::size_t waitingCount(const Target &target) const;

    std::size_t size() const noexcept { return this->byTicket.size(); }
    std::uint64_t bytes() const noexcept { return this->heldBytes; }

    /// @brief Time that a request would wait if it was offered now.
    /// @return nothing until a drain rate of its target was measured
    std::optional<Duration> estimatedWait(const WaitingRequest &request, TimePoint now) const
    {
        return this->waitOf(request, now);
    }

private:
    /// Orders the requests of one class and target.
    struct Place
    {
        TimePoint latestStart;
        Ticket ticket;
        auto operator<=>(const Place &) const = default;
    };
    using Places = std::set<Place>;

    /// Requests that are served at a rate of their own.
    struct Stream
    {
        Target target;
        CallerClassId callerClass;
        auto operator<=>(const Stream &) const = default;
    };

    struct ClassQueue
    {
        CallerClass settings;
        /// Weighted virtual time up to which the class has been served.
        double served = 0;
        std::uint32_t count = 0;
        /// Number of the last dispatch of the class.
        std::uint64_t lastDispatch = 0;
        std::map<Target, Places> waiting;
    };

    /// The first request of a class and target that can still meet its deadline.
    struct Candidate
    {
        const CallerClassId *callerClass;
        Place place;
    };

    std::optional<QueuedRequest> takeBest(const std::vector<Candidate> &candidates, TimePoint now);
    const Candidate &longestUnserved(const std::vector<Candidate> &candidates) const;
    const Candidate &fairest(const std::vector<Candidate> &candidates) const;
    void insert(const QueuedRequest &queued);
    QueuedRequest take(Ticket ticket);
    void recordDispatch(const QueuedRequest &queued, TimePoint now);
    std::optional<Error> refusal(const WaitingRequest &request, TimePoint now) const;
    Error full(std::string message, const ClassQueue &classQueue, TimePoint now) const;
    Duration safeWaitOf(const WaitingRequest &request, TimePoint now) const;
    std::optional<Duration> waitOf(const WaitingRequest &request, TimePoint now) const;
    ExpiredRequest expired(Ticket ticket, ErrorKind kind, std::string message, Duration retryAfter);
    std::size_t countAhead(const WaitingRequest &request) const;
    std::size_t waitingIn(const Stream &stream) const;
    void forgetIdleStreams();

    QueueLimits limits;
    std::map<CallerClassId, ClassQueue> classQueues;
    std::unordered_map<Ticket, QueuedRequest> byTicket;
    std::set<Place> byLatestStart;
    std::map<Stream, DrainRate> drainRates;
    DrainRate totalDrain;
    std::uint64_t heldBytes = 0;
    std::uint64_t dispatches = 0;
    /// Virtual time of the last dispatch.
    double virtualTime = 0;
    Ticket lastTicket;
};

} // namespace bamboochute::admission
