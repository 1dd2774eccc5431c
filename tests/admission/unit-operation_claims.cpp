#include "admission/operation_claims.hpp"
#include "core/overloaded.hpp"
#include "platform/key_value_state.hpp"

#include <deque>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

/// How the key-value service handles transactions.
enum class Service { Works, Unavailable, LosesAnswers };

/// One instance; its actions are carried out on a key-value service in memory.
struct TestInstance
{
    explicit TestInstance(platform::KeyValueState &service, const std::string &name,
                          std::uint64_t incarnation = 1)
        : service(service)
        , claims(
                  {InstanceId(name), Incarnation(incarnation), {}},
                  [this](const InstanceId &instance, Incarnation) {
                      return instance == this->endedInstance;
                  },
                  metrics, 1000.0)
    {}

    Ticket claim(const std::string &key, const std::string &body = "body")
    {
        this->ticket = this->ticket.next();
        const ClaimRequest request{claimKey("scope", OperationKey(key)),
                                   requestFingerprint("POST", "/deposits", body), this->now + 30s};
        this->carryOut(this->claims.claim(this->ticket, request, this->now));
        return this->ticket;
    }

    void carryOut(const ClaimActions &actions)
    {
        std::deque<ClaimAction> open(actions.begin(), actions.end());
        while (!open.empty()) {
            const ClaimAction action = std::move(open.front());
            open.pop_front();
            const ClaimActions more
                    = std::visit([this](const auto &each) { return this->on(each); }, action);
            open.insert(open.end(), more.begin(), more.end());
        }
    }

    ClaimActions on(const SubmitTransaction &submission)
    {
        if (this->mode == Service::Unavailable)
            return this->claims.handleAnswer(submission.number,
                                             Error(ErrorKind::KeyValueUnavailable), this->now);
        const auto answer = this->service.apply(submission.transaction);
        if (this->mode == Service::LosesAnswers)
            return this->claims.handleAnswer(submission.number,
                                             Error(ErrorKind::KeyValueOutcomeUnknown), this->now);
        return this->claims.handleAnswer(submission.number, answer, this->now);
    }

    ClaimActions on(const RequestLease &request)
    {
        if (this->mode == Service::Unavailable)
            return this->claims.handleLeaseAnswer(request.timeToLive,
                                                  Error(ErrorKind::KeyValueUnavailable), this->now);
        const auto lease = this->service.grant(this->now, request.timeToLive);
        return this->claims.handleLeaseAnswer(request.timeToLive, lease, this->now);
    }

    ClaimActions on(const DeliverDecision &decide)
    {
        this->decisions.insert_or_assign(decide.ticket, decide.decision);
        return {};
    }

    void advance(Duration by)
    {
        this->now += by;
        this->carryOut(this->claims.tick(this->now));
    }

    bool dispatches(Ticket at) const
    {
        const auto found = this->decisions.find(at);
        return found != this->decisions.end() && std::holds_alternative<Dispatch>(found->second);
    }

    ErrorKind error(Ticket at) const { return std::get<Error>(this->decisions.at(at)).kind(); }

    void settle(Ticket at, const Settlement &settlement)
    {
        this->carryOut(this->claims.settle(at, settlement, this->now));
    }

    platform::KeyValueState &service;
    Metrics metrics;
    InstanceId endedInstance;
    OperationClaims claims;
    Service mode = Service::Works;
    TimePoint now{1h};
    Ticket ticket;
    std::map<Ticket, ClaimDecision> decisions;
};

const OperationOutcome booked{201, {{"Content-Type", "application/json"}}, R"({"room":7})"};

} // namespace

