/// @file
/// @brief Context that all components of the control thread share.
#pragma once

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "node/settings.hpp"

namespace boost::asio {
class io_context;
}

namespace bamboochute::node {

/// @brief Event loop, settings, metrics and clock; outlives all components that refer to it.
struct ControlContext
{
    /// Event loop of the control thread.
    boost::asio::io_context &loop;
    const Settings &settings;
    Metrics &metrics;
    /// Distinguishes this process from earlier ones of the same instance.
    Incarnation incarnation;
    SteadyClock clock;
};

} // namespace bamboochute::node
