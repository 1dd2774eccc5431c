/// @file
/// @brief Finds out from which services this instance is cut off, and which instances help.
#pragma once

#include "core/metrics.hpp"
#include "forwarding/helper_directory.hpp"
#include "forwarding/reachability.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/upstream_health.hpp"
#include "gateway/upstream_table.hpp"
#include "upstream/upstream_call.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboochute::gateway {

/// @brief Settings of the requests that go through other instances.
struct ForwardingSettings
{
    forwarding::ReachabilityLimits reachability;
    forwarding::HelperLimits helpers;
    /// Upstreams of a round of probes.
    std::uint32_t probedUpstreams = 4;
    /// Time for a probe's connection.
    Duration probeTimeout = std::chrono::milliseconds(300);
    /// Time for which a probe's connection has to hold.
    Duration holdTime = std::chrono::milliseconds(30);
    /// Upstreams of a round whose probes need an answer, and the time for it.
    std::uint32_t askedUpstreams = 2;
    Duration answerTime = std::chrono::milliseconds(400);
    /// Time for which upstreams that failed are probed only if there are too few others.
    Duration failedTime = std::chrono::seconds(2);
    /// Time without a byte of an answer after which a call raises doubt about this instance's
    /// links, unless its upstream is to be replaced earlier.
    Duration silenceTime = std::chrono::seconds(1);
    auto operator<=>(const ForwardingSettings &) const = default;
};

/// @brief Probes upstreams and asks other instances for help while this instance may be cut off;
/// used on the event loop's thread only.
class ForwardingDriver
{
public:
    /// @param change notified when a helper is found or the state changes
    ForwardingDriver(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                     const UpstreamTable &table, ChangeSignal &change, Metrics &metrics,
                     DataCentreId dataCentre, std::uint64_t seed, ForwardingSettings settings);

    /// @brief Records that an upstream of a service has answered a call on a connection of its own;
    /// an older connection may live on behind a cut.
    void recordAnswer(const ServiceId &service, TimePoint begunAt);

    /// @brief Records a call to a service that failed before an upstream answered.
    void recordFailure(const ServiceId &service, TimePoint begunAt);

    /// @brief Records a call to a service of which nothing was heard for as long as its upstream
    /// may be silent.
    void recordSilence(const ServiceId &service, TimePoint begunAt);

    /// @brief Records that this instance begins to avoid an upstream; other instances are told
    /// unless its own links may be the reason.
    void recordAvoided(const ServiceId &service, const UpstreamId &id, UpstreamFault fault);

    /// @brief Records that an upstream of a service has started.
    void recordUpstreamStart(const ServiceId &service);

    /// @brief Whether no upstream of a service can be reached.
    bool isCutOff(const ServiceId &service) const;

    /// @brief Whether no upstream of a service can be reached from here, but from another instance.
    bool isHelped(const ServiceId &service) const;

    /// @brief Whether this instance may be cut off from a service.
    bool isInDoubt(const ServiceId &service) const;

    /// @brief Whether connections to a service failed of late, and it is not known yet whether that
    /// is due to this instance's links.
    bool awaitsFirstRound(const ServiceId &service) const;

    /// @brief Waits until the first round of probes has shown whether failed connections may be due
    /// to this instance's links, or the wait is ended.
    /// @param until latest time
    /// @param isGivenUp asked after each change
    upstream::Awaitable<void> waitForFirstRound(ServiceId service, TimePoint until,
                                                std::function<bool()> isGivenUp);

    /// @brief Whether this instance may be cut off from a service because its calls are accepted
    /// and not answered, or is.
    bool isUnanswered(const ServiceId &service) const;

    /// @brief Whether it is open if this instance is cut off from a service or the service has
    /// ended: what failed connections show is to be judged later.
    bool isUndecided(const ServiceId &service) const;

    /// @brief Whether this instance's own links were cut at a time, while another instance reached
    /// the service: connections that broke then say nothing about their upstreams.
    bool wasCutOff(const ServiceId &service, TimePoint at) const;

    /// @brief Records that an upstream has answered a request through another instance.
    void recordHelp(const ServiceId &service);

    /// @brief Whether a request is to go through another instance.
    /// @param failedConnects connections that could not be made for it
    bool wantsHelper(const ServiceId &service, std::uint32_t failedConnects);

    /// @brief Picks the instance for a request; waits a moment for the answers of those asked.
    /// @param tried helpers that it was tried at
    /// @return unset when nobody helps
    upstream::Awaitable<std::optional<Endpoint>> findHelper(ServiceId service,
                                                            std::vector<Endpoint> tried);

    /// @brief Takes a place for another instance's request.
    /// @return false when there is none
    bool takePlace();
    void releasePlace() { --this->helped; }

