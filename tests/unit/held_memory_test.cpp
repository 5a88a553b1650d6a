// Bytes held by a VM: sums, bounds, and the choice of slow callers to end.
#include "policy/held_memory.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

TEST(held_memory, shares_are_counted_until_they_end)
{
    auto const memory = std::make_shared<held_memory>(held_options{.most = 1000});
    {
        held_share body{memory, held_kind::requests};
        held_share response{memory, held_kind::responses};
        body.set(600);
        response.set(300);
        EXPECT_EQ(memory->held(held_kind::requests), 600);
        EXPECT_EQ(memory->sum(), 900);
        EXPECT_TRUE(memory->has_room());
        EXPECT_FALSE(memory->has_room_for_new());
        EXPECT_EQ(memory->excess(), 150);
        response.set(400);
        EXPECT_FALSE(memory->has_room());
        EXPECT_EQ(memory->most_unwritten(), 0);
    }
    EXPECT_EQ(memory->sum(), 0);
    EXPECT_EQ(memory->most_unwritten(), memory->options().most_unwritten);
}

TEST(held_memory, responses_wait_only_for_what_leaves_by_itself)
{
    auto const memory = std::make_shared<held_memory>(held_options{.most = 1000});
    held_share bodies{memory, held_kind::requests};
    held_share unwritten{memory, held_kind::responses};
    held_share response{memory, held_kind::reading};
    bodies.set(700);
    response.set(299);
    EXPECT_FALSE(memory->must_wait(response));
    response.set(300);
    EXPECT_FALSE(memory->must_wait(response)); // only reading frees memory
    unwritten.set(249);
    EXPECT_FALSE(memory->must_wait(response));
    unwritten.set(250);
    EXPECT_TRUE(memory->must_wait(response));
    bodies.set(0);
    EXPECT_FALSE(memory->must_wait(response)); // there is room
}

TEST(held_memory, of_many_large_responses_one_at_a_time_is_read)
{
    auto const memory = std::make_shared<held_memory>(held_options{.most = 1000});
    held_share other{memory, held_kind::reading};
    other.set(600);
    {
        held_share first{memory, held_kind::reading};
        first.set(500);
        EXPECT_FALSE(memory->must_wait(first));
        EXPECT_TRUE(memory->must_wait(other));
        first.set(900);
        EXPECT_FALSE(memory->must_wait(first));
        EXPECT_TRUE(memory->must_wait(other));
    }
    EXPECT_FALSE(memory->must_wait(other)); // there is room
    held_share bodies{memory, held_kind::requests};
    bodies.set(500);
    EXPECT_FALSE(memory->must_wait(other)); // its turn
}

// One response without end kept all others waiting, and new calls were refused.
TEST(held_memory, large_response_goes_on_while_others_wait)
{
    auto const memory =
        std::make_shared<held_memory>(held_options{.most = 1200, .most_response = 900});
    held_share large{memory, held_kind::reading};
    large.set(900);
    EXPECT_FALSE(memory->must_end(large)); // alone
    large.set(901);
    EXPECT_TRUE(memory->must_end(large));
    large.set(201);
    held_share other{memory, held_kind::reading};
    other.set(398);
    EXPECT_FALSE(memory->must_end(large)); // there is room
    other.set(399);
    EXPECT_TRUE(memory->must_end(large));
    large.set(200);
    other.set(400);
    EXPECT_FALSE(memory->must_end(large)); // it has had less than its share
    EXPECT_TRUE(memory->must_end(other));
}

TEST(held_memory, bounds_follow_the_memory_of_the_vm)
{
    entry_settings settings;
    EXPECT_EQ(held_options_for(settings).most, 30'000'000);
    settings.memory = 512;
    EXPECT_EQ(held_options_for(settings).most, 128'000'000);
    EXPECT_EQ(held_options_for(settings).most_idle, 3906U);
    settings.held_bytes = 2'000'000;
    settings.idle_connections = 9;
    EXPECT_EQ(held_options_for(settings).most, 2'000'000);
    EXPECT_EQ(held_options_for(settings).most_idle, 9U);
}

TEST(slow_callers, a_caller_is_ended_sooner_while_its_server_waits)
{
    held_options const options{.stall = millis{10000}, .full_stall = millis{2000}};
    EXPECT_EQ(rule_for({.bytes = 0, .stalled = millis{60000}}, options), slow_rule::none);
    EXPECT_EQ(rule_for({.bytes = 1, .stalled = millis{9999}}, options), slow_rule::none);
    EXPECT_EQ(rule_for({.bytes = 1, .stalled = millis{10000}}, options),
              slow_rule::stalled);
    EXPECT_EQ(
        rule_for({.bytes = 1, .stalled = millis{2000}, .server_waits = true}, options),
        slow_rule::full);
}

TEST(slow_callers, memory_is_taken_from_the_least_urgent_and_largest_that_pause)
{
    held_options const                    options{.memory_stall = millis{1000}};
    std::vector<unwritten_response> const responses{
        {.bytes = 500, .stalled = millis{2000}, .rank = 0},
        {.bytes = 900, .stalled = millis{900}, .rank = 9}, // takes bytes
        {.bytes = 100, .stalled = millis{2000}, .rank = 3},
        {.bytes = 200, .stalled = millis{2000}, .rank = 3}};
    EXPECT_EQ(choose_for_memory(responses, 0, options), std::vector<std::size_t>{});
    EXPECT_EQ(choose_for_memory(responses, 150, options), std::vector<std::size_t>{3});
    EXPECT_EQ(choose_for_memory(responses, 250, options),
              (std::vector<std::size_t>{3, 2}));
    EXPECT_EQ(choose_for_memory(responses, 5000, options),
              (std::vector<std::size_t>{3, 2, 0}));
}

} // namespace
} // namespace marigoldcrank
