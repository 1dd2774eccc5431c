/// @file
/// @brief Opens listening sockets and accepts connections.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/inbound_budget.hpp"
#include "upstream/net.hpp"

#include <optional>

namespace bamboochute::upstream {

/// @brief Opens an acceptor, binds it and starts to listen.
/// @param acceptor acceptor that is not open yet
/// @param endpoint IPv4 address and port; port 0 selects a free one
/// @param backlog largest number of connections that wait to be accepted
/// @param inbound bounds what the kernel holds for each connection
/// @return the bound address, or SettingInvalid
Result<Endpoint> listenOn(Acceptor &acceptor, const Endpoint &endpoint, int backlog,
                          const InboundBudget &inbound);

/// @brief Waits for the next connection; a failure is logged and retried after 20 ms.
/// @return nothing when the acceptor was closed
Awaitable<std::optional<Socket>> acceptNext(Acceptor &acceptor);

} // namespace bamboochute::upstream
