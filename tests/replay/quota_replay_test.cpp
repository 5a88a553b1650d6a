// Simulated loads at and above a workspace's quota, on a fleet of 90 VMs.
#include "quota_replay.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

constexpr int seeds = 20;

/// Replays the load on 90 VMs. No window may run more than the tolerated bound, and
/// nearly all units that one exact token bucket would admit must run.
void expect_quota_enforced(quota_load const& load)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        auto const figures = simulate_quota(load, {.vms = 90}, seed);
        EXPECT_LE(figures.overrun, 1.0) << "seed " << seed;
        EXPECT_GE(figures.granted, 0.98) << "seed " << seed;
    }
}

// The load of a workspace rises to 1.4 times its quota for some seconds. If all of it
// runs, a window holds 8 % more than is tolerated.
TEST(quota_replay, swings_above_the_quota_stay_within_the_bound)
{
    quota_load load;
    load.quota = {
        .rate = 248'000, .burst = 248'000, .tokens = true, .default_units = 200};
    load.usual_load = 0.55;
    load.peak = 2.55;
    load.peak_end = load.peak_begin + millis{8000};
    expect_quota_enforced(load);
}

// A quota is lowered far below the constant load of its workspace.
TEST(quota_replay, workspace_far_above_a_lowered_quota_gets_what_it_allows)
{
    quota_load load;
    load.quota = {.rate = 60'780, .burst = 218'805, .tokens = true, .default_units = 200};
    load.usual_load = 1.4;
    load.peak = 1;
    expect_quota_enforced(load);
}

// One workspace sends six times its usual load for eleven seconds.
TEST(quota_replay, workspace_that_sends_many_times_its_usual_gets_what_its_quota_allows)
{
    quota_load load;
    load.quota = {
        .rate = 533'643, .burst = 533'643, .tokens = true, .default_units = 200};
    load.peak = 6;
    load.peak_end = load.peak_begin + millis{11'000};
    expect_quota_enforced(load);
}

// Calls spread unevenly over the VMs. A workspace that stays within its quota must not be
// refused for that.
TEST(quota_replay, workspace_within_its_quota_is_not_refused)
{
    quota_load load;
    load.peak = 1;
    load.quota = {
        .rate = 400'000, .burst = 400'000, .tokens = true, .default_units = 200};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        EXPECT_EQ(simulate_quota(load, {.vms = 90}, seed).refused, 0) << "seed " << seed;
    }
}

} // namespace
} // namespace marigoldcrank
