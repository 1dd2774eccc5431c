/// @file
/// @brief Requests and responses of the administration API, independent of the HTTP library.
#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace bamboochute::admin {

/// @brief A request received over HTTP.
struct AdminRequest
{
    /// HTTP method, such as "GET".
    std::string method;
    /// Path and query, percent-encoded.
    std::string target;
    /// Value of the header Authorization; empty when there is none.
    std::string authorization;
    std::string body;
    auto operator<=>(const AdminRequest &) const = default;
};

/// @brief A response to be sent over HTTP.
struct AdminResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::optional<std::chrono::seconds> retryAfter;
    auto operator<=>(const AdminResponse &) const = default;
};

using AdminDone = std::function<void(AdminResponse)>;

/// @brief The error as a JSON response with the HTTP status from the error table.
AdminResponse errorResponse(const Error &error);

} // namespace bamboochute::admin
