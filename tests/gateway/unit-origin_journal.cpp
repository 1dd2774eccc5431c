#include "gateway/origin_journal.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("drafting");
const OriginOutbox::IsStored always = [](const ServiceId &) { return true; };
const OriginOutbox::IsStored never = [](const ServiceId &) { return false; };

StreamOrigin makeOrigin(const std::string &request, const std::string &version = "v1")
{
    return {RequestId(request), service, SoftwareVersion(version)};
}

OriginBatch makeBatch(std::uint64_t number, const std::string &request)
{
    return {OriginBatchNumber(number), {makeOrigin(request)}};
}

} // namespace

TEST_CASE("an instance hands over the origins of its streams while they are to be stored")
{
    TimePoint now(100s);
    OriginOutbox outbox(OriginBatchNumber(7));
    CHECK_FALSE(outbox.nextDue(always));
    outbox.add(makeOrigin("r1"), now);
    outbox.add(makeOrigin("r2"), now + 10ms);
    CHECK_FALSE(outbox.nextDue(never));
    CHECK(outbox.nextDue(always) == now + 20ms);
    CHECK(outbox.takeDue(always, now + 19ms).empty());

    SUBCASE("not while one version only may have begun streams")
    {
        CHECK(outbox.takeDue(never, now + 1s).empty());
        CHECK(outbox.unstoredCount() == 2);
        const auto due = outbox.takeDue(always, now + 2s);
        REQUIRE(due.size() == 1);
        CHECK(due.front().origins == std::vector{makeOrigin("r1"), makeOrigin("r2")});
    }
    SUBCASE("those that begin within a moment together, and once if they are acknowledged")
    {
        now += 20ms;
        const auto due = outbox.takeDue(always, now);
        CHECK(due
              == std::vector<OriginBatch>{
                      {OriginBatchNumber(7), {makeOrigin("r1"), makeOrigin("r2")}}});
        CHECK(outbox.takeDue(always, now + 299ms).empty());
        CHECK(outbox.acknowledge(OriginBatchNumber(7), now + 90ms) == 110ms);
        CHECK_FALSE(outbox.acknowledge(OriginBatchNumber(7), now + 91ms));
        CHECK(outbox.unstoredCount() == 0);
        CHECK_FALSE(outbox.nextDue(always));

        SUBCASE("and again when the store has come back from a copy")
        {
            outbox.handleStoreLoss();
            CHECK(outbox.unstoredCount() == 2);
            const auto again = outbox.takeDue(always, now + 100ms);
            REQUIRE(again.size() == 1);
            CHECK(again.front().number == OriginBatchNumber(8));
            CHECK(again.front().origins == due.front().origins);
        }
        SUBCASE("and a correction after it")
        {
            StreamOrigin corrected = makeOrigin("r1", "v2");
            corrected.correction = 1;
            outbox.add(corrected, now + 1s);
            const auto correction = outbox.takeDue(always, now + 2s);
            REQUIRE(correction.size() == 1);
            CHECK(correction.front().origins == std::vector{corrected});
        }
    }
    SUBCASE("a lost batch again, and to the next owner at once")
    {
        now += 20ms;
        const auto due = outbox.takeDue(always, now);
        CHECK(outbox.nextDue(always) == now + 300ms);
        CHECK(outbox.takeDue(always, now + 300ms) == due);
        outbox.handleOwnerChange(now + 310ms);
        CHECK(outbox.nextDue(always) == now + 310ms);
        CHECK(outbox.takeDue(always, now + 310ms) == due);
    }
    SUBCASE("an owner that never acknowledges gets one batch every five seconds in the end")
    {
        std::size_t sent = 0;
        const TimePoint end = now + 50s;
        for (; now < end; now += 10ms) {
            outbox.add(makeOrigin("s" + std::to_string(now.time_since_epoch().count())), now);
            const std::size_t count = outbox.takeDue(always, now).size();
            sent += count;
            if (now > end - 30s)
                CHECK(count <= 1);
        }
        CHECK(sent <= 50);

        SUBCASE("until it acknowledges one")
        {
            CHECK(outbox.acknowledge(OriginBatchNumber(7), now));
            CHECK(outbox.takeDue(always, now + 20ms).size() > 1);
        }
    }
    SUBCASE("nothing that nobody takes up any more")
    {
        CHECK(outbox.takeDue(always, now + 61s).empty());
        CHECK(outbox.unstoredCount() == 0);
    }
    SUBCASE("a batch fits into a datagram, and the newest streams come first")
    {
        for (int i = 0; i < 300; ++i)
            outbox.add(makeOrigin("a-longer-request-" + std::to_string(i)), now + 20ms);
        const auto due = outbox.takeDue(always, now + 1s);
        CHECK(due.size() == OriginOutboxLimits().maxOpenBatches);
        for (const OriginBatch &batch : due) {
            std::size_t bytes = 0;
            for (const StreamOrigin &origin : batch.origins)
                bytes += estimateBytes(origin);
            CHECK(bytes <= OriginOutboxLimits().maxBatchBytes);
        }
        CHECK(due.front().origins.back() == makeOrigin("a-longer-request-299"));
    }
    SUBCASE("no ids that nobody remembers")
    {
        outbox.add(makeOrigin(std::string(129, 'r')), now);
        outbox.add(makeOrigin(""), now);
        CHECK(outbox.unstoredCount() == 2);
    }
}

