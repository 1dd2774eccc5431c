#include "platform/key_value_client.hpp"

#include "platform/etcd_codec.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::platform {

namespace {

constexpr int httpOk = 200;

bool hasWrites(const Transaction &transaction)
{
    const auto isWrite = [](const Operation &each) { return !std::holds_alternative<Get>(each); };
    return std::any_of(transaction.success.begin(), transaction.success.end(), isWrite)
           || std::any_of(transaction.failure.begin(), transaction.failure.end(), isWrite);
}

/// Parses a response. When there is none or it is invalid, the outcome of a write is unknown,
/// unless the request was not sent.
template<typename T, typename Parser>
Result<T> readAnswer(Result<HttpAnswer> answer, bool isWrite, Parser parse)
{
    const ErrorKind failureKind
            = isWrite ? ErrorKind::KeyValueOutcomeUnknown : ErrorKind::KeyValueUnavailable;
    if (!answer) {
        const bool wasNotSent = answer.error().kind() == ErrorKind::KeyValueUnavailable;
        return wasNotSent ? answer.error() : Error(failureKind, answer.error().message());
    }
    if (answer.value().status != httpOk)
        return Error(failureKind, fmt::format("key-value service answered with status {}",
                                              answer.value().status));
    Result<T> parsed = parse(answer.value().body);
    if (!parsed)
        return Error(failureKind, parsed.error().message());
    return parsed;
}

std::string purposeLabel(Purpose purpose)
{
    return fmt::format("purpose=\"{}\"", purposeName(purpose));
}

} // namespace

KeyValueClient::KeyValueClient(boost::asio::io_context &context, std::vector<Endpoint> endpoints,
                               Metrics &metrics)
    : client(context, std::move(endpoints))
    , metrics(metrics)
{}

template<typename T>
void KeyValueClient::complete(const std::function<void(Result<T>)> &done, Result<T> result)
{
    this->available = result.has_value();
    if (result)
        this->lastAnswer = this->clock.now();
    else
        this->metrics.errors(result.error().kind()).add();
    done(std::move(result));
}

std::chrono::milliseconds KeyValueClient::sinceLastAnswer() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now()
                                                                 - this->lastAnswer);
}

void KeyValueClient::submit(Purpose purpose, const Transaction &transaction, TransactionDone done)
{
    const bool isWrite = hasWrites(transaction);
    const char *name
            = isWrite ? "bamboochute_key_value_writes_total" : "bamboochute_key_value_reads_total";
    this->metrics.counter(name, purposeLabel(purpose)).add();
    HttpRequest request{"POST", std::string(etcdTransactionPath), printTransaction(transaction),
                        std::string(purposeName(purpose))};
    this->client.call(
            std::move(request), [this, isWrite, transaction, done](Result<HttpAnswer> answer) {
                const auto parse = [&transaction](std::string_view body) {
                    return parseTransactionResponse(body, transaction);
                };
                this->complete<TransactionResponse>(
                        done, readAnswer<TransactionResponse>(std::move(answer), isWrite, parse));
            });
}

void KeyValueClient::grantLease(Purpose purpose, std::chrono::seconds timeToLive, LeaseDone done)
{
    this->metrics.counter("bamboochute_key_value_writes_total", purposeLabel(purpose)).add();
    HttpRequest request{"POST", std::string(etcdLeaseGrantPath), printLeaseGrantRequest(timeToLive),
                        std::string(purposeName(purpose))};
    this->client.call(std::move(request), [this, done](Result<HttpAnswer> answer) {
        this->complete<LeaseId>(
                done, readAnswer<LeaseId>(std::move(answer), true, parseLeaseGrantResponse));
    });
}

} // namespace bamboochute::platform
