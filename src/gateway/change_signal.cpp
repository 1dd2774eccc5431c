#include "gateway/change_signal.hpp"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>

namespace bamboochute::gateway {

upstream::Awaitable<void> ChangeSignal::wait(TimePoint until)
{
    Timer timer(this->context);
    timer.expires_after(std::max(Duration(0), until - SteadyClock().now()));
    const auto position = this->timers.insert(this->timers.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(upstream::UseAwaitable(), ignored));
    this->timers.erase(position);
}

} // namespace bamboochute::gateway
