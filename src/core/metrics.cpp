#include "core/metrics.hpp"

#include <cmath>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <fmt/format.h>

namespace bamboochute {

namespace {

namespace bh = boost::histogram;

constexpr int binCount = 160;
constexpr double minSeconds = 1e-5;
constexpr double maxSeconds = 1e3;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram = decltype(bh::make_histogram_with(Storage{}, Axis{1, 1.0, 2.0}));

std::string formatSeriesName(std::string_view name, std::string_view labels)
{
    return labels.empty() ? std::string(name) : fmt::format("{}{{{}}}", name, labels);
}

template<typename Map, typename Key>
auto &findOrCreate(Map &map, Key key)
{
    auto &slot = map[std::move(key)];
    if (!slot)
        slot = std::make_unique<typename Map::mapped_type::element_type>();
    return *slot;
}

template<typename Map>
void appendValues(std::string &text, const Map &map, std::string_view type)
{
    std::string_view previous;
    for (const auto &[key, value] : map) {
        if (key.name != previous)
            text += fmt::format("# TYPE {} {}\n", key.name, type);
        previous = key.name;
        text += fmt::format("{} {}\n", formatSeriesName(key.name, key.labels), value->value());
    }
}

} // namespace

struct LatencyHistogram::Bins
{
    Histogram histogram
            = bh::make_histogram_with(Storage{}, Axis{binCount, minSeconds, maxSeconds});
    Counter sumMicroseconds;
};

LatencyHistogram::LatencyHistogram()
    : bins(std::make_unique<Bins>())
{}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    this->bins->histogram(toSeconds(duration));
    this->bins->sumMicroseconds.add(
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count())));
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t total = 0;
    for (auto &&cell : bh::indexed(this->bins->histogram, bh::coverage::all))
        total += static_cast<std::uint64_t>(*cell);
    return total;
}

Duration LatencyHistogram::quantile(double share) const
{
    const double targetCount = share * static_cast<double>(this->count());
    double cumulativeCount = 0;
    for (auto &&cell : bh::indexed(this->bins->histogram, bh::coverage::all)) {
        cumulativeCount += static_cast<double>(static_cast<std::uint64_t>(*cell));
        if (cumulativeCount >= targetCount && cumulativeCount > 0) {
            const double upper = std::min(cell.bin().upper(), maxSeconds);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper));
        }
    }
    return Duration::zero();
}

void LatencyHistogram::print(std::string &text, std::string_view name,
                             std::string_view labels) const
{
    constexpr int binsPerBucket = 8;
    const std::string prefix = labels.empty() ? std::string() : std::string(labels) + ",";
    std::uint64_t cumulativeCount = 0;
    int index = 0;
    for (auto &&cell : bh::indexed(this->bins->histogram, bh::coverage::all)) {
        cumulativeCount += static_cast<std::uint64_t>(*cell);
        const bool isBucketEdge = index++ % binsPerBucket == 0;
        if (isBucketEdge && std::isfinite(cell.bin().upper()))
            text += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, prefix,
                                cell.bin().upper(), cumulativeCount);
    }
    text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, cumulativeCount);
    const double sum = static_cast<double>(this->bins->sumMicroseconds.value()) * 1e-6;
    text += fmt::format("{} {}\n", formatSeriesName(std::string(name) + "_sum", labels), sum);
    text += fmt::format("{} {}\n", formatSeriesName(std::string(name) + "_count", labels),
                        cumulativeCount);
}

Counter &Metrics::counter(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(this->mutex);
    return findOrCreate(this->counters, Key{std::string(name), std::string(labels)});
}

Gauge &Metrics::gauge(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(this->mutex);
    return findOrCreate(this->gauges, Key{std::string(name), std::string(labels)});
}

LatencyHistogram &Metrics::histogram(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(this->mutex);
    return findOrCreate(this->histograms, Key{std::string(name), std::string(labels)});
}

Counter &Metrics::errors(ErrorKind kind)
{
    return this->counter("bamboochute_errors_total",
                         fmt::format("kind=\"{}\"", errorRow(kind).code));
}

std::string Metrics::print() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    appendValues(text, this->counters, "counter");
    appendValues(text, this->gauges, "gauge");
    std::string_view previous;
    for (const auto &[key, histogram] : this->histograms) {
        if (key.name != previous)
            text += fmt::format("# TYPE {} histogram\n", key.name);
        previous = key.name;
        histogram->print(text, key.name, key.labels);
    }
    return text;
}

} // namespace bamboochute
