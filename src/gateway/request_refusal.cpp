#include "caller/answer.hpp"
#include "core/log.hpp"
#include "gateway/exchange_limits.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

namespace asio = upstream::asio;
using upstream::appendHeader;
using upstream::Awaitable;
using upstream::StreamStatus;

/// Time for a caller to read the answer to a request that was not routed and so has no deadline.
constexpr Duration refusalWriteTimeout = std::chrono::seconds(5);
/// Least time for a caller to read what is written to it, also when its deadline has passed.
constexpr Duration minWriteTime = std::chrono::seconds(1);

asio::const_buffer toBuffer(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Awaitable<void> RequestExchange::refuseUnread(const Error &error)
{
    this->keepAlive = false;
    co_await this->refuse(error, std::nullopt);
}

/// Ends a request whose attempts have all failed.
Awaitable<void> RequestExchange::finishFailedRequest()
{
    if (this->isAnswerBegun) {
        // Without the last chunk the caller can tell that the stream is incomplete.
        this->keepAlive = false;
        this->end = RequestEnd::Cut;
        this->log(LogLevel::Warning, "stream aborted, caller connection closed", "stream_broken",
                  {"detail", this->lastFault});
        this->gateway.metrics.errors(ErrorKind::StreamBroken).add();
        this->caller.close();
        co_return;
    }
    if (this->upstreamErrorAnswer) {
        const auto &[head, body] = *this->upstreamErrorAnswer;
        if (co_await this->writeToCaller(head, body))
            this->end = RequestEnd::Answered;
        this->log(LogLevel::Warning, "request answered", "upstream_failure",
                  {"detail", this->lastFault});
        co_return;
    }
    if (this->quarantineRefusal && this->possibleRuns == 0) {
        const bool isRequest = this->quarantineRefusal->subject.kind == SubjectKind::Request;
        co_await this->refuse(
                Error(isRequest ? ErrorKind::RequestQuarantined : ErrorKind::PromptQuarantined,
                      this->lastFault),
                this->quarantineRefusal->retryAfter);
        co_return;
    }
    if (this->possibleRuns > 0) {
        const ErrorKind kind
                = this->hasTimedOut ? ErrorKind::UpstreamTimedOut : ErrorKind::UpstreamFailed;
        co_await this->refuse(Error(kind, this->lastFault), std::nullopt);
        co_return;
    }
    co_await this->refuse(Error(this->gateway.endingRequests ? ErrorKind::Draining
                                                             : ErrorKind::UpstreamUnavailable,
                                this->lastFault),
                          noUpstreamRetryAfter);
}

/// Answers a caller that has closed its sending side: it may still read.
Awaitable<void> RequestExchange::answerDepartedCaller()
{
    const std::string reason = "the caller closed its side of the connection";
    if (this->sends == 0)
        co_await this->writeRefusal(Error(ErrorKind::UpstreamUnavailable, reason),
                                    noUpstreamRetryAfter);
    else
        co_await this->writeRefusal(Error(ErrorKind::UpstreamFailed, reason), std::nullopt);
}

Awaitable<void> RequestExchange::refuse(const Error &error, std::optional<Duration> retryAfter)
{
    const ErrorRow &row = error.row();
    this->gateway.metrics.errors(error.kind()).add();
    this->log(LogLevel::Warning,
              row.httpStatus >= firstServerError ? "request failed" : "request refused", row.code,
              {"detail", error.message()});
    if (co_await this->writeRefusal(error, retryAfter))
        this->end = RequestEnd::Refused;
}

/// Writes this instance's own answer; returns whether the connection has taken it.
Awaitable<bool> RequestExchange::writeRefusal(const Error &error,
                                              std::optional<Duration> retryAfter)
{
    const ErrorRow &row = error.row();
    const std::string body = caller::errorBody(error);
    std::string head;
    caller::appendStatusLine(head, row.httpStatus);
    appendHeader(head, "Content-Type", "application/json");
    appendHeader(head, "Content-Length", std::to_string(body.size()));
    const bool isNotTaken = !this->notTakenReason.empty() || this->isHelperCutOff();
    if (this->forwarded && isNotTaken && error.row().httpStatus == statusUnavailable)
        appendHeader(head, forwarding::notTakenHeader,
                     this->notTakenReason.empty() ? "cut_off" : this->notTakenReason);
    if (retryAfter)
        appendHeader(head, "Retry-After", fmt::format("{:.2f}", toSeconds(*retryAfter)));
    this->appendConnectionHeader(head);
    head += "\r\n";
    const bool isWritten = co_await this->writeToCaller(head, body);
    co_return isWritten;
}

/// Writes to the caller; returns false when it has disconnected or does not read in time.
Awaitable<bool> RequestExchange::writeToCaller(std::string_view head, std::string_view body)
{
    const std::array<asio::const_buffer, 2> parts{toBuffer(head), toBuffer(body)};
    std::optional<StreamStatus> status = this->caller.tryWrite(parts);
    if (!status) {
        // A caller that does not read is given up before others when memory or connections get
        // scarce.
        const ConnectionPlace::Offer offer(this->place, this->now());
        this->answerMemory.setUse(MemoryUse::Delivery);
        if (this->answerMemory.bytes() > 0)
            this->answerMemory.allowEviction(this->caller.peerAddress(),
                                             [this] { this->caller.close(); });
        const Duration least = this->deadline == TimePoint() ? refusalWriteTimeout : minWriteTime;
        this->caller.expireAt(std::max(this->deadline, this->now() + least));
        status = co_await this->caller.writeRest(parts);
        this->caller.neverExpire();
        this->answerMemory.setUse(MemoryUse::Admitted);
    }
    if (*status != StreamStatus::Ok) {
        this->keepAlive = false;
        this->end = *status == StreamStatus::Expired ? RequestEnd::Unread : RequestEnd::CallerGone;
    }
    co_return *status == StreamStatus::Ok;
}

/// Tells the caller if its connection is closed after the answer; the process may have begun to
/// stop since the request arrived.
void RequestExchange::appendConnectionHeader(HeadText &head)
{
    this->keepAlive = this->keepAlive && !this->gateway.isDraining();
    if (!this->keepAlive)
        appendHeader(head, "Connection", "close");
}

} // namespace bamboochute::gateway
