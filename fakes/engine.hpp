/// @file
/// @brief The stand-in of a model engine: completions, reports and orders of one vendor.
#pragma once

#include "fakes/engine_state.hpp"
#include "fakes/http_server.hpp"

#include <map>
#include <memory>

namespace bamboochute::fakes {

/// @brief An engine on one event loop.
class FakeEngine
{
public:
    FakeEngine(upstream::asio::io_context &context, EngineSettings settings);
    ~FakeEngine();
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;

    Result<Endpoint> listen(const Endpoint &endpoint);
    void close();

    /// @brief Placements and counters; on the loop's thread only.
    EngineState &state();

private:
    struct Parts;
    std::shared_ptr<Parts> parts;
};

} // namespace bamboochute::fakes
