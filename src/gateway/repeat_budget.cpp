#include "gateway/repeat_budget.hpp"

namespace bamboochute::gateway {

void RepeatBudget::request(const ServiceId &service, TimePoint now)
{
    this->current(service, now).requests.push_back(now);
}

bool RepeatBudget::take(const ServiceId &service, TimePoint now)
{
    if (this->left(service, now) < 1)
        return false;
    this->windows[service].repeats.push_back(now);
    return true;
}

double RepeatBudget::left(const ServiceId &service, TimePoint now)
{
    const Window &window = this->current(service, now);
    const double earned
            = this->limits.retriesPerRequest * static_cast<double>(window.requests.size());
    const double shared = this->limits.freeRetries / this->instances;
    return this->limits.usedShare * (earned + shared) - static_cast<double>(window.repeats.size());
}

RepeatBudget::Window &RepeatBudget::current(const ServiceId &service, TimePoint now)
{
    Window &window = this->windows[service];
    const TimePoint begin = now - this->limits.window;
    while (!window.requests.empty() && window.requests.front() < begin)
        window.requests.pop_front();
    while (!window.repeats.empty() && window.repeats.front() < begin)
        window.repeats.pop_front();
    return window;
}

} // namespace bamboochute::gateway
