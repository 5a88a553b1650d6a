// Tests which engines change roles when they differ in pace.
#include "policy/role_split.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point const now{std::chrono::hours{1}};
role_need const              calm{2, 2}; // both roles carry it

/// Six prefill and twelve decode engines in two data centres, all of pace 1.
struct simulated_engines
{
    simulated_engines()
    {
        for (int number = 0; number < 18; ++number)
        {
            servers.push_back({.id = "engine-" + std::to_string(number),
                               .data_centre = number % 2 == 0 ? "east" : "west"});
            servers.back().role = number < 6 ? engine_role::prefill : engine_role::decode;
        }
        for (auto const& server : servers)
        {
            engines.push_back({.server = &server, .role = server.role});
        }
    }

    std::vector<std::string> plan(role_need const& need) const
    {
        std::vector<std::string> result;
        for (auto const* server : plan_role_changes(engines, need, now, {}))
        {
            result.push_back(server->id);
        }
        return result;
    }

    std::vector<backend_server> servers;
    std::vector<split_engine>   engines;
};

using ids = std::vector<std::string>;

// Long prompts are late at slow prefill engines, while fast engines decode.
TEST(role_split, fast_decode_engine_changes_places_with_a_slow_prefill_engine)
{
    simulated_engines fleet;
    fleet.engines[2].pace = 0.7;  // prefill, east
    fleet.engines[8].pace = 1.3;  // decode, east
    fleet.engines[10].pace = 1.7; // decode, east
    fleet.engines[9].pace = 1.4;  // decode, west; too little difference
    EXPECT_EQ(fleet.plan(calm), (ids{"engine-10", "engine-2"}));
}

// With one pair at a time, the engines of a large data centre would take minutes to have
// the roles that fit them.
TEST(role_split, several_pairs_of_a_data_centre_change_places_at_once)
{
    simulated_engines fleet;
    for (int copy = 0; copy < 2; ++copy) // three times as many engines of pace 1
    {
        auto const engines = fleet.engines;
        fleet.engines.insert(fleet.engines.end(), engines.begin(), engines.end());
    }
    fleet.engines[2].pace = 0.7;  // prefill, east
    fleet.engines[4].pace = 0.7;  // prefill, east
    fleet.engines[8].pace = 1.7;  // decode, east
    fleet.engines[10].pace = 1.7; // decode, east
    fleet.engines[3].pace = 0.7;  // prefill, west
    fleet.engines[9].pace = 1.7;  // decode, west
    EXPECT_EQ(fleet.plan({4, 4}), (ids{"engine-8", "engine-2", "engine-9", "engine-3",
                                       "engine-10", "engine-4"}));
}

// The time since the boot of a VM was taken for the time since an engine's last change.
TEST(role_split, engines_change_places_soon_after_the_boot_of_the_vm)
{
    simulated_engines fleet;
    fleet.engines[2].pace = 0.7;
    fleet.engines[10].pace = 1.7;
    boot_clock::time_point const booted{std::chrono::seconds{5}};
    EXPECT_EQ(plan_role_changes(fleet.engines, calm, booted, {}).size(), 2U);
}

// The paths of two data centres would be crossed by a pair of both.
TEST(role_split, engines_of_different_data_centres_do_not_change_places)
{
    simulated_engines fleet;
    fleet.engines[2].pace = 0.7; // prefill, east
    for (std::size_t prefill : {0U, 4U})
    {
        fleet.engines[prefill].pace = 1.7;
    }
    fleet.engines[9].pace = 1.4; // decode, west
    EXPECT_TRUE(fleet.plan(calm).empty());
}

// Each change takes an engine out of service for seconds.
TEST(role_split, no_engines_change_places_while_busy_or_after_another_change)
{
    simulated_engines fleet;
    fleet.engines[2].pace = 0.7;
    fleet.engines[10].pace = 1.7;
    ASSERT_EQ(fleet.plan(calm).size(), 2U);
    EXPECT_TRUE(fleet.plan({5.5, 11}).empty());
    fleet.engines[12].changed = now - millis{2000}; // another one in east
    EXPECT_TRUE(fleet.plan(calm).empty());
    fleet.engines[12].changed = {};
    fleet.engines[10].changed = now - millis{30'000}; // itself, lately
    EXPECT_TRUE(fleet.plan(calm).empty());
    fleet.engines[10].changed = now - millis{130'000};
    EXPECT_EQ(fleet.plan(calm).size(), 2U);
}

// Of a small fleet a pair would be too much at a time.
TEST(role_split, swaps_keep_the_limit_of_changes)
{
    simulated_engines fleet;
    fleet.engines.erase(fleet.engines.begin() + 11, fleet.engines.end());
    fleet.engines[2].pace = 0.7;
    fleet.engines[10].pace = 1.7;
    EXPECT_TRUE(fleet.plan(calm).empty());
}

TEST(role_split, fastest_engines_become_prefill_engines_and_slowest_decode_engines)
{
    simulated_engines fleet;
    fleet.engines[10].pace = 1.7;
    fleet.engines[10].running = 5;
    fleet.engines[13].pace = 1.7;
    fleet.engines[3].pace = 0.6;
    fleet.engines[4].pace = 0.6;
    auto const more = fleet.plan({9, 2});
    EXPECT_EQ(std::count(more.begin(), more.end(), "engine-10"), 1);
    EXPECT_EQ(std::count(more.begin(), more.end(), "engine-13"), 1);
    auto const fewer = fleet.plan({1, 14});
    EXPECT_EQ(std::count(fewer.begin(), fewer.end(), "engine-3"), 1);
    EXPECT_EQ(std::count(fewer.begin(), fewer.end(), "engine-4"), 1);
}

} // namespace
} // namespace marigoldcrank
