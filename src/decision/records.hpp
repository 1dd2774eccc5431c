/// @file
/// @brief Keys and compact JSON of the records in the key-value service.
#pragma once

#include "core/error.hpp"
#include "decision/values.hpp"

#include <string>
#include <string_view>

namespace bamboochute::decision {

/// @brief Key of the owner's record.
std::string ownerKey(const PoolId &pool);

/// @brief Prefix of all keys of a pool.
std::string poolPrefix(const PoolId &pool);

/// @brief Prefix of the records of a pool's upstreams.
std::string upstreamPrefix(const PoolId &pool);

/// @brief Key of one upstream's record.
std::string upstreamKey(const PoolId &pool, const UpstreamId &upstream);

std::string encode(const OwnerRecord &record);
std::string encode(const UpstreamRecord &record);

/// @return ReportDistrusted with the place of the fault when the text is no such record
Result<OwnerRecord> parseOwnerRecord(std::string_view text);

/// @return ReportDistrusted with the place of the fault when the text is no such record
Result<UpstreamRecord> parseUpstreamRecord(std::string_view text);

} // namespace bamboochute::decision
