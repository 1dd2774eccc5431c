/// @file
/// @brief The steps "claim" and "settle": operations that must run at most once.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

#include <optional>
#include <variant>

namespace bamboochute::caller {

/// @brief A claim that was granted, or none; settled exactly once.
///
/// A claim that is dropped without a word is released: nothing of the request was written.
class Claim
{
public:
    /// @brief No claim; every call does nothing.
    Claim() = default;
    Claim(ServerContext &server, Ticket ticket, TimePoint expires);
    ~Claim();
    Claim(Claim &&other) noexcept;
    Claim &operator=(Claim &&) = delete;
    Claim(const Claim &) = delete;
    Claim &operator=(const Claim &) = delete;

    /// @brief Whether the claim may no longer be dispatched.
    bool hasLapsed(TimePoint now) const;

    /// @brief Records the answer, and tells the caller how long its key is remembered.
    void complete(Answer &answer);

    /// @brief Records that there is no answer.
    void fail(RunState runState);

private:
    void settle(admission::Settlement settlement);

    ServerContext *server = nullptr;
    Ticket ticket;
    TimePoint expires{};
};

using ClaimedOrReplayed = std::variant<Claim, Answer>;

/// @brief Claims the operation of a request that has an operation key.
/// @return the claim, the answer of the first request with the key, or a refusal
upstream::Awaitable<Result<ClaimedOrReplayed>> claimOperation(Exchange &exchange,
                                                              const ClassifiedRequest &request);

} // namespace bamboochute::caller
