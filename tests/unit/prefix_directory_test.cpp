// Tests which prompt parts the directory lists as cached at which engines.
//
// Index: 1 chains, 2 updates, 3 expiry
#include "policy/prefix_directory.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

using prompt = std::vector<prompt_part>;

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{ms};
}

std::map<std::string, cached_tokens> only(std::string const& server, std::int64_t tokens)
{
    return {{server, {tokens, tokens}}};
}

// 1. Chains

TEST(prefix_directory, a_part_counts_only_if_all_parts_before_it_are_cached)
{
    prefix_directory caches;
    caches.sent("e", {{"a", 100}, {"b", 1000}, {"own", 10}}, millis{0}, at(0));
    EXPECT_EQ(caches.cached({{"a", 100}, {"b", 1000}, {"x", 7}}, at(1)), only("e", 1100));
    EXPECT_EQ(caches.cached({{"a", 100}, {"c", 1000}, {"x", 7}}, at(1)), only("e", 100));
    EXPECT_TRUE(caches.cached({{"c", 50}, {"b", 1000}, {"x", 7}}, at(1)).empty());
    EXPECT_TRUE(
        caches.cached({{"own", 10}, {"x", 7}}, at(1)).empty()); // one caller's part
    EXPECT_TRUE(caches.cached({}, at(1)).empty());
}

TEST(prefix_directory, engines_with_fewer_cached_parts_are_listed_with_fewer_tokens)
{
    prefix_directory caches;
    caches.sent("e", {{"a", 100}, {"b", 1000}, {"own", 10}}, millis{0}, at(0));
    caches.sent("f", {{"a", 100}, {"own", 10}}, millis{0}, at(0));
    auto const cached = caches.cached({{"a", 100}, {"b", 1000}, {"x", 7}}, at(1));
    EXPECT_EQ(cached.at("e").all, 1100);
    EXPECT_EQ(cached.at("f").all, 100);
}

// A call that counts on a part whose prefill hasn't ended repeats the prefill.
TEST(prefix_directory, a_part_is_ready_after_its_prefill)
{
    prefix_directory caches;
    prompt const     call{{"a", 100}, {"b", 1000}, {"own", 10}};
    caches.sent("e", {{"a", 100}, {"own", 10}}, millis{0}, at(0));
    caches.sent("e", call, millis{300}, at(10));
    EXPECT_EQ(caches.cached(call, at(100)).at("e"), (cached_tokens{1100, 100}));
    caches.sent("e", call, millis{300}, at(200)); // waits for the same prefill
    EXPECT_EQ(caches.cached(call, at(310)).at("e"), (cached_tokens{1100, 1100}));
}

// 2. Updates

TEST(prefix_directory, a_part_is_published_once_and_again_after_the_interval)
{
    prefix_directory sender;
    prefix_directory receiver;
    prompt const     call{{"a", 100}, {"own", 10}};
    sender.sent("e", call, millis{0}, at(0));
    sender.sent("e", call, millis{0}, at(10));
    auto const updates = sender.take_updates()[update_source::own];
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().parts.size(), 1U);
    receiver.receive(updates.front(), update_source::centre, at(100));
    EXPECT_EQ(receiver.cached(call, at(101)).at("e").ready, 0); // still in prefill
    EXPECT_EQ(receiver.cached(call, at(600)), only("e", 100));
    EXPECT_TRUE(sender.take_updates().empty());
    sender.sent("e", call, millis{0}, at(5000));
    EXPECT_EQ(sender.take_updates()[update_source::own].size(), 1U);
}

// If two relays passed on updates that they receive from each other, the updates would
// circulate for ever and fill the links and the memory of small VMs within seconds.
TEST(prefix_directory, received_updates_are_published_once_and_by_source)
{
    prefix_directory relay;
    relay.receive({"e", {1, 2}}, update_source::centre, at(0));
    relay.receive({"f", {3}}, update_source::others, at(0));
    auto const published = relay.take_updates();
    EXPECT_EQ(published.at(update_source::centre),
              (std::vector<prefix_update>{{"e", {1, 2}}}));
    EXPECT_EQ(published.at(update_source::others),
              (std::vector<prefix_update>{{"f", {3}}}));
    relay.receive({"e", {1, 2}}, update_source::others, at(150));
    EXPECT_TRUE(relay.take_updates().empty());
}

// 3. Expiry

// An engine that has restarted under its old id has an empty cache. Calls must not be
// sent to it because of its earlier entries.
TEST(prefix_directory, a_restarted_engine_has_no_entries)
{
    prefix_directory caches;
    prompt const     call{{"a", 100}, {"own", 10}};
    caches.sent("e", call, millis{0}, at(0));
    caches.forget("e");
    EXPECT_TRUE(caches.cached(call, at(1)).empty());
}

