/// @file
/// @brief Reads members of an upstream's JSON and distrusts what can't be true.
#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace bamboochute::upstream {

/// @brief Parses a body that must be an object, nested at most a few levels.
/// @return ReportDistrusted when it is not
Result<nlohmann::json> parseObject(std::string_view body);

/// @brief A whole number from 0.
/// @param object to read from
/// @param name of the member
/// @param most largest value that is believed
Result<std::uint64_t> readNumber(const nlohmann::json &object, const char *name,
                                 std::uint64_t most);

/// @brief A text of at most 256 bytes.
Result<std::string> readText(const nlohmann::json &object, const char *name);

/// @brief A list of at most maxReportedPlacements entries.
Result<const nlohmann::json *> readList(const nlohmann::json &object, const char *name);

/// @brief A nested object.
Result<const nlohmann::json *> readObject(const nlohmann::json &object, const char *name);

/// Most bytes of memory that an engine is believed to have.
constexpr std::uint64_t maxBelievedBytes = 1ULL << 46;
/// Largest fencing number that is believed.
constexpr std::uint64_t maxBelievedFence = 1ULL << 52;

} // namespace bamboochute::upstream
