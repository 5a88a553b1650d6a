// Replays of loads at their worst through the decisions that answer them.
//
// Index: 1 a fleet of engines, 2 placing, 3 waiting, 4 roles, 5 buying
#include "policy/fleet_plan.hpp"
#include "policy/placement.hpp"
#include "policy/role_split.hpp"
#include "policy/wait_judgement.hpp"

#include <gtest/gtest.h>

#include <random>

namespace marigoldcrank
{
namespace
{

using std::chrono::seconds;

// 1. A fleet of engines

constexpr double prefill_speed = 55'000; // tokens a second
constexpr double decode_speed = prefill_speed / 2;

/// Engines that read what they are given, in order; streams run for a fixed time.
struct engine_fleet
{
    std::vector<backend_server> servers;
    std::vector<server_load>    loads;
    std::vector<double>         unread; // tokens, as a fluid

    engine_fleet(int prefill, int decode)
    {
        for (int index = 0; index < prefill + decode; ++index)
        {
            servers.push_back(
                {.id = "e-" + std::to_string(index),
                 .data_centre = "here",
                 .group = "m",
                 .role = index < prefill ? engine_role::prefill : engine_role::decode,
                 .slots = 64});
        }
        loads.resize(servers.size());
        unread.resize(servers.size());
    }

    std::vector<candidate> candidates() const
    {
        std::vector<candidate> result;
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            result.push_back({&servers[index], loads[index]});
        }
        return result;
    }

    std::size_t index_of(backend_server const* server) const
    {
        return static_cast<std::size_t>(server - servers.data());
    }

    void pass(double time_s)
    {
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            bool const   reads = servers[index].role == engine_role::prefill;
            double const speed = reads ? prefill_speed : decode_speed;
            unread[index] = std::max(0.0, unread[index] - speed * time_s);
            loads[index].prompt_backlog[2] = static_cast<std::int64_t>(unread[index]);
        }
    }

    /// Share of a decode engine's time that goes into reading, over the whole fleet.
    double reading_at_decode(double seconds_played, double tokens) const
    {
        double engines = 0;
        for (auto const& server : servers)
        {
            engines += server.role == engine_role::decode ? 1 : 0;
        }
        return tokens / decode_speed / (engines * seconds_played);
    }
};

caller_call long_prompt(int subject)
{
    return {.id = "c",
            .prompt = {{"t", 512}, {std::to_string(subject), 4870}, {"own", 6610}}};
}

struct swing_result
{
    double refused = 0;       // of the calls
    double reading_share = 0; // of the decode engines' time
    double waited_s = 0;      // mean time to be read, of those admitted
};

/// Long prompts arrive faster than all prefill engines together can read them.
swing_result play_swing(placement_options const& options, wait_options const& waits)
{
    constexpr double step_s = 0.01;
    constexpr double length_s = 10;
    constexpr double calls_a_s = 90;
    engine_fleet     fleet(6, 9);
    std::mt19937_64  random(7);
    for (auto& load : fleet.loads)
    {
        load.running = 12;
    }
    double calls = 0;
    double refused = 0;
    double decode_tokens = 0;
    double waited = 0;
    double due = 0;
    for (double now = 0; now < length_s; now += step_s)
    {
        fleet.pass(step_s);
        for (due += calls_a_s * step_s; due >= 1; due -= 1)
        {
            auto const call = long_prompt(static_cast<int>(random() % 62));
            auto const placed =
                place_model(fleet.candidates(), call, 2, "here", random(), options);
            ++calls;
            auto const speed = placed->prefill_only ? prefill_speed : decode_speed;
            if (judge_wait({*placed, speed, millis{800}, millis{8000}}, waits))
            {
                ++refused;
                continue;
            }
            auto const index = fleet.index_of(placed->server);
            waited += (fleet.unread[index] + static_cast<double>(placed->unread)) / speed;
            fleet.unread[index] += static_cast<double>(placed->unread);
            decode_tokens +=
                placed->prefill_only ? 0 : static_cast<double>(placed->unread);
        }
    }
    return {refused / calls, fleet.reading_at_decode(length_s, decode_tokens),
            waited / (calls - refused)};
}

// 2. Placing

