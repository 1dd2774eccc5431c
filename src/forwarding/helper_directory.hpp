/// @file
/// @brief Other instances that send requests to upstreams for this one.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboochute::forwarding {

/// @brief Bounds of the requests that go through other instances.
struct HelperLimits
{
    /// Requests of this instance that one helper may have at a time.
    std::uint32_t maxSentPerHelper = 24;
    /// Requests of all other instances that this one takes at a time.
    std::uint32_t maxHelped = 64;
    /// Helpers that a request is tried at.
    std::uint32_t maxHelpersPerRequest = 3;
    /// Connections that a request fails to make before it goes to a helper, while it is not certain
    /// that this instance is cut off.
    std::uint32_t failuresInDoubt = 2;
    /// Instances that are asked at a time, and the pause until others are.
    std::uint32_t askedInstances = 8;
    Duration askInterval = std::chrono::milliseconds(250);
    /// Time for which an instance's answer counts.
    Duration offerLifetime = std::chrono::seconds(1);
    /// Age up to which an answer of an upstream shows that this instance can help.
    Duration evidenceMaxAge = std::chrono::seconds(1);
    /// Time for which a request waits for the first offer.
    Duration offerWait = std::chrono::milliseconds(60);
    auto operator<=>(const HelperLimits &) const = default;
};

/// @brief Answer of an instance that was asked for help with one service.
struct HelpOffer
{
    std::string service;
    DataCentreId dataCentre;
    /// Requests that it would take now.
    std::uint32_t freePlaces = 0;
    auto operator<=>(const HelpOffer &) const = default;
};

/// @brief The offers of other instances, and this instance's requests at each; not thread-safe.
class HelperDirectory
{
public:
    explicit HelperDirectory(HelperLimits limits = {})
        : limits(limits)
    {}

    /// @brief Records an instance's answer; one without a free place withdraws its earlier offer
    /// for the service.
    void recordOffer(const Endpoint &helper, const HelpOffer &offer, TimePoint now);

    /// @brief Forgets the offer of an instance that could not help after all.
    void withdraw(const std::string &service, const Endpoint &helper)
    {
        this->offers.erase({service, helper});
    }

    /// @brief Picks a helper: of two at random the one with fewer requests of this instance, and of
    /// equals the one in the own data centre.
    /// @param excluded helpers that the request was tried at
    /// @return unset when no instance helps
    std::optional<Endpoint> pick(const std::string &service, const std::vector<Endpoint> &excluded,
                                 const DataCentreId &ownDataCentre, Random &random,
                                 TimePoint now) const;

    /// @brief Whether any instance helps with a service.
    bool hasOffer(const std::string &service, TimePoint now) const;

    /// @brief Counts a request that is sent to a helper.
    void recordStart(const Endpoint &helper) { ++this->sent[helper]; }

    /// @brief Ends a request that recordStart() counted.
    void recordFinish(const Endpoint &helper);

    /// @brief Requests of this instance at a helper.
    std::uint32_t inFlight(const Endpoint &helper) const;

private:
    struct Offer
    {
        HelpOffer offer;
        TimePoint receivedAt{};
    };

    bool isUsable(const Endpoint &helper, const Offer &offer, TimePoint now) const;

    HelperLimits limits;
    std::map<std::pair<std::string, Endpoint>, Offer> offers;
    std::map<Endpoint, std::uint32_t> sent;
};

} // namespace bamboochute::forwarding
