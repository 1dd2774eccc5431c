/// @file
/// @brief The JSON of the etcd v3 gateway, for both ends.
///
/// Only the calls that the system makes: /v3/kv/txn and /v3/lease/grant. Numbers of 64 bits are
/// JSON strings, keys and values are base64, as the published protocol says.
#pragma once

#include "platform/key_value.hpp"

#include <string>
#include <string_view>

namespace bamboochute::platform {

constexpr std::string_view etcdTransactionPath = "/v3/kv/txn";
constexpr std::string_view etcdLeaseGrantPath = "/v3/lease/grant";

/// @brief Body of a transaction request.
std::string printTransaction(const Transaction &transaction);

/// @brief Reads the body of a transaction request.
/// @return MalformedJson or InvalidField when it is not one
Result<Transaction> parseTransaction(std::string_view body);

/// @brief Body of a transaction's answer.
/// @param transaction the request, which says what each answer is for
/// @param response its result
std::string printTransactionResponse(const Transaction &transaction,
                                     const TransactionResponse &response);

/// @brief Reads the body of a transaction's answer.
/// @return MalformedJson or InvalidField when it is not one
Result<TransactionResponse> parseTransactionResponse(std::string_view body);

std::string printLeaseGrantRequest(std::chrono::seconds timeToLive);
Result<std::chrono::seconds> parseLeaseGrantRequest(std::string_view body);
std::string printLeaseGrantResponse(LeaseId lease, std::chrono::seconds timeToLive);
Result<LeaseId> parseLeaseGrantResponse(std::string_view body);

} // namespace bamboochute::platform
