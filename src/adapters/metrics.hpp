// Counters and latency histograms in Prometheus' text format.
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

/// Safe to use from several threads. State is sharded by thread, with a lock for each
/// shard, so that threads rarely contend.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Adds to a counter. `labels` is empty or of the form `name="value",...`.
    void add(std::string const& counter, std::string const& labels = "",
             std::uint64_t amount = 1);

    /// Records a duration, in seconds, in the histogram of this name.
    void observe(std::string const& histogram, boot_clock::duration value);

    /// Registers a counter that another component maintains; `read` is called at each
    /// exposition. Must be called before other threads use the object.
    void add_callback(std::string const& counter, std::string const& labels,
                      std::function<std::uint64_t()> read);

    /// All metrics in Prometheus' text format, with the prefix `marigoldcrank_`.
    std::string exposition() const;

private:
    struct shard;
    static constexpr std::size_t shard_count = 16;

    shard& thread_shard() const;

    /// A registered counter of another component.
    struct callback_counter
    {
        std::string                    counter;
        std::string                    labels;
        std::function<std::uint64_t()> read;
    };

    std::unique_ptr<shard[]>      shards_;
    std::vector<callback_counter> callback_counters_;
};

} // namespace marigoldcrank

#endif
