// Draws of servers from the index, in which a call must not look at each server.
#include "ledger/server_list.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace marigoldcrank
{
namespace
{

backend_server engine(int number, engine_role role = engine_role::decode)
{
    return {.id = "engine-" + std::to_string(number),
            .data_centre = "centre-" + std::to_string(number % 5),
            .group = "models",
            .role = role};
}

/// A list of `count` engines, a third of them for prefill.
void fill(server_list& list, int count)
{
    for (int number = 0; number < count; ++number)
    {
        list.put(
            engine(number, number % 3 == 0 ? engine_role::prefill : engine_role::decode));
    }
}

/// Servers looked at by 1000 draws of an engine in one data centre.
std::size_t servers_looked_at(int count)
{
    server_list list;
    fill(list, count);
    std::size_t     looked_at = 0;
    std::mt19937_64 random{20261202};
    for (int draw = 0; draw < 1000; ++draw)
    {
        auto const near = [&](backend_server const& server)
        {
            ++looked_at;
            return server.data_centre == "centre-2";
        };
        EXPECT_NE(list.index().first_from("models", engine_ring::others, random(), near),
                  nullptr);
    }
    return looked_at;
}

// With thousands of servers a call took a large part of its objective to look at each.
TEST(server_index, cost_of_a_draw_does_not_grow_with_the_servers)
{
    auto const few = servers_looked_at(300);
    EXPECT_LT(servers_looked_at(3000), few * 3 / 2);
    EXPECT_LT(servers_looked_at(6000), few * 3 / 2);
    EXPECT_LT(few, 10000U); // a fifth of the engines is in the data centre
}

TEST(server_index, draws_spread_over_all_engines)
{
    server_list list;
    fill(list, 300);
    std::mt19937_64            random{20261202};
    std::map<std::string, int> drawn;
    for (int draw = 0; draw < 20000; ++draw)
    {
        auto const* server = list.index().first_from(
            "models", engine_ring::others, random(),
            [](backend_server const& each) { return !each.leaving; });
        ASSERT_NE(server, nullptr);
        ++drawn[server->id];
    }
    EXPECT_GT(drawn.size(), 195U); // of 200
}

TEST(server_index, follows_changes_of_the_list)
{
    server_list list;
    fill(list, 30);
    auto const& index = list.index();
    EXPECT_EQ(index.size("models", engine_ring::prefill), 10U);
    EXPECT_EQ(index.staying("models"), 30);
    list.put(engine(0, engine_role::decode));
    EXPECT_EQ(index.size("models", engine_ring::prefill), 9U);
    EXPECT_EQ(index.size("models", engine_ring::others), 21U);
    EXPECT_TRUE(list.mark_leaving("engine-1"));
    EXPECT_EQ(index.staying("models"), 29);
    EXPECT_TRUE(list.drop("engine-1", boot_clock::now()));
    EXPECT_EQ(index.staying("models"), 29);
    EXPECT_EQ(index.size("models", engine_ring::others), 20U);
    EXPECT_EQ(index.size("other", engine_ring::others), 0U);
}

// All VMs must send the same prompt to the same engine, and go on with the next one when
// it is lost.
TEST(server_index, hash_leads_to_one_engine_until_it_is_lost)
{
    server_list list;
    fill(list, 300);
    std::set<std::string> lost;
    auto const            usable = [&](backend_server const& server)
    {
        return lost.count(server.id) == 0;
    };
    auto const first = [&](server_list const& from)
    {
        return from.index().first_from("models", engine_ring::prefill, 77, usable)->id;
    };
    server_list other;
    for (int number = 299; number >= 0; --number)
    {
        other.put(
            engine(number, number % 3 == 0 ? engine_role::prefill : engine_role::decode));
    }
    auto const chosen = first(list);
    EXPECT_EQ(first(other), chosen);
    lost.insert(chosen);
    EXPECT_NE(first(list), chosen);
    EXPECT_EQ(first(other), first(list));
}

} // namespace
} // namespace marigoldcrank