TEST_CASE("an operation with a key is dispatched once")
{
    platform::KeyValueState service;
    TestInstance first(service, "i-1");
    TestInstance second(service, "i-2");
    const Ticket ticket = first.claim("deposit-1");
    REQUIRE(first.dispatches(ticket));
    CHECK(std::get<Dispatch>(first.decisions.at(ticket)).expires >= first.now + 2h);
    CHECK(first.claims.mayDispatch(ticket, first.now));

    SUBCASE("a repeated request is refused as in progress, at either instance")
    {
        CHECK(first.error(first.claim("deposit-1")) == ErrorKind::OperationInProgress);
        CHECK(second.error(second.claim("deposit-1")) == ErrorKind::OperationInProgress);
    }

    SUBCASE("a repeated request gets the first outcome, at either instance")
    {
        first.settle(ticket, booked);
        CHECK(first.claims.openClaims() == 0);
        for (TestInstance *instance : {&first, &second}) {
            const Ticket repeat = instance->claim("deposit-1");
            CHECK(std::get<Replay>(instance->decisions.at(repeat)).outcome == booked);
        }
    }

    SUBCASE("the same key with another body is refused, before and after the outcome is known")
    {
        CHECK(first.error(first.claim("deposit-1", "other")) == ErrorKind::OperationKeyReused);
        CHECK(second.error(second.claim("deposit-1", "other")) == ErrorKind::OperationKeyReused);
        first.settle(ticket, booked);
        CHECK(second.error(second.claim("deposit-1", "other")) == ErrorKind::OperationKeyReused);
    }

    SUBCASE("an upstream that fails during the call leaves an unknown outcome")
    {
        first.settle(ticket, OutcomeUnknown{});
        CHECK(second.error(second.claim("deposit-1")) == ErrorKind::OperationOutcomeUnknown);
    }

    SUBCASE("a dispatch that is known not to have run makes the key available again")
    {
        first.settle(ticket, Released{});
        CHECK(second.dispatches(second.claim("deposit-1")));
    }

    SUBCASE("an answer that is too large is not replayed, not even in part")
    {
        OperationOutcome large = booked;
        large.body.resize(maxRecordedBodyBytes + 1);
        first.settle(ticket, large);
        CHECK(second.error(second.claim("deposit-1")) == ErrorKind::OperationOutcomeUnknown);
    }

    SUBCASE("an operation whose claimant has ended has an unknown outcome and is not run again")
    {
        second.endedInstance = InstanceId("i-1");
        CHECK(second.error(second.claim("deposit-1")) == ErrorKind::OperationOutcomeUnknown);
        TestInstance successor(service, "i-1", 2);
        CHECK(successor.error(successor.claim("deposit-1")) == ErrorKind::OperationOutcomeUnknown);
    }

    SUBCASE("a claimant that was paused may dispatch, because no other instance does")
    {
        second.now += 10s;
        CHECK(second.error(second.claim("deposit-1")) == ErrorKind::OperationInProgress);
        CHECK(first.claims.mayDispatch(ticket, first.now + 20s));
    }

    SUBCASE("a claimant may not dispatch after its deadline or the end of the claim's lease")
    {
        CHECK_FALSE(first.claims.mayDispatch(ticket, first.now + 30s));
        CHECK_FALSE(first.claims.mayDispatch(ticket, first.now + 4h));
    }

    SUBCASE("every decision is counted")
    {
        (void)first.claim("deposit-1");
        CHECK(first.metrics.counter("bamboochute_claims_total", "decision=\"dispatch\"").value()
              == 1);
        CHECK(first.metrics
                      .counter("bamboochute_claims_total", "decision=\"operation_in_progress\"")
                      .value()
              == 1);
    }
}

TEST_CASE("a claim whose answer is lost")
{
    platform::KeyValueState service;
    TestInstance first(service, "i-1");
    TestInstance second(service, "i-2");
    (void)first.claim("warm-up"); // gets the lease
    first.mode = Service::LosesAnswers;
    const Ticket ticket = first.claim("deposit-1");
    CHECK(first.decisions.count(ticket) == 0);

    SUBCASE("is recognised as its own when it is sent again")
    {
        first.mode = Service::Works;
        first.advance(250ms);
        CHECK(first.dispatches(ticket));
    }

    SUBCASE("is refused in time and withdrawn, so that a repeated request can run")
    {
        first.advance(2s);
        CHECK(first.error(ticket) == ErrorKind::ClaimUnavailable);
        CHECK_FALSE(first.claims.mayDispatch(ticket, first.now));
        CHECK(second.error(second.claim("deposit-1")) == ErrorKind::OperationInProgress);
        CHECK(first.error(first.claim("deposit-1", "other")) == ErrorKind::ClaimUnavailable);
        first.mode = Service::Works;
        first.advance(250ms);
        CHECK(first.claims.openClaims() == 1);
        CHECK(second.dispatches(second.claim("deposit-1")));
    }

    SUBCASE("is withdrawn when its caller disconnects")
    {
        first.mode = Service::Works;
        first.carryOut(first.claims.abandon(ticket, first.now));
        first.advance(250ms);
        CHECK(first.decisions.count(ticket) == 0);
        CHECK(second.dispatches(second.claim("deposit-1")));
    }
}

