#include "admin/configuration_check.hpp"
#include "admin/configuration_format.hpp"
#include "admin/configuration_join.hpp"
#include "sample.hpp"
#include "virtual_service.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admin;

namespace {

using Store = ConfigurationStore<VirtualService, VirtualTime>;

struct Fixture
{
    VirtualTime timers;
    VirtualService service{timers};
    Store store{service, timers, [](const PartHash &) -> const std::string * { return nullptr; }};

    std::function<void(Result<SubmitOutcome>)>
    storeIn(std::optional<Result<SubmitOutcome>> &outcome)
    {
        return [&outcome](Result<SubmitOutcome> result) { outcome = std::move(result); };
    }

    Result<SubmitOutcome> submit(SubmitRequest request)
    {
        std::optional<Result<SubmitOutcome>> outcome;
        this->store.submit(std::move(request), this->storeIn(outcome));
        this->timers.run();
        return *outcome;
    }

    /// The configuration that is recorded in the key-value service.
    Configuration recorded()
    {
        const auto &entries = this->service.state.entries();
        const auto root = readRoot(entries.at(std::string(rootKey)).value).value();
        const PartLookup lookup = [&](const PartHash &hash) -> const std::string * {
            const auto found = entries.find(partKey(hash));
            return found == entries.end() ? nullptr : &found->second.value;
        };
        const TreeWalk walk(root.top, lookup);
        REQUIRE(walk.isComplete());
        return joinParts(walk.reached(), lookup).value();
    }

    std::size_t partCount() const
    {
        std::size_t count = 0;
        for (const auto &[key, entry] : this->service.state.entries())
            count += key.starts_with(partPrefix) ? 1 : 0;
        return count;
    }
};

SubmitRequest request(Configuration configuration, std::uint64_t expected, const std::string &id)
{
    return {std::move(configuration),
            Revision(expected),
            SubmissionId(id),
            "ana",
            WallTime(1),
            false};
}

Configuration changedSample(std::uint32_t weight)
{
    Configuration configuration = sampleConfiguration();
    configuration.deployments[0].callerClasses[0].weight = weight;
    return configuration;
}

Revision acceptedRevision(const Result<SubmitOutcome> &outcome)
{
    REQUIRE(outcome);
    REQUIRE(std::holds_alternative<SubmissionAccepted>(outcome.value()));
    return std::get<SubmissionAccepted>(outcome.value()).root.revision;
}

} // namespace

TEST_CASE("a configuration is recorded completely, in small parts")
{
    Fixture fixture;
    CHECK(acceptedRevision(fixture.submit(request(sampleConfiguration(), 0, "first")))
          == Revision(1));
    CHECK(fixture.recorded() == sorted(sampleConfiguration()));

    SUBCASE("a small change is recorded with at most four calls")
    {
        fixture.service.calls = 0;
        const auto outcome = fixture.submit(request(changedSample(7), 1, "second"));
        CHECK(acceptedRevision(outcome) == Revision(2));
        const auto &lines = std::get<SubmissionAccepted>(outcome.value()).difference;
        REQUIRE(lines.size() == 1);
        CHECK(toText(lines[0]) == "~ deployment assistant, caller class guest, weight: 4 -> 7");
        CHECK(fixture.service.calls <= 4);
    }

    SUBCASE("a configuration with thousands of adapters is recorded in parts below 64 KiB")
    {
        const Configuration large = sampleWithAdapters(3000);
        REQUIRE(checkConfiguration(large));
        CHECK(acceptedRevision(fixture.submit(request(large, 1, "second"))) == Revision(2));
        CHECK(fixture.recorded() == sorted(large));
        for (const auto &[key, entry] : fixture.service.state.entries())
            CHECK(entry.value.size() < 64 << 10);
    }

    SUBCASE("a dry run returns the difference and records nothing")
    {
        SubmitRequest dry = request(changedSample(7), 1, "dry");
        dry.isDryRun = true;
        const auto before = fixture.service.state.revision();
        const auto outcome = fixture.submit(dry);
        CHECK(acceptedRevision(outcome) == Revision(2));
        CHECK(std::get<SubmissionAccepted>(outcome.value()).difference.size() == 1);
        CHECK(fixture.service.state.revision() == before);
    }

    SUBCASE("a difference never contains a credential hash")
    {
        Configuration changed = sampleConfiguration();
        changed.operators[0].credentialHash = sha256Hex("another");
        const auto outcome = fixture.submit(request(changed, 1, "second"));
        for (const DifferenceLine &line :
             std::get<SubmissionAccepted>(outcome.value()).difference) {
            CHECK(toText(line).find(sha256Hex("another")) == std::string::npos);
            CHECK(toText(line).find(sha256Hex("ana's credential")) == std::string::npos);
        }
    }
}

