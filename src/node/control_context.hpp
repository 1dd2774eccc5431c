/// @file
/// @brief What every part of the control thread shares.
#pragma once

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "node/settings.hpp"

namespace boost::asio {
class io_context;
}

namespace bamboochute::node {

/// @brief References that outlive every part of the control thread.
struct ControlContext
{
    /// Event loop of the control thread.
    boost::asio::io_context &loop;
    const Settings &settings;
    Metrics &metrics;
    /// Distinguishes this process from earlier ones under the same name.
    Incarnation incarnation;
    SteadyClock clock;
};

} // namespace bamboochute::node
