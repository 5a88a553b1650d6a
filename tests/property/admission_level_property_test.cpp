// The level of admission and the times of return, for any demand.
//
// Index: 1 level, 2 shares, 3 stability, 4 return
#include "policy/admission_level.hpp"
#include "policy/return_schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at(std::int64_t ms)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{ms};
}

service_work any_works()
{
    service_work works;
    auto const   count = *rc::gen::inRange(1, 6);
    for (int rank = 0; rank < count; ++rank)
    {
        works.ranks[rank].offered = *rc::gen::inRange(1, 50'000);
    }
    return works;
}

double total(service_work const& works)
{
    double sum = 0;
    for (auto const& [rank, work] : works.ranks)
    {
        sum += work.offered;
    }
    return sum;
}

} // namespace

// 1. Level

RC_GTEST_PROP(admission_level, fills_the_capacity_by_rank, ())
{
    auto const works = any_works();
    auto const capacity = static_cast<double>(*rc::gen::inRange(1, 100'000));
    auto const level = level_for(works, capacity, 0);
    double     served = 0;
    for (auto const& [rank, work] : works.ranks)
    {
        auto const part = !level.set || rank < level.rank ? 1.0
                          : rank == level.rank            ? level.part
                                                          : 0.0;
        served += part * work.offered;
    }
    RC_ASSERT(std::abs(served - std::min(total(works), capacity)) < 1.0);
}

// Whatever is offered, nothing is refused while half of the servers can begin a call, or
// while much less is offered than they can do.
RC_GTEST_PROP(admission_level, refuses_nothing_while_half_of_the_servers_are_ready, ())
{
    level_control control;
    for (int step = 0; step < 100; ++step)
    {
        level_input input{.offered = any_works(),
                          .capacity = static_cast<double>(*rc::gen::inRange(1, 60'000)),
                          .ready_share = *rc::gen::inRange(0, 100) / 100.0,
                          .queue_ms = static_cast<double>(*rc::gen::inRange(0, 3000)),
                          .objective = millis{500},
                          .age = millis{150}};
        auto const  level = control.update(input, at(step * 150));
        RC_ASSERT(!level.set || input.ready_share < 0.5);
        RC_ASSERT(!level.set || total(input.offered) >= 0.9 * 0.3 * input.capacity);
    }
}

// The most urgent rank is refused only if it alone asks for more than the servers do.
RC_GTEST_PROP(admission_level, urgent_rank_is_never_refused_for_others, ())
{
    auto works = any_works();
    works.ranks[0].offered = 1000;
    auto const level = level_for(works, 1000, 0);
    RC_ASSERT(level.admits(0, "", 0.999));
}

// Between the bounds the level stays as it is, but a VM that has computed none for long
// doesn't keep it.
TEST(admission_level, level_holds_between_the_bounds_and_is_lifted_when_old)
{
    level_input const over{.offered = {.ranks = {{0, {2000}}}},
                           .capacity = 1000,
                           .ready_share = 0,
                           .queue_ms = 100.1,
                           .objective = millis{500}};
    level_input       between = over;
    between.offered.ranks[0].offered = 1050;
    between.ready_share = 0.3;
    level_control control;
    EXPECT_FALSE(control.update(between, at(0)).set);
    EXPECT_TRUE(control.update(over, at(150)).set);
    EXPECT_TRUE(control.update(between, at(300)).set);
    EXPECT_FALSE(control.update(between, at(10'000)).set);
}

// Servers whose queues are short are left to work, whatever is offered.
TEST(admission_level, short_queues_set_no_level)
{
    level_control     control;
    level_input const burst{.offered = {.ranks = {{0, {5000}}}},
                            .capacity = 1000,
                            .ready_share = 0,
                            .queue_ms = 90,
                            .objective = millis{500}};
    for (int step = 0; step < 40; ++step)
    {
        EXPECT_FALSE(control.update(burst, at(step * 150)).set);
    }
}

// 2. Shares

namespace
{

constexpr std::int64_t workspaces = 20;

/// The part of each workspace's work that is admitted, when digests name the heaviest.
std::map<std::string, double> admitted_parts(std::map<std::string, double> const& asks,
                                             double capacity)
{
    service_work offered;
    for (auto const& [name, work] : asks)
    {
        offered.ranks[1].offered += work;
        offered.workspaces[{1, name}] = work;
    }
    keep_heaviest(offered);
    auto const                    level = level_for(offered, capacity, workspaces);
    std::map<std::string, double> parts;
    for (auto const& [name, work] : asks)
    {
        parts[name] = level.set ? level.part_of(name) : 1;
    }
    return parts;
}

} // namespace

// One workspace asks for ten times its usual. The others, which ask for less than an
// equal share, lose nothing.
TEST(workspace_shares, flood_of_one_workspace_costs_the_others_nothing)
{
    std::map<std::string, double> asks;
    for (int index = 0; index < workspaces; ++index)
    {
        asks["w-" + std::to_string(index)] = 40 - index;
    }
    auto const usual = 700.0; // ms/s; all of them together ask for 610
    for (auto const& [name, part] : admitted_parts(asks, usual))
    {
        EXPECT_EQ(part, 1) << name;
    }
    asks["w-3"] *= 10;
    double admitted = 0;
    for (auto const& [name, part] : admitted_parts(asks, usual))
    {
        admitted += part * asks[name];
        EXPECT_TRUE(name == "w-3" || part == 1) << name;
    }
    EXPECT_NEAR(admitted, usual, 2);
}

// The heaviest workspaces, which digests name, get their max-min shares, and all together
// no more than there is.
RC_GTEST_PROP(workspace_shares, named_workspaces_get_their_max_min_shares, ())
{
    std::map<std::string, double> asks;
    double                        sum = 0;
    auto const count = *rc::gen::inRange<int>(1, static_cast<int>(named_workspaces) + 1);
    for (int index = 0; index < count; ++index)
    {
        auto const ask = static_cast<double>(*rc::gen::inRange(100, 10'000));
        asks["w-" + std::to_string(index)] = ask;
        sum += ask;
    }
    auto const capacity = static_cast<double>(*rc::gen::inRange(100, 20'000));
    auto const parts = admitted_parts(asks, capacity);
    double     admitted = 0;
    double     most = 0;
    for (auto const& [name, part] : parts)
    {
        admitted += part * asks[name];
        most = std::max(most, part * asks[name]);
    }
    RC_ASSERT(admitted <= std::min(sum, capacity) + 1);
    RC_ASSERT(admitted >= std::min(sum, capacity) - static_cast<double>(count) - 1);
    for (auto const& [name, part] : parts)
    {
        RC_ASSERT(part == 1 || part * asks[name] > most - 1);
    }
}

// Sums over many VMs name no more workspaces than those of one.
RC_GTEST_PROP(workspace_shares, sums_name_a_bounded_number_of_workspaces, ())
{
    service_work sum;
    for (int vm = 0; vm < 10; ++vm)
    {
        work_by_caller meter;
        for (int call = 0; call < 20; ++call)
        {
            meter.record(1, "w-" + std::to_string(*rc::gen::inRange(0, 200)), 10,
                         at(call));
        }
        auto const own = meter.work(at(20));
        RC_ASSERT(own.workspaces.size() <= named_workspaces);
        sum.add(own);
        keep_heaviest(sum);
    }
    RC_ASSERT(sum.workspaces.size() <= named_workspaces);
    RC_ASSERT(sum.ranks.at(1).offered > 0);
}

// 3. Stability

namespace
{

struct stability_result
{
    int    lifts = 0;        // of the level
    double admitted = 0;     // of the capacity
    double longest = 0;      // ms; queue, once it has shrunk
    double urgent_share = 1; // of the urgent rank's calls, least of all steps
};

/// Plays a steady load above the capacity. The level sees everything `age` late.
stability_result simulate_level(int age, double load)
{
    constexpr double                        servers = 20;
    constexpr double                        capacity = servers * 1000; // ms/s
    constexpr int                           step = 50;                 // ms
    level_control                           control;
    stability_result                        result;
    std::deque<std::pair<level_input, int>> known;
    admission_level                         level;
    double                                  queue = 0; // ms, at each server
    double                                  admitted = 0;
    int                                     steps = 0;
    for (int now = 0; now < 60'000; now += step)
    {
        service_work const offered{
            .ranks = {{0, {0.2 * load * capacity}}, {2, {0.8 * load * capacity}}}};
        double work = 0; // ms, at each server
        for (auto const& [rank, each] : offered.ranks)
        {
            auto const part = !level.set || rank < level.rank ? 1.0
                              : rank == level.rank            ? level.part
                                                              : 0.0;
            work += part * each.offered / servers * step / 1000;
            result.urgent_share =
                rank == 0 ? std::min(result.urgent_share, part) : result.urgent_share;
        }
        queue = std::max(0.0, queue + work - step);
        known.push_back({{.offered = offered,
                          .capacity = capacity,
                          .ready_share = queue > 30 ? 0.0 : 0.3,
                          .queue_ms = queue,
                          .objective = millis{500},
                          .age = millis{age}},
                         now});
        while (known.size() > 1 && known[1].second <= now - age)
        {
            known.pop_front();
        }
        auto const next = control.update(known.front().first, at(now));
        result.lifts += level.set && !next.set ? 1 : 0;
        level = next;
        if (now > 30'000)
        {
            admitted += work;
            result.longest = std::max(result.longest, queue);
            ++steps;
        }
    }
    result.admitted = admitted / (steps * step);
    return result;
}

} // namespace

// A steady overload, known from digests of half a second to three seconds. The level is
// set once and holds: it doesn't refuse and admit in turns, servers don't run out of
// work, and their queues stay short.
TEST(admission_level, steady_overload_does_not_make_the_level_swing)
{
    for (int const age : {0, 500, 1000, 3000})
    {
        for (double const load : {1.2, 1.7, 2.4})
        {
            auto const result = simulate_level(age, load);
            EXPECT_EQ(result.lifts, 0) << age << " " << load;
            EXPECT_NEAR(result.admitted, 1, 0.02) << age << " " << load;
            EXPECT_LT(result.longest, 200) << age << " " << load;
            EXPECT_EQ(result.urgent_share, 1) << age << " " << load;
        }
    }
}

// 4. Return

// No caller is told to wait for more than a third of its time, and those refused first
// return first, as long as there is time for all.
RC_GTEST_PROP(return_schedule, callers_return_in_order_and_in_time, ())
{
    return_schedule schedule;
    millis          last{0};
    auto const      left = millis{*rc::gen::inRange(300, 10'000)};
    for (int call = 0; call < 50; ++call)
    {
        auto const wait =
            schedule.next({.work_ms = static_cast<double>(*rc::gen::inRange(1, 500)),
                           .servers = 2,
                           .earliest = millis{*rc::gen::inRange(0, 300)},
                           .left = left},
                          at(0));
        RC_ASSERT(wait <= std::max(left / 3, return_options{}.least));
        RC_ASSERT(wait >= last);
        last = wait;
    }
}

// Those who return at their times never ask for more than the servers can do.
RC_GTEST_PROP(return_schedule, returns_are_spread_over_what_the_servers_can_do, ())
{
    return_schedule schedule;
    double          work = 0;
    millis          last{0};
    for (int call = 0; call < 20; ++call)
    {
        auto const takes = static_cast<double>(*rc::gen::inRange(1, 100));
        last = schedule.next({.work_ms = takes, .servers = 2, .left = millis{100'000}},
                             at(0));
        RC_ASSERT(work <= 2 * static_cast<double>(last.count()) + 1);
        work += takes;
    }
}

} // namespace marigoldcrank
