#include "upstream/deadline_watch.hpp"

#include "upstream/http_stream.hpp"

namespace bamboochute::upstream {

DeadlineWatch::DeadlineWatch(asio::io_context &context)
    : context(context)
    , timer(context)
{}

void DeadlineWatch::add(HttpStream &stream)
{
    stream.watchIndex = this->watched.size();
    this->watched.push_back(&stream);
    if (!this->isScheduled)
        this->schedule();
}

void DeadlineWatch::remove(HttpStream &stream)
{
    HttpStream *last = this->watched.back();
    this->watched[stream.watchIndex] = last;
    last->watchIndex = stream.watchIndex;
    this->watched.pop_back();
    stream.watchIndex = HttpStream::notWatched;
}

void DeadlineWatch::schedule()
{
    this->isScheduled = true;
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const error_code &error) {
        if (!error)
            this->tick();
    });
}

void DeadlineWatch::tick()
{
    const TimePoint now = SteadyClock().now();
    // Backwards, because an expired stream leaves the list and the last one takes its place.
    for (std::size_t i = this->watched.size(); i > 0; --i) {
        HttpStream &stream = *this->watched[i - 1];
        if (stream.expiry <= now)
            stream.expire();
    }
    this->isScheduled = false;
    if (!this->watched.empty())
        this->schedule();
}

} // namespace bamboochute::upstream
