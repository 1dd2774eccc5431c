#include "fakes/key_value_server.hpp"

#include "core/clock.hpp"
#include "platform/etcd_codec.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int codeInvalidArgument = 3;

caller::Answer errorAnswer(const Error &error)
{
    const nlohmann::json body{{"code", codeInvalidArgument}, {"message", error.message()}};
    return jsonAnswer(statusBadRequest, body.dump());
}

} // namespace

KeyValueServer::KeyValueServer(upstream::asio::io_context &context)
    : context(context)
    , server(context, [this](FakeCall &call) { return this->handle(call); })
{}

upstream::Awaitable<void> KeyValueServer::handle(FakeCall &call)
{
    const AnswerPlan plan = this->answer(call.request);
    if (this->faults.delay > std::chrono::milliseconds::zero()) {
        boost::asio::steady_timer timer(this->context, this->faults.delay);
        upstream::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(upstream::UseAwaitable(), ignored));
    }
    if (plan.isLost)
        call.stream.close();
    else
        co_await call.writer.write(plan.answer);
}

KeyValueServer::AnswerPlan KeyValueServer::answer(const caller::CallerRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/fake/faults")
        return this->changeFaults(request.body);
    if (path == "/fake/stats")
        return this->statistics();
    if (this->faults.isDown)
        return {{}, true};
    const std::string_view purpose = request.headers().find("x-bamboochute-purpose");
    ++this->callsByPurpose[purpose.empty() ? "none" : std::string(purpose)];
    this->state.expire(SteadyClock().now());
    if (path == platform::etcdTransactionPath)
        return this->transact(request.body);
    if (path == platform::etcdLeaseGrantPath)
        return this->grantLease(request.body);
    return {jsonAnswer(statusNotFound, "{}")};
}

KeyValueServer::AnswerPlan KeyValueServer::transact(const std::string &body)
{
    const auto transaction = platform::parseTransaction(body);
    if (!transaction)
        return {errorAnswer(transaction.error())};
    const platform::StoreRevision before = this->state.revision();
    const auto response = this->state.apply(transaction.value());
    if (!response)
        return {errorAnswer(response.error())};
    const bool isWrite = this->state.revision() != before;
    const bool isLost = isWrite && this->random.chance(this->faults.lostAnswerShare);
    return {jsonAnswer(statusOk,
                       platform::printTransactionResponse(transaction.value(), response.value())),
            isLost};
}

KeyValueServer::AnswerPlan KeyValueServer::grantLease(const std::string &body)
{
    const auto timeToLive = platform::parseLeaseGrantRequest(body);
    if (!timeToLive)
        return {errorAnswer(timeToLive.error())};
    const auto lease = this->state.grant(SteadyClock().now(), timeToLive.value());
    return {jsonAnswer(statusOk, platform::printLeaseGrantResponse(lease, timeToLive.value()))};
}

KeyValueServer::AnswerPlan KeyValueServer::changeFaults(const std::string &text)
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return {errorAnswer(Error(ErrorKind::MalformedJson, "faults are not a JSON object"))};
    this->faults.isDown = body.value("down", false);
    this->faults.delay = std::chrono::milliseconds(body.value("delayMs", 0));
    this->faults.lostAnswerShare = body.value("lostAnswerShare", 0.0);
    return {jsonAnswer(statusOk, "{}")};
}

KeyValueServer::AnswerPlan KeyValueServer::statistics() const
{
    nlohmann::json body{{"callsByPurpose", this->callsByPurpose},
                        {"keys", this->state.entries().size()}};
    for (const auto &[key, entry] : this->state.entries())
        body["sizes"][key] = entry.value.size();
    return {jsonAnswer(statusOk, body.dump())};
}

} // namespace bamboochute::fakes
