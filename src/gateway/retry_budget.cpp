#include "gateway/retry_budget.hpp"

namespace bamboochute::gateway {

void RetryBudget::recordRequest(const ServiceId &service, TimePoint now)
{
    this->currentWindow(service, now).requests.push_back(now);
}

bool RetryBudget::takeRetry(const ServiceId &service, TimePoint now)
{
    if (this->remaining(service, now) < 1)
        return false;
    this->windows[service].retries.push_back(now);
    return true;
}

void RetryBudget::returnRetry(const ServiceId &service, TimePoint now)
{
    Window &window = this->currentWindow(service, now);
    if (!window.retries.empty())
        window.retries.pop_back();
}

double RetryBudget::remaining(const ServiceId &service, TimePoint now)
{
    const Window &window = this->currentWindow(service, now);
    const double earned
            = this->limits.retriesPerRequest * static_cast<double>(window.requests.size());
    const std::optional<std::uint32_t> count = this->instances.value(now);
    const bool isWholeWindow
            = !this->countingSince || now >= *this->countingSince + this->limits.window;
    const double shared = count && isWholeWindow ? this->limits.freeRetries / *count : 0;
    return this->limits.usedShare * (earned + shared) - static_cast<double>(window.retries.size());
}

RetryBudget::Window &RetryBudget::currentWindow(const ServiceId &service, TimePoint now)
{
    Window &window = this->windows[service];
    const TimePoint begin = now - this->limits.window;
    while (!window.requests.empty() && window.requests.front() < begin)
        window.requests.pop_front();
    while (!window.retries.empty() && window.retries.front() < begin)
        window.retries.pop_front();
    return window;
}

} // namespace bamboochute::gateway
