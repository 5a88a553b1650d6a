// Overload scenarios for placement, refusal, role changes and server orders.
//
// Index: 1 simulated fleet, 2 placement, 3 refusal of late calls, 4 role changes,
// 5 server orders
#include "policy/fleet_plan.hpp"
#include "policy/pause_watch.hpp"
#include "policy/placement.hpp"
#include "policy/prefix_directory.hpp"
#include "policy/role_split.hpp"
#include "policy/wait_limit.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace marigoldcrank
{
namespace
{

using std::chrono::seconds;

// 1. Simulated fleet

constexpr double prefill_speed = 55'000;                      // tokens/s
constexpr double prefill_speed_at_decode = prefill_speed / 2; // tokens/s

engine_costs observed_costs()
{
    constexpr double second_ms = 1000;
    return {.prefill_rate = prefill_speed / second_ms,
            .colocated_rate = prefill_speed_at_decode / second_ms,
            .observed = true};
}

/// A fleet in which each engine prefills the prompts placed at it at a fixed speed, in
/// order of arrival. The number of running streams stays as the test sets it.
struct simulated_fleet
{
    std::vector<backend_server> servers;
    std::vector<server_load>    loads;
    std::vector<double>         token_queue; // tokens to prefill, by engine; fractional
    prefix_directory            caches;
    boot_clock::time_point      now{std::chrono::hours{1}};
    engine_costs                costs = observed_costs();

    simulated_fleet(int prefill, int decode)
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
        token_queue.resize(servers.size());
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

    std::optional<placement> place(caller_call const& call, std::uint64_t tie_break,
                                   placement_options const& options = {}) const
    {
        auto       each = candidates();
        auto const cached_by_engine = caches.cached(call.prompt, now);
        for (auto& engine : each)
        {
            auto const found = cached_by_engine.find(engine.server->id);
            if (found != cached_by_engine.end())
            {
                engine.cached = found->second.all;
                engine.ready = found->second.ready;
            }
        }
        return place_model(each, call, costs, "here", tie_break, options);
    }

    std::size_t index_of(backend_server const* server) const
    {
        return static_cast<std::size_t>(server - servers.data());
    }

    /// Moves the clock on and removes from the queues what the engines prefill meanwhile.
    void advance(double elapsed_s)
    {
        now += std::chrono::duration_cast<boot_clock::duration>(
            std::chrono::duration<double>(elapsed_s));
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            bool const   is_prefill_engine = servers[index].role == engine_role::prefill;
            double const speed =
                is_prefill_engine ? prefill_speed : prefill_speed_at_decode;
            token_queue[index] = std::max(0.0, token_queue[index] - speed * elapsed_s);
            loads[index].prefill_tokens = static_cast<std::int64_t>(token_queue[index]);
        }
    }

    /// The share of all decode engines' time that prefilling `tokens` at them takes.
    double prefill_share_at_decode(double duration_s, double tokens) const
    {
        double engines = 0;
        for (auto const& server : servers)
        {
            engines += server.role == engine_role::decode ? 1 : 0;
        }
        return tokens / prefill_speed_at_decode / (engines * duration_s);
    }
};

caller_call long_prompt(int subject)
{
    return {.id = "c",
            .prompt = {{"t", 512}, {std::to_string(subject), 4870}, {"own", 6610}}};
}

struct surge_result
{
    double refused = 0;              // share of the calls
    double decode_prefill_share = 0; // share of the decode engines' time
    double mean_wait_s = 0;          // s; mean, until an admitted call is prefilled
};

/// Simulates long prompts that arrive faster than all prefill engines together can
/// prefill them.
surge_result simulate_prompt_surge(std::int64_t        max_colocated_tokens,
                                   wait_options const& waits)
{
    constexpr double step_s = 0.01;
    constexpr double duration_s = 10;
    constexpr double calls_per_s = 90;
    simulated_fleet  fleet(6, 9);
    fleet.costs.max_colocated_tokens = max_colocated_tokens;
    std::mt19937_64 random(7);
    for (auto& load : fleet.loads)
    {
        load.running = 12;
    }
    double calls = 0;
    double refused = 0;
    double decode_tokens = 0;
    double total_wait_s = 0;
    double due_calls = 0;
    for (double now = 0; now < duration_s; now += step_s)
    {
        fleet.advance(step_s);
        for (due_calls += calls_per_s * step_s; due_calls >= 1; due_calls -= 1)
        {
            auto const call = long_prompt(static_cast<int>(random() % 62));
            auto const placed = fleet.place(call, random());
            ++calls;
            auto const speed =
                placed->prefill_only ? prefill_speed : prefill_speed_at_decode;
            if (retry_after_if_late({*placed, true, millis{800}, millis{8000}}, waits))
            {
                ++refused;
                continue;
            }
            auto const index = fleet.index_of(placed->server);
            total_wait_s +=
                (fleet.token_queue[index] + static_cast<double>(placed->prefill_tokens)) /
                speed;
            fleet.token_queue[index] += static_cast<double>(placed->prefill_tokens);
            fleet.caches.sent(placed->server->id, call.prompt, millis{0}, fleet.now);
            decode_tokens +=
                placed->prefill_only ? 0 : static_cast<double>(placed->prefill_tokens);
        }
    }
    return {refused / calls, fleet.prefill_share_at_decode(duration_s, decode_tokens),
            total_wait_s / (calls - refused)};
}

// 2. Placement

// In a surge of long prompts, without a bound on colocated prefill, the overflow of the
// prefill engines goes to the decode engines until they do little but prefill, and every
// stream on them stalls.
TEST(load_policy, surge_of_long_prompts_does_not_stall_streams_at_decode_engines)
{
    auto const unbounded = simulate_prompt_surge(1'000'000'000, {});
    auto const bounded = simulate_prompt_surge(pause_watch_options{}.least, {});
    EXPECT_GT(unbounded.decode_prefill_share, 0.30);
    EXPECT_LT(bounded.decode_prefill_share, 0.15);
}

// Calls that share a part of their prompts go to the engine that has it in its cache.
// Under even load no shared part is prefilled twice.
TEST(load_policy, calls_with_a_shared_part_go_to_the_engine_that_caches_it)
{
    simulated_fleet fleet(6, 9);
    for (int subject = 0; subject < 62; ++subject)
    {
        auto const call = long_prompt(subject);
        auto const first = fleet.place(call, 1);
        fleet.caches.sent(first->server->id, call.prompt, millis{0}, fleet.now);
        for (std::uint64_t tie_break = 2; tie_break < 20; ++tie_break)
        {
            auto const again = fleet.place(call, tie_break);
            EXPECT_EQ(again->server, first->server);
            EXPECT_EQ(again->prefill_tokens, 6610);
        }
    }
}

// Two VMs get calls that share a part which no engine has cached, before either VM has
// received an update from the other. Both choose the same engine without a directory
// entry.
TEST(load_policy, calls_with_an_uncached_shared_part_go_to_the_same_engine)
{
    simulated_fleet fleet(6, 9);
    for (int subject = 0; subject < 62; ++subject)
    {
        auto const first = fleet.place(long_prompt(subject), 1);
        auto const other = fleet.place(long_prompt(subject), 7);
        EXPECT_EQ(other->server, first->server);
    }
}

// The engine that caches the part is so busy that another one serves the call sooner.
// That one fetches the part from the first, or prefills it again where engines can't
// fetch.
TEST(load_policy, cached_part_at_a_busy_engine_is_fetched_or_prefilled_again)
{
    simulated_fleet fleet(6, 9);
    auto const      call = long_prompt(3);
    auto const      cache_holder = fleet.place(call, 1);
    fleet.caches.sent(cache_holder->server->id, call.prompt, millis{0}, fleet.now);
    fleet.loads[fleet.index_of(cache_holder->server)].prefill_tokens = 60'000;
    auto const fetched = fleet.place(call, 1);
    EXPECT_NE(fetched->server, cache_holder->server);
    EXPECT_EQ(fetched->fetch_from, cache_holder->server);
    EXPECT_EQ(fetched->prefill_tokens, 6610);
    auto const recomputed = fleet.place(call, 1, {.fetch = false});
    EXPECT_NE(recomputed->server, cache_holder->server);
    EXPECT_EQ(recomputed->fetch_from, nullptr);
    EXPECT_EQ(recomputed->prefill_tokens, 512 + 4870 + 6610);
}

// Colocated prefill makes the pauses of streams with long events too long, but not those
// of streams with short events. With short events, a fleet that prefills only at a third
// of its engines builds a queue there while the others have time to spare.
TEST(load_policy, decode_engines_prefill_as_much_as_the_pauses_of_streams_allow)
{
    pause_watch smooth;
    pause_watch stalling;
    for (int stream = 0; stream < 200; ++stream)
    {
        smooth.stream_ended(20, millis{stream % 10 == 0 ? 170 : 90}, millis{300});
        stalling.stream_ended(20, millis{stream % 5 == 0 ? 255 : 90}, millis{250});
    }
    EXPECT_EQ(smooth.max_colocated_tokens(true), pause_watch_options{}.most);
    EXPECT_EQ(stalling.max_colocated_tokens(true), pause_watch_options{}.least);
    auto const stalling_result =
        simulate_prompt_surge(stalling.max_colocated_tokens(true), {});
    auto const smooth_result =
        simulate_prompt_surge(smooth.max_colocated_tokens(true), {});
    EXPECT_LT(smooth_result.mean_wait_s, stalling_result.mean_wait_s / 2);
    EXPECT_LT(smooth_result.refused, stalling_result.refused / 2);
}

/// The highest number of calls placed at one engine when many VMs decide by the same
/// stale loads, in which one engine was idle and the others had some work.
std::size_t max_calls_at_one_engine(double unreported_ms, std::int64_t sampled_engines)
{
    constexpr int   calls = 90;
    simulated_fleet fleet(30, 60);
    for (auto& load : fleet.loads)
    {
        load.prefill_tokens = 4000;
    }
    fleet.loads[7].prefill_tokens = 0;
    fleet.costs.unreported_ms = unreported_ms;
    fleet.costs.sampled_engines = sampled_engines;
    std::mt19937_64                    random(11);
    std::map<std::string, std::size_t> calls_by_engine;
    std::size_t                        busiest = 0;
    for (int call = 0; call < calls; ++call)
    {
        auto const own_prompt = caller_call{.id = "c", .prompt = {{"own", 6000}}};
        auto const placed = fleet.place(own_prompt, random());
        busiest = std::max(busiest, ++calls_by_engine[placed->server->id]);
    }
    return busiest;
}

// In a fleet of 80 VMs, updates come through relays and are 450 ms old. If every VM
// chooses the engine that was idle then, this engine gets all prompts of half a second at
// once while others idle.
TEST(load_policy, stale_loads_do_not_send_all_calls_to_one_engine)
{
    EXPECT_EQ(max_calls_at_one_engine(0, 0), 90U);
    EXPECT_LT(max_calls_at_one_engine(130, 0), 45U);
    EXPECT_LT(max_calls_at_one_engine(130, 4), 25U);
}

// Engines prefill in order of arrival, whatever the priority: an urgent call of 1,000
// tokens that arrived 57 ms after a prompt of 45,000 tokens waited 670 ms for it. So the
// whole queue counts for urgent calls: they go to the engine with the shortest queue, and
// are refused if they would be late at every engine.
TEST(load_policy, urgent_calls_count_the_whole_queue_before_them)
{
    simulated_fleet fleet(2, 2);
    for (auto& load : fleet.loads)
    {
        load.prefill_tokens = 500'000;
    }
    auto const placed = fleet.place(long_prompt(1), 1);
    EXPECT_GE(placed->wait_ms, 500'000 / fleet.costs.prefill_rate);
    EXPECT_TRUE(retry_after_if_late({*placed, true, millis{400}, millis{2500}}, {}));
    fleet.loads[1].prefill_tokens = 0;
    auto const idle = fleet.place(long_prompt(1), 1);
    EXPECT_EQ(idle->server, &fleet.servers[1]);
    EXPECT_FALSE(retry_after_if_late({*idle, true, millis{400}, millis{2500}}, {}));
}

// Short prompts arrive faster than the decode engines can prefill them beside their
// streams. An event holds the tokens of eleven decode steps, and a step that also
// prefills takes eight times as long. Constant prefill there makes the pauses between
// events longer than callers are promised.
TEST(load_policy, short_prompts_are_handed_off_while_decode_engines_prefill)
{
    simulated_fleet fleet(4, 2);
    fleet.costs.max_colocated_tokens =
        pause_watch_options{}.least; // pauses near the bound
    auto const short_prompt = caller_call{.id = "c", .prompt = {{"t", 198}, {"o", 628}}};
    auto const idle = fleet.place(short_prompt, 1);
    EXPECT_FALSE(idle->prefill_only);
    for (auto& load : fleet.loads)
    {
        load.prefill_tokens = 900;
    }
    auto const busy = fleet.place(short_prompt, 1);
    EXPECT_TRUE(busy->prefill_only);
}

// After a network failure all engines are suspect. Calls must still be placed at one.
TEST(load_policy, suspect_engines_are_chosen_only_if_there_is_no_other)
{
    simulated_fleet fleet(0, 3);
    auto            candidates = fleet.candidates();
    for (auto& each : candidates)
    {
        each.avoided = true;
    }
    EXPECT_TRUE(place_model(candidates, long_prompt(1), {}, "here", 1, {}));
    candidates[1].avoided = false;
    EXPECT_EQ(place_plain(candidates, "here", 0), candidates[1].server);
}

// 3. Refusal of late calls

// In the same surge, calls are admitted only if their prompts are prefilled in time for
// the response to be of use. The others are refused at once with a time to retry.
TEST(load_policy, surge_is_refused_beyond_what_can_be_prefilled_in_time)
{
    auto const         few_streams = pause_watch_options{}.least;
    auto const         result = simulate_prompt_surge(few_streams, {});
    wait_options const unlimited{.longest_wait = 1e9};
    auto const         unlimited_result = simulate_prompt_surge(few_streams, unlimited);
    EXPECT_GT(result.refused, 0.05);
    EXPECT_LT(result.refused, 0.5);
    EXPECT_LT(unlimited_result.refused,
              result.refused); // only missed deadlines
    EXPECT_LT(result.mean_wait_s, 2.0);
    EXPECT_GT(unlimited_result.mean_wait_s, result.mean_wait_s);
}

TEST(load_policy, retry_after_is_when_the_queue_will_be_short)
{
    placement const placed{.prefill_tokens = 6000, .wait_ms = 4000, .prefill_ms = 110};
    auto const      retry_after =
        retry_after_if_late({placed, true, millis{800}, millis{8000}}, {});
    ASSERT_TRUE(retry_after);
    EXPECT_EQ(*retry_after, wait_options{}.max_retry_after);
    EXPECT_FALSE(retry_after_if_late({placed, false, millis{800}, millis{8000}}, {}));
    placement const no_queue{.prefill_tokens = 500'000, .prefill_ms = 9000};
    EXPECT_FALSE(retry_after_if_late({no_queue, true, millis{800}, millis{8000}}, {}));
}

// 4. Role changes

std::vector<split_engine> engines_of(simulated_fleet const& fleet)
{
    std::vector<split_engine> result;
    for (auto const& server : fleet.servers)
    {
        result.push_back({.server = &server, .role = server.role});
    }
    return result;
}

// The load shifts from decode to prefill. Decode engines change to prefill, a few at a
// time.
TEST(load_policy, roles_follow_a_shift_that_overloads_one_of_them)
{
    simulated_fleet const        fleet(4, 8);
    boot_clock::time_point const now{std::chrono::hours{1}};
    auto const chosen = plan_role_changes(engines_of(fleet), {8, 3}, now, {});
    ASSERT_EQ(chosen.size(), 2U);
    for (auto const* server : chosen)
    {
        EXPECT_EQ(server->role, engine_role::decode);
    }
}

// Neither role is overloaded. A change would take an engine out of service for seconds
// and gain nothing.
TEST(load_policy, roles_stay_while_both_carry_their_load)
{
    simulated_fleet const        fleet(4, 8);
    boot_clock::time_point const now{std::chrono::hours{1}};
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), {1.9, 1}, now, {}).empty());
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), {0, 0}, now, {}).empty());
    EXPECT_TRUE(plan_role_changes({}, {9, 9}, now, {}).empty());
}

