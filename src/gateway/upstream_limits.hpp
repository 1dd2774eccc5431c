/// @file
/// @brief Limits of requests per second that upstreams name, and permits to send within them.
#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "gateway/upstream_process.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bamboochute::gateway {

/// @brief What an answer of an upstream said about its limit; instances exchange these.
struct LimitReport
{
    UpstreamProcess process;
    /// Requests per second that it takes from all instances together; unset when it takes any
    /// number.
    std::optional<double> requestsPerSecond;
    /// Time since the answer.
    Duration age{};
    auto operator<=>(const LimitReport &) const = default;
};

/// @brief Whether a request may be sent to an upstream that has named a limit.
struct PermitDecision
{
    bool isGranted = true;
    /// Time until the next permit; zero if granted.
    Duration nextIn{};
    auto operator<=>(const PermitDecision &) const = default;
};

/// @brief How limits are remembered and shared.
struct LimitSettings
{
    /// Complete answers without a limit, none with one between them, after which it has ended.
    std::uint32_t answersToEnd = 2;
    /// Limits are kept between these; a lower one would never let its end be noticed.
    double minRequestsPerSecond = 0.1;
    double maxRequestsPerSecond = 1e6;
    /// Permits that may be saved up, in seconds of the limit, beside one.
    double burstSeconds = 0.25;
    /// Share of the limit that all instances together use while there is no issuer of permits.
    double shareWithoutIssuer = 0.5;
    /// Time to wait for the issuer's answer; then an instance uses its own share.
    Duration issuerTimeout = std::chrono::milliseconds(80);
    /// Longest time for which no permit is asked for after one was denied, and longest Retry-After.
    Duration maxPause = std::chrono::seconds(10);
    /// Time after a denied permit for which what the upstream holds is loaded elsewhere.
    Duration scarcityMemory = std::chrono::seconds(30);
    /// Upstreams that limits are remembered for; the longest unheard-of are forgotten first.
    std::size_t maxUpstreams = 4096;
    auto operator<=>(const LimitSettings &) const = default;
};

/// @brief The newest known limits; not thread-safe.
class UpstreamLimits
{
public:
    explicit UpstreamLimits(LimitSettings settings = {})
        : settings(settings)
    {}

    /// @brief Takes over what an answer to this instance said.
    /// @param requestsPerSecond unset when the answer named no limit
    /// @return whether the limit is another one than before
    bool recordAnswer(const UpstreamProcess &process, std::optional<double> requestsPerSecond,
                      TimePoint now);

    /// @brief Takes over what another instance has learned, if it is newer.
    /// @return whether the limit is another one than before
    bool learn(const LimitReport &report, TimePoint now);

    /// @brief The limit of an upstream's process; unset when it has named none.
    std::optional<double> limitOf(const UpstreamProcess &process) const;

    /// @brief What is known of a process, to be sent to another instance.
    LimitReport reportOf(const UpstreamProcess &process, TimePoint now) const;

    /// @brief What is known of all processes that name a limit.
    std::vector<LimitReport> reports(TimePoint now) const;

private:
    struct State
    {
        std::optional<double> requestsPerSecond;
        /// When the answer came that it is known from.
        TimePoint saidAt{};
        std::uint32_t answersWithout = 0;
    };

    bool set(State &state, std::optional<double> requestsPerSecond, TimePoint saidAt) const;
    void makeRoom();

    LimitSettings settings;
    std::map<UpstreamProcess, State> states;
};

/// @brief Issues permits at a rate, for one upstream; not thread-safe.
class PermitBucket
{
public:
    /// @param permits to begin with
    PermitBucket(double permits, TimePoint now)
        : permits(permits)
        , filledAt(now)
    {}

    /// @brief Takes a permit if there is one.
    /// @param rate permits per second since the last call
    /// @param capacity most permits that are saved up; at least one
    PermitDecision take(double rate, double capacity, TimePoint now);

private:
    double permits;
    TimePoint filledAt;
};

/// @brief Issues the permits for all instances; used at the only instance that does; not
/// thread-safe.
class PermitIssuer
{
public:
    explicit PermitIssuer(LimitSettings settings = {})
        : settings(settings)
    {}

    PermitDecision take(const UpstreamProcess &process, double requestsPerSecond, TimePoint now);

    /// @brief Forgets all permits, because another instance may have issued some since.
    void reset() { this->buckets.clear(); }

private:
    LimitSettings settings;
    std::map<UpstreamProcess, PermitBucket> buckets;
};

/// @brief Permits of an instance that gets no answer from the issuer: an equal share of a part of
/// the limit; not thread-safe.
class OwnPermits
{
public:
    /// @param seed seed of the times of the first permits; has to differ between instances, so that
    /// these don't come at the same time
    explicit OwnPermits(std::uint64_t seed, LimitSettings settings = {})
        : settings(settings)
        , random(seed)
    {}

    /// @param instances number of instances that share the limit
    PermitDecision take(const UpstreamProcess &process, double requestsPerSecond,
                        std::uint32_t instances, TimePoint now);

    /// @brief Forgets all saved permits. Called while there is an issuer: without one, all
    /// instances would use what they have saved at the same time.
    /// @return whether permits were taken since the last call
    bool reset() { return !std::exchange(this->buckets, {}).empty(); }

private:
    LimitSettings settings;
    Random random;
    std::map<UpstreamProcess, PermitBucket> buckets;
};

} // namespace bamboochute::gateway
