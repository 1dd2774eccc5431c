/// @file
/// @brief Hands the origins of this instance's streams to the placement owner, which stores them.
#pragma once

#include "core/metrics.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/origin_journal.hpp"
#include "residency/owner_election.hpp"
#include "residency/peer_messages.hpp"

#include <functional>

namespace bamboochute::residency {

/// @brief Sends batches of origins until the owner has stored them; used on the loop's thread only.
class OriginReporter
{
public:
    OriginReporter(boost::asio::io_context &loop, OwnerElection &election, Metrics &metrics,
                   gateway::OriginBatchNumber firstNumber);

    /// @brief Begins to send.
    /// @param self address of this instance's messages
    void start(const Endpoint &self);
    void stop();

    /// @brief Adds the origin of a stream that this instance began.
    void add(const gateway::StreamOrigin &origin);

    /// @brief Takes over that the owner has stored a batch.
    void receive(const OriginAcknowledgement &message);

    /// @brief Tells an instance that its batch is stored.
    void acknowledge(const gateway::OriginReceipt &receipt);

    /// @brief Looks at once whether there are origins to send: the owner, or the services whose
    /// origins have to be stored, may have changed.
    void recheck() { this->wake.notifyAll(); }

    /// @brief Hands all origins over again, because the store has come back from a copy.
    void handleStoreLoss();

    /// @brief Whether the origins of a service have to be stored. Set before start().
    gateway::OriginOutbox::IsStored isStored;
    /// @brief Sends a message to an instance. Set before start().
    std::function<void(const Endpoint &to, const PeerMessage &message)> send;
    /// @brief Called with each batch of an instance, and with the owner's own ones.
    std::function<void(const Endpoint &sender, const gateway::OriginBatch &batch)> onBatch;

private:
    upstream::Awaitable<void> run();
    void sendDue();
    void detectOwnerChange();

    boost::asio::io_context &loop;
    OwnerElection &election;
    Metrics &metrics;
    gateway::ChangeSignal wake;
    gateway::OriginOutbox outbox;
    Endpoint self;
    /// Nonce of the owner to which the open batches were sent; it is new with each ownership.
    std::uint64_t ownerNonce = 0;
    bool isStopped = false;
};

} // namespace bamboochute::residency
