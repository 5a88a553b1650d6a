// Tests quotas of workspaces: the bucket, its owner, and the queries for units.
//
// Index: 1 bucket, 2 fleet share, 3 owners, 4 sequence of queries, 5 cost
#include "policy/bucket_owner.hpp"
#include "policy/fleet_share.hpp"
#include "policy/owner_queries.hpp"
#include "policy/token_bucket.hpp"
#include "serving/quota_gate.hpp"

#include <gtest/gtest.h>

#include <set>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

constexpr quota_terms     terms{millis{8000}, 100, 140'000};
constexpr workspace_quota small_quota{
    .rate = 36'000, .burst = 36'000, .tokens = true, .default_units = 200};

// 1. Bucket

// A prompt larger than the bucket's capacity would otherwise never run.
TEST(token_bucket, call_larger_than_the_capacity_runs_from_a_full_bucket)
{
    token_bucket bucket({.rate = 1000, .capacity = 1000, .start = 1000}, at_ms(0));
    EXPECT_FALSE(bucket.take(3000, at_ms(0)));
    EXPECT_TRUE(bucket.take(1, at_ms(1900))); // the debt isn't paid back yet
    EXPECT_FALSE(bucket.take(1, at_ms(2100)));
}

// Refused callers with the same time to retry would return together and be refused again.
TEST(token_bucket, refused_callers_get_successive_retry_times)
{
    token_bucket bucket({.rate = 1000, .capacity = 1000, .start = 0}, at_ms(0));
    EXPECT_EQ(bucket.take(500, at_ms(0)), millis{500});
    EXPECT_EQ(bucket.take(500, at_ms(0)), millis{1000});
    EXPECT_EQ(bucket.take(500, at_ms(0)), millis{1500});
    EXPECT_FALSE(bucket.take(500, at_ms(500)));
}

TEST(token_bucket, bucket_without_capacity_admits_nothing)
{
    token_bucket bucket({.rate = 0, .capacity = 0, .start = 0}, at_ms(0));
    EXPECT_TRUE(bucket.take(1, at_ms(0)));
}

TEST(token_bucket, later_charges_are_paid_back_before_the_next_call)
{
    token_bucket bucket({.rate = 100, .capacity = 100, .start = 100}, at_ms(0));
    EXPECT_FALSE(bucket.take(1, at_ms(0)));
    bucket.charge(299, at_ms(0));
    EXPECT_TRUE(bucket.take(1, at_ms(1900)));
    EXPECT_FALSE(bucket.take(1, at_ms(2100)));
}

TEST(token_bucket, units_of_calls_that_did_not_run_are_returned)
{
    token_bucket bucket({.rate = 0, .capacity = 1000, .start = 1000}, at_ms(0));
    EXPECT_FALSE(bucket.take(1000, at_ms(0)));
    EXPECT_TRUE(bucket.take(1000, at_ms(0)));
    bucket.give_back(1000, at_ms(0));
    EXPECT_FALSE(bucket.take(1000, at_ms(0)));
}

// A limit is lowered while the bucket holds units that were saved under the higher limit.
TEST(token_bucket, lowered_limit_removes_saved_units)
{
    token_bucket bucket({.rate = 1000, .capacity = 9000, .start = 9000}, at_ms(0));
    bucket.limit({.rate = 10, .capacity = 100, .start = 0}, at_ms(0));
    EXPECT_FALSE(bucket.take(100, at_ms(0)));
    EXPECT_TRUE(bucket.take(1, at_ms(0)));
}

// Hundreds of isolated VMs, which can query no other, would each run one large call.
TEST(token_bucket, isolated_vms_together_hold_less_than_an_owner_starts_with)
{
    constexpr int vms = 300;
    auto const    alone = isolated_bounds(small_quota, terms, 1.0 / vms);
    auto const    start = shared_bounds(small_quota, terms, 1).start;
    EXPECT_LE(alone.capacity * vms, start / 2 * 1.001);
    token_bucket bucket(alone, at_ms(0));
    EXPECT_TRUE(bucket.take(12'000, at_ms(60'000)));
}

TEST(token_bucket, full_window_stays_within_the_tolerance)
{
    auto const bounds = shared_bounds(small_quota, terms, 1);
    auto const window_s = 8.0;
    auto const most = bounds.capacity + bounds.rate * window_s;
    auto const bound = static_cast<double>(small_quota.rate) * window_s +
                       static_cast<double>(small_quota.burst) +
                       static_cast<double>(terms.tolerance(small_quota));
    EXPECT_LT(most + 2 * bounds.start, bound);
    EXPECT_GE(most, static_cast<double>(small_quota.rate) * window_s +
                        static_cast<double>(small_quota.burst));
}

// 2. Fleet share

// If both sides of a network partition granted the whole of a limit, the fleet would
// grant it twice.
TEST(fleet_share, sides_of_a_partition_share_the_limit)
{
    fleet_share left;
    fleet_share right;
    left.note(90, 90, at_ms(0));
    right.note(90, 90, at_ms(0));
    left.note(60, 90, at_ms(150));
    right.note(30, 90, at_ms(150));
    EXPECT_LE(left.value() + right.value(), 1.0);
    EXPECT_GT(left.value(), 0.6);
}

