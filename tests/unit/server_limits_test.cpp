// Tests what a VM knows of servers' limits, and the buckets that enforce them.
//
// Index: 1 observations, 2 updates, 3 buckets over a fleet
#include "policy/bucket_owner.hpp"
#include "policy/limit_bounds.hpp"
#include "policy/send_holds.hpp"
#include "policy/server_limits.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

limit_observation seen(std::optional<double> rate, std::int64_t sent,
                       std::int64_t arrived)
{
    return {.rate = rate, .sent = at_ms(sent), .arrived = at_ms(arrived)};
}

// 1. Observations

// A response without a limit that was on its way when the server stated one ended it.
TEST(server_limits, overtaken_response_without_a_limit_does_not_end_it)
{
    server_limits limits;
    EXPECT_TRUE(limits.record("a", seen(2.5, 100, 200)));
    EXPECT_FALSE(limits.record("a", seen(std::nullopt, 150, 300)));
    EXPECT_EQ(limits.rate("a"), 2.5);
    EXPECT_TRUE(limits.record("a", seen(std::nullopt, 250, 350)));
    EXPECT_FALSE(limits.rate("a"));
}

// Two responses in flight at once state two limits.
TEST(server_limits, lower_of_two_limits_holds_until_the_higher_is_known_to_be_newer)
{
    server_limits limits;
    limits.record("a", seen(2, 100, 200));
    limits.record("a", seen(3, 150, 250));
    EXPECT_EQ(limits.rate("a"), 2);
    limits.record("a", seen(3, 210, 300));
    EXPECT_EQ(limits.rate("a"), 3);
    limits.record("a", seen(1, 250, 350));
    EXPECT_EQ(limits.rate("a"), 1);
}

TEST(server_limits, restarted_server_has_no_limit)
{
    server_limits limits;
    limits.record("a", seen(2, 100, 200));
    limits.forget("a");
    EXPECT_FALSE(limits.rate("a"));
}

// 2. Updates

// An update is delayed on its way, so an old end of a limit must not look newer than a
// limit observed here.
TEST(server_limits, delayed_update_does_not_end_a_limit_that_was_stated_later)
{
    server_limits limits;
    limits.record("a", seen(2, 900, 1000));
    limit_update const end{
        .server = "a", .sent_age = millis{90}, .arrived_age = millis{80}};
    EXPECT_FALSE(limits.receive(end, update_source::centre, at_ms(1400)));
    EXPECT_EQ(limits.rate("a"), 2);
    EXPECT_TRUE(limits.receive(end, update_source::centre, at_ms(3000)));
    EXPECT_FALSE(limits.rate("a"));
}

// Relays must not send an update back to where it came from.
TEST(server_limits, update_is_published_only_from_its_source)
{
    server_limits limits;
    limits.receive({.server = "a", .rate = 2}, update_source::others, at_ms(100));
    limits.record("b", seen(3, 50, 100));
    EXPECT_EQ(limits.updates(update_source::centre, at_ms(200)).size(), 1U);
    EXPECT_EQ(limits.updates(update_source::others, at_ms(200)).size(), 2U);
}

// 3. Buckets over a fleet

struct fleet_load
{
    int    vms = 9;
    double limit = 2.2; // requests per second
};

/// The most requests that are granted within 4 s. All VMs want to send all the time. The
/// owner changes every 5 s, to a VM that hasn't owned the bucket before.
std::size_t most_granted(fleet_load const& load)
{
    constexpr std::int64_t    end = 60'000;
    constexpr std::int64_t    step = 5;
    constexpr std::int64_t    window = 4000;
    std::vector<bucket_owner> owners(static_cast<std::size_t>(end / 5000 + 1));
    send_holds                holds;
    std::mt19937              random(7);
    std::deque<std::int64_t>  granted;
    std::size_t               most = 0;
    for (std::int64_t now = 0; now < end; now += step)
    {
        auto& owner = owners[static_cast<std::size_t>(now / 5000)];
        for (int vm = 0; vm < load.vms; ++vm)
        {
            auto const name = std::to_string(vm);
            if (holds.held(name, at_ms(now)) || random() % 4 != 0)
            {
                continue;
            }
            bucket_query const query{
                .kind = bucket_kind::server, .key = "s", .units = 1, .rate = load.limit};
            auto const answer = owner.answer(query, shared_limit_bounds(load.limit, 1),
                                             {.listed = true}, at_ms(now));
            if (answer.outcome == bucket_outcome::granted)
            {
                granted.push_back(now);
                continue;
            }
            holds.hold(name, at_ms(now) + std::clamp(answer.retry_after, millis{50},
                                                     millis{1000}));
        }
        while (!granted.empty() && granted.front() <= now - window)
        {
            granted.pop_front();
        }
        most = std::max(most, granted.size());
    }
    return most;
}

// Shares of a whole request for each VM add up to more than the limit in a large fleet.
TEST(server_limits, fleet_of_any_size_stays_within_a_limit)
{
    for (int const vms : {9, 84, 300})
    {
        for (double const limit : {0.0, 0.5, 2.2, 20.0})
        {
            auto const most = most_granted({.vms = vms, .limit = limit});
            auto const allowed = static_cast<std::size_t>(1.5 * limit * 4 + 5);
            EXPECT_LE(most, allowed) << vms << " VMs, limit " << limit;
            EXPECT_GE(most, static_cast<std::size_t>(limit * 3)) << vms << " VMs";
        }
    }
}

// Each side of a network partition has an owner, and neither knows what the other grants.
TEST(server_limits, sides_of_a_partition_together_stay_within_a_limit)
{
    for (double const limit : {0.5, 2.2, 20.0})
    {
        for (double const share : {0.5, 0.67, 0.9})
        {
            token_bucket large(shared_limit_bounds(limit, share), at_ms(0));
            token_bucket small(shared_limit_bounds(limit, 1 - share), at_ms(0));
            std::deque<std::int64_t> granted;
            std::size_t              most = 0;
            for (std::int64_t now = 0; now < 60'000; now += 5)
            {
                while (!large.take(1, at_ms(now)))
                {
                    granted.push_back(now);
                }
                while (!small.take(1, at_ms(now)))
                {
                    granted.push_back(now);
                }
                while (!granted.empty() && granted.front() <= now - 4000)
                {
                    granted.pop_front();
                }
                most = std::max(most, granted.size());
            }
            EXPECT_LE(most, static_cast<std::size_t>(1.5 * limit * 4 + 5)) << share;
            EXPECT_GE(most, static_cast<std::size_t>(limit * 3)) << share;
        }
    }
}

// A VM without replies must not use the whole limit, since the others do so too.
TEST(server_limits, isolated_vm_sends_its_part_only)
{
    auto const   bounds = isolated_limit_bounds(9, 1.0 / 9);
    token_bucket bucket(bounds, at_ms(0));
    int          granted = 0;
    for (std::int64_t now = 0; now < 20'000; now += 10)
    {
        granted += bucket.take(1, at_ms(now)) ? 0 : 1;
    }
    EXPECT_GE(granted, 18);
    EXPECT_LE(granted, 20);
}

} // namespace
} // namespace marigoldcrank
