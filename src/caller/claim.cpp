#include "caller/claim.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <atomic>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;

std::string expiryHeader(TimePoint expires)
{
    const auto remaining
            = std::chrono::duration_cast<std::chrono::seconds>(expires - SteadyClock().now());
    return fmt::format("{}: {}\r\n", admission::operationExpiresHeader,
                       std::max<std::int64_t>(0, remaining.count()));
}

/// Splits lines of the form "name: value" that end with CRLF.
std::vector<admission::OutcomeHeader> parseHeaderLines(std::string_view lines)
{
    std::vector<admission::OutcomeHeader> headers;
    while (!lines.empty()) {
        const std::size_t end = lines.find("\r\n");
        const std::string_view line = lines.substr(0, end);
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos)
            headers.push_back(
                    {std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
        lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + 2);
    }
    return headers;
}

Answer replayedAnswer(const admission::OperationOutcome &outcome)
{
    Answer answer;
    answer.status = outcome.status;
    answer.contentType.clear();
    answer.body = outcome.body;
    for (const admission::OutcomeHeader &header : outcome.headers)
        upstream::appendHeader(answer.extraHeaders, header.name, header.value);
    upstream::appendHeader(answer.extraHeaders, admission::operationReplayedHeader, "true");
    return answer;
}

admission::ClaimRequest claimRequest(const Exchange &exchange, const ClassifiedRequest &request)
{
    const auto &call = std::get<ServiceCall>(request.call);
    const std::string scope
            = request.deployment->id.value() + '\n' + request.callerClass->id.value();
    admission::ClaimRequest claim;
    claim.key = admission::claimKey(scope, call.operationKey);
    claim.fingerprint = admission::requestFingerprint(
            exchange.request.method(), exchange.request.message.target, exchange.request.body);
    claim.deadline = request.deadline;
    claim.retention = call.route->claimRetention;
    return claim;
}

} // namespace

Claim::Claim(ServerContext &server, Ticket ticket, TimePoint expires)
    : server(&server)
    , ticket(ticket)
    , expires(expires)
{}

Claim::Claim(Claim &&other) noexcept
    : server(std::exchange(other.server, nullptr))
    , ticket(other.ticket)
    , expires(other.expires)
{}

Claim::~Claim()
{
    this->settle(admission::Released());
}

bool Claim::hasExpired(TimePoint now) const
{
    return this->server && now >= this->expires;
}

void Claim::complete(Answer &answer)
{
    if (!this->server)
        return;
    this->settle(admission::OperationOutcome{answer.status, parseHeaderLines(answer.extraHeaders),
                                             answer.body});
    answer.extraHeaders += expiryHeader(this->expires);
}

void Claim::fail(RunState runState)
{
    if (runState == RunState::NotRun)
        this->settle(admission::Released());
    else
        this->settle(admission::OutcomeUnknown());
}

void Claim::settle(admission::Settlement settlement)
{
    if (ServerContext *serverToNotify = std::exchange(this->server, nullptr))
        serverToNotify->ports.settleClaim(this->ticket, std::move(settlement));
}

Awaitable<Result<ClaimedOrReplayed>> claimOperation(Exchange &exchange,
                                                    const ClassifiedRequest &request)
{
    ServerContext &server = exchange.thread.server;
    const Ticket ticket = server.admission->newTicket();
    const auto pendingDecision
            = std::make_shared<OneShotChannel<admission::ClaimDecision>>(exchange.thread.ioContext);
    // Whether the decision or a stop came first.
    const auto isEnded = std::make_shared<std::atomic<bool>>(false);
    server.ports.claim(ticket, claimRequest(exchange, request),
                       [pendingDecision, isEnded, ticket,
                        settle = server.ports.settleClaim](admission::ClaimDecision decision) {
                           if (!isEnded->exchange(true))
                               pendingDecision->complete(std::move(decision));
                           else if (std::holds_alternative<admission::Dispatch>(decision))
                               settle(ticket, admission::Released());
                       });
    // Not cancelled when the caller disconnects: its repeat must find what this request did.
    exchange.onStop([&server, &exchange, pendingDecision, isEnded, ticket] {
        if (isEnded->exchange(true))
            return;
        server.ports.abandonClaim(ticket);
        pendingDecision->complete(exchange.cancelReason());
    });
    admission::ClaimDecision decision = co_await pendingDecision->wait();
    exchange.onStop(nullptr);
    if (const auto *error = std::get_if<Error>(&decision))
        co_return *error;
    if (const auto *replay = std::get_if<admission::Replay>(&decision)) {
        server.requestMetrics.replayedOperations.add();
        co_return ClaimedOrReplayed(replayedAnswer(replay->outcome));
    }
    Claim claim(server, ticket, std::get<admission::Dispatch>(decision).expires);
    if (exchange.isStopping())
        co_return exchange.cancelReason();
    co_return ClaimedOrReplayed(std::move(claim));
}

} // namespace bamboochute::caller
