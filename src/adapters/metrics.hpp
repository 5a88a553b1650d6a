// Counters and latency histograms, written out in Prometheus' text format.
//
// Index: metrics
#ifndef MARIGOLDCRANK_ADAPTERS_METRICS_HPP
#define MARIGOLDCRANK_ADAPTERS_METRICS_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Safe to use from several threads; state lies in shards, each under its own lock, so
/// that threads seldom meet.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Adds to a counter. `labels` is empty or of the form `name="value",...`.
    void add(std::string const& counter, std::string const& labels = "",
             std::uint64_t amount = 1);

    /// Records a duration in the histogram of this name.
    void observe(std::string const& histogram, boot_clock::duration value);

    /// Shows a value that another part keeps, read whenever the metrics are asked for.
    /// Called before other threads use the object.
    void watch(std::string const& counter, std::string const& labels,
               std::function<std::uint64_t()> read);

    /// All metrics in Prometheus' text format.
    std::string exposition() const;

private:
    struct shard;
    static constexpr std::size_t shard_count = 16;

    shard& own_shard() const;

    /// A value of another part, under its counter's name and labels.
    struct watched_value
    {
        std::string                    counter;
        std::string                    labels;
        std::function<std::uint64_t()> read;
    };

    std::unique_ptr<shard[]>   shards_;
    std::vector<watched_value> watched_;
};

} // namespace marigoldcrank

#endif
