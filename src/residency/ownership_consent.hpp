/// @file
/// @brief Consent of all other instances to an owner that goes on without the platform's store;
/// does no I/O, and the time is always a parameter.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bamboochute::residency {

/// @brief The owner's question whether another instance leaves it the ownership for a while.
struct ConsentQuery
{
    /// Fencing number of the owner.
    Fence fence;
    /// Number of the round of questions.
    std::uint64_t round = 0;
    /// Time since the owner noticed that the store does not answer it.
    Duration storeLostFor{};
    auto operator<=>(const ConsentQuery &) const = default;
};

/// @brief Another instance's answer.
struct ConsentAnswer
{
    InstanceId sender;
    /// Fencing number and round of the question.
    Fence fence;
    std::uint64_t round = 0;
    /// Whether the sender does not try to become the owner for the agreed time.
    bool isGranted = false;
    /// Whether the sender's process never tries again, because it is shutting down.
    bool isFinal = false;
    auto operator<=>(const ConsentAnswer &) const = default;
};

/// @brief Parameters of the consent.
struct ConsentSettings
{
    /// Time from an answer for which its sender does not try to become the owner.
    Duration grantTime = std::chrono::seconds(2);
    /// Share of that time, from the question, for which the owner relies on the answer.
    double validShare = 0.7;
    /// The same for the answer of an instance that is shutting down: a process that is started in
    /// its place does not try to become the owner for this time unless the owner knows of it.
    Duration finalTime = std::chrono::seconds(10);
    /// Time after which an instance that the owner has not heard of is no longer asked.
    Duration memberMemory = std::chrono::seconds(30);
    /// Instances that are remembered.
    std::size_t maxMembers = 4096;
    auto operator<=>(const ConsentSettings &) const = default;
};

/// @brief Collects the consent of the instances that an owner has heard of; not thread-safe.
///
/// An instance that has left the election goes on being asked: a process that was started in its
/// place may answer otherwise.
///
/// All times are of a clock that keeps running while the machine is suspended.
class OwnershipConsent
{
public:
    explicit OwnershipConsent(ConsentSettings settings = {})
        : settings(settings)
    {}

    /// @brief Records that an instance reported to the owner.
    void recordMember(const InstanceId &instance, const Endpoint &endpoint, TimePoint now);

    /// @brief Records that a process of an instance may become the owner: what an earlier process
    /// of it has answered no longer counts.
    /// @param process random number of the process
    /// @return whether there was room to remember it
    bool recordCandidate(const InstanceId &instance, const Endpoint &endpoint,
                         std::uint64_t process, TimePoint now);

    /// @brief Sets whether instances that are not heard of for long are forgotten by themselves.
    void setForgetting(bool isForgetting) { this->isForgetting = isForgetting; }

    /// @brief Forgets the instances that were not heard of for long.
    void forgetSilent(TimePoint now);

    /// @brief Instances that were heard of lately, in a fixed order.
    std::vector<InstanceId> recentMembers(TimePoint now) const;

    /// @brief Begins a round of questions.
    /// @param fence fencing number of the owner
    /// @param storeLostFor time since the owner noticed that the store does not answer it
    ConsentQuery beginRound(Fence fence, Duration storeLostFor, TimePoint now);

    /// @brief Addresses of the instances to ask.
    std::vector<Endpoint> members() const;

    /// @brief Takes over an answer; one to another ownership or to a forgotten round is ignored.
    void recordAnswer(const ConsentAnswer &answer, Fence fence);

    /// @brief Whether no other instance tries to become the owner now. False if none is known.
    bool isValid(TimePoint now) const;

    /// @brief Number of instances that consented while they were shutting down.
    std::size_t finalCount() const;

    /// @brief Discards all answers, as at the begin and at the end of an ownership.
    void discardAnswers();

private:
    struct Member
    {
        Endpoint endpoint;
        TimePoint heardAt{};
        /// When the last question that it consented to was sent.
        std::optional<TimePoint> consentedAt;
        /// It was shutting down; its consent lasts longer, until another process answers.
        bool isFinal = false;
        /// Answers to earlier rounds are ignored.
        std::uint64_t answeredRound = 0;
        /// Process that told of itself; zero if none has.
        std::uint64_t process = 0;
    };
    /// A round whose answers may still come.
    struct Round
    {
        std::uint64_t number = 0;
        TimePoint begunAt{};
    };

    bool isSilent(const Member &member, TimePoint now) const;
    Duration validTime(const Member &member) const;

    ConsentSettings settings;
    std::map<InstanceId, Member> memberStates;
    std::deque<Round> rounds;
    std::uint64_t lastRound = 0;
    bool isForgetting = true;
};

} // namespace bamboochute::residency
