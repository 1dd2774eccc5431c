#include "caller/thread_context.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::caller {

upstream::Awaitable<void> waitFor(ThreadContext &thread, Duration delay)
{
    using Timer = upstream::asio::basic_waitable_timer<
            std::chrono::steady_clock, upstream::asio::wait_traits<std::chrono::steady_clock>,
            upstream::Executor>;
    Timer timer(*thread.ioContext);
    timer.expires_after(delay);
    upstream::error_code ignored;
    co_await timer.async_wait(upstream::asio::redirect_error(upstream::UseAwaitable(), ignored));
}

} // namespace bamboochute::caller
