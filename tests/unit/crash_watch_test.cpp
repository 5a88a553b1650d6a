// Detection of requests that crash servers, as opposed to those in flight at another
// crash.
#include "policy/crash_watch.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1} + millis{ms}};
}

crash_update crash(std::string const& server, std::string const& call)
{
    return {.content = "c", .server = server, .call_id = call};
}

/// Delivers all updates that `from` publishes to `to`.
void deliver(crash_watch& from, crash_watch& to, int ms)
{
    for (auto const& each : from.updates(at(ms)))
    {
        to.merge(each, at(ms));
    }
}

TEST(crash_watch, two_crashes_on_two_vms_block_a_request_on_all)
{
    crash_watch one;
    crash_watch other;
    EXPECT_TRUE(one.record_crash(crash("s1", "1"), at(0)));
    deliver(one, other, 150);
    EXPECT_FALSE(other.blocked("c", at(150)));
    EXPECT_TRUE(
        other.record_crash(crash("s1", "2"), at(1000))); // restarted under the same id
    deliver(other, one, 1150);
    EXPECT_TRUE(one.blocked("c", at(1150)));
    EXPECT_TRUE(other.blocked("c", at(1150)));
    EXPECT_FALSE(one.blocked("c", at(62'000)));
}

// Two callers send the same request when its server crashes for another reason, and both
// calls end at once, at two VMs. If they counted as two crashes, the request would be
// refused for a minute.
TEST(crash_watch, calls_broken_by_one_server_crash_count_once)
{
    crash_watch one;
    crash_watch other;
    one.record_crash(crash("s1", "1"), at(0));
    EXPECT_FALSE(one.record_crash(crash("s1", "2"), at(3)));
    other.record_crash(crash("s1", "3"), at(5));
    for (int ms = 150; ms < 3000; ms += 150)
    {
        deliver(one, other, ms);
        deliver(other, one, ms);
        EXPECT_FALSE(one.blocked("c", at(ms)));
        EXPECT_FALSE(other.blocked("c", at(ms)));
    }
}

// A harmless request loses its connection now and then, and another server completes it
// each time. If complete responses did not clear it, the second lost connection within a
// minute would block it.
TEST(crash_watch, a_complete_response_clears_a_suspect_on_all_vms)
{
    crash_watch one;
    crash_watch other;
    for (int round = 0; round < 5; ++round)
    {
        auto const begin = round * 5000;
        auto const call = std::to_string(round);
        EXPECT_TRUE(one.record_crash(crash("s1", call), at(begin)));
        deliver(one, other, begin + 150);
        one.record_response("c", at(begin + 200));
        for (int ms = begin + 300; ms < begin + 3000; ms += 150)
        {
            deliver(one, other, ms);
            deliver(other, one, ms);
        }
        EXPECT_FALSE(one.blocked("c", at(begin + 3000)));
        EXPECT_FALSE(other.blocked("c", at(begin + 3000)));
    }
}

TEST(crash_watch, published_updates_are_bounded_in_time_and_number)
{
    crash_watch watch;
    for (int call = 0; call < 500; ++call)
    {
        watch.record_crash({std::to_string(call), "s", std::to_string(call)}, at(0));
    }
    EXPECT_EQ(watch.updates(at(1)).size(), 64U);
    EXPECT_TRUE(watch.updates(at(4000)).empty());
}

// A VM that lost its links suspected every content in flight, and told the others.
TEST(crash_watch, withdrawn_crashes_are_cleared_on_all_vms)
{
    crash_watch one;
    crash_watch other;
    one.record_crash(crash("s1", "1"), at(0));
    deliver(one, other, 150);
    one.record_crash(crash("s2", "2"), at(3000));
    deliver(one, other, 3100);
    EXPECT_TRUE(other.blocked("c", at(3100)));
    one.withdraw_since(at(2900), at(3200));
    one.withdraw_since(at(2900), at(3250)); // links to another service are lost too
    deliver(one, other, 3300);
    EXPECT_FALSE(one.blocked("c", at(3300)));
    EXPECT_FALSE(other.blocked("c", at(3300)));
}

// Crashes from before the loss of the links count on.
TEST(crash_watch, earlier_crashes_are_not_withdrawn)
{
    crash_watch one;
    one.record_crash(crash("s1", "1"), at(0));
    one.record_crash(crash("s2", "2"), at(500));
    one.withdraw_since(at(2900), at(3200));
    EXPECT_TRUE(one.blocked("c", at(3300)));
}

} // namespace
} // namespace marigoldcrank
