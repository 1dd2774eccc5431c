/// @file
/// @brief Runs the gossip of this instance on the control thread: socket, timer, callbacks.
#pragma once

#include "node/control_context.hpp"
#include "peer/datagram_socket.hpp"
#include "peer/gossip.hpp"

#include <functional>
#include <memory>

namespace bamboochute::node {

/// @brief Called when the gossip learns something.
struct GossipCallbacks
{
    std::function<void(const peer::MemberChanged &)> onMemberChanged;
    std::function<void(const peer::StateChanged &)> onStateChanged;
    std::function<void(const peer::DeclaredGoneByPeers &)> onSelfDeclaredGone;
};

/// @brief Owner of the gossip state machine and its socket.
class GossipDriver
{
public:
    /// @brief Binds the socket at the endpoint at which this instance takes calls.
    /// @param context of the control thread
    /// @param keys shared keys
    /// @param callEndpoint bound address and port of the calls; datagrams use the same
    /// @param callbacks what to do with news
    /// @return the driver, or SettingInvalid when the address can't be bound
    static Result<std::unique_ptr<GossipDriver>> open(ControlContext &context, peer::KeyRing keys,
                                                      const Endpoint &callEndpoint,
                                                      GossipCallbacks callbacks);

    ~GossipDriver();
    GossipDriver(const GossipDriver &) = delete;
    GossipDriver &operator=(const GossipDriver &) = delete;

    /// @brief Starts receiving and ticking.
    void start();

    /// @brief Publishes an entry; an error is logged and counted.
    void publish(const peer::StateKey &key, Fence fence, std::string payload);

    /// @brief Publishes the removal of an entry.
    void erase(const peer::StateKey &key, Fence fence);

    /// @brief Takes a stream over after this instance became its writer.
    void takeOver(const peer::StreamKey &stream, Fence fence);

    /// @brief Hands in a reading of the platform's list.
    void onPlatformList(const std::vector<peer::ListedInstance> &list);

    void announceLeaving();
    void leave();

    const peer::Gossip &gossip() const;

private:
    struct State;
    explicit GossipDriver(std::shared_ptr<State> state);
    std::shared_ptr<State> state;
};

} // namespace bamboochute::node
