/// @file
/// @brief Keeps this instance on the newest configuration and announces it to other instances.
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

/// @brief Notifications from ConfigurationDriver to the rest of the control thread.
struct ConfigurationCallbacks
{
    /// A newer configuration came into force.
    std::function<void(ConfigurationPointer)> onApplied;
    /// The instance became ready, or is no longer ready.
    std::function<void()> onReadinessChanged;
};

/// @brief Connects the configuration's state machines to the key-value service, to gossip and to
/// calls between instances.
///
/// A configuration consists of a root, which names a revision, and of parts named by their hashes.
/// Control thread only; the constructor's references must outlive the object.
class ConfigurationDriver
{
public:
    ConfigurationDriver(ControlContext &context, Timers &timers, platform::KeyValueClient &keyValue,
                        GossipDriver &gossip, peer::CallClient &calls,
                        ConfigurationCallbacks callbacks);
    ~ConfigurationDriver();
    ConfigurationDriver(const ConfigurationDriver &) = delete;
    ConfigurationDriver &operator=(const ConfigurationDriver &) = delete;

    /// @brief Reads the newest root from the key-value service, now and periodically.
    void start();

    /// @brief Handles a change of the gossiped state; ignores topics other than the
    /// configuration's.
    void onStateChanged(const peer::StateDelta &delta);

    /// @brief Updates the set of peers after a membership change.
    void onMembersChanged();

    /// @brief Answers another instance's request for parts of the configuration.
    /// @return the requested parts that are known here, as far as they fit into maxChunkBytes
    peer::ConfigurationPartsAnswer onPartsRequest(const peer::ConfigurationPartsRequest &request);

    /// @brief Submits a new configuration.
    /// @param request as received by the administration API
    /// @param done gets the outcome; that of an accepted configuration is held back until two other
    ///        instances (all others, if there are fewer) have it in force, for 1.5 s at most
    void submit(admin::SubmitRequest request,
                std::function<void(Result<admin::SubmitOutcome>)> done);

    /// @brief Reads the roots of earlier configurations from the key-value service.
    void history(std::function<void(Result<std::vector<admin::ConfigurationRoot>>)> done);

    const admin::ConfigurationInForce &inForce() const;

    /// @brief Revision in force at each instance, as last announced by it.
    std::map<InstanceId, Revision> revisions() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
