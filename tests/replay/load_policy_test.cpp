// Replays of loads at their worst through the decisions that answer them.
//
// Index: 1 a fleet of engines, 2 placing, 3 waiting, 4 roles, 5 buying
#include "policy/fleet_plan.hpp"
#include "policy/pause_watch.hpp"
#include "policy/placement.hpp"
#include "policy/prefix_directory.hpp"
#include "policy/role_split.hpp"
#include "policy/wait_judgement.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace marigoldcrank
{
namespace
{

using std::chrono::seconds;

// 1. A fleet of engines

constexpr double prefill_speed = 55'000; // tokens a second
constexpr double decode_speed = prefill_speed / 2;

engine_costs observed_costs()
{
    constexpr double second_ms = 1000;
    return {.read_speed = prefill_speed / second_ms,
            .beside_speed = decode_speed / second_ms,
            .observed = true};
}

/// Engines that read what they are given, in order; streams run for a fixed time.
struct engine_fleet
{
    std::vector<backend_server> servers;
    std::vector<server_load>    loads;
    std::vector<double>         unread; // tokens, as a fluid
    prefix_directory            caches;
    boot_clock::time_point      now{std::chrono::hours{1}};
    engine_costs                costs = observed_costs();

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

    std::optional<placement> place(caller_call const& call, std::uint64_t ticket,
                                   placement_options const& options = {}) const
    {
        auto       each = candidates();
        auto const kept = caches.kept(call.prompt, now);
        for (auto& engine : each)
        {
            auto const found = kept.find(engine.server->id);
            if (found != kept.end())
            {
                engine.kept = found->second.all;
                engine.ready = found->second.ready;
            }
        }
        return place_model(each, call, costs, "here", ticket, options);
    }

    std::size_t index_of(backend_server const* server) const
    {
        return static_cast<std::size_t>(server - servers.data());
    }

    void pass(double time_s)
    {
        now += std::chrono::duration_cast<boot_clock::duration>(
            std::chrono::duration<double>(time_s));
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            bool const   reads = servers[index].role == engine_role::prefill;
            double const speed = reads ? prefill_speed : decode_speed;
            unread[index] = std::max(0.0, unread[index] - speed * time_s);
            loads[index].unread = static_cast<std::int64_t>(unread[index]);
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
swing_result play_swing(std::int64_t beside_streams, wait_options const& waits)
{
    constexpr double step_s = 0.01;
    constexpr double length_s = 10;
    constexpr double calls_a_s = 90;
    engine_fleet     fleet(6, 9);
    fleet.costs.beside_streams = beside_streams;
    std::mt19937_64 random(7);
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
            auto const placed = fleet.place(call, random());
            ++calls;
            auto const speed = placed->prefill_only ? prefill_speed : decode_speed;
            if (retry_after_if_late({*placed, true, millis{800}, millis{8000}}, waits))
            {
                ++refused;
                continue;
            }
            auto const index = fleet.index_of(placed->server);
            waited += (fleet.unread[index] + static_cast<double>(placed->unread)) / speed;
            fleet.unread[index] += static_cast<double>(placed->unread);
            fleet.caches.sent(placed->server->id, call.prompt, millis{0}, fleet.now);
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
    auto const before = play_swing(1'000'000'000, {});
    auto const after = play_swing(pause_watch_options{}.least, {});
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
        auto const call = long_prompt(subject);
        auto const first = fleet.place(call, 1);
        fleet.caches.sent(first->server->id, call.prompt, millis{0}, fleet.now);
        for (std::uint64_t ticket = 2; ticket < 20; ++ticket)
        {
            auto const again = fleet.place(call, ticket);
            EXPECT_EQ(again->server, first->server);
            EXPECT_EQ(again->unread, 6610);
        }
    }
}

// Two VMs get calls for a part that no engine keeps before either has told the other.
TEST(load_policy, calls_for_an_unknown_part_meet_without_a_directory)
{
    engine_fleet fleet(6, 9);
    for (int subject = 0; subject < 62; ++subject)
    {
        auto const first = fleet.place(long_prompt(subject), 1);
        auto const other = fleet.place(long_prompt(subject), 7);
        EXPECT_EQ(other->server, first->server);
    }
}

// That engine is so busy that the call is served sooner elsewhere: with the part fetched
// from there, or read again where engines can't fetch.
TEST(load_policy, a_part_is_fetched_or_read_again_rather_than_waited_for)
{
    engine_fleet fleet(6, 9);
    auto const   call = long_prompt(3);
    auto const   home = fleet.place(call, 1);
    fleet.caches.sent(home->server->id, call.prompt, millis{0}, fleet.now);
    fleet.loads[fleet.index_of(home->server)].unread = 60'000;
    auto const fetched = fleet.place(call, 1);
    EXPECT_NE(fetched->server, home->server);
    EXPECT_EQ(fetched->fetch_from, home->server);
    EXPECT_EQ(fetched->unread, 6610);
    auto const read_again = fleet.place(call, 1, {.fetch = false});
    EXPECT_NE(read_again->server, home->server);
    EXPECT_EQ(read_again->fetch_from, nullptr);
    EXPECT_EQ(read_again->unread, 512 + 4870 + 6610);
}

// Streams of long events bear no reading beside them, those of short events do. Where
// they do, a fleet that leaves reading to a third of its engines queues there while the
// others idle.
TEST(load_policy, decoding_engines_read_as_much_as_their_streams_bear)
{
    pause_watch bears;
    pause_watch stalls;
    for (int stream = 0; stream < 200; ++stream)
    {
        bears.ended(20, millis{stream % 10 == 0 ? 170 : 90}, millis{300});
        stalls.ended(20, millis{stream % 5 == 0 ? 255 : 90}, millis{250});
    }
    EXPECT_EQ(bears.beside_streams(true), pause_watch_options{}.most);
    EXPECT_EQ(stalls.beside_streams(true), pause_watch_options{}.least);
    auto const queued = play_swing(stalls.beside_streams(true), {});
    auto const shared = play_swing(bears.beside_streams(true), {});
    EXPECT_LT(shared.waited_s, queued.waited_s / 2);
    EXPECT_LT(shared.refused, queued.refused / 2);
}

/// Most calls that one engine gets if many VMs decide by the same old news, in which one
/// engine was idle and the others had some work.
std::size_t most_at_one_engine(double unheard_ms, std::int64_t choices)
{
    constexpr int calls = 90;
    engine_fleet  fleet(30, 60);
    for (auto& load : fleet.loads)
    {
        load.unread = 4000;
    }
    fleet.loads[7].unread = 0;
    fleet.costs.unheard_ms = unheard_ms;
    fleet.costs.choices = choices;
    std::mt19937_64                    random(11);
    std::map<std::string, std::size_t> given;
    std::size_t                        most = 0;
    for (int call = 0; call < calls; ++call)
    {
        auto const alone = caller_call{.id = "c", .prompt = {{"own", 6000}}};
        auto const placed = fleet.place(alone, random());
        most = std::max(most, ++given[placed->server->id]);
    }
    return most;
}

// Eighty VMs hear of each other through relays, 450 ms late. All of them choose the
// engine that was idle then, which gets the prompts of half a second at once while others
// idle.
TEST(load_policy, old_news_sends_no_herd_to_one_engine)
{
    EXPECT_EQ(most_at_one_engine(0, 0), 90U);
    EXPECT_LT(most_at_one_engine(130, 0), 45U);
    EXPECT_LT(most_at_one_engine(130, 4), 25U);
}

// Engines read in the order of arrival, whatever the rank: an urgent call of 1,000 tokens
// that came 57 ms after a prompt of 45,000 waited 670 ms for it. All that waits counts,
// so an urgent call goes where least waits, and is refused where all would be too late.
TEST(load_policy, urgent_calls_see_all_that_is_read_before_them)
{
    engine_fleet fleet(2, 2);
    for (auto& load : fleet.loads)
    {
        load.unread = 500'000;
    }
    auto const placed = fleet.place(long_prompt(1), 1);
    EXPECT_GE(placed->wait_ms, 500'000 / fleet.costs.read_speed);
    EXPECT_TRUE(retry_after_if_late({*placed, true, millis{400}, millis{2500}}, {}));
    fleet.loads[1].unread = 0;
    auto const free = fleet.place(long_prompt(1), 1);
    EXPECT_EQ(free->server, &fleet.servers[1]);
    EXPECT_FALSE(retry_after_if_late({*free, true, millis{400}, millis{2500}}, {}));
}

// Short prompts come faster than the decoding engines can read them beside their streams.
// An event holds the tokens of eleven steps, and a step with a piece to read takes eight
// times as long: with reading all the time, pauses grow beyond what callers are promised.
TEST(load_policy, short_prompts_are_handed_over_while_decoding_engines_read)
{
    engine_fleet fleet(4, 2);
    fleet.costs.beside_streams = pause_watch_options{}.least; // pauses near the promise
    auto const short_prompt = caller_call{.id = "c", .prompt = {{"t", 198}, {"o", 628}}};
    auto const idle = fleet.place(short_prompt, 1);
    EXPECT_FALSE(idle->prefill_only);
    for (auto& load : fleet.loads)
    {
        load.unread = 900;
    }
    auto const busy = fleet.place(short_prompt, 1);
    EXPECT_TRUE(busy->prefill_only);
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
    EXPECT_TRUE(place_model(candidates, long_prompt(1), {}, "here", 1, {}));
    candidates[1].suspect = false;
    EXPECT_EQ(place_plain(candidates, "here", 0), candidates[1].server);
}

// 3. Waiting

// The same swing: those who wait are read in time for their answer to be worth something,
// the rest is told at once when to come back.
TEST(load_policy, swing_is_refused_at_once_beyond_what_can_be_read_in_time)
{
    auto const         least = pause_watch_options{}.least;
    auto const         result = play_swing(least, {});
    wait_options const endless{.longest_wait = 1e9};
    auto const         without = play_swing(least, endless);
    EXPECT_GT(result.refused, 0.05);
    EXPECT_LT(result.refused, 0.5);
    EXPECT_LT(without.refused, result.refused); // only what can't be read by its deadline
    EXPECT_LT(result.waited_s, 2.0);
    EXPECT_GT(without.waited_s, result.waited_s);
}

TEST(load_policy, time_to_come_back_is_when_the_queue_will_be_short)
{
    placement const placed{.unread = 6000, .wait_ms = 4000, .read_ms = 110};
    auto const back = retry_after_if_late({placed, true, millis{800}, millis{8000}}, {});
    ASSERT_TRUE(back);
    EXPECT_EQ(*back, wait_options{}.latest);
    EXPECT_FALSE(retry_after_if_late({placed, false, millis{800}, millis{8000}}, {}));
    placement const next{.unread = 500'000, .read_ms = 9000};
    EXPECT_FALSE(retry_after_if_late({next, true, millis{800}, millis{8000}}, {}));
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

// Neither role is busy: a change would cost an engine for seconds and gain nothing.
TEST(load_policy, roles_stay_while_both_carry_their_load)
{
    engine_fleet const           fleet(4, 8);
    boot_clock::time_point const now{std::chrono::hours{1}};
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), {1.9, 1}, now, {}).empty());
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), {0, 0}, now, {}).empty());
    EXPECT_TRUE(plan_role_changes({}, {9, 9}, now, {}).empty());
}

// The same swing where engines that decode read beside their streams: they take over what
// the others lack, and no engine is out for seconds.
TEST(load_policy, roles_stay_while_decoding_engines_take_over_reading)
{
    engine_fleet const           fleet(6, 12);
    boot_clock::time_point const now{std::chrono::hours{1}};
    role_need const              need{.prefill = 5.5, .decode = 1.3, .beside = true};
    EXPECT_TRUE(plan_role_changes(engines_of(fleet), need, now, {}).empty());
    role_need const apart{.prefill = 5.5, .decode = 1.3};
    EXPECT_FALSE(plan_role_changes(engines_of(fleet), apart, now, {}).empty());
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
    for (int call = 0; call < 60; ++call)
    {
        meter.prompt_read({.tokens = 11'000, .took = millis{200}});
    }
    for (int call = 0; call < 300; ++call)
    {
        now += millis{30};
        meter.prompt(6000, now);
        meter.prompt_read({.tokens = 6000, .wait_ms = 2800, .took = seconds{3}});
    }
    EXPECT_GT(meter.prefill_speed(), 50'000);
    EXPECT_LT(meter.demand(now).prefill_engines(), 5);
}

// 5. Buying

service model_service()
{
    return {.name = "m",
            .has_engines = true,
            .fleet = fleet_bounds{.least = 1, .most = 8, .reclaimable = true}};
}

/// Three data centres of `present` each.
fleet_state three_centres(fleet_count present, std::int64_t wanted)
{
    fleet_state state{.wanted = wanted,
                      .known_since = boot_clock::time_point{seconds{1}}};
    for (auto const* name : {"a", "b", "c"})
    {
        state.centres[name] = {.present = present};
    }
    return state;
}

std::int64_t full_price_of(std::vector<server_order> const& orders,
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

constexpr boot_clock::time_point at{seconds{99}};

// Nothing is known of demand yet and cheap servers are available: they will carry the
// load, and full-price ones stay as a floor.
TEST(load_policy, cheap_servers_are_bought_up_to_the_bound_above_a_floor)
{
    auto state = three_centres({.full = 4}, 0);
    state.known_since = {};
    auto const orders = plan_fleet(model_service(), state, at, {});
    ASSERT_EQ(orders.size(), 6U);
    EXPECT_EQ(orders[0], (server_order{"m", "a", 1, false}));
    EXPECT_EQ(orders[1], (server_order{"m", "a", 7, true}));
}

// Callers ask for more than would be left at once: those of full price stay until the
// cheap ones run.
TEST(load_policy, full_price_servers_are_kept_until_cheap_ones_run)
{
    auto const early =
        plan_fleet(model_service(), three_centres({.full = 4}, 12), at, {});
    EXPECT_EQ(full_price_of(early, "a"), -1);
    EXPECT_EQ(early[0], (server_order{"m", "a", 4, true}));
    auto const later =
        plan_fleet(model_service(), three_centres({.full = 4, .cheap = 4}, 12), at, {});
    EXPECT_EQ(full_price_of(later, "a"), 1);
}

// All cheap servers of a data centre are taken back and none is to be had there: half of
// its places are filled at full price, and given back once cheap ones are available
// again.
TEST(load_policy, full_price_servers_come_back_while_cheap_ones_are_not_sold)
{
    auto state = three_centres({.full = 1, .cheap = 7}, 12);
    state.centres["c"] = {.present = {.full = 1}, .refused = at - seconds{1}};
    auto const orders = plan_fleet(model_service(), state, at, {});
    EXPECT_EQ(full_price_of(orders, "c"), 4);
    EXPECT_EQ(full_price_of(orders, "a"), -1);
    auto const later = plan_fleet(model_service(), state, at + seconds{20}, {});
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0], (server_order{"m", "c", 7, true}));
}

// One data centre has lost its cheap servers, and a second one may at any moment, with
// less notice than a start takes. What callers ask must be carried without both.
TEST(load_policy, next_loss_of_cheap_servers_is_provided_for)
{
    auto state = three_centres({.full = 1, .cheap = 7}, 15);
    state.centres["c"] = {.present = {.full = 1}, .refused = at - seconds{1}};
    auto const orders = plan_fleet(model_service(), state, at, {});
    EXPECT_EQ(full_price_of(orders, "c"), 6); // 1 and 8 elsewhere; two places for cheap
}

// The holder of the duties dies while cheap servers are not available. Its successor has
// never seen more of full price than the floor, and buys all the same.
TEST(load_policy, what_is_bought_does_not_depend_on_what_a_holder_has_seen)
{
    fleet_state fresh;
    fresh.count({{"a", {1, 7}}, {"b", {1, 0}}, {"c", {1, 0}}});
    fresh.want(10, at);
    fresh.centres["b"].refused = at;
    fresh.centres["c"].refused = at;
    auto const orders = plan_fleet(model_service(), fresh, at, {});
    EXPECT_GE(full_price_of(orders, "b"), 4);
    EXPECT_GE(full_price_of(orders, "c"), 4);
}

// Data centres that may have far more servers than callers ask for: cheap ones are held
// for twice what is wanted and the loss of one centre, not up to the bound. A demand that
// wavers neither orders nor dismisses any.
TEST(load_policy, cheap_servers_follow_what_callers_ask_where_there_is_room)
{
    auto large = model_service();
    large.fleet->most = 46;
    auto state = three_centres({.full = 3}, 44);
    state.centres["d"] = {.present = {.full = 3}};
    auto const orders = plan_fleet(large, state, at, {});
    ASSERT_EQ(orders.size(), 4U);
    EXPECT_EQ(orders[0], (server_order{"m", "a", 30, true}));
    for (auto& [name, centre] : state.centres)
    {
        centre.present.cheap = 30;
    }
    for (std::int64_t wanted = 38; wanted <= 50; ++wanted)
    {
        state.wanted = wanted;
        EXPECT_TRUE(plan_fleet(large, state, at, {}).empty()) << wanted;
    }
    state.wanted = 15;
    EXPECT_FALSE(plan_fleet(large, state, at, {}).empty());
}

// Traffic has just begun, and its rate looks small: no server is dismissed by it.
TEST(load_policy, demand_that_has_just_been_seen_dismisses_no_server)
{
    auto state = three_centres({.full = 1, .cheap = 7}, 0);
    state.known_since = {};
    state.want(1, at);
    EXPECT_TRUE(plan_fleet(model_service(), state, at + seconds{2}, {}).empty());
    EXPECT_FALSE(plan_fleet(model_service(), state, at + seconds{9}, {}).empty());
}

// The first calls of a swing ask for ten engines. A rate that decays over eight seconds
// would show a quarter of that after two, and the change of roles would come too late.
TEST(load_policy, demand_is_known_soon_after_traffic_begins)
{
    work_meter meter;
    auto       now = at;
    for (int read = 0; read < 100; ++read)
    {
        meter.prompt_read({.tokens = 50'000, .took = seconds{1}});
    }
    for (int call = 0; call < 200; ++call)
    {
        meter.prompt(5000, now);
        now += millis{10};
    }
    EXPECT_NEAR(meter.demand(now).prefill_engines(), 10, 1.5);
}

// Demand falls between two bursts: what the next one needs isn't given up meanwhile.
TEST(load_policy, wanted_servers_are_remembered_between_bursts)
{
    fleet_state state;
    state.want(12, at);
    state.want(3, at + seconds{5});
    EXPECT_EQ(state.wanted, 12);
    state.want(3, at + seconds{9});
    EXPECT_EQ(state.wanted, 3);
}

TEST(load_policy, services_whose_servers_are_not_sold_get_no_orders)
{
    service const plain{.name = "desk"};
    EXPECT_TRUE(plan_fleet(plain, three_centres({.full = 1}, 3), at, {}).empty());
}

} // namespace
} // namespace marigoldcrank
