/// @file
/// @brief One connection of a caller: requests one after another.
#pragma once

#include "caller/thread_context.hpp"
#include "upstream/http_stream.hpp"

namespace bamboochute::caller {

/// @brief Serves a connection until either side closes it.
upstream::Awaitable<void> runSession(ThreadContext &thread, upstream::HttpStreamPointer stream);

} // namespace bamboochute::caller