// Engines leave and return under the same id while parts expire. The index by part and
// the index by engine must stay consistent, or a call waits for a cache that no longer
// exists.
TEST(prefix_directory, entries_from_before_a_restart_do_not_return)
{
    prefix_directory caches;
    prompt const     part{{"a", 100}, {"own", 10}};
    auto const       max_age = prefix_directory_options{}.max_age;
    for (int round = 0; round < 3; ++round)
    {
        auto const start = at(0) + max_age * 3 * round;
        caches.sent("e", part, millis{0}, start);
        caches.sent("f", part, millis{0}, start);
        caches.forget("e");
        caches.forget("e");
        EXPECT_EQ(caches.cached(part, start), only("f", 100));
        caches.sent("e", part, millis{0}, start);
        EXPECT_EQ(caches.cached(part, start).size(), 2U);
        caches.expire(start + max_age * 2);
        EXPECT_EQ(caches.size(), 0U);
        caches.forget("f");
    }
}

TEST(prefix_directory, parts_unused_for_longer_than_their_max_age_expire)
{
    prefix_directory caches;
    prompt const     call{{"a", 100}, {"own", 10}};
    caches.sent("e", call, millis{0}, at(0));
    auto const later = at(0) + prefix_directory_options{}.max_age + millis{1};
    EXPECT_TRUE(caches.cached(call, later).empty());
    EXPECT_EQ(caches.size(), 1U);
    caches.expire(later);
    EXPECT_EQ(caches.size(), 0U);
}

TEST(prefix_directory, tokens_at_one_engine_are_those_of_the_whole_list)
{
    prefix_directory caches;
    caches.sent("e", {{"a", 100}, {"b", 1000}, {"x", 7}}, millis{0}, at(0));
    caches.sent("f", {{"a", 100}, {"y", 7}}, millis{50}, at(0));
    std::vector<prompt_part> const shared{{"a", 100}, {"b", 1000}, {"z", 7}};
    for (auto const& [server, cached] : caches.cached(shared, at(10)))
    {
        EXPECT_EQ(caches.cached_at(server, shared, at(10)), cached);
    }
    EXPECT_EQ(caches.cached_at("f", shared, at(10)), (cached_tokens{100, 0}));
    EXPECT_EQ(caches.cached_at("g", shared, at(10)), cached_tokens{});
}

// Thousands of engines hold a part that most prompts share. A call looks at a few, those
// with the longest parts first, and not always at the same ones.
TEST(prefix_directory, holders_of_a_popular_part_are_few_and_differ)
{
    prefix_directory caches;
    for (int engine = 1000; engine < 4000; ++engine)
    {
        caches.sent(std::string{"e"}.append(std::to_string(engine)),
                    {{"a", 100}, {"x", 7}}, millis{0}, at(0));
    }
    caches.sent("e1500", {{"a", 100}, {"b", 1000}, {"x", 7}}, millis{0}, at(0));
    std::vector<prompt_part> const shared{{"a", 100}, {"b", 1000}, {"z", 7}};
    auto const                     some = caches.holders_of(shared, "e2000", 8, at(10));
    ASSERT_EQ(some.size(), 8U);
    EXPECT_EQ(some.front(), "e1500");
    auto const others = caches.holders_of(shared, "e3000", 8, at(10));
    EXPECT_EQ(others.front(), "e1500");
    EXPECT_NE(others[1], some[1]);
    EXPECT_TRUE(caches.holders_of({{"q", 1}, {"z", 7}}, "", 8, at(10)).empty());
}

// A caller that lists new parts in each call must not fill the memory.
TEST(prefix_directory, parts_have_a_bound_until_others_leave)
{
    prefix_directory caches{{.max_parts_per_prompt = 2, .max_uses = 3}};
    caches.sent("e", {{"a", 1}, {"b", 1}, {"c", 1}, {"own", 1}}, millis{0}, at(0));
    EXPECT_EQ(caches.size(), 2U);
    caches.sent("e", {{"d", 1}, {"f", 1}, {"own", 1}}, millis{0}, at(0));
    EXPECT_EQ(caches.size(), 3U);
    EXPECT_EQ(caches.dropped(), 1U);
    caches.sent("e", {{"a", 1}, {"own", 1}}, millis{0}, at(15000));
    EXPECT_EQ(caches.dropped(), 1U);
    caches.expire(at(25000));
    EXPECT_EQ(caches.size(), 1U);
    caches.sent("e", {{"g", 1}, {"h", 1}, {"own", 1}}, millis{0}, at(25000));
    EXPECT_EQ(caches.size(), 3U);
    caches.forget("e");
    caches.sent("e", {{"i", 1}, {"j", 1}, {"own", 1}}, millis{0}, at(25000));
    EXPECT_EQ(caches.dropped(), 1U);
}

} // namespace
} // namespace marigoldcrank
