/// @file
/// @brief Client of an instance's administration API.
#pragma once

#include "admin/admin_message.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"

#include <chrono>

namespace bamboochute::admin {

/// @brief Sends one request and waits for the response; blocks the calling thread.
/// @param endpoint IP address and port of the instance's administration API
/// @param request what to send
/// @param timeout limit for the whole call
/// @return the response with any HTTP status; PeerUnreachable when there is none
Result<AdminResponse> callAdmin(const Endpoint &endpoint, const AdminRequest &request,
                                std::chrono::milliseconds timeout);

} // namespace bamboochute::admin
