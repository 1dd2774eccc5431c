#include "upstream/deadline_watch.hpp"

#include "upstream/http_stream.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::upstream {

DeadlineWatch::DeadlineWatch(asio::io_context &context)
    : context(context)
    , timer(context)
{}

DeadlineWatch::~DeadlineWatch()
{
    // The event loop may hold waiting calls with their streams for longer.
    for (HttpStream *stream : this->watched)
        stream->watchIndex = HttpStream::notWatched;
}

void DeadlineWatch::watchDeadline(HttpStream &stream)
{
    if (stream.watchIndex == HttpStream::notWatched) {
        stream.watchIndex = this->watched.size();
        this->watched.push_back(&stream);
    }
    if (!this->isScheduled || stream.expiry + tickInterval < this->nextTick)
        this->schedule(stream.expiry);
}

void DeadlineWatch::remove(HttpStream &stream)
{
    HttpStream *last = this->watched.back();
    this->watched[stream.watchIndex] = last;
    last->watchIndex = stream.watchIndex;
    this->watched.pop_back();
    stream.watchIndex = HttpStream::notWatched;
    if (this->watched.empty() && std::exchange(this->isScheduled, false)) {
        // A pending timer would keep the event loop running.
        this->timer.cancel();
    }
}

void DeadlineWatch::schedule(TimePoint due)
{
    const TimePoint now = SteadyClock().now();
    this->isScheduled = true;
    this->nextTick = std::max(due, now + tickInterval);
    this->timer.expires_after(this->nextTick - now);
    this->timer.async_wait([this](const error_code &error) {
        if (!error)
            this->tick();
    });
}

void DeadlineWatch::tick()
{
    const TimePoint now = SteadyClock().now();
    this->isScheduled = false;
    // Backwards: an expired stream is removed from the list and the last one moves to its index.
    for (std::size_t i = this->watched.size(); i > 0; --i) {
        HttpStream &stream = *this->watched[i - 1];
        if (stream.expiry <= now)
            stream.expire();
    }
    if (this->watched.empty() || this->isScheduled)
        return;
    const auto earlier = [](const HttpStream *left, const HttpStream *right) {
        return left->expiry < right->expiry;
    };
    this->schedule(
            (*std::min_element(this->watched.begin(), this->watched.end(), earlier))->expiry);
}

} // namespace bamboochute::upstream
