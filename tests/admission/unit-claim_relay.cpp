#include "admission/claim_relay.hpp"
#include "platform/key_value_state.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

/// An instance whose batcher sends to a relay.
struct Sender
{
    WriteNumber create(const std::string &key, const std::string &value)
    {
        return this->batcher.add(
                {platform::CompareModRevision{key, {}}, platform::Put{key, value, {}}}, false);
    }

    ClaimBatcher batcher{1000.0};
};

} // namespace

TEST_CASE("a relay writes the claims of several instances in one transaction")
{
    platform::KeyValueState service;
    ClaimRelay relay(10.0);
    Sender first;
    Sender second;
    const TimePoint now(1s);
    const WriteNumber a = first.create("claims/a", "first's");
    const WriteNumber b = first.create("claims/b", "first's");
    const WriteNumber c = second.create("claims/c", "second's");
    const SubmitTransaction fromFirst = first.batcher.poll(now).at(0);
    const SubmitTransaction fromSecond = second.batcher.poll(now).at(0);
    const RelayedTransactionNumber firstNumber = relay.offer(fromFirst.transaction).value();
    const RelayedTransactionNumber secondNumber = relay.offer(fromSecond.transaction).value();

    SUBCASE("all writes take effect")
    {
        const auto sent = relay.poll(now);
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].transaction.success.size() == 3);
        const auto answers = relay.handleAnswer(sent[0].number, service.apply(sent[0].transaction));
        REQUIRE(answers.size() == 2);
        CHECK(answers[0].number == firstNumber);
        CHECK(answers[1].number == secondNumber);
        const auto done = first.batcher.handleAnswer(fromFirst.number, answers[0].answer);
        REQUIRE(done.size() == 2);
        CHECK(done[0] == FinishedWrite{a, Written{}});
        CHECK(done[1] == FinishedWrite{b, Written{}});
    }

    SUBCASE("a conflict is reported to its sender, which recognises its other write as its own")
    {
        REQUIRE(service.apply({{}, {platform::Put{"claims/b", "third's", {}}}, {}}));
        std::vector<RelayedAnswer> answers;
        for (int round = 0; round < 2; ++round) {
            for (const SubmitTransaction &sent : relay.poll(now)) {
                for (RelayedAnswer &answer :
                     relay.handleAnswer(sent.number, service.apply(sent.transaction)))
                    answers.push_back(std::move(answer));
            }
        }
        REQUIRE(answers.size() == 2);
        const auto done = first.batcher.handleAnswer(fromFirst.number, answers[0].answer);
        REQUIRE(done.size() == 2);
        CHECK(done[0].number == a);
        CHECK(std::get<ConditionFailed>(done[0].result).found->value == "first's");
        CHECK(done[1].number == b);
        CHECK(std::get<ConditionFailed>(done[1].result).found->value == "third's");
        const auto others = second.batcher.handleAnswer(fromSecond.number, answers[1].answer);
        CHECK(others.at(0) == FinishedWrite{c, Written{}});
    }

    SUBCASE("a lost answer is reported as an unknown outcome")
    {
        const TransactionNumber transactionNumber = relay.poll(now).at(0).number;
        const auto lost
                = relay.handleAnswer(transactionNumber, Error(ErrorKind::KeyValueOutcomeUnknown));
        CHECK(lost.at(0).answer.error().kind() == ErrorKind::KeyValueOutcomeUnknown);
    }

    SUBCASE("an unreachable service is reported as having written nothing")
    {
        const TransactionNumber transactionNumber = relay.poll(now).at(0).number;
        const auto out
                = relay.handleAnswer(transactionNumber, Error(ErrorKind::KeyValueUnavailable));
        CHECK(out.at(1).answer.error().kind() == ErrorKind::KeyValueUnavailable);
    }
}

TEST_CASE("a relay accepts only claims")
{
    ClaimRelay relay(10.0);
    const auto refusal = [&](const platform::Transaction &transaction) {
        return relay.offer(transaction).error().kind();
    };
    const platform::CompareModRevision absent{"pools/a/owner", {}};
    CHECK(refusal({}) == ErrorKind::InvalidField);
    CHECK(refusal({{absent}, {platform::Put{"pools/a/owner", "me", {}}}, {}})
          == ErrorKind::InvalidField);
    CHECK(refusal({{platform::CompareModRevision{"claims/a", {}}},
                   {platform::Put{"claims/b", "", {}}},
                   {}})
          == ErrorKind::InvalidField);
    CHECK(refusal({{platform::CompareModRevision{"claims/a", {}}},
                   {platform::Delete{"claims/a", false}},
                   {}})
          == ErrorKind::InvalidField);

    SUBCASE("a relay accepts no more writes than its bound")
    {
        platform::Transaction full;
        for (int i = 0; i < 128; ++i) {
            const std::string key = "claims/" + std::to_string(i);
            full.conditions.emplace_back(platform::CompareModRevision{key, {}});
            full.success.emplace_back(platform::Put{key, "", {}});
        }
        for (int i = 0; i < 64; ++i)
            CHECK(relay.offer(full));
        CHECK(refusal(full) == ErrorKind::KeyValueUnavailable);
    }
}
