/// @file
/// @brief Calls the administration API of an instance.
#pragma once

#include "admin/admin_message.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"

#include <chrono>

namespace bamboochute::admin {

/// @brief Sends one request and waits for the answer; blocks the calling thread.
/// @param timeout for the whole call
/// @return the answer, whatever its status; PeerUnreachable when there is none
Result<AdminResponse> callAdmin(const Endpoint &endpoint, const AdminRequest &request,
                                std::chrono::milliseconds timeout);

} // namespace bamboochute::admin
