/// @file
/// @brief Counters, gauges and latency histograms in Prometheus' text format.
#pragma once

#include "core/clock.hpp"
#include "core/error.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace bamboochute {

/// @brief Number that only increases; safe to use from any thread.
class Counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        this->total.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const noexcept { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total{0};
};

/// @brief Number that goes up and down; safe to use from any thread.
class Gauge
{
public:
    void set(std::int64_t to) noexcept { this->current.store(to, std::memory_order_relaxed); }
    void add(std::int64_t by) noexcept { this->current.fetch_add(by, std::memory_order_relaxed); }
    std::int64_t value() const noexcept { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> current{0};
};

/// @brief Distribution of durations from 10 µs to 1000 s on a logarithmic axis (Boost.Histogram).
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    /// @brief Records one duration; safe to call from any thread.
    void record(Duration duration);

    /// @brief Number of durations recorded.
    std::uint64_t count() const;

    /// @brief Upper edge of the bin that holds the given share of the durations.
    /// @param share between 0 and 1; 0.99 gives the 99th percentile
    Duration quantile(double share) const;

    /// @brief Appends the histogram, in seconds, in Prometheus' text format.
    void print(std::string &text, std::string_view name, std::string_view labels) const;

private:
    struct Bins;
    std::unique_ptr<Bins> bins;
};

/// @brief Registry of all metrics of a process, by name and labels.
///
/// References stay valid as long as the registry; callers look them up once and keep them.
class Metrics
{
public:
    /// @param name metric name, such as "bamboochute_retries_total"
    /// @param labels label text without braces, such as "reason=\"connect\""; may be empty
    Counter &counter(std::string_view name, std::string_view labels = {});
    Gauge &gauge(std::string_view name, std::string_view labels = {});
    LatencyHistogram &histogram(std::string_view name, std::string_view labels = {});

    /// @brief Counter of the errors of one kind.
    Counter &errors(ErrorKind kind);

    /// @brief All metrics in Prometheus' text format.
    std::string print() const;

private:
    struct Key
    {
        std::string name;
        std::string labels;
        auto operator<=>(const Key &) const = default;
    };

    mutable std::mutex mutex;
    std::map<Key, std::unique_ptr<Counter>> counters;
    std::map<Key, std::unique_ptr<Gauge>> gauges;
    std::map<Key, std::unique_ptr<LatencyHistogram>> histograms;
};

} // namespace bamboochute
