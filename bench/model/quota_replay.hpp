// Simulates the calls of a workspace over a fleet of VMs that enforces its quota.
//
// Index: 1 quota_load, 2 quota_faults, 3 quota_figures, 4 simulate_quota
#ifndef MARIGOLDCRANK_BENCH_QUOTA_REPLAY_HPP
#define MARIGOLDCRANK_BENCH_QUOTA_REPLAY_HPP

#include "policy/fleet_share.hpp"
#include "policy/token_bucket.hpp"

#include <random>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Load of one workspace.
struct quota_load
{
    workspace_quota quota{.rate = 36'000, .burst = 36'000, .tokens = true};
    double       usual_load = 0.55;  // 0.55   share of the quota's rate that is requested
    double       peak = 12;          // 12     factor on it during the peak
    millis       peak_begin{15'000}; // 15000  ms
    millis       peak_end{24'000};   // 24000  ms
    millis       length{40'000};     // 40000  ms
    std::int64_t mean_units = 4'000; // 4000   mean units of a call
    std::int64_t max_units = 70'000; // 70000  maximum units of a call

    bool operator==(quota_load const&) const = default;
};

/// Size of the fleet and the faults that are injected.
struct quota_faults
{
    int    vms = 90;             // 90   VMs
    millis round_trip{4};        // 4    ms; round trip between two VMs
    double lost_query_share = 0; // 0    share of queries that get no reply
    millis owner_lost{0};        // 0    ms; time at which the owner loses power; 0: never
    millis partition_begin{
        0};                  // 0    ms; a network partition separates a third of the VMs
    millis partition_end{0}; // 0    ms
    millis restart{0}; // 0    ms; time at which all VMs lose power for 2 s; 0: never

    bool operator==(quota_faults const&) const = default;
};

struct quota_figures
{
    double overrun = 0;  // maximum of units run in a window, over the tolerated bound
    double refused = 0;  // refused share of the units within the quota
    double wait_ms = 0;  // mean wait that the quota adds to a call
    double messages = 0; // messages per second of all VMs
    double granted = 0;  // units run, over those an exact bucket admits

    bool operator==(quota_figures const&) const = default;
};

/// Quota window and tolerance that the deployments with quotas use.
inline constexpr quota_terms replayed_terms{millis{8000}, 100, 140'000};

/// Simulates VMs that query the workspace's owner before each call runs.
quota_figures simulate_quota(quota_load const& load, quota_faults const& faults,
                             std::uint64_t seed);

} // namespace marigoldcrank

#endif
