#include "gateway/stream_origins.hpp"

namespace bamboochute::gateway {

void StreamOrigins::record(const StreamOrigin &origin, TimePoint now)
{
    while (!this->byAge.empty()
           && (this->byAge.front().first + this->limits.lifetime < now
               || this->byAge.size() >= this->limits.maxOrigins)) {
        this->byRequest.erase(this->byAge.front().second);
        this->byAge.pop_front();
    }
    if (origin.request.isEmpty() || origin.request.value().size() > this->limits.maxRequestIdBytes)
        return;
    const auto [known, isNew] = this->byRequest.emplace(origin.request, origin);
    if (isNew)
        this->byAge.emplace_back(now, origin.request);
    else if (known->second.correction < origin.correction)
        known->second = origin;
}

std::optional<StreamOrigin> StreamOrigins::find(const RequestId &request) const
{
    const auto found = this->byRequest.find(request);
    return found == this->byRequest.end() ? std::nullopt
                                          : std::optional<StreamOrigin>(found->second);
}

} // namespace bamboochute::gateway
