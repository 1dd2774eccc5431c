/// @file
/// @brief Constants that several steps of a request share.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <string_view>

namespace bamboochute::gateway {

/// Time after which an upstream that refused a target may be asked for it again.
constexpr Duration refusedTargetRetryDelay = std::chrono::milliseconds(60);
/// Retry-After when no upstream is usable; about the time for which a faulty upstream is avoided.
constexpr Duration noUpstreamRetryAfter = std::chrono::milliseconds(400);

/// A request with less time left than this is not sent to another upstream; also the least time
/// that an upstream is told to have.
constexpr Duration minSendTime = std::chrono::milliseconds(20);

/// Time after which other instances are asked again for the origin of a stream; several times the
/// round trip between instances, as datagrams get lost.
constexpr Duration originQueryInterval = std::chrono::milliseconds(50);
/// Number of times that they are asked at least.
constexpr int minOriginQueries = 2;
/// Time after which they are not asked again and the origin of a stream counts as unknown.
constexpr Duration originQueryTimeout = std::chrono::milliseconds(200);
/// How long such a request waits beyond that for an instance that has just started to read the
/// origins in the store.
constexpr Duration storedOriginsTimeout = std::chrono::milliseconds(1000);

/// Time to wait for the record of versions; the store answers within milliseconds.
constexpr Duration versionsReadTimeout = std::chrono::milliseconds(300);

/// Time to wait until it is known whether the upstream that broke a request has ended; the crash
/// detector has tried two connections by then.
constexpr Duration crashVerdictTimeout = std::chrono::milliseconds(250);

/// Why a request ends while the process stops.
constexpr std::string_view stoppingReason = "this instance is shutting down";

/// Size limit for the body of an answer that is not a stream.
constexpr std::size_t maxAnswerBytes = 8 << 20;

constexpr int statusOk = 200;
constexpr int firstServerError = 500;
constexpr int statusUnavailable = 503;

} // namespace bamboochute::gateway
