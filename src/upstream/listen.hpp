/// @file
/// @brief Binds an acceptor to an address.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "upstream/net.hpp"

#include <optional>

namespace bamboochute::upstream {

/// @brief Opens, binds and listens.
/// @param endpoint IPv4 address and port; port 0 takes a free one
/// @param backlog connections that may wait to be accepted
/// @return the address bound, or SettingInvalid
Result<Endpoint> listenOn(Acceptor &acceptor, const Endpoint &endpoint, int backlog);

/// @brief Waits for the next connection; failures are logged and tried again after a pause.
/// @return nothing when the acceptor was closed
Awaitable<std::optional<Socket>> acceptNext(Acceptor &acceptor);

} // namespace bamboochute::upstream
