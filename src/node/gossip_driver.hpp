/// @file
/// @brief Runs the gossip protocol on the control thread: socket, timer and callbacks.
#pragma once

#include "node/control_context.hpp"
#include "peer/datagram_socket.hpp"
#include "peer/gossip.hpp"

#include <functional>
#include <memory>

namespace bamboochute::node {

/// @brief Called on the control thread when gossip reports a change.
struct GossipCallbacks
{
    std::function<void(const peer::MemberChanged &)> onMemberChanged;
    std::function<void(const peer::StateChanged &)> onStateChanged;
    std::function<void(const peer::DeclaredGoneByPeers &)> onSelfDeclaredGone;
};

/// @brief Owns the gossip state machine and its UDP socket.
class GossipDriver
{
public:
    /// @brief Binds the UDP socket at the address and port at which this instance takes calls.
    /// @param context of the control thread
    /// @param keys keys shared by all instances, which sign and verify datagrams
    /// @param callEndpoint address and port that are bound for calls by TCP
    /// @param callbacks receive the changes
    /// @return the driver, or SettingInvalid when the address can't be bound
    static Result<std::unique_ptr<GossipDriver>> open(ControlContext &context, peer::KeyRing keys,
                                                      const Endpoint &callEndpoint,
                                                      GossipCallbacks callbacks);

    ~GossipDriver();
    GossipDriver(const GossipDriver &) = delete;
    GossipDriver &operator=(const GossipDriver &) = delete;

    /// @brief Starts receiving datagrams and the periodic tick of the state machine.
    void start();

    /// @brief Publishes an entry of the gossiped state; an error is logged and counted.
    /// @param key stream and item of the entry
    /// @param fence of the stream's writer
    /// @param payload of the entry
    void publish(const peer::StateKey &key, Fence fence, std::string payload);

    /// @brief Publishes the removal of an entry; an error is logged and counted.
    void erase(const peer::StateKey &key, Fence fence);

    /// @brief Takes over a stream after this instance became its writer; an error is logged and
    /// counted.
    void takeOver(const peer::StreamKey &stream, Fence fence);

    /// @brief Updates the membership from the platform's list of instances.
    void onPlatformList(const std::vector<peer::ListedInstance> &list);

    /// @brief Tells other instances that this one is stopping and takes no new work.
    void announceLeaving();
    /// @brief Leaves the membership at the end of a graceful stop.
    void leave();

    const peer::Gossip &gossip() const;

private:
    struct State;
    explicit GossipDriver(std::shared_ptr<State> state);
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
