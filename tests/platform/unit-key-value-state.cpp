#include "platform/key_value_state.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::platform;
using namespace std::chrono_literals;

TEST_CASE("the key-value state machine keeps the promises of the service")
{
    KeyValueState store;
    const TimePoint start{};

    SUBCASE("a key is created once: the second creator reads the first one's value")
    {
        const Transaction create{{CompareModRevision{"k", {}}}, {Put{"k", "a", {}}}, {Get{"k"}}};
        CHECK(store.apply(create).value().succeeded);
        const TransactionResponse second = store.apply(create).value();
        CHECK_FALSE(second.succeeded);
        CHECK(second.found.at(0).at(0).value == "a");

        SUBCASE("and a change needs the revision that was read")
        {
            const StoreRevision seen = second.found[0][0].modRevision;
            const Transaction change{{CompareModRevision{"k", seen}}, {Put{"k", "b", {}}}, {}};
            CHECK(store.apply(change).value().succeeded);
            CHECK_FALSE(store.apply(change).value().succeeded);
        }
    }

    SUBCASE("a lease that is not kept alive takes its keys along")
    {
        const LeaseId lease = store.grant(start, 10s);
        REQUIRE(store.apply({{}, {Put{"k", "a", lease}}, {}}).value().succeeded);
        CHECK(store.keepAlive(lease, start + 5s));
        store.expire(start + 12s);
        CHECK(store.entries().size() == 1);
        store.expire(start + 15s);
        CHECK(store.entries().empty());
        CHECK(store.changesSince({}, "k").back().isDelete);
    }

    SUBCASE("limits are refused without effect")
    {
        const Transaction large{{}, {Put{"k", std::string(maxValueBytes + 1, 'x'), {}}}, {}};
        CHECK(store.apply(large).error().field() == "value");
        Transaction many;
        many.success.assign(maxTransactionOperations + 1, Put{"k", "", {}});
        CHECK(store.apply(many).error().field() == "success");
        CHECK(store.revision() == StoreRevision());
    }
}
