/// @file
/// @brief Size of the messages between instances.
#pragma once

#include "peer/datagram.hpp"

#include <cstddef>

namespace bamboochute::residency {

/// Bytes reserved for the encoding of a message apart from the elements of its lists.
constexpr std::size_t envelopeBytes = 64;
/// Upper bound of a message, or a part of one, so that it fits into a datagram.
constexpr std::size_t maxPartBytes = peer::maxDatagramBytes - envelopeBytes;

} // namespace bamboochute::residency
