/// @file
/// @brief Owns the control state of an entry instance and connects its components.
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

/// @brief Addresses at which an instance listens, with the ports that were bound.
struct BoundEndpoints
{
    Endpoint callers;
    Endpoint admin;
    Endpoint peers;
    auto operator<=>(const BoundEndpoints &) const = default;
};

/// @brief One entry instance: its servers and all components of its control thread.
///
/// Settings, signals and exit codes are left to runInstance().
class Control
{
public:
    /// @param loop event loop of the control thread, which the user of the object runs
    /// @param settings validated settings; must outlive the object
    /// @param metrics receives the instance's metrics; must outlive the object
    Control(boost::asio::io_context &loop, const Settings &settings, Metrics &metrics);
    ~Control();
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    /// @brief Binds all addresses and starts.
    /// @param onStopped called on the control thread when a graceful stop has ended
    /// @return the bound addresses, or SettingInvalid naming the address that can't be bound
    Result<BoundEndpoints> start(std::function<void()> onStopped);

    /// @brief Begins the graceful stop: takes no new requests, lets those in flight finish and
    /// hands owned pools over to other instances.
    void beginStop();

    /// @brief Cuts a graceful stop short: each request still in flight is answered with an error.
    void stopNow();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
