#include "admission/claim_batcher.hpp"
#include "admission/claim_writers.hpp"
#include "platform/key_value_state.hpp"

#include <set>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

ConditionalWrite create(const std::string &key)
{
    return {platform::CompareModRevision{key, {}}, platform::Put{key, "value of " + key, {}}};
}

} // namespace

TEST_CASE("writes share transactions while the rate limit is reached")
{
    ClaimBatcher batcher(10.0, BatcherLimits{.burst = 1.0});
    TimePoint now(1s);

    SUBCASE("a single write is sent at once")
    {
        batcher.add(create("a"), false);
        CHECK(batcher.poll(now).size() == 1);
        CHECK(batcher.poll(now).empty());
    }

    SUBCASE("writes that are added before the next transaction is allowed share it")
    {
        batcher.add(create("a"), false);
        CHECK(batcher.poll(now).size() == 1);
        for (int i = 0; i < 50; ++i)
            batcher.add(create("key" + std::to_string(i)), false);
        CHECK(batcher.poll(now).empty());
        CHECK(batcher.nextPoll(now) == now + 100ms);
        const auto all = batcher.poll(now + 100ms);
        REQUIRE(all.size() == 1);
        CHECK(all[0].transaction.conditions.size() == 50);
    }

    SUBCASE("no transaction has more operations or bytes than allowed")
    {
        for (int i = 0; i < 200; ++i)
            batcher.add(create("key" + std::to_string(i)), false);
        CHECK(batcher.poll(now)[0].transaction.success.size() == 128);
        for (int i = 0; i < 20; ++i) {
            ConditionalWrite large = create("large" + std::to_string(i));
            large.put.value.resize(64 << 10);
            batcher.add(large, true);
        }
        CHECK(batcher.poll(now + 100ms)[0].transaction.success.size() == 7);
    }

    SUBCASE("two writes of one key never share a transaction")
    {
        batcher.add(create("a"), false);
        batcher.add(create("a"), false);
        CHECK(batcher.poll(now)[0].transaction.success.size() == 1);
    }

    SUBCASE("a write that is not sent yet can be cancelled")
    {
        const WriteNumber number = batcher.add(create("a"), false);
        CHECK(batcher.cancel(number));
        CHECK_FALSE(batcher.cancel(number));
        CHECK(batcher.poll(now).empty());
    }
}

TEST_CASE("one conflict does not fail the other writes of a transaction")
{
    platform::KeyValueState service;
    REQUIRE(service.apply({{}, {platform::Put{"b", "taken", {}}}, {}}));
    ClaimBatcher batcher(10.0);
    const WriteNumber first = batcher.add(create("a"), false);
    const WriteNumber second = batcher.add(create("b"), false);
    const WriteNumber third = batcher.add(create("c"), false);
    const auto sent = batcher.poll(TimePoint(1s));
    REQUIRE(sent.size() == 1);
    const auto conflicts = batcher.handleAnswer(sent[0].number, service.apply(sent[0].transaction));
    REQUIRE(conflicts.size() == 1);
    CHECK(conflicts[0].number == second);
    CHECK(std::get<ConditionFailed>(conflicts[0].result).found->value == "taken");

    SUBCASE("the other writes are sent again and take effect")
    {
        const auto again = batcher.poll(TimePoint(1s));
        REQUIRE(again.size() == 1);
        const auto done
                = batcher.handleAnswer(again[0].number, service.apply(again[0].transaction));
        REQUIRE(done.size() == 2);
        CHECK(done[0] == FinishedWrite{first, Written{}});
        CHECK(done[1] == FinishedWrite{third, Written{}});
        CHECK(batcher.size() == 0);
    }

    SUBCASE("they are not sent together with writes that may be in conflict")
    {
        batcher.add(create("d"), false);
        const auto again = batcher.poll(TimePoint(1s));
        REQUIRE(again.size() == 2);
        CHECK(again[0].transaction.success.size() == 2);
        CHECK(again[1].transaction.success.size() == 1);
    }
}

TEST_CASE("a lost answer is distinguished from an unavailable service")
{
    ClaimBatcher batcher(10.0);
    batcher.add(create("a"), false);
    const TransactionNumber transactionNumber = batcher.poll(TimePoint(1s))[0].number;

    SUBCASE("after a lost answer the write may have taken effect")
    {
        const auto done
                = batcher.handleAnswer(transactionNumber, Error(ErrorKind::KeyValueOutcomeUnknown));
        CHECK(std::get<WriteUnavailable>(done.at(0).result).mayHaveEffect);
    }

    SUBCASE("when the service is unavailable the write had no effect")
    {
        const auto done
                = batcher.handleAnswer(transactionNumber, Error(ErrorKind::KeyValueUnavailable));
        CHECK_FALSE(std::get<WriteUnavailable>(done.at(0).result).mayHaveEffect);
    }

    SUBCASE("a second answer to one transaction is ignored")
    {
        (void)batcher.handleAnswer(transactionNumber, Error(ErrorKind::KeyValueUnavailable));
        CHECK(batcher.handleAnswer(transactionNumber, platform::TransactionResponse{true, {}, {}})
                      .empty());
    }
}

TEST_CASE("of many instances a few write the claims of all")
{
    CHECK(claimWriterCount(12, 300.0) == 12);
    CHECK(claimWriterCount(340, 300.0) == 30);
    CHECK(claimWriterCount(340, 1.0) == 1);
    std::vector<InstanceId> members;
    members.reserve(340);
    for (int i = 0; i < 340; ++i)
        members.emplace_back("node" + std::to_string(i));
    const auto writers = chooseClaimWriters(members, 30);
    REQUIRE(writers.size() == 30);

    SUBCASE("the choice does not depend on the order of the list")
    {
        std::vector<InstanceId> reversed(members.rbegin(), members.rend());
        CHECK(chooseClaimWriters(reversed, 30) == writers);
    }

    SUBCASE("the loss of a member replaces no more than one writer")
    {
        std::vector<InstanceId> fewer = members;
        std::erase(fewer, writers[3]);
        const auto changed = chooseClaimWriters(fewer, 30);
        const std::set<InstanceId> before(writers.begin(), writers.end());
        const std::set<InstanceId> after(changed.begin(), changed.end());
        std::size_t kept = 0;
        for (const InstanceId &id : after)
            kept += before.count(id);
        CHECK(kept == 29);
    }

    SUBCASE("keys are spread over the writers")
    {
        std::map<InstanceId, int> keys;
        for (int i = 0; i < 3000; ++i)
            ++keys[claimWriterFor("claims/" + std::to_string(i), writers)];
        CHECK(keys.size() == 30);
        for (const auto &[id, count] : keys)
            CHECK(count < 150);
    }
}
