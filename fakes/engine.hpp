/// @file
/// @brief Fake of a model engine: completions, and the reports and orders of one vendor's dialect.
#pragma once

#include "fakes/engine_state.hpp"
#include "fakes/http_server.hpp"

#include <map>
#include <memory>

namespace bamboochute::fakes {

/// @brief HTTP server of a fake engine on one event loop.
class FakeEngine
{
public:
    FakeEngine(upstream::asio::io_context &context, EngineSettings settings);
    ~FakeEngine();
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;

    /// @brief Binds the endpoint and begins to accept connections.
    /// @param endpoint address and port; port 0 takes a free port
    /// @return the bound endpoint, or SettingInvalid when the endpoint can't be bound
    Result<Endpoint> listen(const Endpoint &endpoint);
    /// @brief Stops accepting and closes all connections; only on the event loop's thread.
    void close();

    /// @brief Placements and counters; only on the event loop's thread.
    EngineState &state();

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace bamboochute::fakes
