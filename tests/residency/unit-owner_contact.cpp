#include "residency/owner_contact.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

// Guards against an instance that the store turns away and that reports its demand to the former
// owner for as long: nobody loads what its requests wait for.
TEST_CASE(
        "an instance that can't read the new owner's record reports to the sender of its messages")
{
    const Endpoint former{"10.0.0.1", 7000};
    const Endpoint present{"10.0.0.2", 7000};
    const TimePoint now(100s);
    const ObservedOwner read{OwnerRecord{InstanceId("former"), former, 1, {}, 1}, Fence(3), 3};
    OwnerContact contact;
    CHECK_FALSE(contact.endpoint(std::nullopt, now));
    CHECK(contact.endpoint(read, now) == former);
    contact.recordMessage(Fence(3), former, now);
    CHECK(contact.endpoint(read, now) == former);
    contact.recordMessage(Fence(82), present, now);
    CHECK(contact.endpoint(read, now) == present);

    SUBCASE("a late message of the former owner changes nothing")
    {
        contact.recordMessage(Fence(3), former, now + 1s);
        CHECK(contact.endpoint(read, now + 1s) == present);
    }
    SUBCASE("a record that is newer than the messages goes first")
    {
        const Endpoint third{"10.0.0.3", 7000};
        const ObservedOwner newest{OwnerRecord{InstanceId("third"), third, 1, {}, 1}, Fence(90),
                                   90};
        CHECK(contact.endpoint(newest, now) == third);
    }
    SUBCASE("an owner whose record the store has lost counts while its messages come")
    {
        CHECK(contact.endpoint(std::nullopt, now + 1999ms) == present);
        CHECK_FALSE(contact.endpoint(std::nullopt, now + 2s));
    }
}
