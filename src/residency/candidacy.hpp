/// @file
/// @brief Lets the last owner know of a process that may take the ownership; does no I/O, and the
/// time is always a parameter.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "residency/owner_record.hpp"
#include "residency/ownership_consent.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace bamboochute::residency {

/// @brief Tells the last owner that the sender's process may become the owner, so that the last one
/// no longer goes on without its consent.
struct CandidateNotice
{
    InstanceId sender;
    /// Random number of the sender's process; that of an earlier process of the same instance
    /// differs.
    std::uint64_t process = 0;
    /// Nonce of the last owner's record.
    std::uint64_t ownership = 0;
    auto operator<=>(const CandidateNotice &) const = default;
};

/// @brief The answer: its sender needs the consent of the process from now on.
struct CandidateAnswer
{
    /// Process and ownership of the notice.
    std::uint64_t process = 0;
    std::uint64_t ownership = 0;
    /// Whether the sender had the ownership until then, or still has it.
    bool isOwner = false;
    auto operator<=>(const CandidateAnswer &) const = default;
};

/// @brief Parameters of a candidacy.
struct CandidacySettings
{
    InstanceId self;
    /// Random number of this process.
    std::uint64_t process = 0;
    /// When this process started.
    TimePoint startedAt{};
    /// Time from its start for which the owner may rely on a consent that an earlier process of
    /// this instance gave while it was shutting down.
    Duration finalConsentTime = ConsentSettings().finalTime;
    /// Pause between two notices that are not answered.
    Duration retryInterval = std::chrono::milliseconds(300);
    /// Time from an answer to the next notice.
    Duration refreshInterval = std::chrono::seconds(5);
    /// Time before the end of an ownership from which an answer counts. An owner remembers an
    /// instance for ConsentSettings::memberMemory, which is longer by more than the time in which
    /// it notices that the store does not answer.
    Duration answerLifetime = std::chrono::seconds(20);
    /// Longest time for which an owner goes on without the store.
    Duration maxTimeWithoutStore = std::chrono::seconds(30);
    auto operator<=>(const CandidacySettings &) const = default;
};

/// @brief Decides whether this process may take the ownership after the last owner; not
/// thread-safe.
///
/// An owner that the store does not answer goes on with the consent of the instances that it knows.
/// It does not know of a process that started after its record had lapsed, and an instance that
/// was shutting down may have consented in the place of that process.
///
/// All times are of a clock that keeps running while the machine is suspended.
class Candidacy
{
public:
    explicit Candidacy(CandidacySettings settings = {})
        : settings(std::move(settings))
    {}

    /// @brief Handles the record of the last owner; unset if there was none.
    void recordLastOwner(std::optional<OwnerRecord> record, TimePoint now);

    /// @brief Handles whether the store has the record of a present owner.
    void recordOwnerPresence(bool isPresent, TimePoint now);

    /// @brief Handles an answer; one to another process or ownership is ignored.
    /// @return whether it was not
    bool recordAnswer(const CandidateAnswer &answer, TimePoint now);

    /// @brief Whether the last owner does not go on beside this process any more.
    bool isCleared(TimePoint now) const;

    /// @brief Time from which it does not, also if it never answers; unset while an owner is
    /// present.
    std::optional<TimePoint> clearedAt() const;

    /// @brief When to send the next notice; the end of time if none is needed.
    TimePoint nextNoticeAt() const;

    /// @brief The notice to send to the last owner, at the endpoint of its record.
    CandidateNotice makeNotice(TimePoint now);

    /// @brief Whether the last owner has answered a notice of this process.
    bool isAnswered() const noexcept { return this->answeredAt.has_value(); }

    /// @brief When the last owner learned of this process while it had the ownership; unset if it
    /// did not.
    const std::optional<TimePoint> &noticedByOwnerAt() const noexcept { return this->noticedAt; }

    /// @brief The last owner; unset if none is known.
    const std::optional<OwnerRecord> &lastOwner() const noexcept { return this->last; }

private:
    bool isNoticeNeeded() const;
    bool isAnswerFresh() const;
    bool isConsentNeeded() const;

    CandidacySettings settings;
    std::optional<OwnerRecord> last;
    /// Since when this process knows that there is no owner.
    std::optional<TimePoint> vacantSince;
    std::optional<TimePoint> sentAt;
    std::optional<TimePoint> answeredAt;
    std::optional<TimePoint> noticedAt;
};

} // namespace bamboochute::residency
