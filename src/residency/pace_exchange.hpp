/// @file
/// @brief Reports this instance's evidence of upstreams, and pools that of others.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "gateway/upstream_pace.hpp"
#include "residency/peer_messages.hpp"

#include <functional>
#include <map>
#include <optional>

namespace bamboochute::residency {

/// @brief Times and bounds of the exchange.
struct PaceExchangeSettings
{
    /// Pause between two reports, and between two messages with states; as of demand reports.
    Duration interval = std::chrono::milliseconds(600);
    /// Messages that the owner sends in a second at most, so that control stays within its part of
    /// a core; with more instances each gets its states less often. As for shares of quotas.
    double maxMessagesPerSecond = 600;
    /// Time for which an instance that has reported gets states.
    Duration reporterTimeout = std::chrono::seconds(4);
    auto operator<=>(const PaceExchangeSettings &) const = default;
};

/// @brief Exchanges evidence and states with other instances; used on the loop's thread only.
///
/// Sends nothing while the feature is off. The instance to which the others report pools the
/// evidence; it needs neither the placement's ownership nor the store for that.
class PaceExchange
{
public:
    /// @param meter of this instance
    PaceExchange(gateway::PaceMeter &meter, gateway::PaceLimits limits, InstanceId self,
                 PaceExchangeSettings settings = {});

    bool isEnabled() const noexcept { return this->meter.isEnabled(); }
    Duration interval() const noexcept { return this->settings.interval; }

    /// @brief Sends what is due.
    /// @param owner unset while none is known
    /// @param isSelf whether this instance is the owner
    void sendDue(const std::optional<Endpoint> &owner, bool isSelf, TimePoint now);

    /// @brief Records that a process has started.
    void recordUpstreamStart(const gateway::ServiceId &service,
                             const gateway::UpstreamProcess &process, TimePoint now);

    /// @brief Handles the evidence of an instance.
    void receiveReport(const PaceReportMessage &message, const Endpoint &from, TimePoint now);

    /// @brief Handles what the owner says of upstreams.
    void receiveStates(const PaceStatesMessage &message, TimePoint now);

    /// @brief Sends a message to an instance; set before sendDue().
    std::function<void(const Endpoint &to, const PeerMessage &message)> send;

private:
    struct Reporter
    {
        Endpoint endpoint;
        TimePoint reportedAt{};
    };

    void sendStates(TimePoint now);

    gateway::PaceMeter &meter;
    gateway::PaceLimits limits;
    /// Set while instances report to this one.
    std::optional<gateway::PaceAggregate> aggregate;
    InstanceId self;
    PaceExchangeSettings settings;
    std::map<InstanceId, Reporter> reporters;
    TimePoint statesSentAt{};
};

} // namespace bamboochute::residency
