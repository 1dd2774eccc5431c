/// @file
/// @brief Requests and answers of the administration API as values.
#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace bamboochute::admin {

/// @brief A request as it came over HTTP.
struct AdminRequest
{
    /// Such as "GET".
    std::string method;
    /// Path and query.
    std::string target;
    /// Value of the header Authorization; empty when there is none.
    std::string authorization;
    std::string body;
    auto operator<=>(const AdminRequest &) const = default;
};

/// @brief An answer to be sent over HTTP.
struct AdminResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::optional<std::chrono::seconds> retryAfter;
    auto operator<=>(const AdminResponse &) const = default;
};

using AdminDone = std::function<void(AdminResponse)>;

/// @brief An error as JSON, with the status of the error table.
AdminResponse errorResponse(const Error &error);

} // namespace bamboochute::admin
