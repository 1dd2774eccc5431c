#include "../../bench/claims_run.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

using Answer = Result<platform::TransactionResponse>;

/// Faulty variant: treats a transaction whose answer was lost as one that took effect.
struct TrustsLostAnswers : OperationClaims
{
    using OperationClaims::OperationClaims;

    ClaimActions handleAnswer(TransactionNumber transactionNumber, const Answer &answer,
                              TimePoint now)
    {
        const bool isLost = !answer && answer.error().kind() == ErrorKind::KeyValueOutcomeUnknown;
        const platform::TransactionResponse success{true, {}, {}};
        return OperationClaims::handleAnswer(transactionNumber, isLost ? Answer(success) : answer,
                                             now);
    }
};

/// Faulty variant: treats another claimant's record as its own.
struct TreatsOthersRecordsAsOwn : OperationClaims
{
    using OperationClaims::OperationClaims;

    ClaimActions handleAnswer(TransactionNumber transactionNumber, const Answer &answer,
                              TimePoint now)
    {
        const platform::TransactionResponse success{true, {}, {}};
        return OperationClaims::handleAnswer(transactionNumber, answer ? Answer(success) : answer,
                                             now);
    }
};

/// Faulty variant: writes without conditions.
struct WritesWithoutConditions : OperationClaims
{
    using OperationClaims::OperationClaims;

    ClaimActions claim(Ticket ticket, const ClaimRequest &request, TimePoint now)
    {
        return removeConditions(OperationClaims::claim(ticket, request, now));
    }

    ClaimActions tick(TimePoint now) { return removeConditions(OperationClaims::tick(now)); }

    static ClaimActions removeConditions(ClaimActions actions)
    {
        for (ClaimAction &action : actions) {
            if (auto *submission = std::get_if<SubmitTransaction>(&action))
                submission->transaction.conditions.clear();
        }
        return actions;
    }
};

/// Faulty variant: records an operation whose answer was lost as not run.
struct ReleasesUnknownOutcomes : OperationClaims
{
    using OperationClaims::OperationClaims;

    ClaimActions settle(Ticket ticket, const Settlement &settlement, TimePoint now)
    {
        const bool isUnknown = std::holds_alternative<OutcomeUnknown>(settlement);
        return OperationClaims::settle(ticket, isUnknown ? Settlement(Released{}) : settlement,
                                       now);
    }
};

/// Faulty variant: tells a caller whose answer was lost that the operation was not run.
struct RefusesAfterDispatch : OperationClaims
{
    using OperationClaims::OperationClaims;

    ClaimActions settle(Ticket ticket, const Settlement &settlement, TimePoint now)
    {
        ClaimActions actions = OperationClaims::settle(ticket, settlement, now);
        const ClaimDecision notRun = Error(ErrorKind::ClaimUnavailable);
        if (std::holds_alternative<OutcomeUnknown>(settlement))
            actions.emplace_back(DeliverDecision{ticket, notRun});
        return actions;
    }
};

/// Faulty variant: assumes that every other claimant has ended.
struct AssumesOthersEnded : OperationClaims
{
    AssumesOthersEnded(const Claimant &self, const KnownGone &, Metrics &metrics, double budget)
        : OperationClaims(
                self, [](const InstanceId &, Incarnation) { return true; }, metrics, budget)
    {}
};

bench::ClaimsRunSettings settings(std::uint64_t seed)
{
    bench::ClaimsRunSettings settings;
    settings.seed = seed;
    return settings;
}

} // namespace

TEST_CASE("operations run at most once while instances fail")
{
    std::uint32_t writers = 0;
    SUBCASE("each instance writes its own claims")
    {
        writers = 0;
    }
    SUBCASE("two instances write the claims of all")
    {
        writers = 2;
    }
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        bench::ClaimsRunSettings chosen = settings(seed);
        chosen.writers = writers;
        const auto result = bench::ClaimsRun<OperationClaims>(chosen).run();
        CHECK(result.runTwice == 0);
        CHECK(result.falseNotRun == 0);
        CHECK(result.unexplainedUnknown == 0);
        CHECK(result.otherWrong == 0);
        CHECK(result.kills > 0);
        CHECK(result.replays > 0);
        CHECK(result.unknown > 0);
        CHECK(result.conflicts > 0);
    }
}

TEST_CASE("the checks of the simulation detect faulty claims")
{
    SUBCASE("a lost answer is treated as a success")
    {
        CHECK(bench::ClaimsRun<TrustsLostAnswers>(settings(1)).run().runTwice > 0);
    }

    SUBCASE("another claimant's record is treated as its own")
    {
        CHECK(bench::ClaimsRun<TreatsOthersRecordsAsOwn>(settings(1)).run().runTwice > 0);
    }

    SUBCASE("writes have no conditions")
    {
        CHECK(bench::ClaimsRun<WritesWithoutConditions>(settings(1)).run().runTwice > 0);
    }

    SUBCASE("an unknown outcome is released")
    {
        CHECK(bench::ClaimsRun<ReleasesUnknownOutcomes>(settings(1)).run().runTwice > 0);
    }

    SUBCASE("a caller is told that its operation was not run when that is not known")
    {
        CHECK(bench::ClaimsRun<RefusesAfterDispatch>(settings(1)).run().falseNotRun > 0);
    }

    SUBCASE("live claimants are assumed to have ended")
    {
        CHECK(bench::ClaimsRun<AssumesOthersEnded>(settings(1)).run().unexplainedUnknown > 0);
    }
}