// The load shifts to prefill where decode engines may prefill beside their streams. They
// take over what exceeds the prefill engines' capacity, and no engine is out of service
// for seconds.
TEST(load_policy, roles_stay_while_decode_engines_take_over_prefill)
{
    simulated_fleet const        fleet(6, 12);
    boot_clock::time_point const now{std::chrono::hours{1}};
    role_need const              need{.prefill = 5.5, .decode = 1.3, .colocated = true};
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), need, now, {}).empty());
    role_need const separate{.prefill = 5.5, .decode = 1.3};
    EXPECT_FALSE(plan_role_changes(engines_of(fleet), separate, now, {}).empty());
}

// The load shifts back before the changed engines have served. They aren't changed again.
TEST(load_policy, an_engine_is_not_changed_again_before_it_has_settled)
{
    simulated_fleet const        fleet(4, 8);
    boot_clock::time_point const now{std::chrono::hours{1}};
    auto                         engines = engines_of(fleet);
    for (auto& each : engines)
    {
        each.changed = now - millis{500};
    }
    EXPECT_TRUE(plan_role_changes(engines, {12, 1}, now, {}).empty());
}

// Time in a queue makes every prefill look slow. If it counted toward the engine's speed,
// ever more engines would change to prefill, until none decodes.
TEST(load_policy, speed_of_an_engine_is_not_learned_from_its_queue)
{
    work_meter             meter;
    boot_clock::time_point now{std::chrono::hours{1}};
    for (int call = 0; call < 60; ++call)
    {
        meter.prefill_done({.tokens = 11'000, .took = millis{200}});
    }
    for (int call = 0; call < 300; ++call)
    {
        now += millis{30};
        meter.prompt(6000, now);
        meter.prefill_done({.tokens = 6000, .wait_ms = 2800, .took = seconds{3}});
    }
    EXPECT_GT(meter.prefill_speed(), 50'000);
    EXPECT_LT(meter.demand(now).prefill_engines().value(), 5);
}

// 5. Server orders

service model_service()
{
    return {.name = "m",
            .has_engines = true,
            .fleet = fleet_bounds{.least = 1, .most = 8, .reclaimable = true}};
}

/// A fleet of three data centres, each with the servers `present`.
fleet_state three_data_centres(fleet_count present, std::int64_t wanted)
{
    fleet_state state{.wanted = wanted,
                      .demand_known_since = boot_clock::time_point{seconds{1}}};
    for (auto const* name : {"a", "b", "c"})
    {
        state.centres[name] = {.present = present};
    }
    return state;
}

std::int64_t full_price_count(std::vector<server_order> const& orders,
                              std::string const&               data_centre)
{
    for (auto const& order : orders)
    {
        if (order.data_centre == data_centre && !order.cheap)
        {
            return order.count;
        }
    }
    return -1;
}

constexpr boot_clock::time_point start_time{seconds{99}};

// Demand isn't known yet and cheap servers are available. They are ordered up to the
// bound, and full-price servers stay as a minimum.
TEST(load_policy, cheap_servers_are_ordered_up_to_the_bound_above_a_minimum)
{
    auto state = three_data_centres({.full = 4}, 0);
    state.demand_known_since = {};
    auto const orders = plan_fleet(model_service(), state, start_time, {});
    ASSERT_EQ(orders.size(), 6U);
    EXPECT_EQ(orders[0], (server_order{"m", "a", 1, false}));
    EXPECT_EQ(orders[1], (server_order{"m", "a", 7, true}));
}

// Demand exceeds what would be left if the full-price servers were released at once. They
// are kept until the cheap ones run.
TEST(load_policy, full_price_servers_are_kept_until_cheap_ones_run)
{
    auto const early =
        plan_fleet(model_service(), three_data_centres({.full = 4}, 12), start_time, {});
    EXPECT_EQ(full_price_count(early, "a"), -1);
    EXPECT_EQ(early[0], (server_order{"m", "a", 4, true}));
    auto const later = plan_fleet(
        model_service(), three_data_centres({.full = 4, .cheap = 4}, 12), start_time, {});
    EXPECT_EQ(full_price_count(later, "a"), 1);
}

// All cheap servers of a data centre are reclaimed and no new ones are available there.
// Full-price servers fill half of its bound until cheap ones are available again.
TEST(load_policy, full_price_servers_replace_cheap_ones_that_are_unavailable)
{
    auto state = three_data_centres({.full = 1, .cheap = 7}, 12);
    state.centres["c"] = {.present = {.full = 1}, .refused = start_time - seconds{1}};
    auto const orders = plan_fleet(model_service(), state, start_time, {});
    EXPECT_EQ(full_price_count(orders, "c"), 4);
    EXPECT_EQ(full_price_count(orders, "a"), -1);
    auto const later = plan_fleet(model_service(), state, start_time + seconds{20}, {});
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0], (server_order{"m", "c", 7, true}));
}

// One data centre has lost its cheap servers, and a second one may lose them at any
// moment, with less notice than a server takes to start. The remaining servers must carry
// the demand without either.
TEST(load_policy, orders_cover_the_next_loss_of_cheap_servers)
{
    auto state = three_data_centres({.full = 1, .cheap = 7}, 15);
    state.centres["c"] = {.present = {.full = 1}, .refused = start_time - seconds{1}};
    auto const orders = plan_fleet(model_service(), state, start_time, {});
    EXPECT_EQ(full_price_count(orders, "c"),
              6); // 15 less 1 and 8 elsewhere; 2 for cheap
}

// The VM that holds the duties fails while cheap servers are unavailable. Its successor
// has never seen more full-price servers than the minimum, and must order more all the
// same.
TEST(load_policy, orders_do_not_depend_on_what_a_duty_holder_has_seen)
{
    fleet_state successor;
    successor.count({{"a", {1, 7}}, {"b", {1, 0}}, {"c", {1, 0}}});
    successor.record_demand(10, start_time);
    successor.centres["b"].refused = start_time;
    successor.centres["c"].refused = start_time;
    auto const orders = plan_fleet(model_service(), successor, start_time, {});
    EXPECT_GE(full_price_count(orders, "b"), 4);
    EXPECT_GE(full_price_count(orders, "c"), 4);
}

// The data centres may hold far more servers than the demand needs. Cheap servers are
// ordered for twice the demand and for the loss of one data centre, not up to the bound.
// Small changes of demand neither order nor dismiss any.
TEST(load_policy, cheap_servers_follow_demand_below_the_bound)
{
    auto large = model_service();
    large.fleet->most = 46;
    auto state = three_data_centres({.full = 3}, 44);
    state.centres["d"] = {.present = {.full = 3}};
    auto const orders = plan_fleet(large, state, start_time, {});
    ASSERT_EQ(orders.size(), 4U);
    EXPECT_EQ(orders[0], (server_order{"m", "a", 30, true}));
    for (auto& [name, centre] : state.centres)
    {
        centre.present.cheap = 30;
    }
    for (std::int64_t wanted = 38; wanted <= 50; ++wanted)
    {
        state.wanted = wanted;
        EXPECT_TRUE(plan_fleet(large, state, start_time, {}).empty()) << wanted;
    }
    state.wanted = 15;
    EXPECT_FALSE(plan_fleet(large, state, start_time, {}).empty());
}

// The rate of traffic that has just begun is underestimated. It must not dismiss servers.
TEST(load_policy, demand_known_only_briefly_dismisses_no_server)
{
    auto state = three_data_centres({.full = 1, .cheap = 7}, 0);
    state.demand_known_since = {};
    state.record_demand(1, start_time);
    EXPECT_TRUE(plan_fleet(model_service(), state, start_time + seconds{2}, {}).empty());
    EXPECT_FALSE(plan_fleet(model_service(), state, start_time + seconds{9}, {}).empty());
}

// The first calls of a surge need ten engines. A rate that decays over eight seconds
// would show a quarter of that after two, and roles would change too late.
TEST(load_policy, demand_is_known_soon_after_traffic_begins)
{
    work_meter meter;
    auto       now = start_time;
    for (int read = 0; read < 100; ++read)
    {
        meter.prefill_done({.tokens = 50'000, .took = seconds{1}});
    }
    for (int call = 0; call < 200; ++call)
    {
        meter.prompt(5000, now);
        now += millis{10};
    }
    EXPECT_NEAR(meter.demand(now).prefill_engines().value(), 10, 1.5);
}

// A burst met a fleet before any prefill had been measured. Prefills timed out, none was
// measured, and the fleet dismissed its servers in the middle of the burst.
TEST(load_policy, burst_before_the_first_measured_prefill_dismisses_no_server)
{
    constexpr double       needed = 5; // prefill engines
    work_meter             meter;
    auto                   state = three_data_centres({.full = 1, .cheap = 5}, 0);
    boot_clock::time_point now = start_time;
    for (int call = 0; call < 2000; ++call)
    {
        meter.call(now);
        meter.prompt(static_cast<std::int64_t>(prefill_speed * needed / 100), now);
        if (call % 20 == 10)
        {
            meter.prefill_unfinished(
                {.tokens = 10'000, .wait_ms = 500, .took = seconds{2}});
        }
        if (call % 50 == 10)
        {
            meter.stream(8, millis{400}, now); // one in fifty is served
        }
        now += millis{10};
        auto const need = compute_role_need(meter.demand(now), 128, {});
        state.record_demand(need ? std::optional{servers_for(*need)} : std::nullopt, now);
        for (auto const& order : plan_fleet(model_service(), state, now, {}))
        {
            EXPECT_GE(order.count, order.cheap ? 5 : 1) << call;
        }
    }
    EXPECT_GE(state.wanted.value(), needed);
}

// One stream in ten ended, and the others were not counted as demand.
TEST(load_policy, streams_that_are_not_served_count_as_demand)
{
    work_meter served;
    work_meter overloaded;
    auto       now = start_time;
    for (int call = 0; call < 3000; ++call)
    {
        now += millis{10};
        for (auto* meter : {&served, &overloaded})
        {
            meter->call(now);
            if (meter == &served || call % 10 == 0)
            {
                meter->stream(20, millis{950}, now);
            }
        }
    }
    EXPECT_NEAR(overloaded.demand(now).streams, served.demand(now).streams, 5);
}

// Demand falls between two bursts. The servers that the next burst needs must stay
// meanwhile.
TEST(load_policy, wanted_servers_are_held_between_bursts)
{
    fleet_state state;
    state.record_demand(12, start_time);
    state.record_demand(3, start_time + seconds{5});
    EXPECT_EQ(state.wanted, 12);
    state.record_demand(3, start_time + seconds{9});
    EXPECT_EQ(state.wanted, 3);
}

TEST(load_policy, services_without_fleet_bounds_get_no_orders)
{
    service const fixed_service{.name = "desk"};
    EXPECT_TRUE(
        plan_fleet(fixed_service, three_data_centres({.full = 1}, 3), start_time, {})
            .empty());
}

} // namespace
} // namespace marigoldcrank
