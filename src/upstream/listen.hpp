/// @file
/// @brief Binds an acceptor to an address.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "upstream/net.hpp"

namespace bamboochute::upstream {

/// @brief Opens, binds and listens.
/// @param endpoint IPv4 address and port; port 0 takes a free one
/// @param backlog connections that may wait to be accepted
/// @return the address bound, or SettingInvalid
Result<Endpoint> listenOn(Acceptor &acceptor, const Endpoint &endpoint, int backlog);

} // namespace bamboochute::upstream
