/// @file
/// @brief Keeps the newest configuration in force at this instance and spreads it.
#pragma once

#include "admin/configuration_in_force.hpp"
#include "admin/submission.hpp"
#include "node/control_context.hpp"
#include "node/gossip_driver.hpp"
#include "node/timers.hpp"
#include "peer/call_client.hpp"
#include "platform/key_value_client.hpp"

#include <functional>
#include <map>
#include <memory>

namespace bamboochute::node {

/// @brief What the configuration's driver tells the rest of the control thread.
struct ConfigurationCallbacks
{
    /// A newer configuration came into force.
    std::function<void(ConfigurationPointer)> onApplied;
    /// The instance became ready, or is so no more.
    std::function<void()> onReadinessChanged;
};

/// @brief Joins the configuration's state machines with key-value service, gossip and peer calls.
class ConfigurationDriver
{
public:
    ConfigurationDriver(ControlContext &context, Timers &timers, platform::KeyValueClient &keyValue,
                        GossipDriver &gossip, peer::CallClient &calls,
                        ConfigurationCallbacks callbacks);
    ~ConfigurationDriver();
    ConfigurationDriver(const ConfigurationDriver &) = delete;
    ConfigurationDriver &operator=(const ConfigurationDriver &) = delete;

    /// @brief Reads the newest root and goes on reading it from time to time.
    void start();

    /// @brief Takes a change of the spread state; topics of no concern are passed over.
    void onStateChanged(const peer::StateDelta &delta);

    /// @brief Notes that the set of reachable instances has changed.
    void onMembersChanged();

    /// @brief Answers another instance that asks for parts.
    peer::ConfigurationPartsAnswer onPartsRequest(const peer::ConfigurationPartsRequest &request);

    /// @brief Submits a configuration; an accepted one is known to other instances before the
    /// answer.
    void submit(admin::SubmitRequest request,
                std::function<void(Result<admin::SubmitOutcome>)> done);

    /// @brief Reads past roots.
    void history(std::function<void(Result<std::vector<admin::ConfigurationRoot>>)> done);

    const admin::ConfigurationInForce &inForce() const;

    /// @brief Revision in force at other instances, as they last said.
    std::map<InstanceId, Revision> revisions() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
