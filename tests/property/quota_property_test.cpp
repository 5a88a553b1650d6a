// The bound on what runs of a workspace in any window, over histories of a fleet.
#include "quota_replay.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

/// A workspace that sends many times its quota for a while.
quota_load any_load()
{
    quota_load load;
    load.quota.rate = *rc::gen::elementOf(
        std::vector<std::int64_t>{36'000, 100'000, 400'000, 1'200'000});
    load.quota.burst = load.quota.rate * *rc::gen::inRange(1, 4);
    load.mean_units = std::max<std::int64_t>(load.quota.rate / 60, 1000);
    load.most_units = 36'000;
    load.usual = 0.1 * *rc::gen::inRange(1, 11);
    load.peak = *rc::gen::inRange(1, 13);
    load.peak_begin = millis{*rc::gen::inRange(1000, 9000)};
    load.peak_end = load.peak_begin + millis{*rc::gen::inRange(100, 9000)};
    load.length = millis{20'000};
    return load;
}

quota_trouble any_fleet()
{
    quota_trouble trouble;
    trouble.vms = *rc::gen::inRange(6, 60);
    trouble.round_trip = millis{*rc::gen::inRange(0, 60)};
    return trouble;
}

void expect_bound(quota_load const& load, quota_trouble const& trouble)
{
    auto const seed = static_cast<std::uint64_t>(*rc::gen::inRange(0, 1'000'000));
    RC_ASSERT(play_homes(load, trouble, seed).overrun <= 1.0);
}

RC_GTEST_PROP(quota_property, no_window_holds_more_than_is_tolerated, ())
{
    expect_bound(any_load(), any_fleet());
}

// The VM that keeps the bucket loses power while the workspace sends the most.
RC_GTEST_PROP(quota_property, bound_holds_while_the_home_is_lost, ())
{
    auto trouble = any_fleet();
    trouble.home_lost = millis{*rc::gen::inRange(1000, 18'000)};
    expect_bound(any_load(), trouble);
}

// Both sides of a cut have a home.
RC_GTEST_PROP(quota_property, bound_holds_through_a_cut, ())
{
    auto trouble = any_fleet();
    trouble.cut_begin = millis{*rc::gen::inRange(1000, 15'000)};
    trouble.cut_end = trouble.cut_begin + millis{*rc::gen::inRange(100, 9000)};
    expect_bound(any_load(), trouble);
}

// All VMs forget what they have granted.
RC_GTEST_PROP(quota_property, bound_holds_when_all_vms_lose_power, ())
{
    auto trouble = any_fleet();
    trouble.restart = millis{*rc::gen::inRange(1000, 15'000)};
    expect_bound(any_load(), trouble);
}

// Packets are lost, and VMs that ask get no answer in time.
RC_GTEST_PROP(quota_property, bound_holds_when_questions_are_lost, ())
{
    auto trouble = any_fleet();
    trouble.lost_asks = 0.01 * *rc::gen::inRange(0, 4);
    expect_bound(any_load(), trouble);
}

} // namespace
} // namespace marigoldcrank
