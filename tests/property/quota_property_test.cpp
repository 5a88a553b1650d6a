// Tests the bound on a workspace's units in any window, over simulated fleets with
// faults.
#include "quota_replay.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

/// A workspace that sends many times its quota for some time.
quota_load any_load()
{
    quota_load load;
    load.quota.rate = *rc::gen::elementOf(
        std::vector<std::int64_t>{36'000, 100'000, 400'000, 1'200'000});
    load.quota.burst = load.quota.rate * *rc::gen::inRange(1, 4);
    load.mean_units = std::max<std::int64_t>(load.quota.rate / 60, 1000);
    load.max_units = 36'000;
    load.usual_load = 0.1 * *rc::gen::inRange(1, 11);
    load.peak = *rc::gen::inRange(1, 13);
    load.peak_begin = millis{*rc::gen::inRange(1000, 9000)};
    load.peak_end = load.peak_begin + millis{*rc::gen::inRange(100, 9000)};
    load.length = millis{20'000};
    return load;
}

quota_faults any_fleet()
{
    quota_faults trouble;
    trouble.vms = *rc::gen::inRange(6, 60);
    trouble.round_trip = millis{*rc::gen::inRange(0, 60)};
    return trouble;
}

void expect_bound(quota_load const& load, quota_faults const& trouble)
{
    auto const seed = static_cast<std::uint64_t>(*rc::gen::inRange(0, 1'000'000));
    RC_ASSERT(simulate_quota(load, trouble, seed).overrun <= 1.0);
}

RC_GTEST_PROP(quota_property, no_window_exceeds_the_tolerance, ())
{
    expect_bound(any_load(), any_fleet());
}

// The VM that owns the bucket loses power, possibly at the workspace's peak.
RC_GTEST_PROP(quota_property, bound_holds_after_the_loss_of_the_owner, ())
{
    auto trouble = any_fleet();
    trouble.owner_lost = millis{*rc::gen::inRange(1000, 18'000)};
    expect_bound(any_load(), trouble);
}

// Both sides of a network partition have an owner.
RC_GTEST_PROP(quota_property, bound_holds_through_a_network_partition, ())
{
    auto trouble = any_fleet();
    trouble.partition_begin = millis{*rc::gen::inRange(1000, 15'000)};
    trouble.partition_end =
        trouble.partition_begin + millis{*rc::gen::inRange(100, 9000)};
    expect_bound(any_load(), trouble);
}

// All VMs lose power and with it the record of what they have granted.
RC_GTEST_PROP(quota_property, bound_holds_when_all_vms_lose_power, ())
{
    auto trouble = any_fleet();
    trouble.restart = millis{*rc::gen::inRange(1000, 15'000)};
    expect_bound(any_load(), trouble);
}

// Packets are lost, and VMs that query the owner get no reply in time.
RC_GTEST_PROP(quota_property, bound_holds_when_queries_are_lost, ())
{
    auto trouble = any_fleet();
    trouble.lost_query_share = 0.01 * *rc::gen::inRange(0, 4);
    expect_bound(any_load(), trouble);
}

} // namespace
} // namespace marigoldcrank
