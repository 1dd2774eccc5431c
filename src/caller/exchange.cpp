#include "caller/exchange.hpp"

#include "core/log.hpp"

namespace bamboochute::caller {

Exchange::Exchange(ThreadContext &thread, upstream::HttpStream &stream,
                   const CallerRequest &request, AnswerWriter &writer)
    : thread(thread)
    , stream(stream)
    , request(request)
    , writer(writer)
    , snapshot(thread.snapshot.get())
{
    this->stream.onPeerClosed([this] {
        this->hasCallerGone = true;
        if (this->cancel)
            this->cancel();
    });
    // A caller that has sent its next request already can't be watched without reading that.
    if (this->stream.unread().empty())
        this->stream.readAhead();
}

Exchange::~Exchange()
{
    this->stream.onPeerClosed(nullptr);
}

upstream::Awaitable<void> Exchange::refuse(const Error &error)
{
    this->report(error);
    co_await this->writer.write(errorAnswer(error, this->runState));
}

void Exchange::report(const Error &error) const
{
    this->thread.server.requestMetrics.countError(error.kind());
    logEvent(LogLevel::Info, "request failed",
             {{"request", this->writer.requestId()},
              {"error", std::string(error.row().code)},
              {"detail", error.message()}});
}

} // namespace bamboochute::caller
