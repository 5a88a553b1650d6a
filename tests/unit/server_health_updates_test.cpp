// Updates that VMs publish to each other about lost servers.
//
// Index: 1 publishing, 2 receiving
#include "policy/server_health.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{ms};
}

// 1. Publishing

// Without updates, engines that go down and up by turns cost every VM of a large fleet
// two failed attempts each, which uses up the shared retry budget within seconds.
TEST(server_health_updates, a_lost_server_is_avoided_and_published_at_once)
{
    server_health health;
    health.failed("e", true, at(0));
    EXPECT_TRUE(health.avoided("e", at(1)));
    auto const updates = health.updates(update_source::own, at(100));
    ASSERT_EQ(updates.count("e"), 1U);
    EXPECT_EQ(updates.at("e"), server_health_options{}.first_pause - millis{100});
    EXPECT_TRUE(health.updates(update_source::own, at(499)).empty());
}

// A full server has free slots again soon, and a single failed response says little. If
// they were published, other VMs would avoid sound servers.
TEST(server_health_updates, full_servers_and_single_failures_are_not_published)
{
    server_health health;
    health.refused("full", at(0));
    health.failed("grey", false, at(0));
    EXPECT_TRUE(health.updates(update_source::others, at(1)).empty());
    health.changed("other_role", at(0));
    EXPECT_EQ(health.updates(update_source::own, at(1)).count("other_role"), 1U);
}

// 2. Receiving

// Relays that passed received updates back to each other would keep a server avoided
// forever.
TEST(server_health_updates, updates_from_other_data_centres_are_not_sent_back)
{
    server_health relay;
    relay.receive("e", millis{400}, update_source::others, at(0));
    EXPECT_TRUE(relay.avoided("e", at(1)));
    EXPECT_TRUE(relay.updates(update_source::own, at(1)).empty());
    EXPECT_TRUE(relay.updates(update_source::centre, at(1)).empty());
    EXPECT_EQ(relay.updates(update_source::others, at(1)).count("e"), 1U);
    EXPECT_FALSE(relay.avoided("e", at(401)));
}

TEST(server_health_updates, an_own_success_overrides_received_updates)
{
    server_health health;
    health.receive("e", millis{4000}, update_source::centre, at(0));
    health.succeeded("e");
    EXPECT_FALSE(health.avoided("e", at(1)));
}

TEST(server_health_updates, received_pauses_are_capped_at_the_longest_pause)
{
    server_health health;
    health.receive("e", std::chrono::hours{5}, update_source::centre, at(0));
    EXPECT_TRUE(health.avoided("e", at(3999)));
    EXPECT_FALSE(health.avoided("e", at(4001)));
}

// The pause of a lost server ends at all VMs at once, and all send to it while it is
// idle.
TEST(server_health_updates, the_vm_that_found_a_loss_tries_the_server_first)
{
    server_health finder;
    server_health other;
    finder.failed("e", true, at(0));
    auto const left = finder.updates(update_source::own, at(0)).at("e");
    other.receive("e", left, update_source::centre, at(450), millis{900});
    EXPECT_FALSE(finder.avoided("e", at(501)));
    EXPECT_TRUE(other.avoided("e", at(501)));
    finder.failed("e", true, at(600));
    auto const again = finder.updates(update_source::own, at(600)).at("e");
    other.receive("e", again - millis{450}, update_source::centre, at(1050), millis{900});
    EXPECT_TRUE(other.avoided("e", at(2400)));
    EXPECT_FALSE(other.avoided("e", at(2501)));
}

// A VM that found a loss and ended must not keep the others from the server for good.
TEST(server_health_updates, a_heard_pause_ends_without_further_news)
{
    server_health other;
    other.receive("e", millis{500}, update_source::centre, at(0), millis{900});
    EXPECT_TRUE(other.avoided("e", at(1399)));
    EXPECT_FALSE(other.avoided("e", at(1401)));
    EXPECT_TRUE(other.updates(update_source::centre, at(501)).empty());
}

} // namespace
} // namespace marigoldcrank
