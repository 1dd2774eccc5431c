/// @file
/// @brief Queue of the requests that wait at one instance for an upstream.
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

/// Identifies one waiting request; never reused within a process.
using Ticket = Number<struct TicketTag>;

/// @brief The properties of a request that the queue uses.
struct WaitingRequest
{
    CallerClassId callerClass;
    Target target;
    /// Time by which the caller must have the whole answer.
    TimePoint deadline;
    /// Time that the answer is expected to take once the request is dispatched.
    Duration expectedService{};
    /// Bytes of memory that the request holds while it waits.
    std::uint64_t bytes = 0;
    /// Earliest time at which the target is expected to be loaded; zero when it is loaded.
    TimePoint targetReady{};
    auto operator<=>(const WaitingRequest &) const = default;

    /// @brief Last time at which a dispatch can still meet the deadline.
    TimePoint latestStart() const { return this->deadline - this->expectedService; }
};

/// @brief A request with its ticket and its time of arrival.
struct QueuedRequest
{
    Ticket ticket;
    TimePoint arrival;
    WaitingRequest request;
    auto operator<=>(const QueuedRequest &) const = default;
};

/// @brief A request that was removed without a dispatch, and the error that answers it.
struct ExpiredRequest
{
    QueuedRequest request;
    Error error;
};

/// @brief Bounds of the queue besides CallerClass::maxQueued.
struct QueueLimits
{
    /// Bytes of memory that all waiting requests may hold together.
    std::uint64_t maxBytes = 64ULL << 20;
    /// Safety factor: a request is refused on arrival if its estimated wait, times this, ends after
    /// its latest start.
    double waitSafetyFactor = 1.5;
    /// One in this many dispatches goes to the class that was served longest ago.
    std::uint32_t ageingInterval = 16;
    auto operator<=>(const QueueLimits &) const = default;
};

/// @brief Tells whether a request of a class can be dispatched to a target now.
template<typename T>
concept DispatchPredicate = std::predicate<T, const Target &, const CallerClassId &>;

/// @brief Weighted fair queue of requests, by class, target and deadline.
///
/// Classes share the dispatches in proportion to their weights; within a class the request with the
/// earliest latest start is dispatched first. A request leaves the queue by takeNext(), expire(),
/// expireUnreachable() or remove().
/// @note Not thread-safe; its owner guards it with a mutex.
class RequestQueue
{
public:
    explicit RequestQueue(std::vector<CallerClass> classes, QueueLimits limits = {});

    /// @brief Replaces weights and bounds; requests of removed classes stay in the queue.
    void configure(std::vector<CallerClass> classes);

    /// @brief Adds a request.
    /// @return its ticket; QueueFull or DeadlineUnreachable with Retry-After; InvalidField when its
    /// caller class does not exist
    Result<Ticket> offer(WaitingRequest request, TimePoint now);

    /// @brief Removes and returns the request to dispatch next.
    /// @param now time of the dispatch
    /// @param canDispatch whether a class's requests can go to a target now
    /// @return nothing when no request can be dispatched
    template<DispatchPredicate Predicate>
    std::optional<QueuedRequest> takeNext(TimePoint now, const Predicate &canDispatch)
    {
        std::vector<Candidate> candidates;
        for (const auto &[id, classQueue] : this->classQueues) {
            for (const auto &[target, positions] : classQueue.waiting) {
                const auto position = positions.lower_bound(Position{now, Ticket()});
                if (position != positions.end() && canDispatch(target, id))
                    candidates.push_back({&id, *position});
            }
        }
        return this->takeCandidate(candidates, now);
    }

    /// @brief Removes all requests whose deadline can't be met any more.
    std::vector<ExpiredRequest> expire(TimePoint now);

    /// @brief Removes a request, such as one whose caller disconnected.
    /// @return nothing when it is not in the queue
    std::optional<QueuedRequest> remove(Ticket ticket);

    /// @brief Next time at which expire() removes a request; nothing when the queue is empty.
    std::optional<TimePoint> nextExpiry() const;

    /// @brief Removes the requests for a target whose latest start is before the target is loaded.
    /// @param ready time at which the target is expected to be loaded
    std::vector<ExpiredRequest> expireUnreachable(const Target &target, TimePoint ready,
                                                  TimePoint now);

    /// @brief Targets that have waiting requests.
    std::vector<Target> targets() const;

    /// @brief Number of requests that wait for a target.
    std::size_t waitingCount(const Target &target) const;

    std::size_t size() const noexcept { return this->byTicket.size(); }
    std::uint64_t bytes() const noexcept { return this->heldBytes; }

    /// @brief Time that a request would wait if it were offered now.
    /// @return nothing until a drain rate of its class and target was measured, unless the target
    /// is not loaded yet
    std::optional<Duration> estimatedWait(const WaitingRequest &request, TimePoint now) const
    {
        return this->computeWait(request, now);
    }

private:
    /// Sort key of a request: its latest start, then its ticket.
    struct Position
    {
        TimePoint latestStart;
        Ticket ticket;
        auto operator<=>(const Position &) const = default;
    };
    using Positions = std::set<Position>;

    /// Target and caller class of the requests that share a drain rate.
    struct DrainKey
    {
        Target target;
        CallerClassId callerClass;
        auto operator<=>(const DrainKey &) const = default;
    };

    struct ClassQueue
    {
        CallerClass settings;
        /// Weighted virtual time up to which the class has been served.
        double virtualTimeServed = 0;
        std::uint32_t count = 0;
        /// Value of dispatchCount at the last dispatch of the class.
        std::uint64_t lastDispatchNumber = 0;
        std::map<Target, Positions> waiting;
    };

    /// The first request of a class and target that can still meet its deadline.
    struct Candidate
    {
        const CallerClassId *callerClass;
        Position position;
    };

    std::optional<QueuedRequest> takeCandidate(const std::vector<Candidate> &candidates,
                                               TimePoint now);
    const Candidate &pickLongestUnserved(const std::vector<Candidate> &candidates) const;
    const Candidate &pickByWeight(const std::vector<Candidate> &candidates) const;
    void insert(const QueuedRequest &queued);
    QueuedRequest take(Ticket ticket);
    void recordDispatch(const QueuedRequest &queued, TimePoint now);
    std::optional<Error> admissionError(const WaitingRequest &request, TimePoint now) const;
    Error queueFullError(std::string message, const ClassQueue &classQueue, TimePoint now) const;
    Duration conservativeWait(const WaitingRequest &request, TimePoint now) const;
    std::optional<Duration> computeWait(const WaitingRequest &request, TimePoint now) const;
    ExpiredRequest takeExpired(Ticket ticket, ErrorKind kind, std::string message,
                               Duration retryAfter);
    std::size_t countAhead(const WaitingRequest &request) const;
    std::size_t waitingCount(const DrainKey &key) const;
    void eraseIdleDrainRates();

    QueueLimits limits;
    std::map<CallerClassId, ClassQueue> classQueues;
    std::unordered_map<Ticket, QueuedRequest> byTicket;
    std::set<Position> byLatestStart;
    std::map<DrainKey, DrainRate> drainRates;
    DrainRate totalDrainRate;
    std::uint64_t heldBytes = 0;
    std::uint64_t dispatchCount = 0;
    /// Virtual time of the last dispatch.
    double virtualTime = 0;
    Ticket lastTicket;
};

} // namespace bamboochute::admission
