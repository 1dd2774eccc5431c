#include "gateway/recent_completions.hpp"

namespace bamboochute::gateway {

void RecentCompletions::record(std::uint64_t hash, std::size_t maxCount, TimePoint now)
{
    this->times.emplace_back(now, hash);
    ++this->counts[hash];
    while (this->times.size() > maxCount)
        this->forgetOldest();
}

std::uint32_t RecentCompletions::count(std::uint64_t hash) const
{
    const auto found = this->counts.find(hash);
    return found == this->counts.end() ? 0 : found->second;
}

void RecentCompletions::expire(TimePoint oldest)
{
    while (!this->times.empty() && this->times.front().first < oldest)
        this->forgetOldest();
}

void RecentCompletions::forgetOldest()
{
    const auto found = this->counts.find(this->times.front().second);
    if (--found->second == 0)
        this->counts.erase(found);
    this->times.pop_front();
}

} // namespace bamboochute::gateway
