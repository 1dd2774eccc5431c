/// @file
/// @brief Upstreams that asked for a pause when they turned a request away.
#pragma once

#include "core/clock.hpp"
#include "gateway/upstream_process.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace bamboochute::gateway {

/// @brief Bounds of the pauses.
struct PauseLimits
{
    /// A longer pause is shortened to this.
    Duration longestPause = std::chrono::seconds(60);
    /// After its pause an upstream gets one request; further ones when that was answered, or has
    /// been under way for this time.
    Duration firstRequestTime = std::chrono::milliseconds(300);
    /// Time for which a pause also holds for a later process of the upstream: the registration of
    /// the process that asked for it may not have been read by then.
    Duration processChangeTime = std::chrono::seconds(3);
    /// Upstreams that are remembered; the one whose pause ends first is forgotten first.
    std::size_t maxUpstreams = 4096;
    auto operator<=>(const PauseLimits &) const = default;
};

/// @brief Remembers until when upstreams want nothing from this instance; not thread-safe.
class UpstreamPauses
{
public:
    explicit UpstreamPauses(PauseLimits limits = {})
        : limits(limits)
    {}

    /// @brief Records that a process asked for a pause.
    void record(const UpstreamProcess &process, Duration pause, TimePoint now);

    /// @brief Records an answer other than one that asks for a pause.
    /// @param now a pause that is not over at this time goes on
    void recordAnswer(const UpstreamProcess &process, TimePoint now);

    /// @brief Records that a request is sent to a process.
    void recordSend(const UpstreamProcess &process, TimePoint now);

    /// @brief Time until a request may be sent to a process; unset when it may be sent now.
    std::optional<Duration> waitFor(const UpstreamProcess &process, TimePoint now) const;

    /// @brief Whether the pause of a process is not over.
    bool isPaused(const UpstreamProcess &process, TimePoint now) const;

private:
    struct Pause
    {
        std::uint64_t startedAt = 0;
        TimePoint recordedAt{};
        TimePoint until{};
        /// When the first request after the pause was sent; zero before.
        TimePoint firstSentAt{};
    };

    const Pause *find(const UpstreamProcess &process, TimePoint now) const;

    PauseLimits limits;
    /// Kept until the upstream has answered after its pause.
    std::map<UpstreamId, Pause> pauses;
};

} // namespace bamboochute::gateway
