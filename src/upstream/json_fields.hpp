/// @file
/// @brief Reads members of an engine's JSON body; a malformed member gives ReportDistrusted.
#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace bamboochute::upstream {

/// @brief Parses a body that must be an object with a nesting depth of at most 8.
/// @return ReportDistrusted when it is not
Result<nlohmann::json> parseObject(std::string_view body);

/// @brief Reads a non-negative integer.
/// @param object object to read from
/// @param name name of the member
/// @param maxValue largest value that is accepted
/// @return ReportDistrusted when the member is missing, of another type or too large
Result<std::uint64_t> readNumber(const nlohmann::json &object, const char *name,
                                 std::uint64_t maxValue);

/// @brief Reads a string of at most 256 bytes.
Result<std::string> readString(const nlohmann::json &object, const char *name);

/// @brief Reads a list of at most maxReportedPlacements entries.
Result<const nlohmann::json *> readList(const nlohmann::json &object, const char *name);

/// @brief Reads an object of at most maxReportedPlacements members.
Result<const nlohmann::json *> readObject(const nlohmann::json &object, const char *name);

/// Largest amount of memory, in bytes, that a report may contain.
constexpr std::uint64_t maxAcceptedBytes = 1ULL << 46;
/// Largest fencing number that a report may contain.
constexpr std::uint64_t maxAcceptedFence = 1ULL << 52;

} // namespace bamboochute::upstream
