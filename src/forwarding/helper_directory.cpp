#include "forwarding/helper_directory.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace bamboochute::forwarding {

void HelperDirectory::recordOffer(const Endpoint &helper, const HelpOffer &offer, TimePoint now)
{
    std::erase_if(this->offers, [&](const auto &item) {
        return item.second.receivedAt + this->limits.offerLifetime < now;
    });
    if (offer.freePlaces == 0)
        this->withdraw(offer.service, helper);
    else
        this->offers[{offer.service, helper}] = Offer{offer, now};
}

bool HelperDirectory::isUsable(const Endpoint &helper, const Offer &offer, TimePoint now) const
{
    const std::uint32_t places = std::min(offer.offer.freePlaces, this->limits.maxSentPerHelper);
    return offer.receivedAt + this->limits.offerLifetime >= now && this->inFlight(helper) < places;
}

std::optional<Endpoint> HelperDirectory::pick(const std::string &service,
                                              const std::vector<Endpoint> &excluded,
                                              const DataCentreId &ownDataCentre, Random &random,
                                              TimePoint now) const
{
    std::vector<Endpoint> usable;
    for (const auto &[key, offer] : this->offers) {
        const Endpoint &helper = key.second;
        if (key.first != service)
            continue;
        const bool isExcluded
                = std::find(excluded.begin(), excluded.end(), helper) != excluded.end();
        if (!isExcluded && this->isUsable(helper, offer, now))
            usable.push_back(helper);
    }
    if (usable.empty())
        return std::nullopt;
    const std::size_t first = random.below(usable.size());
    if (usable.size() == 1)
        return usable[first];
    // The second one differs from the first.
    const std::size_t second = (first + 1 + random.below(usable.size() - 1)) % usable.size();
    const auto cost = [&](const Endpoint &helper) {
        const bool isElsewhere
                = this->offers.at({service, helper}).offer.dataCentre != ownDataCentre;
        return std::pair(this->inFlight(helper), isElsewhere);
    };
    return cost(usable[second]) < cost(usable[first]) ? usable[second] : usable[first];
}

bool HelperDirectory::hasOffer(const std::string &service, TimePoint now) const
{
    return std::any_of(this->offers.begin(), this->offers.end(), [&](const auto &item) {
        return item.first.first == service && this->isUsable(item.first.second, item.second, now);
    });
}

void HelperDirectory::recordFinish(const Endpoint &helper)
{
    const auto found = this->sent.find(helper);
    BC_INVARIANT(found != this->sent.end() && found->second > 0,
                 "a forwarded request finished without having started");
    if (--found->second == 0)
        this->sent.erase(found);
}

std::uint32_t HelperDirectory::inFlight(const Endpoint &helper) const
{
    const auto found = this->sent.find(helper);
    return found == this->sent.end() ? 0 : found->second;
}

} // namespace bamboochute::forwarding
