#include "fakes/pause.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::fakes {

namespace asio = upstream::asio;

upstream::Awaitable<void> pauseFor(asio::io_context &context, Duration duration)
{
    if (duration <= Duration::zero())
        co_return;
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>, upstream::Executor>
            timer(context);
    timer.expires_after(duration);
    upstream::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(upstream::UseAwaitable(), ignored));
}

upstream::Awaitable<void> pauseWhile(asio::io_context &context, Duration period,
                                     std::function<bool()> condition)
{
    while (condition())
        co_await pauseFor(context, period);
}

} // namespace bamboochute::fakes
