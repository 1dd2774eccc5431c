#include "caller/session.hpp"

#include "caller/classification.hpp"
#include "caller/request_steps.hpp"

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

/// Counts a request as open for the graceful stop.
class OpenRequest
{
public:
    explicit OpenRequest(ServerContext &server)
        : server(server)
    {
        this->server.open.fetch_add(1);
    }
    ~OpenRequest() { this->server.open.fetch_sub(1); }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

private:
    ServerContext &server;
};

/// Answers what is not a request, if there is anybody to answer.
Awaitable<void> refuseUnread(ThreadContext &thread, upstream::HttpStream &stream,
                             const CallerRequest &request, AnswerWriter &writer,
                             const RequestReadFailure &none)
{
    if (!none.error)
        co_return;
    const std::uint64_t number = thread.server.lastRequest.fetch_add(1) + 1;
    writer.begin(requestIdFor({}, thread.server.settings.seed, number).value(), false);
    Exchange exchange(thread, stream, request, writer);
    co_await exchange.refuse(*none.error);
}

Awaitable<void> answerRequest(ThreadContext &thread, upstream::HttpStream &stream,
                              const CallerRequest &request, AnswerWriter &writer)
{
    const OpenRequest counted(thread.server);
    const std::uint64_t number = thread.server.lastRequest.fetch_add(1) + 1;
    const RequestId id = requestIdFor(request.headers().find("x-request-id"),
                                      thread.server.settings.seed, number);
    writer.begin(id.value(), request.isKeepAlive && !thread.server.isDraining);
    Exchange exchange(thread, stream, request, writer);
    co_await runRequest(exchange);
    thread.server.requestMetrics.answers.add();
    thread.server.requestMetrics.latency.record(SteadyClock().now() - request.arrival);
}

} // namespace

Awaitable<void> runSession(ThreadContext &thread, upstream::HttpStreamPointer stream)
{
    CallerRequest request;
    AnswerWriter writer(*stream, thread.server.settings.limits);
    while (!thread.server.isStopping) {
        const OptionalReadFailure none
                = co_await readRequest(*stream, thread.server.settings.limits, request);
        if (none) {
            co_await refuseUnread(thread, *stream, request, writer, *none);
            break;
        }
        co_await answerRequest(thread, *stream, request, writer);
        if (!writer.isKeepAlive() || stream->isExpired())
            break;
    }
    stream->neverExpire();
    stream->close();
}

} // namespace bamboochute::caller
