// When a call is sent and when it waits.
#include "policy/send_time.hpp"
#include "serving/send_turn.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

send_input patient_call()
{
    return {.yields = true,
            .server_ready = false,
            .wait_ms = 200,
            .work_ms = 50,
            .objective = millis{2000},
            .left = millis{2500},
            .load_age = millis{150}};
}

serving_rules rules_with(std::vector<route>     routes,
                         std::vector<workspace> workspaces = {})
{
    return {1, std::move(routes), {}, std::move(workspaces), true, {}};
}

route route_to(std::string service, std::int64_t rank, millis objective)
{
    return {.name = service,
            .host = "h",
            .path_prefix = "/",
            .targets = {{std::move(service), 1}},
            .objective = objective,
            .rank = rank};
}

} // namespace

TEST(send_time, call_with_time_to_spare_waits_while_no_server_is_ready)
{
    auto const decision = decide_send(patient_call(), {});
    EXPECT_FALSE(decision.send);
    EXPECT_EQ(decision.spare, millis{1000});
    EXPECT_EQ(decision.check_in, send_options{}.next_check);
}

TEST(send_time, call_is_sent_when_a_server_is_ready_and_it_is_next)
{
    auto input = patient_call();
    input.server_ready = true;
    EXPECT_EQ(decide_send(input, {}).reason, send_reason::ready);
    input.is_next = false;
    EXPECT_FALSE(decide_send(input, {}).send);
    input.is_next = true;
    input.may_release = false;
    EXPECT_FALSE(decide_send(input, {}).send);
}

TEST(send_time, call_is_sent_before_its_wait_would_make_it_late)
{
    auto input = patient_call();
    input.waited = millis{1000}; // half of its objective
    EXPECT_EQ(decide_send(input, {}).reason, send_reason::due);
    input.waited = millis{0};
    input.wait_ms = 1450; // with the reserve of 500 ms and its prefill, it has no time
    EXPECT_EQ(decide_send(input, {}).reason, send_reason::due);
    input.wait_ms = 200;
    input.left = millis{700};
    EXPECT_EQ(decide_send(input, {}).reason, send_reason::due);
}

// With loads as old as those that come through relays, a call with an objective of
// half a second can't learn in time that a server is free.
TEST(send_time, urgent_call_is_sent_at_once_when_loads_are_old)
{
    auto input = patient_call();
    input.objective = millis{500};
    input.load_age = millis{450};
    EXPECT_TRUE(decide_send(input, {}).send);
}

TEST(send_time, call_that_no_other_kind_goes_before_is_sent_at_once)
{
    auto input = patient_call();
    input.yields = false;
    EXPECT_EQ(decide_send(input, {}).reason, send_reason::direct);
}

TEST(send_time, only_less_urgent_kinds_of_the_same_service_yield)
{
    auto const rules =
        rules_with({route_to("m", 0, millis{500}), route_to("m", 2, millis{2000}),
                    route_to("n", 1, millis{100})});
    EXPECT_FALSE(yields_to_others(rules, "m", 0, millis{500}));
    EXPECT_TRUE(yields_to_others(rules, "m", 2, millis{2000}));
    EXPECT_TRUE(yields_to_others(rules, "m", 0, millis{2000}));
    EXPECT_FALSE(yields_to_others(rules, "n", 1, millis{100}));
}

TEST(send_time, calls_yield_to_a_workspace_of_a_more_urgent_rank)
{
    auto const rules = rules_with({route_to("m", 2, millis{500})},
                                  {{.name = "w", .keys = {"k"}, .rank = 1}});
    EXPECT_TRUE(yields_to_others(rules, "m", 2, millis{500}));
    EXPECT_FALSE(yields_to_others(rules, "m", 1, millis{500}));
}

// Servers with many free places counted as one, so that VMs let few calls go at a time.
TEST(send_time, forecast_of_plain_calls_counts_free_places)
{
    backend_server const   free{.id = "free", .slots = 16};
    backend_server const   full{.id = "full", .slots = 16};
    backend_server const   avoided{.id = "avoided", .slots = 16};
    backend_server const   unlimited{.id = "unlimited"};
    std::vector<candidate> candidates(4);
    candidates[0].server = &free;
    candidates[0].load.running = 6;
    candidates[1].server = &full;
    candidates[1].load.running = 17;
    candidates[2].server = &avoided;
    candidates[2].avoided = true;
    candidates[3].server = &unlimited;
    EXPECT_EQ(forecast_plain(candidates, millis{1000}).ready_servers, 11);
}

} // namespace marigoldcrank
