/// @file
/// @brief Serves one connection of a caller, one request after another.
#pragma once

#include "caller/thread_context.hpp"
#include "upstream/http_stream.hpp"

namespace bamboochute::caller {

/// @brief Serves a connection until either side closes it.
/// @param thread that serves it
/// @param stream connection to the caller
upstream::Awaitable<void> runSession(ThreadContext &thread, upstream::HttpStreamPointer stream);

} // namespace bamboochute::caller
