/// @file
/// @brief Limits of a configuration.
#pragma once

#include <cstddef>
#include <cstdint>

namespace bamboochute::admin {

constexpr std::uint64_t configurationFormatVersion = 1;

constexpr std::size_t maxConfigurationBytes = 16 << 20;
/// Nesting depth of arrays and objects in the JSON of a configuration.
constexpr std::size_t maxConfigurationDepth = 8;
constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxPathPrefixLength = 256;

constexpr std::size_t maxOperators = 256;
constexpr std::size_t maxDeployments = 64;
constexpr std::size_t maxCallerClasses = 64;
constexpr std::size_t maxModels = 4096;
constexpr std::size_t maxAdapters = 65536;
constexpr std::size_t maxUpstreams = 4096;
constexpr std::size_t maxRoutes = 256;
constexpr std::size_t maxDataCentresOfModel = 64;
constexpr std::size_t maxMethodsOfRoute = 8;

constexpr std::uint64_t maxMemoryBytes = std::uint64_t(1) << 44;
constexpr std::uint64_t maxReplicasOfTarget = 4096;
constexpr std::uint64_t maxAccelerators = 64;
constexpr std::uint64_t maxConcurrentRequests = 65536;
constexpr std::uint64_t maxClassWeight = 1000000;
constexpr std::uint64_t maxQueuedRequests = 65536;
constexpr std::int64_t maxEnginePriority = 1000;
constexpr std::uint64_t maxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t maxClaimRetentionSeconds = 7ULL * 24 * 3600;
constexpr std::uint64_t maxStoreLoadsAtOnce = 1024;
constexpr std::uint64_t maxAdaptersInTransit = 4096;
constexpr double minStoreLoadsPerSecond = 0.001;
constexpr double maxStoreLoadsPerSecond = 10000;
constexpr double minIdleSecondsPerColdStartSecond = 0.001;
constexpr double maxIdleSecondsPerColdStartSecond = 1000000;

} // namespace bamboochute::admin
