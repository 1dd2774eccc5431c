/// @file
/// @brief Which instance an instance takes for the placement owner, from the store's record and
/// from the owners' own messages.
#pragma once

#include "residency/owner_election.hpp"

#include <optional>

namespace bamboochute::residency {

/// @brief Keeps the address to which demand is reported; not thread-safe.
///
/// An instance that the store turns away can't read the record of a new owner, whose messages reach
/// it all the same.
class OwnerContact
{
public:
    /// @brief Records a message of an owner.
    /// @param fence fencing number in the message
    /// @param from address of the sender
    void recordMessage(Fence fence, const Endpoint &from, TimePoint now)
    {
        if (!this->announced || fence >= this->announced->fence)
            this->announced = Announcement{fence, from, now};
    }

    /// @brief Address of the owner.
    /// @param observed the owner by the record that was last read from the store
    /// @return unset if no owner is known
    std::optional<Endpoint> endpoint(const std::optional<ObservedOwner> &observed,
                                     TimePoint now) const
    {
        const bool isPreferred = this->announced
                                 && (observed ? this->announced->fence > observed->fence
                                              : now < this->announced->heardAt + messageLifetime);
        if (isPreferred)
            return this->announced->endpoint;
        return observed ? std::optional<Endpoint>(observed->record.endpoint) : std::nullopt;
    }

    /// Time after its last message for which an owner without a record counts: it goes on while the
    /// store is away, which may remove the record.
    static constexpr Duration messageLifetime = std::chrono::seconds(2);

private:
    struct Announcement
    {
        Fence fence;
        Endpoint endpoint;
        TimePoint heardAt{};
    };

    std::optional<Announcement> announced;
};

} // namespace bamboochute::residency
