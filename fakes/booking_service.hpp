/// @file
/// @brief The stand-in of a plain service with calls that must not run twice: room bookings.
#pragma once

#include "core/random.hpp"
#include "fakes/http_server.hpp"

#include <map>
#include <memory>
#include <string>

namespace bamboochute::fakes {

/// @brief How a stand-in service behaves.
struct BookingSettings
{
    /// Time that one call takes.
    Duration delay{};
    /// Share of bookings that run and whose answer is dropped.
    double dropAnswerShare = 0;
    /// Share of bookings at which the connection dies halfway through the answer.
    double truncateAnswerShare = 0;
    /// Share of bookings that fail with a server error before they run.
    double failShare = 0;
    std::uint64_t seed = 1;
};

/// @brief Counts how often each operation ran.
class FakeBookingService
{
public:
    FakeBookingService(upstream::asio::io_context &context, BookingSettings settings);
    ~FakeBookingService();
    FakeBookingService(const FakeBookingService &) = delete;
    FakeBookingService &operator=(const FakeBookingService &) = delete;

    Result<Endpoint> listen(const Endpoint &endpoint);
    void close();

    /// @brief Changes the behaviour; on the loop's thread only.
    void configure(const BookingSettings &settings);

    /// @brief Runs by operation key; on the loop's thread only.
    const std::map<std::string, std::uint64_t> &runs() const;

private:
    struct Parts;
    std::shared_ptr<Parts> parts;
};

} // namespace bamboochute::fakes
