// Replays a workspace's calls over a fleet of VMs against its quota.
//
// Index: 1 quota_load, 2 quota_trouble, 3 quota_figures, 4 play_homes
#ifndef MARIGOLDCRANK_BENCH_QUOTA_REPLAY_HPP
#define MARIGOLDCRANK_BENCH_QUOTA_REPLAY_HPP

#include "policy/fleet_share.hpp"
#include "policy/quota_bucket.hpp"

#include <random>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// One workspace's calls.
struct quota_load
{
    workspace_quota quota{.rate = 36'000, .burst = 36'000, .tokens = true};
    double          usual = 0.55;       // 0.55   of the quota's rate is asked for
    double          peak = 12;          // 12     times the usual in the peak
    millis          peak_begin{15'000}; // 15000  ms
    millis          peak_end{24'000};   // 24000  ms
    millis          length{40'000};     // 40000  ms
    std::int64_t    mean_units = 4'000; // 4000   of a call
    std::int64_t    most_units = 70'000;

    bool operator==(quota_load const&) const = default;
};

/// The fleet and what happens to it.
struct quota_trouble
{
    int    vms = 90;      // 90
    millis round_trip{4}; // 4    ms; from a VM to another one and back
    double lost_asks = 0; // 0    share of asks that get no answer
    millis home_lost{0};  // 0    ms; the home loses power then; 0: never
    millis cut_begin{0};  // 0    ms; a third of the VMs is cut off from the rest
    millis cut_end{0};    // 0    ms
    millis restart{0};    // 0    ms; all VMs lose power then, for two seconds

    bool operator==(quota_trouble const&) const = default;
};

struct quota_figures
{
    double overrun = 0;  // most that ran in a window, of what is tolerated in all
    double refused = 0;  // of the units within the quota, the share that was refused
    double wait_ms = 0;  // added to a call, on the mean
    double messages = 0; // a second, over all VMs
    double granted = 0;  // units that ran, of what an exact bucket would have let run

    bool operator==(quota_figures const&) const = default;
};

/// The tolerance of the deployments that have quotas.
inline constexpr quota_terms replayed_terms{millis{8000}, 100, 140'000};

/// Each VM asks the workspace's home before a call runs.
quota_figures play_homes(quota_load const& load, quota_trouble const& trouble,
                         std::uint64_t seed);

} // namespace marigoldcrank

#endif
