/// @file
/// @brief Fake of a plain service whose calls must run at most once: room bookings.
#pragma once

#include "core/random.hpp"
#include "fakes/http_server.hpp"

#include <map>
#include <memory>
#include <string>

namespace bamboochute::fakes {

/// @brief Delay and fault rates of a fake booking service; shares are between 0 and 1.
struct BookingSettings
{
    /// Delay before each answer.
    Duration delay{};
    /// Share of bookings that run but whose connection closes without an answer.
    double dropAnswerShare = 0;
    /// Share of bookings that run but whose connection closes after half of the answer's body.
    double truncateAnswerShare = 0;
    /// Share of bookings that are answered with status 500 and don't run.
    double failShare = 0;
    /// Seed of the random choice of faults.
    std::uint64_t seed = 1;
};

/// @brief Serves POST /reservations/book, /reservations/status and /fake/stats, and counts how
/// often each idempotency key ran.
class FakeBookingService
{
public:
    FakeBookingService(upstream::asio::io_context &context, BookingSettings settings);
    ~FakeBookingService();
    FakeBookingService(const FakeBookingService &) = delete;
    FakeBookingService &operator=(const FakeBookingService &) = delete;

    /// @brief Binds the endpoint and begins to accept connections.
    /// @param endpoint address and port; port 0 takes a free port
    /// @return the bound endpoint, or SettingInvalid when the endpoint can't be bound
    Result<Endpoint> listen(const Endpoint &endpoint);
    /// @brief Stops accepting and closes all connections; only on the event loop's thread.
    void close();

    /// @brief Replaces delay and fault rates (the seed has no effect any more); only on the event
    /// loop's thread.
    void configure(const BookingSettings &settings);

    /// @brief Number of runs by Idempotency-Key header, empty for calls without one; only on the
    /// event loop's thread.
    const std::map<std::string, std::uint64_t> &runs() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace bamboochute::fakes
