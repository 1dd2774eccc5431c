/// @file
/// @brief Keys and JSON encoding of the records in the key-value service.
#pragma once

#include "core/error.hpp"
#include "decision/values.hpp"

#include <string>
#include <string_view>

namespace bamboochute::decision {

/// @brief Returns the key of a pool's owner record.
std::string ownerKey(const PoolId &pool);

/// @brief Returns the prefix of all keys of a pool.
std::string poolPrefix(const PoolId &pool);

/// @brief Returns the prefix of the keys of a pool's upstream records.
std::string upstreamPrefix(const PoolId &pool);

/// @brief Returns the key of one upstream's record.
std::string upstreamKey(const PoolId &pool, const UpstreamId &upstream);

/// @brief Returns the record as JSON text.
std::string encode(const OwnerRecord &record);

/// @brief Returns the record as JSON text, with one-letter field names.
std::string encode(const UpstreamRecord &record);

/// @brief Parses the JSON text of an owner record.
/// @return the record, or ReportDistrusted with the position of the fault when the text is not an
/// owner record
Result<OwnerRecord> parseOwnerRecord(std::string_view text);

/// @brief Parses the JSON text of an upstream record.
/// @return the record, or ReportDistrusted with the position of the fault when the text is not an
/// upstream record
Result<UpstreamRecord> parseUpstreamRecord(std::string_view text);

} // namespace bamboochute::decision
