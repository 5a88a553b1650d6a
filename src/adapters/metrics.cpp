// Metrics over Boost.Histogram.
#include "adapters/metrics.hpp"

#include <boost/histogram.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <sstream>

namespace marigoldcrank
{

namespace
{
namespace bh = boost::histogram;

constexpr double   lowest_seconds = 0.0001;
constexpr double   highest_seconds = 100.0;
constexpr unsigned bins = 60; // ten per decade: an error below 26% in any quantile

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(log_axis{}));

/// A histogram and the sum of its values, which the Prometheus format requires.
struct latency
{
    latency_histogram counts =
        bh::make_histogram(log_axis{bins, lowest_seconds, highest_seconds});
    double sum = 0;
};

using counter_map = std::map<std::pair<std::string, std::string>, std::uint64_t>;
using latency_map = std::map<std::string, latency>;

void write_latency(std::ostream& out, std::string const& name, latency const& value)
{
    out << "# TYPE " << name << " histogram\n";
    double total = value.counts.at(-1);
    for (unsigned bin = 0; bin < bins; ++bin)
    {
        total += value.counts.at(static_cast<int>(bin));
        auto const edge = value.counts.axis().bin(static_cast<int>(bin)).upper();
        out << name << "_bucket{le=\"" << edge << "\"} " << total << "\n";
    }
    total += value.counts.at(bins);
    out << name << "_bucket{le=\"+Inf\"} " << total << "\n";
    out << name << "_sum " << value.sum << "\n" << name << "_count " << total << "\n";
}
} // namespace

struct metrics::shard
{
    mutable std::mutex mutex;
    counter_map        counters;
    latency_map        latencies;
};

metrics::metrics() : shards_(std::make_unique<shard[]>(shard_count)) {}

metrics::~metrics() = default;

metrics::shard& metrics::thread_shard() const
{
    static std::atomic<std::size_t> next{0};
    thread_local std::size_t const  index = next++ % shard_count;
    return shards_[index];
}

void metrics::add(std::string const& counter, std::string const& labels,
                  std::uint64_t amount)
{
    auto&                 local = thread_shard();
    std::lock_guard const lock(local.mutex);
    local.counters[{counter, labels}] += amount;
}

void metrics::observe(std::string const& histogram, boot_clock::duration value)
{
    auto const            seconds = std::chrono::duration<double>(value).count();
    auto&                 local = thread_shard();
    std::lock_guard const lock(local.mutex);
    auto&                 target = local.latencies[histogram];
    target.counts(seconds);
    target.sum += seconds;
}

void metrics::add_callback(std::string const& counter, std::string const& labels,
                           std::function<std::uint64_t()> read)
{
    callback_counters_.push_back({counter, labels, std::move(read)});
}

std::string metrics::exposition() const
{
    counter_map counters;
    for (auto const& value : callback_counters_)
    {
        counters[{value.counter, value.labels}] = value.read();
    }
    latency_map latencies;
    for (std::size_t index = 0; index < shard_count; ++index)
    {
        auto const&           source = shards_[index];
        std::lock_guard const lock(source.mutex);
        for (auto const& [key, value] : source.counters)
        {
            counters[key] += value;
        }
        for (auto const& [name, value] : source.latencies)
        {
            latencies[name].counts += value.counts;
            latencies[name].sum += value.sum;
        }
    }
    std::ostringstream out;
    for (auto const& [key, value] : counters)
    {
        out << "marigoldcrank_" << key.first;
        if (!key.second.empty())
        {
            out << "{" << key.second << "}";
        }
        out << " " << value << "\n";
    }
    for (auto const& [name, value] : latencies)
    {
        write_latency(out, "marigoldcrank_" + name, value);
    }
    return out.str();
}

} // namespace marigoldcrank