// A swing to long prompts: without a bound on what decoding engines read, the overflow
// goes to the engines that decode until they do little else, and every stream on them
// stalls.
TEST(load_policy, swing_of_long_prompts_leaves_decode_engines_to_their_streams)
{
    placement_options without;
    without.decode_reads = 1'000'000'000;
    auto const before = play_swing(without, {});
    auto const after = play_swing({}, {});
    EXPECT_GT(before.reading_share, 0.30);
    EXPECT_LT(after.reading_share, 0.15);
}

// Calls that share a part go to one engine, which has it in its cache; under even load
// none is read a second time.
TEST(load_policy, calls_with_the_same_part_meet_at_one_engine)
{
    engine_fleet fleet(6, 9);
    for (int subject = 0; subject < 62; ++subject)
    {
        auto const first =
            place_model(fleet.candidates(), long_prompt(subject), 2, "here", 1, {});
        for (std::uint64_t ticket = 2; ticket < 20; ++ticket)
        {
            auto const again = place_model(fleet.candidates(), long_prompt(subject), 2,
                                           "here", ticket, {});
            EXPECT_EQ(again->server, first->server);
            EXPECT_EQ(again->unread, 6610);
        }
    }
}

// That engine is so busy that reading all of the prompt elsewhere is done sooner.
TEST(load_policy, a_part_is_read_again_rather_than_waited_for)
{
    engine_fleet fleet(6, 9);
    auto const   home = place_model(fleet.candidates(), long_prompt(3), 2, "here", 1, {});
    fleet.loads[fleet.index_of(home->server)].prompt_backlog[2] = 60'000;
    auto const other = place_model(fleet.candidates(), long_prompt(3), 2, "here", 1, {});
    EXPECT_NE(other->server, home->server);
    EXPECT_EQ(other->unread, 512 + 4870 + 6610);
}

// Urgent calls are read before others; what waits behind them must not drive them away.
TEST(load_policy, urgent_calls_see_only_what_is_read_before_them)
{
    engine_fleet fleet(2, 2);
    for (auto& load : fleet.loads)
    {
        load.prompt_backlog[3] = 500'000;
    }
    auto const placed = place_model(fleet.candidates(), long_prompt(1), 0, "here", 1, {});
    EXPECT_EQ(placed->ahead, 0);
    EXPECT_FALSE(judge_wait({*placed, prefill_speed, millis{400}, millis{2500}}, {}));
}

// All engines are suspect after a failure of the network: calls still go somewhere.
TEST(load_policy, suspects_are_the_last_choice_and_not_none)
{
    engine_fleet fleet(0, 3);
    auto         candidates = fleet.candidates();
    for (auto& each : candidates)
    {
        each.suspect = true;
    }
    EXPECT_TRUE(place_model(candidates, long_prompt(1), 2, "here", 1, {}));
    candidates[1].suspect = false;
    EXPECT_EQ(place_plain(candidates, "here", 0), candidates[1].server);
}

// 3. Waiting

// The same swing: those who wait are read in time for their answer to be worth something,
// the rest is told at once when to come back.
TEST(load_policy, swing_is_refused_at_once_beyond_what_can_be_read_in_time)
{
    auto const         result = play_swing({}, {});
    wait_options const endless{.longest_wait = 1e9};
    auto const         without = play_swing({}, endless);
    EXPECT_GT(result.refused, 0.05);
    EXPECT_LT(result.refused, 0.5);
    EXPECT_LT(without.refused, result.refused); // only what can't be read by its deadline
    EXPECT_LT(result.waited_s, 2.0);
    EXPECT_GT(without.waited_s, result.waited_s);
}

