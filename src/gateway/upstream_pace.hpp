/// @file
/// @brief Speeds of upstreams, and limits on what those get that have started or recovered.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/upstream_process.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bamboochute::gateway {

/// @brief Evidence that one instance has of an upstream since its last report.
struct UpstreamEvidence
{
    ServiceId service;
    UpstreamProcess process;
    std::uint32_t completions = 0;
    std::uint32_t failures = 0;
    std::uint32_t refusals = 0;
    /// Requests that would have been sent there if the instance had had a place.
    std::uint32_t wanted = 0;
    /// Requests of the instance in flight at the time of the report.
    std::uint32_t inFlight = 0;
    double measuredSeconds = 0;
    /// Times in proportion to the work; only the ratio to other upstreams of the service counts.
    double expectedSeconds = 0;
    auto operator<=>(const UpstreamEvidence &) const = default;
};

/// @brief What the owner says of one upstream to one instance.
struct UpstreamPaceState
{
    UpstreamProcess process;
    /// Speed relative to the median of the service.
    double speed = 1;
    /// Requests in flight over all instances; unset if they are not limited.
    std::optional<std::uint32_t> limit;
    /// Requests in flight that the receiver may have.
    std::uint32_t places = 0;
    /// The upstream was avoided and has answered nothing since.
    bool isProbed = false;
    auto operator<=>(const UpstreamPaceState &) const = default;
};

/// @brief Times and bounds of the pace.
struct PaceLimits
{
    /// Whether the feature is in force.
    bool isEnabled = false;
    /// First limit: two, so that one lost request does not stop the growth.
    std::uint32_t firstLimit = 2;
    /// A limit ends at this number at the earliest: peers that are idle say nothing about it.
    std::uint32_t minLiftedLimit = 16;
    /// Shortest time of a step: a report (0.6 s) has arrived from every instance.
    Duration stepTime = std::chrono::milliseconds(700);
    /// A further start or failure within this time doubles the time of a step.
    Duration flapTime = std::chrono::seconds(30);
    /// Bound of that doubling, as a power of two: 700 ms become 5.6 s.
    std::uint32_t maxFlaps = 3;
    /// Largest limit: beyond the requests that a known upstream holds.
    std::uint32_t maxLimit = 4096;
    /// Time after which requests that are not idempotent are sent again to an upstream that has
    /// been avoided and was sent no others.
    Duration probeTime = std::chrono::seconds(10);
    /// Failures that begin a limit, where they outnumber the completions: two may be one fault.
    double minFailures = 3;
    /// Share of failures among the responses of a step from which on the limit is cut.
    double maxFailureShare = 0.1;
    /// Latency relative to the service and to the upstream's best step from which on the limit is
    /// cut; a queue of as much as the work itself gives 2.
    double maxSlowness = 1.6;
    /// Time in which evidence loses half of its weight: several reports of each instance.
    Duration evidenceHalfLife = std::chrono::seconds(4);
    /// Completions (with that weight) below which the speed is not known.
    double minSamples = 4;
    /// Bounds of the speed: twice beyond those of known deployments (.55 to 1.3).
    double minSpeed = 0.2;
    double maxSpeed = 3;
    /// Difference of the speed from 1 below which it is not sent: less than the spread of latency.
    double minDifference = 0.1;
    /// Upstreams that are remembered; the one that was heard of longest ago is forgotten first.
    std::size_t maxUpstreams = 4096;
    /// Age at which a state ends that is not repeated: several messages are lost by then.
    Duration stateTimeout = std::chrono::seconds(5);
    /// Time for which an instance that hears of a start sends nothing there before the owner has
    /// given places: a report, a round of states and their way.
    Duration firstStateTime = std::chrono::milliseconds(1500);
    /// Time in which a speed without evidence comes half as near to 1: one that is avoided for its
    /// speed gets requests again and can show that it has become faster.
    Duration speedHalfLife = std::chrono::seconds(8);
    /// Age at which the report of an instance counts no more.
    Duration reportTimeout = std::chrono::seconds(4);
    auto operator<=>(const PaceLimits &) const = default;
};

/// @brief Collects the evidence of one instance and applies what the owner says; not thread-safe.
class PaceMeter
{
public:
    explicit PaceMeter(PaceLimits limits = {})
        : limits(limits)
    {}

    bool isEnabled() const noexcept { return this->limits.isEnabled; }

    void recordStart(const ServiceId &service, const UpstreamProcess &process);
    void recordFinish(const ServiceId &service, const UpstreamProcess &process);

    /// @brief Records a response.
    /// @param measured time that it took; zero if it waited behind others, which says nothing of
    /// the upstream's speed
    /// @param expected time in proportion to its work
    void recordCompletion(const ServiceId &service, const UpstreamProcess &process,
                          Duration measured, Duration expected);
    void recordFailure(const ServiceId &service, const UpstreamProcess &process);
    void recordRefusal(const ServiceId &service, const UpstreamProcess &process);

