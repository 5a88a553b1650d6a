// Detection of requests that crash servers, as opposed to calls that break off for other
// reasons.
//
// Index: 1 helpers, 2 blocked contents, 3 evidence against a crash, 4 updates, 5 bounds
#include "policy/crash_watch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{
namespace
{

// 1. Helpers

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1} + millis{ms}};
}

/// A call of content "c" that broke off after 50 ms.
crash_update crash(std::string const& server, std::string const& call)
{
    return {.content = "c", .server = server, .call_id = call, .ran = millis{50}};
}

/// Records a crash of a call whose connection was new.
bool record(crash_watch& watch, crash_update const& update, int ms)
{
    return watch.record_crash(update, at(ms) - update.ran, at(ms));
}

bool blocked(crash_watch const& watch, boot_clock::time_point now)
{
    return watch.evaluate({.content = "c", .call_id = "x"}, now) ==
           crash_verdict::content_blocked;
}

/// Records a complete response to a call of content "c".
std::size_t complete(crash_watch& watch, int sent, int ms)
{
    return watch.record_completion({.content = "c", .call_id = "x"}, at(sent), at(ms))
        .size();
}

/// Delivers all updates that `from` publishes to `to`.
void deliver(crash_watch& from, crash_watch& to, int ms)
{
    for (auto const& each : from.take_updates(at(ms)))
    {
        to.merge(each.crash, update_source::centre, at(ms));
    }
}

// 2. Blocked contents

TEST(crash_watch, two_crashes_on_two_vms_block_a_request_on_all)
{
    crash_watch one;
    crash_watch other;
    EXPECT_TRUE(record(one, crash("s1", "1"), 0));
    deliver(one, other, 150);
    EXPECT_FALSE(blocked(other, at(150)));
    EXPECT_TRUE(record(other, crash("s1", "2"), 1000)); // restarted under the same id
    deliver(other, one, 1150);
    EXPECT_TRUE(blocked(one, at(1150)));
    EXPECT_TRUE(blocked(other, at(1150)));
}

// A blocked request crashed servers anew every minute.
TEST(crash_watch, block_ends_after_a_minute)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 1000);
    int crashes = 2;
    for (int ms = 1000; ms < 86'400'000; ms += 1000)
    {
        if (!blocked(watch, at(ms)))
        {
            record(watch, crash("s3", std::to_string(++crashes)), ms);
        }
    }
    EXPECT_LE(crashes, 6); // a day; three after the third
}

bool begin(crash_watch& watch, std::string const& call, int ms)
{
    call_features const features{.content = "c", .call_id = call};
    bool const may_run = watch.begin_attempt(features, at(ms)) == crash_verdict::may_run;
    if (may_run)
    {
        watch.record_sent(features, at(ms));
    }
    return may_run;
}

// Trials of a blocked request that servers rejected were repeated every two seconds.
TEST(crash_watch, trial_without_an_outcome_is_repeated_at_once)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 1000);
    int trials = 0;
    for (int ms = 1000; ms < 86'400'000; ms += 1000)
    {
        trials += begin(watch, std::to_string(ms), ms) ? 1 : 0;
    }
    EXPECT_LE(trials, 4); // a day
    EXPECT_GE(trials, 2);
}

