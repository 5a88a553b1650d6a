// Detects engines that become slow without failing, from this VM's observations alone.
//
// Index: progress_tracker
#ifndef MARIGOLDCRANK_POLICY_PROGRESS_TRACKER_HPP
#define MARIGOLDCRANK_POLICY_PROGRESS_TRACKER_HPP

#include "domain/boot_clock.hpp"
#include "policy/policy_options.hpp"

#include <cstdint>
#include <vector>

namespace marigoldcrank
{

/// Averages the ratio of observed to expected time for each engine. An engine is slow by
/// its average relative to the group's median, so that wrong speed assumptions or a load
/// that all engines share make none of them slow. A load report can't replace this: an
/// engine that is ten times slower reports a load like any other.
class progress_tracker
{
public:
    explicit progress_tracker(route_options options);

    /// Records that a token came or is overdue after `elapsed_us`, where `expected_us`
    /// was assumed.
    void observe(std::uint32_t engine, std::int64_t elapsed_us, std::int64_t expected_us,
                 boot_clock::time_point now);

    /// The slowdown in 256ths of the group's median; exactly 256 for an engine that is
    /// not slow. A slow engine gets little work and hence few observations, so its
    /// slowdown halves every 5 s without one and it is tried again.
    std::int64_t slowdown(std::uint32_t engine, boot_clock::time_point now) const;

    /// Recomputes the median. To be called every few hundred milliseconds.
    void refresh();

private:
    struct average
    {
        std::int64_t           ratio = 0; // observed / expected in 256ths; 0: no data
        boot_clock::time_point observed{};
    };

    route_options        options_;
    std::vector<average> engines_;
    std::int64_t         median_ = 0;
};

} // namespace marigoldcrank

#endif