    /// @brief Records that a request went elsewhere for want of a place.
    void recordWanted(const ServiceId &service, const UpstreamProcess &process);

    /// @brief Returns the evidence since the last call.
    std::vector<UpstreamEvidence> takeEvidence();

    /// @brief Records that a process has started: it gets nothing until the owner has given places
    /// or firstStateTime is over.
    void recordUpstreamStart(const UpstreamProcess &process, TimePoint now);

    /// @brief Takes over what the owner says.
    void receiveStates(const std::vector<UpstreamPaceState> &states, TimePoint now);

    /// @brief Speed of an upstream; 1 if it is not known.
    double speed(const UpstreamProcess &process, TimePoint now) const;

    /// @brief Whether a request may be sent to an upstream now.
    /// @param mayBeRetried a request that is not idempotent is not used as a probe
    bool hasPlace(const UpstreamProcess &process, bool mayBeRetried, TimePoint now) const;

    /// @brief Whether the upstream has been avoided and has not responded since.
    bool isProbed(const UpstreamProcess &process, TimePoint now) const;

    /// @brief The states that hold now.
    std::vector<UpstreamPaceState> states(TimePoint now) const;

private:
    struct Known
    {
        UpstreamPaceState state;
        TimePoint until{};
    };

    UpstreamEvidence *find(const ServiceId &service, const UpstreamProcess &process);
    const UpstreamPaceState *findState(const UpstreamProcess &process, TimePoint now) const;

    PaceLimits limits;
    std::map<UpstreamProcess, UpstreamEvidence> evidence;
    std::map<UpstreamId, Known> known;
};

/// @brief Pools the evidence of all instances; used at the placement owner, not thread-safe.
class PaceAggregate
{
public:
    explicit PaceAggregate(PaceLimits limits = {})
        : limits(limits)
    {}

    /// @brief Takes over the states that a former owner sent.
    void adopt(const std::vector<UpstreamPaceState> &states, TimePoint now);

    /// @brief Records that a process has started.
    void recordUpstreamStart(const ServiceId &service, const UpstreamProcess &process,
                             TimePoint now);

    /// @brief Takes in the evidence of an instance.
    /// @param isContinuation the evidence adds to that of the call before
    void receive(const InstanceId &reporter, const std::vector<UpstreamEvidence> &evidence,
                 TimePoint now, bool isContinuation = false);

    /// @brief Ends the steps that are over and gives the places to instances anew.
    void update(TimePoint now);

    /// @brief States for one instance, as of the last update(); upstreams without a limit whose
    /// speed is that of their service are left out.
    std::vector<UpstreamPaceState> computeStates(const InstanceId &receiver) const;

    /// @brief Limit of an upstream over all instances; unset if there is none.
    std::optional<std::uint32_t> limit(const UpstreamId &upstream) const;

    /// @brief Speed of an upstream relative to its service.
    double speed(const UpstreamId &upstream) const;

private:
    /// Sums of evidence.
    struct Sums
    {
        double completions = 0;
        double failures = 0;
        double refusals = 0;
        double measured = 0;
        double expected = 0;

        void add(const UpstreamEvidence &evidence);
        void scale(double factor);
        /// Measured relative to expected time; unset without evidence.
        std::optional<double> slowness() const;
    };

    struct Use
    {
        std::uint32_t inFlight = 0;
        std::uint32_t wanted = 0;
        std::uint32_t places = 0;
    };

    struct Pace
    {
        ServiceId service;
        UpstreamProcess process;
        Sums recent;
        double speed = 1;
        std::optional<std::uint32_t> limit;
        Sums step;
        TimePoint stepBegin{};
        std::optional<double> bestSlowness;
        bool isProbed = false;
        std::uint32_t flaps = 0;
        TimePoint limitedAt{};
        /// When there was something to say of the upstream; it is repeated for stateTimeout, so
        /// that every instance hears of the end.
        TimePoint notableAt{};
        TimePoint heardAt{};
        std::map<InstanceId, Use> uses;
    };

    /// Means of the upstreams of a service without a limit.
    struct Peers
    {
        double inFlight = 0;
        /// Share of refusals among their responses.
        double refusalShare = 0;
    };

    void beginLimit(Pace &pace, bool hasFailed, TimePoint now);
    void endStep(Pace &pace, double serviceSlowness, const Peers &peers, TimePoint now);
    void givePlaces(Pace &pace);
    Pace &findOrAdd(const UpstreamId &upstream);
    std::map<ServiceId, double> computeSlowness() const;
    std::map<ServiceId, Peers> computePeers() const;

    PaceLimits limits;
    std::map<UpstreamId, Pace> paces;
    std::map<InstanceId, TimePoint> reporters;
    std::optional<TimePoint> updatedAt;
    /// Moves the places that nobody wanted on to others.
    std::size_t rotation = 0;
};

} // namespace bamboochute::gateway