TEST_CASE("the owner writes the origins of all instances together and acknowledges them then")
{
    const TimePoint now(100s);
    const OriginReceipt first{{"10.0.0.1", 7380}, OriginBatchNumber(1)};
    const OriginReceipt second{{"10.0.0.2", 7380}, OriginBatchNumber(900)};
    OriginQueue queue;
    CHECK(queue.isEmpty());
    CHECK(queue.beginSegment(now).empty());
    CHECK(queue.receive(first.sender, makeBatch(1, "r1"), now) == OriginQueue::Reception::Queued);
    CHECK(queue.receive(second.sender, makeBatch(900, "r2"), now)
          == OriginQueue::Reception::Queued);
    CHECK(queue.receive(first.sender, makeBatch(1, "r1"), now) == OriginQueue::Reception::Dropped);
    const std::vector<StreamOrigin> segment = queue.beginSegment(now);
    CHECK(segment == std::vector{makeOrigin("r1"), makeOrigin("r2")});

    SUBCASE("a write that failed is repeated as it was")
    {
        queue.receive(first.sender, makeBatch(2, "r3"), now);
        CHECK(queue.beginSegment(now) == segment);
        CHECK(queue.completeSegment(now) == std::vector{first, second});
        CHECK(queue.beginSegment(now) == std::vector{makeOrigin("r3")});
    }
    SUBCASE("but not for as long as nobody takes the streams up any more")
    {
        queue.receive(first.sender, makeBatch(2, "r3"), now + 30s);
        CHECK(queue.beginSegment(now + 61s) == std::vector{makeOrigin("r3")});
        CHECK(queue.beginSegment(now + 91s).empty());
        CHECK(queue.isEmpty());
    }
    SUBCASE("a batch that comes again after its write is only acknowledged")
    {
        queue.completeSegment(now);
        CHECK(queue.isEmpty());
        CHECK(queue.receive(first.sender, makeBatch(1, "r1"), now + 10s)
              == OriginQueue::Reception::Written);
        CHECK(queue.receive(first.sender, makeBatch(1, "r1"), now + 11s)
              == OriginQueue::Reception::Queued);
    }
    SUBCASE("an instance that is not the owner any more forgets what it has not written")
    {
        queue.clear();
        CHECK(queue.isEmpty());
        CHECK(queue.receive(first.sender, makeBatch(1, "r1"), now)
              == OriginQueue::Reception::Queued);
    }
}

TEST_CASE("the owner queues and writes a bounded amount of origins")
{
    const TimePoint now(100s);
    const OriginBatch batch = makeBatch(0, std::string(100, 'r'));
    const std::size_t bytes = estimateBytes(batch.origins.front());
    OriginQueueLimits limits;
    limits.maxBytes = 5 * bytes;
    limits.maxSegmentBytes = 2 * bytes;
    OriginQueue queue(limits);
    for (std::uint64_t number = 1; number <= 7; ++number) {
        const auto reception = queue.receive({"10.0.0.1", 7380},
                                             {OriginBatchNumber(number), batch.origins}, now);
        CHECK((reception == OriginQueue::Reception::Queued) == (number <= 5));
    }
    std::vector<std::size_t> segments;
    while (!queue.isEmpty()) {
        segments.push_back(queue.beginSegment(now).size());
        queue.completeSegment(now);
    }
    CHECK(segments == std::vector<std::size_t>{2, 2, 1});
}