TEST_CASE("of two concurrent submissions one is recorded, the other gets its revision and the "
          "difference")
{
    Fixture fixture;
    acceptedRevision(fixture.submit(request(sampleConfiguration(), 0, "base")));
    std::optional<Result<SubmitOutcome>> left;
    std::optional<Result<SubmitOutcome>> right;
    fixture.store.submit(request(changedSample(5), 1, "left"), fixture.storeIn(left));
    fixture.store.submit(request(changedSample(6), 1, "right"), fixture.storeIn(right));
    fixture.timers.run();
    CHECK(acceptedRevision(*left) == Revision(2));
    REQUIRE(*right);
    const auto *conflict = std::get_if<SubmissionConflict>(&right->value());
    REQUIRE(conflict != nullptr);
    CHECK(conflict->winner.revision == Revision(2));
    CHECK(conflict->winner.submissionId == SubmissionId("left"));
    REQUIRE(conflict->difference.size() == 1);
    CHECK(conflict->difference[0].before == "5");
    CHECK(conflict->difference[0].after == "6");
    CHECK(fixture.recorded() == sorted(changedSample(5)));
}

TEST_CASE("a submission whose answer is lost after the write is reported as recorded")
{
    Fixture fixture;
    int losses = 1;
    fixture.service.nextFault = [&](const platform::Transaction &transaction) {
        return recordsRoot(transaction) && losses-- > 0 ? Fault::AnswerLost : Fault::None;
    };
    const auto outcome = fixture.submit(request(sampleConfiguration(), 0, "first"));
    CHECK(acceptedRevision(outcome) == Revision(1));
    CHECK(std::get<SubmissionAccepted>(outcome.value()).wasRecordedBefore);

    SUBCASE("sent again with the same id, it is not written again")
    {
        const auto again = fixture.submit(request(sampleConfiguration(), 0, "first"));
        CHECK(acceptedRevision(again) == Revision(1));
        CHECK(std::get<SubmissionAccepted>(again.value()).wasRecordedBefore);
    }

    SUBCASE("sent again after another submission was recorded, it is not written again")
    {
        acceptedRevision(fixture.submit(request(changedSample(9), 1, "second")));
        const auto again = fixture.submit(request(sampleConfiguration(), 0, "first"));
        CHECK(acceptedRevision(again) == Revision(1));
        CHECK(fixture.recorded() == sorted(changedSample(9)));
    }

    SUBCASE("the same id with different content is rejected")
    {
        const auto other = fixture.submit(request(changedSample(9), 0, "first"));
        REQUIRE(!other);
        CHECK(other.error().kind() == ErrorKind::OperationKeyReused);
    }
}

TEST_CASE("the key-value service becomes unavailable during a submission")
{
    Fixture fixture;

    SUBCASE("before the write: KeyValueUnavailable, and nothing is recorded")
    {
        fixture.service.isDown = true;
        const auto outcome = fixture.submit(request(sampleConfiguration(), 0, "first"));
        CHECK(outcome.error().kind() == ErrorKind::KeyValueUnavailable);
        CHECK(fixture.service.state.entries().empty());
    }

    SUBCASE("during the write: KeyValueOutcomeUnknown, and sending the same id again finds the "
            "outcome")
    {
        fixture.service.nextFault = [&](const platform::Transaction &transaction) {
            if (!recordsRoot(transaction))
                return Fault::None;
            fixture.service.isDown = true;
            return Fault::AnswerLost;
        };
        const auto outcome = fixture.submit(request(sampleConfiguration(), 0, "first"));
        CHECK(outcome.error().kind() == ErrorKind::KeyValueOutcomeUnknown);
        CHECK(outcome.error().field() == "submissionId");
        fixture.service.isDown = false;
        fixture.service.nextFault = [](const platform::Transaction &) { return Fault::None; };
        CHECK(acceptedRevision(fixture.submit(request(sampleConfiguration(), 0, "first")))
              == Revision(1));
    }
}

