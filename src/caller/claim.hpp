/// @file
/// @brief The steps "claim" and "settle": makes an operation with a key run at most once.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

#include <optional>
#include <variant>

namespace bamboochute::caller {

/// @brief A granted claim, or none; settled exactly once.
///
/// A claim that is destroyed before complete() or fail() is released, as nothing of the request was
/// written to an upstream.
class Claim
{
public:
    /// @brief No claim; every call does nothing.
    Claim() = default;
    /// @param server whose claim port is told the result
    /// @param ticket that the claim was granted for
    /// @param expires end of the claim
    Claim(ServerContext &server, Ticket ticket, TimePoint expires);
    ~Claim();
    Claim(Claim &&other) noexcept;
    Claim &operator=(Claim &&) = delete;
    Claim(const Claim &) = delete;
    Claim &operator=(const Claim &) = delete;

    /// @brief Whether the claim has expired, so that its request must not be dispatched any more.
    bool hasExpired(TimePoint now) const;

    /// @brief Records the answer, and adds a header with the seconds that the key is still stored.
    void complete(Answer &answer);

    /// @brief Releases the claim if the request did not run, else records an unknown outcome.
    void fail(RunState runState);

private:
    void settle(admission::Settlement settlement);

    ServerContext *server = nullptr;
    Ticket ticket;
    TimePoint expires{};
};

/// @brief A new claim, or the stored answer of the first request with the same key.
using ClaimedOrReplayed = std::variant<Claim, Answer>;

/// @brief Claims the operation of a request that has an operation key.
/// @return the claim, the answer of the first request with the key, or a refusal
upstream::Awaitable<Result<ClaimedOrReplayed>> claimOperation(Exchange &exchange,
                                                              const ClassifiedRequest &request);

} // namespace bamboochute::caller