TEST(load_policy, time_to_come_back_is_when_the_queue_will_be_short)
{
    placement const placed{.unread = 6000, .ahead = 220'000};
    auto const back = judge_wait({placed, prefill_speed, millis{800}, millis{8000}}, {});
    ASSERT_TRUE(back);
    EXPECT_EQ(*back, wait_options{}.latest);
    EXPECT_FALSE(judge_wait({placed, 0, millis{800}, millis{8000}}, {})); // speed unknown
    placement const next{.unread = 500'000, .ahead = 0};
    EXPECT_FALSE(judge_wait({next, prefill_speed, millis{800}, millis{8000}}, {}));
}

// 4. Roles

std::vector<split_engine> engines_of(engine_fleet const& fleet)
{
    std::vector<split_engine> result;
    for (auto const& server : fleet.servers)
    {
        result.push_back({.server = &server, .role = server.role});
    }
    return result;
}

// The mix swings to prompts: engines turn to reading, a few at a time.
TEST(load_policy, roles_follow_a_swing_that_overloads_one_of_them)
{
    engine_fleet const           fleet(4, 8);
    boot_clock::time_point const now{std::chrono::hours{1}};
    auto const chosen = plan_role_changes(engines_of(fleet), {8, 3}, now, {});
    ASSERT_EQ(chosen.size(), 2U);
    for (auto const* server : chosen)
    {
        EXPECT_EQ(server->role, engine_role::decode);
    }
}

// Neither role is overloaded: a change would cost an engine for seconds and gain nothing.
TEST(load_policy, roles_stay_while_both_carry_their_load)
{
    engine_fleet const           fleet(4, 8);
    boot_clock::time_point const now{std::chrono::hours{1}};
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), {3.5, 1}, now, {}).empty());
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), {0, 0}, now, {}).empty());
    EXPECT_TRUE(plan_role_changes({}, {9, 9}, now, {}).empty());
}

// The swing goes back before the changed engines have served: they aren't changed again.
TEST(load_policy, an_engine_is_not_changed_again_before_it_has_settled)
{
    engine_fleet const           fleet(4, 8);
    boot_clock::time_point const now{std::chrono::hours{1}};
    auto                         engines = engines_of(fleet);
    for (auto& each : engines)
    {
        each.changed = now - millis{500};
    }
    EXPECT_TRUE(plan_role_changes(engines, {12, 1}, now, {}).empty());
}

// A queue makes every read look slow. Taken for the engine's speed it would turn ever
// more engines to reading, up to a fleet in which nothing decodes.
TEST(load_policy, speed_of_an_engine_is_not_learned_from_its_queue)
{
    work_meter             meter;
    boot_clock::time_point now{std::chrono::hours{1}};
    meter.prompt_read(11'000, millis{200});
    for (int call = 0; call < 300; ++call)
    {
        now += millis{30};
        meter.prompt(6000, now);
        meter.prompt_read(6000, seconds{3});
    }
    EXPECT_GT(meter.prefill_speed(), 50'000);
    EXPECT_LT(meter.demand(now).prefill_engines, 5);
}

// 5. Buying

service model_service()
{
    return {.name = "m",
            .has_engines = true,
            .fleet = fleet_bounds{.least = 1, .most = 8, .reclaimable = true}};
}

// Cheap servers are sold: they carry the load, and full-price ones stay as a floor.
TEST(load_policy, cheap_servers_are_bought_up_to_the_bound_above_a_floor)
{
    fleet_state const state{.present = {.full = 4}, .bought = 4};
    auto const        orders = plan_fleet(model_service(), "here", state,
                                          boot_clock::time_point{seconds{99}}, {});
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_EQ(orders[0], (server_order{"m", "here", 2, false}));
    EXPECT_EQ(orders[1], (server_order{"m", "here", 6, true}));
}

// All cheap servers of a data centre are taken back and none is to be had: what was
// bought at full price comes back, and leaves again once cheap ones are sold.
TEST(load_policy, full_price_servers_come_back_while_cheap_ones_are_not_sold)
{
    boot_clock::time_point const now{seconds{99}};
    fleet_state const            dry{
                   .present = {.full = 2}, .bought = 4, .refused = now - seconds{1}};
    auto const orders = plan_fleet(model_service(), "here", dry, now, {});
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders[0], (server_order{"m", "here", 4, false}));
    auto const later = plan_fleet(model_service(), "here", dry, now + seconds{20}, {});
    EXPECT_EQ(later.size(), 1U);
    EXPECT_TRUE(later[0].cheap);
}

TEST(load_policy, services_whose_servers_are_not_sold_get_no_orders)
{
    service const     plain{.name = "desk"};
    fleet_state const state{.present = {.full = 1}, .bought = 3};
    EXPECT_TRUE(plan_fleet(plain, "here", state, {}, {}).empty());
}

} // namespace
} // namespace marigoldcrank
