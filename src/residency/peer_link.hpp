/// @file
/// @brief Exchanges demand and placement between the instances and the owner over UDP.
#pragma once

#include "core/random.hpp"
#include "gateway/gateway.hpp"
#include "peer/datagram_socket.hpp"
#include "residency/origin_reporter.hpp"
#include "residency/owner_contact.hpp"
#include "residency/owner_election.hpp"
#include "residency/pace_exchange.hpp"
#include "residency/peer_directory.hpp"
#include "residency/peer_messages.hpp"
#include "residency/placement_driver.hpp"
#include "residency/quota_exchange.hpp"

#include <memory>
#include <vector>

namespace bamboochute::residency {

/// @brief Timing of an instance's demand reports.
struct PeerLinkSettings
{
    /// Pause between two reports while no request waits for a target.
    Duration reportInterval = std::chrono::milliseconds(500);
    /// Pause between two reports while requests wait for a target.
    Duration waitingInterval = std::chrono::milliseconds(150);
    /// Other instances that are told the origin of a stream; it is lost only if all of them fail.
    std::size_t originHolders = 5;
    /// Other instances that are told of each request that broke in a crash, and of each change of
    /// the quarantine or of an upstream's limit; the same ones for a service or upstream.
    std::size_t changeReceivers = 24;
    /// Pause between two messages with all quarantined parts and limits, and to how many others.
    Duration stateInterval = std::chrono::milliseconds(500);
    std::size_t stateReceivers = 3;
    /// Other instances that are asked for the origin of a stream when its holders don't answer.
    std::size_t maxAskedInstances = 24;
};

/// @brief Sends this instance's demand to the owner of the placement and applies the owner's
/// messages; used on the loop's thread only.
///
/// On the owner, it passes the demand of all instances to the driver and sends the driver's
/// messages.
class PeerLink
{
public:
    /// @param seed of random choices; has to differ between processes
    PeerLink(boost::asio::io_context &loop, gateway::Gateway &gateway, OwnerElection &election,
             PlacementDriver &driver, InstanceId self, Metrics &metrics, std::uint64_t seed,
             PeerLinkSettings settings = {});

    /// @brief Binds the socket and begins to report demand.
    /// @return the bound address, or the error of the socket
    Result<Endpoint> start(const Endpoint &listen);

    /// @brief Closes the socket and ends the reports.
    void stop();

    /// @brief Called with the owner's fencing number and how far it has followed the platform's
    /// store.
    std::function<void(Fence fence, const StoreWatchProgress &watchProgress)> onWatchProgress;

    /// @brief Returns the time since the platform's store last answered this instance; nothing
    /// while its last calls succeeded.
    std::function<std::optional<Duration>()> storeSilence;

    /// @brief Called with each registration change that the owner forwards.
    std::function<void(const ForwardedChange &change)> onForwardedChange;

    /// @brief Hands the origins of this instance's streams to the owner.
    OriginReporter &originReporter() noexcept { return this->origins; }

private:
    upstream::Awaitable<void> run();
    void reportDemand();
    upstream::Awaitable<void> runQuotas();
    void exchangeQuotas();
    void connectPace();
    upstream::Awaitable<void> runPace();
    void receiveDatagram(std::string_view bytes, const Endpoint &from);
    void applyOwnerMessage(const OwnerMessage &message, const Endpoint &from);
    std::optional<Endpoint> ownerEndpoint() const;
    bool isOwnEndpoint(const Endpoint &endpoint) const;
    void sendToHolders(const RequestId &request, std::size_t count, const PeerMessage &message);
    void sendToReceivers(std::string_view key, std::size_t count, const PeerMessage &message);
    void connectQuarantine();
    void connectLimits();
    void answerConsentQuery(const ConsentQuery &query, const Endpoint &from);
    void answerNotice(const CandidateNotice &notice, const Endpoint &from);
    void connectForwarding();
    bool canReachEngines() const;
    upstream::Awaitable<void> answerHelpQuery(HelpQuery query, Endpoint from);
    void learnLimits(const LimitMessage &message);
    void spreadState();
    void answerOriginQuery(const StreamOriginQuery &query, const Endpoint &from);
    void receiveOrigins(const gateway::OriginBatch &batch, const Endpoint &from);

    boost::asio::io_context &loop;
    gateway::Gateway &gateway;
    OwnerElection &election;
    PlacementDriver &driver;
    InstanceId self;
    PeerLinkSettings settings;
    gateway::ChangeSignal wake;
    gateway::ChangeSignal quotaTimer;
    gateway::ChangeSignal paceTimer;
    std::unique_ptr<peer::DatagramSocket> socket;
    PeerDirectory directory;
    OriginReporter origins;
    QuotaExchange quotas;
    PaceExchange pace;
    /// Instance that pools the evidence of upstreams: the owner, or the last one heard of.
    std::optional<Endpoint> paceOwner;
    /// Configuration that the exchange of quotas goes by.
    gateway::RouteIndexPointer quotaIndex;
    /// Instance that sums the reports of quotas.
    std::optional<Endpoint> aggregator;
    /// Upstreams that this instance began to avoid since its last report.
    std::vector<UpstreamId> pendingSuspicions;
    bool isAnyWaiting = false;
    TimePoint stateSentAt{};
    Random random;
    bool isStopped = false;
    /// Highest fencing number in the owners' messages; messages with a lower one are ignored.
    OwnerContact ownerContact;
    Fence newestFence;
};

} // namespace bamboochute::residency
