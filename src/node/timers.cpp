#include "node/timers.hpp"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::node {

namespace {

struct PeriodicTimer : std::enable_shared_from_this<PeriodicTimer>
{
    PeriodicTimer(boost::asio::io_context &loop, Duration period, std::function<void()> function)
        : timer(loop)
        , period(period)
        , function(std::move(function))
    {}

    boost::asio::steady_timer timer;
    Duration period;
    std::function<void()> function;

    void schedule()
    {
        this->timer.expires_after(this->period);
        this->timer.async_wait([self = this->shared_from_this()](const auto &error) {
            if (error)
                return;
            self->function();
            self->schedule();
        });
    }
};

} // namespace

void Timers::after(Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, function = std::move(function)](const auto &error) {
        if (!error)
            function();
    });
}

void Timers::every(Duration period, std::function<void()> function)
{
    std::make_shared<PeriodicTimer>(this->loop, period, std::move(function))->schedule();
}

} // namespace bamboochute::node
