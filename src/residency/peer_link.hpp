/// @file
/// @brief Demand to the owner of the placement, and the owner's word to the instances, over UDP.
#pragma once

#include "gateway/gateway.hpp"
#include "peer/datagram_socket.hpp"
#include "residency/owner_election.hpp"
#include "residency/peer_messages.hpp"
#include "residency/placement_driver.hpp"

#include <memory>
#include <vector>

namespace bamboochute::residency {

/// @brief How often an instance reports its demand.
struct PeerLinkSettings
{
    Duration reportInterval = std::chrono::milliseconds(500);
    /// Pause between two reports while requests wait for a target.
    Duration waitingInterval = std::chrono::milliseconds(150);
    /// Instances that are assumed before the owner has told their number.
    std::uint32_t assumedInstanceCount = 24;
};

/// @brief One instance's side of the talk about placement; one thread.
class PeerLink
{
public:
    PeerLink(boost::asio::io_context &loop, gateway::Gateway &gateway, OwnerElection &election,
             PlacementDriver &driver, InstanceId self, PeerLinkSettings settings = {});

    /// @brief Binds the socket and begins to report.
    Result<Endpoint> start(const Endpoint &listen);
    void stop();

    /// Called with the owner's term and how far it has followed the platform's state.
    std::function<void(Fence fence, const StoreWatchProgress &watchProgress)> onWatchProgress;

    /// @brief Called with each change that the owner passes on.
    std::function<void(const ForwardedChange &change)> onForwardedChange;

private:
    upstream::Awaitable<void> run();
    void reportDemand();
    void receiveDatagram(std::string_view bytes, const Endpoint &from);
    void applyOwnerMessage(const OwnerMessage &message);

    boost::asio::io_context &loop;
    gateway::Gateway &gateway;
    OwnerElection &election;
    PlacementDriver &driver;
    InstanceId self;
    PeerLinkSettings settings;
    gateway::ChangeSignal wake;
    std::unique_ptr<peer::DatagramSocket> socket;
    std::vector<UpstreamId> pendingSuspicions;
    bool isAnyWaiting = false;
    bool isStopped = false;
    Fence newestFence;
};

} // namespace bamboochute::residency
