#include "caller/session.hpp"

#include "caller/classification.hpp"
#include "caller/request_steps.hpp"

#include <exception>
#include <optional>
#include <string>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

/// Counts a request as open during its lifetime; a graceful stop waits for open requests.
class OpenRequestGuard
{
public:
    explicit OpenRequestGuard(ServerContext &server)
        : server(server)
    {
        this->server.openRequests.fetch_add(1);
    }
    ~OpenRequestGuard() { this->server.openRequests.fetch_sub(1); }
    OpenRequestGuard(const OpenRequestGuard &) = delete;
    OpenRequestGuard &operator=(const OpenRequestGuard &) = delete;

private:
    ServerContext &server;
};

/// Answers a request that could not be read, unless there is nothing to answer.
Awaitable<void> answerReadFailure(ThreadContext &thread, upstream::HttpStream &stream,
                                  const CallerRequest &request, AnswerWriter &writer,
                                  const RequestReadFailure &readFailure)
{
    if (!readFailure.error)
        co_return;
    const std::uint64_t requestNumber = thread.server.lastRequestNumber.fetch_add(1) + 1;
    writer.begin(requestIdFor({}, thread.server.settings.seed, requestNumber).value(), false);
    Exchange exchange(thread, stream, request, writer);
    co_await exchange.answerError(*readFailure.error);
}

/// Answers a request whose handling ended with an exception.
Awaitable<void> answerInternalError(Exchange &exchange, const std::string &detail)
{
    // The handler may refer to objects that the exception has destroyed.
    exchange.onCancel(nullptr);
    const Error error(ErrorKind::Internal, detail);
    if (!exchange.writer.isBegun())
        co_return co_await exchange.answerError(error);
    exchange.writer.closeAfterAnswer();
    exchange.reportError(error);
}

Awaitable<void> answerRequest(ThreadContext &thread, upstream::HttpStream &stream,
                              const CallerRequest &request, AnswerWriter &writer)
{
    const OpenRequestGuard openRequest(thread.server);
    const std::uint64_t requestNumber = thread.server.lastRequestNumber.fetch_add(1) + 1;
    const RequestId id = requestIdFor(request.headers().find("x-request-id"),
                                      thread.server.settings.seed, requestNumber);
    writer.begin(id.value(), request.isKeepAlive && !thread.server.isDraining);
    Exchange exchange(thread, stream, request, writer);
    std::optional<std::string> exceptionText;
    try {
        co_await runRequest(exchange);
    } catch (const std::exception &exception) {
        exceptionText = exception.what();
    }
    if (exceptionText)
        co_await answerInternalError(exchange, *exceptionText);
    RequestMetrics &metrics = thread.server.requestMetrics;
    (writer.isBegun() ? metrics.answers : metrics.unanswered).add();
    metrics.latency.record(SteadyClock().now() - request.arrival);
}

} // namespace

Awaitable<void> runSession(ThreadContext &thread, upstream::HttpStreamPointer stream)
{
    const ServerLimits &limits = thread.server.settings.limits;
    InboundBudget &inbound = thread.server.inbound;
    ConnectionPlace place(inbound.connections(ListenerKind::Callers), stream->peerAddress(),
                          stream->makeCloser());
    if (!place.take(SteadyClock().now())) {
        thread.server.requestMetrics.refusedConnections.add();
        co_return stream->close();
    }
    CallerRequest request;
    AnswerWriter writer(*stream, limits, place);
    // Requests that have arrived are refused by a stop, and not left without an answer.
    while (!thread.server.isStopping || !stream->unread().empty()) {
        MemoryBudget::Holding memory(inbound.requests(), MemoryUse::Arriving);
        const OptionalReadFailure readFailure
                = co_await readRequest(*stream, limits, request, {memory, place});
        if (readFailure) {
            co_await answerReadFailure(thread, *stream, request, writer, *readFailure);
            break;
        }
        co_await answerRequest(thread, *stream, request, writer);
        request.trim();
        place.release(SteadyClock().now());
        if (!writer.isKeepAlive() || stream->isExpired())
            break;
    }
    stream->neverExpire();
    stream->close();
}

} // namespace bamboochute::caller
