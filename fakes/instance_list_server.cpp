#include "fakes/instance_list_server.hpp"

namespace bamboochute::fakes {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

} // namespace

InstanceListServer::InstanceListServer(upstream::asio::io_context &context, Duration lag)
    : lag(lag)
    , versions{{TimePoint{}, platform::printInstanceList({})}}
    , server(context, [this](FakeCall &call) { return this->handle(call); })
{}

upstream::Awaitable<void> InstanceListServer::handle(FakeCall &call)
{
    co_await call.writer.write(this->answer(call.request));
}

caller::Answer InstanceListServer::answer(const caller::CallerRequest &request)
{
    const TimePoint now = SteadyClock().now();
    if (request.method() == "PUT" && request.path() == "/fake/instances") {
        const auto list = platform::parseInstanceList(request.body);
        if (!list)
            return jsonAnswer(statusBadRequest, list.error().message());
        this->versions.push_back({now + this->lag, platform::printInstanceList(list.value())});
        return jsonAnswer(statusOk, "{}");
    }
    if (request.path() != "/v1/instances")
        return jsonAnswer(statusNotFound, "{}");
    while (this->versions.size() > 1 && this->versions[1].visibleFrom <= now)
        this->versions.pop_front();
    return jsonAnswer(statusOk, this->versions.front().text);
}

} // namespace bamboochute::fakes