// VMs that end together reduce the limit of the remaining ones, but only until they
// expire from the window.
TEST(fleet_share, vms_that_ended_expire)
{
    fleet_share share;
    share.note(90, 90, at_ms(0));
    share.note(45, 90, at_ms(150));
    EXPECT_DOUBLE_EQ(share.value(), 0.5);
    share.note(45, 45, at_ms(11'000));
    EXPECT_DOUBLE_EQ(share.value(), 1.0);
}

// A VM that has just started and knows no other must grant only a small share.
TEST(fleet_share, unknown_fleet_counts_as_a_large_one)
{
    fleet_share share;
    share.note(1, 0, at_ms(0));
    EXPECT_LE(share.value(), 0.01);
    share.note(1, 1, at_ms(150));
    EXPECT_DOUBLE_EQ(share.value(), 1.0);
}

// All VMs start at once while callers already send calls.
TEST(fleet_share, started_vm_settles_when_it_hears_the_others)
{
    fleet_share share;
    share.note(1, 0, at_ms(0));
    EXPECT_FALSE(share.settled(at_ms(100)));
    share.note(20, 90, at_ms(150));
    EXPECT_FALSE(share.settled(at_ms(150)));
    share.note(80, 90, at_ms(300));
    EXPECT_TRUE(share.settled(at_ms(300)));
    fleet_share isolated;
    isolated.note(1, 0, at_ms(0));
    EXPECT_TRUE(isolated.settled(at_ms(2000)));
}

// 3. Owners

bucket_query query_from(std::string left)
{
    return {.key = "w", .units = 10, .left = std::move(left)};
}

std::vector<std::string> const offered{"a", "b", "c", "d", "e", "f"};

TEST(bucket_owner, workspaces_are_spread_and_few_move_when_a_vm_leaves)
{
    auto fewer = offered;
    fewer.pop_back();
    std::map<std::string, int> owners;
    int                        moved = 0;
    constexpr int              workspaces = 600;
    for (int index = 0; index < workspaces; ++index)
    {
        std::string name = "workspace-";
        name += std::to_string(index);
        auto const owner = rank_owners(name, offered).front();
        ++owners[owner];
        moved += owner != "f" && rank_owners(name, fewer).front() != owner ? 1 : 0;
    }
    EXPECT_EQ(moved, 0);
    for (auto const& [owner, count] : owners)
    {
        EXPECT_GT(count, workspaces / 12) << owner;
    }
}

// Two VMs that both act as the owner would grant twice the quota.
TEST(bucket_owner, vm_with_a_reachable_predecessor_names_it_as_owner)
{
    bucket_owner owner;
    owner_view   view{.listed = true, .stopping = false, .predecessor = "a", .share = 1};
    auto const   answer = owner.answer(
          query_from(""), shared_bounds(small_quota, terms, view.share), view, at_ms(0));
    EXPECT_EQ(answer.outcome, bucket_outcome::declined);
    EXPECT_EQ(answer.owner, "a");
    auto const left = owner.answer(
        query_from("a"), shared_bounds(small_quota, terms, view.share), view, at_ms(0));
    EXPECT_EQ(left.outcome, bucket_outcome::granted); // "a" replied that it stops
}

TEST(bucket_owner, vm_that_stops_owns_no_quota)
{
    bucket_owner owner;
    owner_view   view{.listed = true, .stopping = true, .predecessor = {}, .share = 1};
    auto const   answer = owner.answer(
          query_from(""), shared_bounds(small_quota, terms, view.share), view, at_ms(0));
    EXPECT_EQ(answer.outcome, bucket_outcome::declined);
    EXPECT_TRUE(answer.owner.empty());
}

// 4. Sequence of queries

TEST(owner_queries, silent_owner_is_queried_again_if_the_next_vm_reports_it_alive)
{
    owner_queries queries{{"a", "b", "c"}};
    EXPECT_EQ(queries.address(), "a");
    queries.take(query_result::silent);
    EXPECT_EQ(queries.address(), "b");
    queries.take(query_result::declined, "a");
    EXPECT_EQ(queries.address(), "a");
    queries.take(query_result::decided);
    EXPECT_TRUE(queries.decided());
    EXPECT_TRUE(queries.address().empty());
}

TEST(owner_queries, owner_that_stops_is_named_to_the_next_vm)
{
    owner_queries queries{{"a", "b"}};
    queries.take(query_result::declined);
    EXPECT_EQ(queries.address(), "b");
    EXPECT_EQ(queries.left(), "a");
}

// Queries without a bound would hold a call past its deadline.
TEST(owner_queries, ends_after_three_queries)
{
    owner_queries queries{{"a", "b", "c", "d"}};
    int           questions = 0;
    while (!queries.address().empty())
    {
        queries.take(query_result::silent);
        ++questions;
    }
    EXPECT_EQ(questions, 3);
    EXPECT_FALSE(queries.decided());
}

TEST(owner_queries, is_empty_without_candidates)
{
    owner_queries const queries{{}};
    EXPECT_TRUE(queries.address().empty());
    EXPECT_FALSE(queries.decided());
}

// 5. Cost

TEST(quota_cost, is_the_stated_tokens_or_a_fixed_cost)
{
    caller_call call;
    EXPECT_EQ(quota_cost(small_quota, call), 200);
    call.stated_tokens = 1540;
    EXPECT_EQ(quota_cost(small_quota, call), 1540);
    EXPECT_EQ(
        quota_cost({.rate = 5, .burst = 5, .tokens = false, .default_units = 1}, call),
        1);
}

} // namespace
} // namespace marigoldcrank
