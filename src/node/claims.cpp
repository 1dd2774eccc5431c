#include "node/claims.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::node {

namespace {

/// Limit for the claim transactions of the whole fleet, shared among its instances.
constexpr double fleetClaimTransactionsPerSecond = 120.0;
constexpr Duration minTimerDelay = std::chrono::milliseconds(1);

} // namespace

struct Claims::State : std::enable_shared_from_this<Claims::State>
{
    State(ControlContext &context, platform::KeyValueClient &keyValue,
          admission::KnownGone knownGone)
        : context(context)
        , keyValue(keyValue)
        , claims({context.settings.instance, context.incarnation, {}}, std::move(knownGone),
                 context.metrics, fleetClaimTransactionsPerSecond)
        , timer(context.loop)
    {}

    ControlContext &context;
    platform::KeyValueClient &keyValue;
    admission::OperationClaims claims;
    std::unordered_map<caller::Ticket, caller::ClaimCallback> callbacks;
    boost::asio::steady_timer timer;

    TimePoint now() const { return this->context.clock.now(); }

    void carryOut(const admission::ClaimActions &actions)
    {
        for (const admission::ClaimAction &action : actions) {
            std::visit(Overloaded{
                               [this](const admission::SubmitTransaction &each) {
                                   this->submitTransaction(each);
                               },
                               [this](const admission::RequestLease &each) {
                                   this->requestLease(each);
                               },
                               [this](const admission::DeliverDecision &each) {
                                   this->deliverDecision(each);
                               },
                       },
                       action);
        }
        this->scheduleTick();
    }

    void submitTransaction(const admission::SubmitTransaction &submit)
    {
        this->keyValue.submit(
                platform::Purpose::Claim, submit.transaction,
                [weak = this->weak_from_this(),
                 tag = submit.number](const Result<platform::TransactionResponse> &answer) {
                    if (const auto self = weak.lock())
                        self->carryOut(self->claims.handleAnswer(tag, answer, self->now()));
                });
    }

    void requestLease(const admission::RequestLease &request)
    {
        this->keyValue.grantLease(platform::Purpose::Claim, request.timeToLive,
                                  [weak = this->weak_from_this(), timeToLive = request.timeToLive](
                                          const Result<platform::LeaseId> &lease) {
                                      if (const auto self = weak.lock())
                                          self->carryOut(self->claims.handleLeaseAnswer(
                                                  timeToLive, lease, self->now()));
                                  });
    }

    void deliverDecision(const admission::DeliverDecision &delivery)
    {
        const auto found = this->callbacks.find(delivery.ticket);
        if (found == this->callbacks.end())
            return;
        const caller::ClaimCallback decided = std::move(found->second);
        this->callbacks.erase(found);
        decided(delivery.decision);
    }

    void scheduleTick()
    {
        const auto due = this->claims.nextTick(this->now());
        if (!due)
            return;
        this->timer.expires_after(std::max(minTimerDelay, *due - this->now()));
        this->timer.async_wait([weak = this->weak_from_this()](const auto &error) {
            const auto self = weak.lock();
            if (!error && self)
                self->carryOut(self->claims.tick(self->now()));
        });
    }
};

Claims::Claims(ControlContext &context, platform::KeyValueClient &keyValue,
               admission::KnownGone knownGone)
    : state(std::make_shared<State>(context, keyValue, std::move(knownGone)))
{}

Claims::~Claims()
{
    this->state->timer.cancel();
}

void Claims::claim(caller::Ticket ticket, admission::ClaimRequest request,
                   caller::ClaimCallback decided)
{
    boost::asio::post(this->state->context.loop,
                      [state = this->state, ticket, request = std::move(request),
                       decided = std::move(decided)] {
                          state->callbacks.emplace(ticket, decided);
                          state->carryOut(state->claims.claim(ticket, request, state->now()));
                      });
}

void Claims::abandon(caller::Ticket ticket)
{
    boost::asio::post(this->state->context.loop, [state = this->state, ticket] {
        state->callbacks.erase(ticket);
        state->carryOut(state->claims.abandon(ticket, state->now()));
    });
}

void Claims::settle(caller::Ticket ticket, admission::Settlement settlement)
{
    boost::asio::post(this->state->context.loop,
                      [state = this->state, ticket, settlement = std::move(settlement)] {
                          state->carryOut(state->claims.settle(ticket, settlement, state->now()));
                      });
}

void Claims::setInstanceCount(std::size_t instances)
{
    const auto instanceCount = static_cast<double>(std::max<std::size_t>(1, instances));
    this->state->claims.setBudget(fleetClaimTransactionsPerSecond / instanceCount);
}

std::size_t Claims::openClaims() const
{
    return this->state->claims.openClaims();
}

} // namespace bamboochute::node
