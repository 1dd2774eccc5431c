/// @file
/// @brief Remembers which software version began which stream.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace bamboochute::gateway {

/// @brief The version of the upstream that sent the first event of a stream.
struct StreamOrigin
{
    /// Request that brought the first event to the caller.
    RequestId request;
    ServiceId service;
    SoftwareVersion version;
    /// Increases when the version turns out to be another one; the higher one is right.
    std::uint32_t correction = 0;
    auto operator<=>(const StreamOrigin &) const = default;
};

/// @brief Bounds of the origins that an instance remembers.
struct StreamOriginLimits
{
    /// Time for which an origin is remembered; callers take a stream up within its deadline, which
    /// is shorter.
    Duration lifetime = std::chrono::seconds(60);
    /// Largest number of origins; the oldest are dropped first.
    std::size_t maxOrigins = 20000;
    /// Origins of requests with longer ids are not remembered.
    std::size_t maxRequestIdBytes = 128;
    auto operator<=>(const StreamOriginLimits &) const = default;
};

/// @brief Origins of the recent streams of this and other instances; not thread-safe.
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginLimits limits = {})
        : limits(limits)
    {}

    /// @brief Remembers an origin; ignored when the same or a later correction is known for the
    /// request.
    void record(const StreamOrigin &origin, TimePoint now);

    /// @brief Finds the origin of the stream that a request began.
    /// @return unset when it is not known
    std::optional<StreamOrigin> find(const RequestId &request) const;

    std::size_t size() const noexcept { return this->byRequest.size(); }

private:
    StreamOriginLimits limits;
    std::map<RequestId, StreamOrigin> byRequest;
    std::deque<std::pair<TimePoint, RequestId>> byAge;
};

} // namespace bamboochute::gateway