// As above, at each VM: one didn't know of the trials of another.
TEST(crash_watch, trial_without_an_outcome_is_repeated_at_every_vm)
{
    std::vector<crash_watch> vms;
    for (int vm = 0; vm < 9; ++vm)
    {
        vms.emplace_back(crash_watch_options{.vm = "vm-" + std::to_string(vm)});
        vms.back().merge(crash("s1", "1"), update_source::centre, at(0));
        vms.back().merge(crash("s2", "2"), update_source::centre, at(1000));
    }
    int trials = 0;
    for (int ms = 1000; ms < 120'000; ms += 50)
    {
        for (std::size_t vm = 0; vm < vms.size(); ++vm)
        {
            auto const call = std::to_string(vm) + "-" + std::to_string(ms);
            trials += begin(vms[vm], call, ms) ? 1 : 0;
        }
        for (auto& from : vms)
        {
            auto const crashes = from.take_updates(at(ms));
            auto const updates = from.take_trials(at(ms));
            for (auto& to : vms)
            {
                for (auto const& each : crashes)
                {
                    to.merge(each.crash, update_source::centre, at(ms));
                }
                for (auto const& each : updates)
                {
                    to.merge(each.trial, update_source::centre, at(ms));
                }
            }
        }
    }
    EXPECT_LE(trials, 3); // two minutes
    EXPECT_GE(trials, 1);
}

// The same for a part that crashes servers, in requests that are otherwise different.
TEST(crash_watch, trial_of_a_part_without_an_outcome_is_repeated_at_once)
{
    crash_watch watch;
    for (int number = 0; number < 5; ++number)
    {
        auto const id = std::to_string(number);
        watch.record_crash(
            {.content = id, .server = id, .call_id = id, .parts = {7}, .ran = millis{50}},
            at(1000 * number - 50), at(1000 * number));
    }
    int trials = 0;
    for (int ms = 5000; ms < 86'400'000; ms += 500)
    {
        auto const          id = std::to_string(ms);
        call_features const call{.content = id, .parts = {7}, .call_id = id};
        bool const may_run = watch.begin_attempt(call, at(ms)) == crash_verdict::may_run;
        trials += may_run ? 1 : 0;
        if (may_run)
        {
            EXPECT_TRUE(watch.record_sent(call, at(ms)));
        }
    }
    EXPECT_LE(trials, 4); // a day
    EXPECT_GE(trials, 2);
}

// The trial of a block runs after its prefill, and isn't sent to a second server.
TEST(crash_watch, trial_is_blocked_by_itself)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 1000);
    call_features const call{.content = "c", .call_id = "trial"};
    EXPECT_FALSE(watch.was_tried(call));
    ASSERT_TRUE(begin(watch, "trial", 12'000));
    EXPECT_TRUE(begin(watch, "trial", 12'500));
    EXPECT_TRUE(watch.was_tried(call));
    EXPECT_FALSE(begin(watch, "other", 12'500));
    record(watch, crash("s3", "other"), 12'600);
    EXPECT_FALSE(begin(watch, "trial", 12'700));
}

// A trial that reached no server, or was served, lengthens no block.
TEST(crash_watch, trial_that_reached_no_server_lengthens_the_block)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 1000);
    ASSERT_TRUE(begin(watch, "1st", 12'000));
    watch.forget_trial("1st");
    ASSERT_TRUE(begin(watch, "2nd", 14'100));
    watch.record_completion({.content = "c", .call_id = "2nd"}, at(14'100), at(14'200));
    EXPECT_TRUE(begin(watch, "3rd", 14'300));
    EXPECT_TRUE(begin(watch, "4th", 14'300));
}

// Two callers send the same request when its server crashes for another reason, and both
// calls end at once, at two VMs. If they counted as two crashes, the request would be
// refused.
TEST(crash_watch, calls_broken_by_one_server_crash_count_once)
{
    crash_watch one;
    crash_watch other;
    record(one, crash("s1", "1"), 0);
    record(one, crash("s1", "2"), 3);
    record(other, crash("s1", "3"), 5);
    for (int ms = 150; ms < 3000; ms += 150)
    {
        deliver(one, other, ms);
        deliver(other, one, ms);
        EXPECT_FALSE(blocked(one, at(ms)));
        EXPECT_FALSE(blocked(other, at(ms)));
    }
}

// Several servers were lost at once, each with a call of a popular content.
TEST(crash_watch, servers_lost_together_block_what_they_ran)
{
    crash_watch watch;
    for (int server = 0; server < 10; ++server)
    {
        auto const name = std::to_string(server);
        record(watch, crash(name, name), server);
    }
    EXPECT_FALSE(blocked(watch, at(10)));
}

// A call that is retried after its first server crashed, and crashes the next one.
TEST(crash_watch, retry_within_a_call_counts_as_a_second_crash)
{
    crash_watch one;
    crash_watch other;
    record(one, crash("s1", "1"), 0);
    deliver(one, other, 18); // arrives late, so it seems to have ended later
    record(one, crash("s2", "1"), 50);
    EXPECT_TRUE(blocked(one, at(50)));
    deliver(one, other, 150);
    EXPECT_TRUE(blocked(other, at(150)));
}

// The calls that were waiting at a server that had crashed before broke off when the VM
// used its old connections.
TEST(crash_watch, calls_over_connections_of_a_crashed_server_are_suspected)
{
    crash_watch  watch;
    auto const   connected = at(-1000);
    crash_update later = crash("s1", "2");
    later.ran = millis{5};
    EXPECT_TRUE(watch.record_crash(crash("s1", "1"), connected, at(0)));
    EXPECT_FALSE(watch.record_crash(later, connected, at(100)));
    EXPECT_TRUE(watch.record_crash(crash("s1", "3"), at(2000), at(2100)));
}

// Another VM's lost link hid a crash at the same server.
TEST(crash_watch, crash_after_a_lost_link_of_another_vm_is_not_counted)
{
    crash_watch  watch;
    crash_update lost{
        .content = "other", .server = "s2", .call_id = "1", .ran = millis{9}};
    watch.merge(lost, update_source::centre, at(300));
    record(watch, crash("s1", "2"), 50);
    EXPECT_TRUE(watch.record_crash(crash("s2", "3"), at(200), at(530)));
    EXPECT_TRUE(blocked(watch, at(530)));
}

// A VM that heard of one of them late took them for two crashes, and the others for one.
TEST(crash_watch, calls_broken_by_one_server_crash_count_twice_where_one_is_heard_late)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    auto late = crash("s1", "2");
    late.age = millis{2};
    watch.merge(late, update_source::others, at(200)); // 196 ms on its way
    EXPECT_FALSE(blocked(watch, at(200)));
}

// A VM that heard of the first crash of a call late took its retry for a call beside it.
TEST(crash_watch, retry_counts_as_one_crash_where_the_first_is_heard_late)
{
    crash_watch watch;
    auto        first = crash("s1", "1");
    first.age = millis{60};
    watch.merge(first, update_source::others, at(160));
    watch.merge(crash("s2", "1"), update_source::others, at(110)); // sent 10 ms later
    EXPECT_TRUE(blocked(watch, at(200)));
}

// All servers of a service were lost for seconds, and the calls that they ran were
// blocked for hours.
TEST(crash_watch, outage_of_a_service_blocks_its_calls_for_hours)
{
    crash_watch watch;
    for (int number = 0; number < 8; ++number)
    {
        auto const name = std::to_string(number);
        record(watch, crash("s" + name, name), 300 * number);
        record(watch,
               {.content = "x" + name,
                .server = "s" + name,
                .service = "models",
                .call_id = "x" + name,
                .parts = {7},
                .ran = millis{50}},
               300 * number);
    }
    constexpr int       last = 2100;
    call_features const with_part{.content = "new", .parts = {7}};
    EXPECT_TRUE(blocked(watch, at(last + 4900)));
    EXPECT_EQ(watch.evaluate(with_part, at(last + 4900)), crash_verdict::parts_blocked);
    EXPECT_FALSE(blocked(watch, at(last + 10'100)));
    EXPECT_EQ(watch.evaluate(with_part, at(last + 10'100)), crash_verdict::may_run);
}

// 3. Evidence against a crash

// A harmless request loses its connection now and then, and another server completes it
// each time. If complete responses did not clear it, the second lost connection would
// block it.
TEST(crash_watch, a_complete_response_clears_a_suspect_on_all_vms)
{
    crash_watch one;
    crash_watch other;
    for (int round = 0; round < 5; ++round)
    {
        auto const begin = round * 5000;
        auto const call = std::to_string(round);
        EXPECT_TRUE(record(one, crash("s1", call), begin));
        deliver(one, other, begin + 150);
        EXPECT_EQ(complete(one, begin + 10, begin + 200), 1U);
        for (int ms = begin + 300; ms < begin + 3000; ms += 150)
        {
            deliver(one, other, ms);
            deliver(other, one, ms);
        }
        EXPECT_FALSE(blocked(one, at(begin + 3000)));
        EXPECT_FALSE(blocked(other, at(begin + 3000)));
    }
}

// A response to a call that had begun before the crash says nothing about it.
TEST(crash_watch, response_to_an_earlier_call_clears_a_crash)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    EXPECT_EQ(complete(watch, -10, 200), 0U);
    record(watch, crash("s2", "2"), 500);
    EXPECT_TRUE(blocked(watch, at(500)));
}

// A VM that lost its links suspected every content in flight, and told the others.
TEST(crash_watch, crash_of_a_server_that_responds_over_an_older_connection_is_withdrawn)
{
    crash_watch one;
    crash_watch other;
    record(one, crash("s1", "1"), 0);
    deliver(one, other, 150);
    record(one, crash("s2", "2"), 3000);
    deliver(one, other, 3100);
    EXPECT_TRUE(blocked(other, at(3100)));
    EXPECT_EQ(other.record_response("s2", at(1000), at(3150), at(3200)).size(), 1U);
    deliver(other, one, 3300);
    EXPECT_FALSE(blocked(one, at(3300)));
    EXPECT_FALSE(blocked(other, at(3300)));
    deliver(one, other, 3400); // copies that are under way don't bring it back
    EXPECT_FALSE(blocked(other, at(3400)));
}

TEST(crash_watch, response_of_another_server_or_to_an_earlier_request_withdraws_a_crash)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 500);
    EXPECT_TRUE(watch.record_response("s1", at(-900), at(-100), at(600)).empty());
    EXPECT_TRUE(watch.record_response("s3", at(-900), at(510), at(600)).empty());
    EXPECT_TRUE(blocked(watch, at(600)));
}

// A server that had started again under its id was taken for one that had never crashed.
TEST(crash_watch, response_after_a_restart_withdraws_a_crash)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 500);
    EXPECT_TRUE(watch.record_response("s1", at(2000), at(2000), at(2010)).empty());
    EXPECT_TRUE(watch.withdraw_disproved(at(0), at(3000)).empty());
    watch.server_ended("s1", at(3100));
    EXPECT_TRUE(watch.withdraw_disproved(at(0), at(9000)).empty());
    EXPECT_TRUE(blocked(watch, at(5400)));
}

// No restart can become known while the store is away, nor of the time before the VM
// began to watch.
TEST(crash_watch, absence_of_news_disproves_a_crash_while_none_can_come)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 500);
    EXPECT_TRUE(watch.record_response("s1", at(2000), at(2000), at(2010)).empty());
    EXPECT_TRUE(watch.withdraw_disproved(std::nullopt, at(9000)).empty());
    EXPECT_TRUE(watch.withdraw_disproved(at(9000), at(11'990)).empty());
    watch.watch_restarts_from(at(400)); // between the crashes
    EXPECT_TRUE(watch.withdraw_disproved(at(9000), at(12'000)).empty());
    EXPECT_TRUE(watch.record_response("s2", at(12'000), at(12'000), at(12'010)).empty());
    EXPECT_EQ(watch.withdraw_disproved(at(9000), at(15'010)).size(), 1U);
}

// The news of a crash arrived after the restart.
// A crash stood for as long as no call came to its server.
TEST(crash_watch, nobody_asks_the_server_of_a_crash_whether_it_still_runs)
{
    using servers = std::vector<std::string>;
    crash_watch watch;
    record(watch, crash("a", "1"), 1000);
    watch.merge(crash("b", "2"), update_source::centre, at(1000)); // of another VM
    EXPECT_EQ(watch.take_checks(at(1999)), servers{});
    EXPECT_EQ(watch.take_checks(at(2000)), servers{"a"});
    EXPECT_EQ(watch.take_checks(at(2999)), servers{});
    EXPECT_EQ(watch.take_checks(at(3000)), servers{"a"});
    watch.record_response("a", at(3010), at(3010), at(3020));
    EXPECT_EQ(watch.take_checks(at(9000)), servers{});

    record(watch, crash("c", "3"), 10'000);
    watch.server_ended("c", at(10'500));
    EXPECT_EQ(watch.take_checks(at(20'000)), servers{});
}

TEST(crash_watch, response_after_a_restart_withdraws_a_crash_that_is_heard_late)
{
    crash_watch watch;
    watch.server_ended("s1", at(1500));
    auto late = crash("s1", "1");
    late.age = millis{1600};
    watch.merge(late, update_source::centre, at(1600));
    EXPECT_TRUE(watch.record_response("s1", at(1700), at(1700), at(1710)).empty());
    EXPECT_TRUE(watch.withdraw_disproved(at(0), at(9000)).empty());
}

TEST(crash_watch,
     response_over_a_new_connection_withdraws_a_crash_unless_a_restart_is_seen)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 500);
    EXPECT_TRUE(watch.record_response("s1", at(600), at(600), at(610)).empty());
    EXPECT_TRUE(blocked(watch, at(700)));
    EXPECT_EQ(watch.withdraw_disproved(at(0), at(3700)).size(), 1U);
    EXPECT_FALSE(blocked(watch, at(3700)));
}

// 4. Updates

TEST(crash_watch, published_updates_are_bounded_in_time_and_number)
{
    crash_watch           watch;
    std::set<std::string> published;
    for (int call = 0; call < 500; ++call)
    {
        auto const name = std::to_string(call);
        watch.record_crash({.content = name, .server = "s", .call_id = name}, at(0),
                           at(0));
    }
    // Each is published early, whatever else broke off with it.
    for (int ms = 1; ms < 8 * 150; ms += 150)
    {
        auto const updates = watch.take_updates(at(ms));
        EXPECT_LE(updates.size(), 64U);
        for (auto const& each : updates)
        {
            published.insert(each.crash.content);
        }
    }
    EXPECT_EQ(published.size(), 500U);
    for (int ms = 8 * 150; ms < 15'000; ms += 150)
    {
        watch.take_updates(at(ms));
    }
    EXPECT_TRUE(watch.take_updates(at(15'000)).empty());
}

// Blocks were published for three seconds only, so a VM that started later knew none.
TEST(crash_watch, block_is_unknown_to_a_vm_that_started_later)
{
    crash_watch one;
    crash_watch later;
    record(one, crash("s1", "1"), 0);
    record(one, crash("s2", "2"), 1000);
    record(one, crash("s3", "3"), 7'000); // the block is longer now
    for (int ms = 1000; ms <= 16'000; ms += 150)
    {
        one.take_updates(at(ms));
    }
    EXPECT_TRUE(one.take_updates(at(16'150)).empty());
    one.republish();
    deliver(one, later, 16'300);
    EXPECT_TRUE(blocked(later, at(66'500)));
    EXPECT_FALSE(blocked(later, at(127'500))); // as at the VM that saw the crashes
}

// A VM that was frozen while a withdrawal was published blocked the content again.
TEST(crash_watch, withdrawal_that_a_vm_has_missed_is_repeated)
{
    crash_watch one;
    crash_watch frozen;
    record(one, crash("s1", "1"), 0);
    record(one, crash("s2", "2"), 500);
    deliver(one, frozen, 600);
    one.record_response("s1", at(-100), at(600), at(700));
    one.take_updates(at(8000));
    deliver(frozen, one, 8000);
    EXPECT_FALSE(blocked(one, at(8000)));
    deliver(one, frozen, 8150);
    EXPECT_FALSE(blocked(frozen, at(8150)));
}

// 5. Bounds

// A flood of other contents must not free one that is blocked.
TEST(crash_watch, flood_of_contents_frees_a_blocked_one)
{
    crash_watch watch;
    record(watch, crash("s1", "1"), 0);
    record(watch, crash("s2", "2"), 500);
    for (int call = 0; call < 20'000; ++call)
    {
        auto const name = std::to_string(call);
        watch.merge({.content = name, .server = "s", .call_id = name},
                    update_source::centre, at(1000 + call / 10));
        ASSERT_LE(watch.size(), crash_watch_options{}.max_calls + 1);
    }
    EXPECT_TRUE(blocked(watch, at(5'400)));
}

} // namespace
} // namespace marigoldcrank