    /// @brief Answers another instance that asks for help with a service.
    /// @param isAnswerNeeded whether only an answer of an upstream shows that this instance can
    /// help
    upstream::Awaitable<forwarding::HelpOffer> makeOffer(ServiceId service, bool isAnswerNeeded);

    /// @brief Handles an instance's answer.
    void receiveOffer(const Endpoint &helper, const forwarding::HelpOffer &offer);

    /// @brief Takes no requests of other instances any more.
    void stopHelping() { this->isStopping = true; }

    const ForwardingSettings &limits() const noexcept { return this->settings; }

    /// Requests of this instance at other ones, and their offers.
    forwarding::HelperDirectory helpers;
    /// Called when other instances are to be asked for help with a service.
    std::function<void(const ServiceId &service, std::size_t count)> onHelpWanted;
    /// Called when isHelped() may have changed for a service.
    std::function<void()> onCutOff;
    /// Called when the upstreams of a service can be reached again.
    std::function<void(const ServiceId &service)> onReturn;
    /// Called with an upstream that other instances are to be told of.
    std::function<void(const UpstreamId &, UpstreamFault)> onUpstreamAvoided;
    /// Returns the target of a GET that any sound upstream of a service answers; empty if there is
    /// none. Without one, the service's upstreams are never suspected for their silence.
    std::function<std::string(const ServiceId &service)> findProbeTarget;
    /// Returns whether an upstream may be sent a request that needs an answer; unset: any may.
    std::function<bool(const UpstreamProcess &)> mayAsk;
    /// Called with the answer to a request of this instance's own.
    std::function<void(const UpstreamProcess &, const upstream::ParsedMessage &)> onProbeAnswered;

private:
    /// An upstream that a round of probes tries.
    struct Probed
    {
        UpstreamProcess process;
        Endpoint endpoint;
    };
    struct Round
    {
        ServiceId service;
        TimePoint begunAt{};
        /// Whether it may show that this instance is cut off, or is not any more.
        bool isInDoubt = false;
        std::size_t open = 0;
        /// Upstreams that a request was written to.
        std::size_t reached = 0;
        std::size_t held = 0;
    };
    /// This instance's links to one service.
    struct Links
    {
        explicit Links(const forwarding::ReachabilityLimits &limits)
            : reachability(limits)
        {}

        forwarding::Reachability reachability;
        /// State that was logged last.
        forwarding::ReachabilityState noted = forwarding::ReachabilityState::Reachable;
        /// Upstreams that other instances are told of if the suspicion ends.
        std::map<UpstreamId, UpstreamFault> heldBack;
        /// When upstreams that may have ended were found to have failed.
        std::map<UpstreamId, TimePoint> failedAt;
        TimePoint askedAt{};
        bool isWatching = false;
        bool isRoundOpen = false;
    };

    Links &linksTo(const ServiceId &service);
    forwarding::ReachabilityState stateOf(const ServiceId &service) const;
    upstream::Awaitable<void> watch(ServiceId service);
    upstream::Awaitable<void> runRound(ServiceId service, forwarding::ProbeKind kind);
    void recordRound(const Round &round, std::size_t probes, forwarding::ProbeKind kind);
    void recordHeldProbe(Round &round);
    upstream::Awaitable<void> probe(Endpoint endpoint, std::shared_ptr<Round> round);
    upstream::Awaitable<void> ask(Probed probed, std::string target, std::shared_ptr<Round> round);
    std::vector<Probed> pickProbed(const ServiceId &service, forwarding::ProbeKind kind);
    std::string probeTarget(const ServiceId &service) const;
    void noteState(const ServiceId &service);
    void doubtOtherLinks(const ServiceId &lost);
    void logState(const ServiceId &service, forwarding::ReachabilityState former);

    boost::asio::io_context &loop;
    upstream::ConnectionPool &pool;
    const UpstreamTable &table;
    ChangeSignal &change;
    Metrics &metrics;
    DataCentreId dataCentre;
    ForwardingSettings settings;
    Random random;
    /// Services that were called; they are few, as each is configured.
    std::map<ServiceId, Links> links;
    /// Connections of open probes; owned here, as coroutines that wait outlive this object.
    std::list<upstream::HttpStreamPointer> probeStreams;
    std::list<upstream::UpstreamCall> probeCalls;
    /// Notified when a probe ends.
    ChangeSignal probeEnd;
    /// Notified when the state of a service changes.
    ChangeSignal stateChange;
    /// Never notified.
    ChangeSignal timer;
    std::uint32_t helped = 0;
    bool isStopping = false;
};

} // namespace bamboochute::gateway
