/// @file
/// @brief Gets permits for upstreams that name a limit, from the instance that issues them.
#pragma once

#include "core/metrics.hpp"
#include "gateway/call_codec.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/instance_count.hpp"
#include "gateway/upstream_limits.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace bamboochute::gateway {

/// @brief Asks the issuer for a permit to send one request.
struct PermitRequest
{
    /// Number of the request, unique at its sender.
    std::uint64_t number = 0;
    LimitReport limit;
    auto operator<=>(const PermitRequest &) const = default;
};

/// @brief The answer to a PermitRequest.
struct PermitAnswer
{
    std::uint64_t number = 0;
    /// False when the asked instance does not issue permits; the rest has no meaning then.
    bool isIssuer = false;
    PermitDecision decision;
    auto operator<=>(const PermitAnswer &) const = default;
};

/// @brief Keeps this instance's requests within the limits of upstreams; used on the event loop's
/// thread only.
///
/// One instance issues the permits for all, so that the sum over instances is bounded however
/// their loads differ, and whatever instances each of them knows. Without an issuer each uses its
/// share of a part of the limit.
class LimitDriver
{
public:
    LimitDriver(boost::asio::io_context &loop, Metrics &metrics, std::uint64_t seed,
                LimitSettings settings);

    /// @brief Takes over what an answer said about the limit of its upstream.
    void recordAnswer(const UpstreamProcess &process, const AnswerAttributes &answer);

    /// @brief Sets a limit that this instance has found out, or raised.
    void setLimit(const UpstreamProcess &process, double requestsPerSecond);

    /// @brief The limit of an upstream in requests per second; unset when it has none.
    std::optional<double> limitOf(const UpstreamProcess &process) const
    {
        return this->limits.limitOf(process);
    }

    /// @brief Number of instances that share limits; one while it is not known.
    std::uint32_t instanceCount() const
    {
        return this->instances.value(SteadyClock().now()).value_or(1);
    }

    /// @brief Whether the upstream takes a limited number of requests.
    bool isLimited(const UpstreamProcess &process) const;

    /// @brief Whether it is known that there is no permit for the upstream now.
    bool isExhausted(const UpstreamProcess &process) const;

    /// @brief Whether this instance, as the issuer, denied a permit for the upstream lately: it
    /// gets more requests than it takes.
    bool isScarce(const UpstreamProcess &process) const;

    /// @brief Gets a permit for one request; granted at once for an upstream without a limit.
    upstream::Awaitable<PermitDecision> acquire(UpstreamProcess process);

    /// @brief Records that the issuer was heard of.
    void recordIssuer();

    /// @brief Counts a caller that is refused because of the limit.
    /// @param nextIn time until the next permit
    /// @return time after which it may return, with regard to those refused before it
    Duration recordRefusal(const UpstreamProcess &process, Duration nextIn);

    /// @brief Takes over what another instance has learned.
    void learn(const LimitReport &report);

    /// @brief Answers the request of another instance.
    PermitAnswer answer(const PermitRequest &request);

    /// @brief Takes over the issuer's answer to a request of this instance.
    void receiveAnswer(const PermitAnswer &answer);

    /// @brief The known limits, to be sent to other instances.
    std::vector<LimitReport> reports() const;

    /// @brief Takes over the announced number of instances that share a limit without an issuer;
    /// they get no permits while it is not known.
    void setInstanceCount(std::uint32_t count);

    /// @brief Called when an answer to this instance changed a limit.
    std::function<void(const LimitReport &)> onChange;

    /// @brief Sends a request to the issuer; returns false when none is known.
    std::function<bool(const PermitRequest &)> sendRequest;

    /// @brief Number of the term in which this instance issues permits; zero while it does not.
    std::function<std::uint64_t()> issuerTerm;

private:
    void logChange(const LimitReport &report, std::string_view source) const;
    /// The decision if this instance is the issuer.
    std::optional<PermitDecision> issue(const UpstreamProcess &process, double limit);
    upstream::Awaitable<std::optional<PermitDecision>> ask(UpstreamProcess process);
    void count(std::string_view source, bool isGranted);

    Metrics &metrics;
    LimitSettings settings;
    UpstreamLimits limits;
    PermitIssuer issuer;
    std::uint64_t lastTerm = 0;
    OwnPermits ownPermits;
    InstanceCount instances;
    ChangeSignal answered;
    std::uint64_t lastNumber = 0;
    /// Requests that are under way, with their answers.
    std::map<std::uint64_t, std::optional<PermitAnswer>> pending;
    /// Until when no permit is to be had.
    std::map<UpstreamProcess, TimePoint> exhaustedUntil;
    /// When this instance, as the issuer, last denied a permit.
    std::map<UpstreamProcess, TimePoint> deniedAt;
    /// Callers refused since the last permit.
    std::map<UpstreamProcess, std::uint32_t> refusedCallers;
};

} // namespace bamboochute::gateway