TEST_CASE("a rollback records an earlier configuration as a new revision")
{
    Fixture fixture;
    acceptedRevision(fixture.submit(request(sampleConfiguration(), 0, "a")));
    acceptedRevision(fixture.submit(request(changedSample(7), 1, "b")));
    const SubmitRequest back{
            RollBackTo{Revision(1)}, Revision(2), SubmissionId("c"), "ana", WallTime(2), false};
    const auto outcome = fixture.submit(back);
    CHECK(acceptedRevision(outcome) == Revision(3));
    CHECK(std::get<SubmissionAccepted>(outcome.value()).root.rolledBackTo == Revision(1));
    CHECK(fixture.recorded() == sorted(sampleConfiguration()));

    SUBCASE("the history lists all three revisions, newest first")
    {
        std::vector<ConfigurationRoot> roots;
        fixture.store.readHistory([&](auto result) { roots = result.value(); });
        fixture.timers.run();
        REQUIRE(roots.size() == 3);
        CHECK(roots[0].revision == Revision(3));
        CHECK(roots[2].revision == Revision(1));
    }

    SUBCASE("a revision that is not in the history is rejected and named in the error")
    {
        SubmitRequest missing = back;
        missing.content = RollBackTo{Revision(9)};
        missing.submissionId = SubmissionId("d");
        const auto refused = fixture.submit(missing);
        CHECK(refused.error().kind() == ErrorKind::InvalidField);
        CHECK(refused.error().message().find('9') != std::string::npos);
    }
}

TEST_CASE("garbage collection deletes old history and unreferenced parts")
{
    Fixture fixture;
    const std::size_t count = maxHistoryRevisions + 6;
    for (std::uint64_t i = 0; i < count; ++i)
        acceptedRevision(fixture.submit(
                request(changedSample(1 + std::uint32_t(i)), i, "s" + std::to_string(i))));
    const std::size_t partsBefore = fixture.partCount();
    std::optional<Result<GarbageCollectionReport>> report;
    const auto storeIn = [&](auto result) { report = std::move(result); };

    SUBCASE("parts of the kept revisions are not deleted")
    {
        fixture.store.collectGarbage(storeIn);
        fixture.timers.run();
        REQUIRE(report->has_value());
        CHECK(report->value().deletedKeys >= 18);
        CHECK(!report->value().wasInterrupted);
        CHECK(fixture.partCount() < partsBefore);
        CHECK(fixture.recorded() == sorted(changedSample(std::uint32_t(count))));
        const auto back = fixture.submit({RollBackTo{Revision(count - maxHistoryRevisions + 1)},
                                          Revision(count), SubmissionId("back"), "ana", WallTime(2),
                                          false});
        CHECK(acceptedRevision(back) == Revision(count + 1));
        CHECK(fixture.recorded()
              == sorted(changedSample(std::uint32_t(count - maxHistoryRevisions + 1))));
    }

    SUBCASE("a submission during a garbage collection loses no part")
    {
        // The submitted content needs parts that the garbage collection is about to delete.
        for (int delay = 0; delay < 60; delay += 2) {
            CAPTURE(delay);
            Fixture race;
            race.service.state = fixture.service.state;
            std::optional<Result<SubmitOutcome>> outcome;
            race.store.collectGarbage(storeIn);
            race.timers.after(std::chrono::milliseconds(delay), [&]() {
                race.store.submit(request(changedSample(1), count, "racing"),
                                  race.storeIn(outcome));
            });
            race.timers.run();
            CHECK(acceptedRevision(*outcome) == Revision(count + 1));
            CHECK(race.recorded() == sorted(changedSample(1)));
        }
    }
}