TEST_CASE("without the key-value service nothing is run, and the refusal says so")
{
    platform::KeyValueState service;
    TestInstance instance(service, "i-1");
    instance.mode = Service::Unavailable;
    const Ticket ticket = instance.claim("deposit-1");
    instance.advance(2s);
    CHECK(instance.error(ticket) == ErrorKind::ClaimUnavailable);
    CHECK(errorRow(ErrorKind::ClaimUnavailable).runState == RunState::NotRun);
    CHECK(instance.claims.openClaims() == 0);

    SUBCASE("the key can be used once the service is available again")
    {
        instance.mode = Service::Works;
        instance.advance(1s);
        CHECK(instance.dispatches(instance.claim("deposit-1")));
    }
}

TEST_CASE("an outcome that can't be written is kept and replayed from memory")
{
    platform::KeyValueState service;
    TestInstance first(service, "i-1");
    TestInstance second(service, "i-2");
    const Ticket ticket = first.claim("deposit-1");
    first.mode = Service::Unavailable;
    first.settle(ticket, booked);
    const Ticket repeat = first.claim("deposit-1");
    CHECK(std::get<Replay>(first.decisions.at(repeat)).outcome == booked);
    CHECK(second.error(second.claim("deposit-1")) == ErrorKind::OperationInProgress);

    SUBCASE("it is written once the service is available again, even if answers are lost meanwhile")
    {
        first.mode = Service::LosesAnswers;
        first.advance(250ms);
        first.mode = Service::Works;
        first.advance(250ms);
        CHECK(first.claims.openClaims() == 0);
        const Ticket elsewhere = second.claim("deposit-1");
        CHECK(std::get<Replay>(second.decisions.at(elsewhere)).outcome == booked);
    }
}

TEST_CASE("claims share leases that outlive their retention")
{
    platform::KeyValueState service;
    TestInstance instance(service, "i-1");
    for (int i = 0; i < 200; ++i) {
        const Ticket ticket = instance.claim("deposit-" + std::to_string(i));
        REQUIRE(instance.dispatches(ticket));
        CHECK(std::get<Dispatch>(instance.decisions.at(ticket)).expires >= instance.now + 2h);
        instance.settle(ticket, booked);
        instance.advance(10s);
    }
    std::set<platform::LeaseId> leases;
    for (const auto &[key, entry] : service.entries())
        leases.insert(entry.lease);
    CHECK(leases.size() <= 5);
}

TEST_CASE("the number of open claims is bounded")
{
    platform::KeyValueState service;
    Metrics metrics;
    const auto nobodyGone = [](const InstanceId &, Incarnation) { return false; };
    OperationClaims claims({InstanceId("i-1"), Incarnation(1), {}}, nobodyGone, metrics, 100.0,
                           ClaimLimits{.maxOpenClaims = 2});
    const auto claim = [&](std::uint64_t number) {
        const ClaimRequest request{"claims/" + std::to_string(number), "f", TimePoint(1h)};
        return claims.claim(Ticket(number), request, TimePoint(1s));
    };
    (void)claim(1);
    (void)claim(2);
    const ClaimActions refused = claim(3);
    REQUIRE(refused.size() == 1);
    const Error error = std::get<Error>(std::get<DeliverDecision>(refused[0]).decision);
    CHECK(error.kind() == ErrorKind::ClaimUnavailable);
}
