#include "platform/key_value_state.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::platform;
using namespace std::chrono_literals;

TEST_CASE("the in-memory key-value state machine behaves like the key-value service")
{
    KeyValueState store;
    const TimePoint start{};

    SUBCASE("a key is created only once, and the second creator reads the first one's value")
    {
        const Transaction create{{CompareModRevision{"k", {}}}, {Put{"k", "a", {}}}, {Get{"k"}}};
        CHECK(store.apply(create).value().succeeded);
        const TransactionResponse second = store.apply(create).value();
        CHECK_FALSE(second.succeeded);
        CHECK(second.found.at(0).at(0).value == "a");

        SUBCASE("a change needs the current revision of the key")
        {
            const StoreRevision seen = second.found[0][0].modRevision;
            const Transaction change{{CompareModRevision{"k", seen}}, {Put{"k", "b", {}}}, {}};
            CHECK(store.apply(change).value().succeeded);
            CHECK_FALSE(store.apply(change).value().succeeded);
        }
    }

    SUBCASE("the keys of a lease that is not kept alive are deleted")
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

    SUBCASE("a transaction above the limits is rejected without effect")
    {
        const Transaction large{{}, {Put{"k", std::string(maxValueBytes + 1, 'x'), {}}}, {}};
        CHECK(store.apply(large).error().field() == "value");
        Transaction many;
        many.success.assign(maxTransactionOperations + 1, Put{"k", "", {}});
        CHECK(store.apply(many).error().field() == "success");
        CHECK(store.revision() == StoreRevision());
    }
}
