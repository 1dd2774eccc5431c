/// @file
/// @brief JSON codec of the etcd v3 gateway, for client and server.
///
/// Covers only the calls that this project makes: /v3/kv/txn and /v3/lease/grant. As the protocol
/// defines, 64-bit numbers are JSON strings, and keys and values are base64.
#pragma once

#include "platform/key_value.hpp"

#include <string>
#include <string_view>

namespace bamboochute::platform {

constexpr std::string_view etcdTransactionPath = "/v3/kv/txn";
constexpr std::string_view etcdLeaseGrantPath = "/v3/lease/grant";

/// @brief Writes the body of a transaction request.
std::string printTransaction(const Transaction &transaction);

/// @brief Parses the body of a transaction request.
/// @return the transaction; MalformedJson or InvalidField when the body is not a valid one
Result<Transaction> parseTransaction(std::string_view body);

/// @brief Writes the body of a transaction response.
/// @param transaction the request, whose operations determine the kind of each entry of the
/// response
/// @param response result of the transaction
std::string printTransactionResponse(const Transaction &transaction,
                                     const TransactionResponse &response);

/// @brief Parses the body of a transaction response.
/// @return the response; MalformedJson or InvalidField when the body is not a valid one
Result<TransactionResponse> parseTransactionResponse(std::string_view body);

/// @brief Parses the body of the response to a transaction.
/// @return the response, which has one entry for each operation; MalformedJson or InvalidField when
/// the body is not a valid response to this transaction
Result<TransactionResponse> parseTransactionResponse(std::string_view body,
                                                     const Transaction &transaction);

/// @brief Writes the body of a request for a lease.
std::string printLeaseGrantRequest(std::chrono::seconds timeToLive);

/// @brief Parses the body of a request for a lease.
/// @return time to live of the lease; MalformedJson or InvalidField when the body is not valid
Result<std::chrono::seconds> parseLeaseGrantRequest(std::string_view body);

/// @brief Writes the body of the response to a request for a lease.
std::string printLeaseGrantResponse(LeaseId lease, std::chrono::seconds timeToLive);

/// @brief Parses the body of the response to a request for a lease.
/// @return id of the lease; MalformedJson or InvalidField when the body is not valid
Result<LeaseId> parseLeaseGrantResponse(std::string_view body);

} // namespace bamboochute::platform
