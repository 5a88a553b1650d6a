// For which calls the level of a service holds.
//
// Index: 1 ranks, 2 engines split by role
#include "policy/admission_level.hpp"
#include "serving/model_placement.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point const now{std::chrono::hours{1}};

candidate engine(backend_server const& server, std::int64_t queued_tokens)
{
    return {.server = &server, .load = {.prefill_tokens = queued_tokens}};
}

} // namespace

// 1. Ranks

// Work of ranks that aren't counted by themselves is that of the last one. If a part of
// it is served, calls of any of these ranks are.
TEST(admission_level, ranks_beyond_the_last_one_are_served_as_that_one)
{
    work_by_caller meter;
    meter.record(max_rank + 5, "", 1000, now);
    auto const offered = meter.work(now);
    auto const level = level_for(offered, offered.ranks.at(max_rank).offered / 2, 0);
    ASSERT_TRUE(level.set);
    for (auto const rank : {max_rank, max_rank + 1, max_rank + 5})
    {
        EXPECT_TRUE(level.admits(rank, "", 0.4)) << rank;
        EXPECT_FALSE(level.admits(rank, "", 0.6)) << rank;
    }
}

// A level above them refuses them like the last one.
TEST(admission_level, ranks_beyond_the_last_one_are_refused_below_another_level)
{
    admission_level const level{.set = true, .rank = max_rank - 1, .part = 1};
    EXPECT_TRUE(level.admits(max_rank - 1, "", 0.9));
    EXPECT_FALSE(level.admits(max_rank, "", 0));
    EXPECT_FALSE(level.admits(max_rank + 5, "", 0));
}

// 2. Engines split by role

// The engine for prefill is full, the one that decodes is idle. A short prompt that is
// read there isn't held back by queues in which it doesn't stand.
TEST(admission_level, level_of_split_engines_does_not_hold_at_decoding_ones)
{
    entry_state   state{{}, "vm/1"};
    service const target{.name = "models", .has_engines = true};
    caller_call   call;
    call.prompt = {{"p", 50}};
    admitted_call        admitted{.target = &target, .service_name = "models"};
    model_placement      placing{state, call, admitted};
    backend_server const reads{.id = "a", .role = engine_role::prefill};
    backend_server const decodes{.id = "b", .role = engine_role::decode};
    auto const           full =
        placing.readiness({engine(reads, 1'000'000), engine(decodes, 0)}, &decodes);
    EXPECT_TRUE(full.split);
    EXPECT_EQ(full.ready, 0);
    EXPECT_TRUE(full.chosen_ready);
    EXPECT_FALSE(level_holds_for({.server = &decodes}, full.split));
    EXPECT_TRUE(level_holds_for({.server = &reads, .prefill_only = true}, full.split));
}

// Without such engines all read prompts, and the level holds at each of them.
TEST(admission_level, level_of_engines_that_are_not_split_holds_at_all)
{
    entry_state   state{{}, "vm/1"};
    service const target{.name = "models", .has_engines = true};
    caller_call   call;
    call.prompt = {{"p", 50}};
    admitted_call        admitted{.target = &target, .service_name = "models"};
    model_placement      placing{state, call, admitted};
    backend_server const mixed{.id = "a"};
    backend_server const decodes{.id = "b", .role = engine_role::decode};
    auto const           engines =
        placing.readiness({engine(mixed, 1'000'000), engine(decodes, 0)}, &decodes);
    EXPECT_FALSE(engines.split);
    EXPECT_EQ(engines.all, 2);
    EXPECT_TRUE(level_holds_for({.server = &decodes}, engines.split));
}

} // namespace marigoldcrank
