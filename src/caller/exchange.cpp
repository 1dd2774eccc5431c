#include "caller/exchange.hpp"

#include "core/log.hpp"

#include <algorithm>

namespace bamboochute::caller {

Exchange::Exchange(ThreadContext &thread, upstream::HttpStream &stream,
                   const CallerRequest &request, AnswerWriter &writer)
    : thread(thread)
    , stream(stream)
    , request(request)
    , writer(writer)
    , snapshot(thread.snapshot.get())
    , answerMemory(thread.server.inbound.requests(), MemoryUse::Admitted)
    , isStopped(thread.server.isStopping)
{
    this->thread.exchanges.insert(this);
    this->stream.setPeerClosedHandler([this] { this->handleCallerGone(); });
    // Reading ahead notices a disconnect. If the next request has already arrived, reading ahead
    // would read that request.
    if (this->stream.unread().empty())
        this->stream.readAhead();
    else
        this->stream.watchReset();
}

Exchange::~Exchange()
{
    this->stream.setPeerClosedHandler(nullptr);
    this->thread.exchanges.erase(this);
}

Error Exchange::cancelReason() const
{
    if (this->isStopped)
        return Error(ErrorKind::Draining, "this instance stopped before the answer");
    return Error(ErrorKind::CallerGone, "the caller disconnected before the answer");
}

void Exchange::onCancel(std::function<void()> handler)
{
    this->cancel = std::move(handler);
    this->ignoresCallerGone = false;
}

void Exchange::onStop(std::function<void()> handler)
{
    this->cancel = std::move(handler);
    this->ignoresCallerGone = true;
}

void Exchange::handleCallerGone()
{
    this->hasCallerGone = true;
    if (this->cancel && !this->ignoresCallerGone)
        this->cancel();
}

void Exchange::stop()
{
    this->isStopped = true;
    this->writer.closeAfterAnswer();
    if (this->cancel)
        this->cancel();
}

upstream::Awaitable<bool> Exchange::reserveAnswer(std::size_t bytes, TimePoint deadline)
{
    if (bytes <= this->answerMemory.bytes())
        co_return true;
    const TimePoint begin = SteadyClock().now();
    const TimePoint until = std::min(begin + this->roomTimeLeft, deadline);
    bool hasRoom = this->answerMemory.resize(bytes, begin);
    while (!hasRoom && SteadyClock().now() < until && !this->isCancelled()) {
        co_await waitFor(this->thread, answerRoomPollInterval);
        hasRoom = this->answerMemory.resize(bytes, SteadyClock().now());
    }
    this->roomTimeLeft -= SteadyClock().now() - begin;
    co_return hasRoom;
}

upstream::Awaitable<void> Exchange::deliver(const Answer &answer)
{
    if (this->answerMemory.isLarge(this->answerMemory.bytes())) {
        this->answerMemory.setUse(MemoryUse::Delivery);
        this->answerMemory.allowEviction(this->stream.peerAddress(), this->stream.makeCloser());
    }
    co_await this->writer.write(answer);
    this->answerMemory.setUse(MemoryUse::Admitted);
}

upstream::Awaitable<void> Exchange::answerError(const Error &error)
{
    this->reportError(error);
    co_await this->writer.write(errorAnswer(error, this->runState));
}

void Exchange::reportError(const Error &error) const
{
    this->thread.server.requestMetrics.countError(error.kind());
    logEvent(LogLevel::Info, "request failed",
             {{"request", this->writer.requestId()},
              {"error", std::string(error.row().code)},
              {"detail", error.message()}});
}

} // namespace bamboochute::caller
