/// @file
/// @brief The control thread: owns all control state of an entry instance and joins its parts.
#pragma once

#include "core/error.hpp"
#include "node/settings.hpp"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace bamboochute {
class Metrics;
}

namespace bamboochute::node {

/// @brief Addresses at which an instance listens.
struct BoundEndpoints
{
    Endpoint callers;
    Endpoint admin;
    Endpoint peers;
    auto operator<=>(const BoundEndpoints &) const = default;
};

/// @brief Everything of one entry instance but its process.
class Control
{
public:
    /// @param loop event loop of the control thread; the caller runs it
    /// @param settings checked settings; must outlive the object
    /// @param metrics must outlive the object
    Control(boost::asio::io_context &loop, const Settings &settings, Metrics &metrics);
    ~Control();
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    /// @brief Binds all addresses and starts.
    /// @param stopped called on the control thread when a graceful stop has ended
    /// @return the addresses, or SettingInvalid naming the one that can't be bound
    Result<BoundEndpoints> start(std::function<void()> stopped);

    /// @brief Begins the graceful stop: no new work, nothing in flight is cut, pools handed over.
    void beginStop();

    /// @brief Ends what is left of a graceful stop at once; each cut request gets its error.
    void stopNow();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
