// Prompt parts that crash servers, as opposed to those that stood beside them.
//
// Index: 1 helpers, 2 keys of parts, 3 find_part_suspects, 4 crash_watch
#include "policy/crash_watch.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// 1. Helpers

constexpr part_key bad = 1;
constexpr part_key common = 2;
constexpr part_key rare = 3;

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1} + millis{ms}};
}

/// A call with a content and server of its own.
part_witness witness(int number, int ms, std::vector<part_key> parts)
{
    return {std::to_string(number), "s" + std::string(1, static_cast<char>('a' + number)),
            "models", at(ms), std::move(parts)};
}

std::vector<part_suspect> suspects_of(std::vector<part_witness> const& witnesses,
                                      sound_parts const&               sound)
{
    return find_part_suspects(witnesses, {}, sound, {});
}

/// Calls of a service that were served, with a part of their own.
std::vector<served_call> calls_of(std::string const& service, int count, int ms)
{
    return std::vector<served_call>(static_cast<std::size_t>(count),
                                    {service, at(ms), {77}});
}

sound_parts nothing_sound()
{
    return sound_parts{100};
}

/// Records a call that broke off at `ms`, after 50 ms, with a content of its own.
void record(crash_watch& watch, std::string const& name, int ms,
            std::vector<part_key> parts)
{
    watch.record_crash({.content = name,
                        .server = name,
                        .service = "models",
                        .call_id = name,
                        .parts = std::move(parts),
                        .ran = millis{50}},
                       at(ms - 50), at(ms));
}

crash_verdict evaluate(crash_watch const& watch, std::vector<part_key> parts, int ms)
{
    return watch.evaluate({.content = "other", .parts = std::move(parts), .call_id = "x"},
                          at(ms));
}

// 2. Keys of parts

// The last part belongs to the call alone: it was taken for one that calls share.
TEST(shared_part_keys, last_part_is_shared)
{
    caller_call call;
    call.prompt = {{"a", 1}, {"b", 1}, {"own", 1}};
    EXPECT_EQ(shared_part_keys(call).size(), 2U);
    call.prompt = {{"own", 1}};
    EXPECT_TRUE(shared_part_keys(call).empty());
    call.prompt.clear();
    EXPECT_TRUE(shared_part_keys(call).empty());
}

TEST(shared_part_keys, part_of_another_model_or_a_repeated_one_counts_twice)
{
    caller_call call;
    call.model = "m";
    call.prompt = {{"a", 1}, {"a", 1}, {"own", 1}};
    auto const keys = shared_part_keys(call);
    EXPECT_EQ(keys.size(), 1U);
    call.model = "other";
    EXPECT_NE(shared_part_keys(call), keys);
}

// 3. find_part_suspects

TEST(part_suspects, sound_part_of_all_crashes_is_suspected)
{
    auto sound = nothing_sound();
    sound.record(common, at(-500));
    auto const found =
        suspects_of({witness(1, 0, {bad, common}), witness(2, 0, {common}),
                     witness(3, 600, {bad, common}), witness(4, 900, {common}),
                     witness(5, 1200, {bad, common})},
                    sound);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].parts, std::vector<part_key>{bad});
    EXPECT_EQ(found[0].crashes, 3);
    EXPECT_EQ(found[0].last, at(1200));
}

// Two parts that always stood together: calls with one of them only were refused.
TEST(part_suspects, part_beside_the_bad_one_is_suspected_alone)
{
    auto const found =
        suspects_of({witness(1, 0, {bad, rare}), witness(2, 600, {bad, rare}),
                     witness(3, 1200, {bad, rare})},
                    nothing_sound());
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].parts, (std::vector<part_key>{bad, rare}));
}

TEST(part_suspects, part_with_a_later_response_is_suspected)
{
    auto sound = nothing_sound();
    sound.record(bad, at(700));
    std::vector<part_witness> const witnesses{
        witness(1, 0, {bad}), witness(2, 600, {bad}), witness(3, 1200, {bad})};
    EXPECT_TRUE(suspects_of(witnesses, sound).empty());
    EXPECT_EQ(suspects_of(witnesses, nothing_sound()).size(), 1U);
}

// A data centre was reclaimed while its engines ran calls with the same parts.
TEST(part_suspects, servers_lost_together_make_a_part_suspected)
{
    std::vector<part_witness> witnesses;
    for (int number = 0; number < 20; ++number)
    {
        witnesses.push_back(witness(number, number * 5, {rare}));
    }
    EXPECT_TRUE(suspects_of(witnesses, nothing_sound()).empty());
}

// One call that was retried at three engines which failed for another reason.
TEST(part_suspects, retries_of_one_call_make_a_part_suspected)
{
    std::vector<part_witness> witnesses{witness(1, 0, {rare}), witness(2, 600, {rare}),
                                        witness(3, 1200, {rare})};
    for (auto& each : witnesses)
    {
        each.content = "same";
    }
    EXPECT_TRUE(suspects_of(witnesses, nothing_sound()).empty());
}

TEST(part_suspects, second_bad_part_is_hidden_by_the_first)
{
    auto const found = suspects_of({witness(1, 0, {bad}), witness(2, 600, {bad}),
                                    witness(3, 1200, {bad}), witness(4, 1800, {bad}),
                                    witness(5, 300, {rare}), witness(6, 900, {rare}),
                                    witness(7, 1500, {rare})},
                                   nothing_sound());
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].parts, std::vector<part_key>{bad});
    EXPECT_EQ(found[1].parts, std::vector<part_key>{rare});
}

// A part that had been sound for long makes engines crash from now on.
TEST(part_suspects, part_that_turns_bad_is_never_suspected)
{
    auto sound = nothing_sound();
    sound.record(bad, at(-1));
    auto const                served = calls_of("models", 10, 1);
    std::vector<part_witness> witnesses;
    for (int number = 0; number < 6; ++number)
    {
        EXPECT_TRUE(find_part_suspects(witnesses, served, sound, {}).empty());
        witnesses.push_back(witness(number, number * 600, {bad}));
    }
    EXPECT_EQ(find_part_suspects(witnesses, served, sound, {}).size(), 1U);
}

// A service failed as a whole, and then the part that all its prompts have was blocked.
TEST(part_suspects, sound_part_is_suspected_in_an_outage_of_its_service)
{
    auto sound = nothing_sound();
    sound.record(common, at(-1));
    std::vector<part_witness> witnesses;
    for (int number = 0; number < 12; ++number)
    {
        witnesses.push_back(witness(number, number * 600, {common}));
    }
    for (auto const& served :
         {calls_of("models", 9, 1), calls_of("models", 10, -1), calls_of("other", 10, 1)})
    {
        EXPECT_TRUE(find_part_suspects(witnesses, served, sound, {}).empty());
    }
}

// 4. crash_watch

TEST(crash_watch, part_of_different_requests_crashes_servers_on_all_vms)
{
    crash_watch one;
    crash_watch other;
    record(one, "1", 0, {bad});
    record(other, "2", 600, {bad});
    record(one, "3", 1200, {bad});
    for (auto const& each : one.take_updates(at(1300)))
    {
        other.merge(each.crash, update_source::centre, at(1300));
    }
    EXPECT_EQ(evaluate(other, {bad}, 1300), crash_verdict::parts_blocked);
    EXPECT_EQ(evaluate(other, {bad, rare}, 1300), crash_verdict::parts_blocked);
    EXPECT_EQ(evaluate(other, {rare}, 1300), crash_verdict::may_run);
    EXPECT_EQ(evaluate(other, {}, 1300), crash_verdict::may_run);
}

// A VM that had seen no response on a part suspected it, though others had.
TEST(crash_watch, part_is_suspected_at_a_vm_that_has_not_used_it)
{
    crash_watch one;
    crash_watch other;
    one.record_completion({.content = "0", .parts = {common}}, at(-900), at(-100));
    for (int crash = 0; crash < 3; ++crash)
    {
        record(other, std::to_string(crash), crash * 600, {common});
    }
    EXPECT_EQ(evaluate(other, {common}, 1250), crash_verdict::parts_blocked);
    for (auto const& each : other.take_updates(at(1300)))
    {
        one.merge(each.crash, update_source::centre, at(1300));
    }
    for (auto const& each : one.take_part_updates(at(1350)))
    {
        other.merge(each.part, update_source::centre, at(1350));
    }
    EXPECT_EQ(evaluate(other, {common}, 1400), crash_verdict::may_run);
}

// A part that was blocked by chance stayed blocked.
TEST(crash_watch, blocked_part_is_not_tried_again)
{
    crash_watch watch;
    for (int crash = 0; crash < 3; ++crash)
    {
        record(watch, std::to_string(crash), crash * 600, {rare});
    }
    EXPECT_EQ(evaluate(watch, {rare}, 6'000), crash_verdict::parts_blocked);
    call_features const trial{.content = "new", .parts = {rare}, .call_id = "trial"};
    EXPECT_EQ(watch.begin_attempt(trial, at(12'000)), crash_verdict::may_run);
    EXPECT_EQ(evaluate(watch, {rare}, 12'010), crash_verdict::parts_blocked);
    watch.record_completion(trial, at(12'000), at(12'500));
    EXPECT_EQ(evaluate(watch, {rare}, 12'600), crash_verdict::may_run);
}

// Trials of a blocked part crashed a server every minute.
TEST(crash_watch, blocked_part_is_tried_again_every_minute)
{
    crash_watch watch;
    for (int crash = 0; crash < 3; ++crash)
    {
        record(watch, std::to_string(crash), crash * 600, {bad});
    }
    for (int call = 0; call < 10; ++call)
    {
        watch.record_completion(
            {.content = "served", .service = "models", .parts = {rare}}, at(1300),
            at(1400 + call));
    }
    watch.take_updates(at(1500));
    ASSERT_EQ(watch.suspects().size(), 1U);
    EXPECT_TRUE(watch.suspects()[0].others_served);
    int crashes = 3;
    for (int ms = 2000; ms < 86'400'000; ms += 1000)
    {
        auto const id = std::to_string(ms);
        if (watch.begin_attempt({.content = id, .parts = {bad}, .call_id = id}, at(ms)) ==
            crash_verdict::may_run)
        {
            record(watch, id, ms + 100, {bad});
            ++crashes;
        }
    }
    EXPECT_LE(crashes, 8); // a day; three after the fifth
}

// New parts pushed the knowledge of the bad one out.
TEST(crash_watch, flood_of_parts_frees_the_bad_one)
{
    crash_watch watch;
    for (int crash = 0; crash < 3; ++crash)
    {
        record(watch, std::to_string(crash), crash * 600, {bad});
    }
    for (int call = 0; call < 10'000; ++call)
    {
        auto const id = std::to_string(1000 + call);
        record(watch, id, 2000 + call / 10, {static_cast<part_key>(1000 + call)});
        watch.record_completion(
            {.content = id, .parts = {static_cast<part_key>(50'000 + call)}},
            at(2000 + call / 10), at(2001 + call / 10));
    }
    EXPECT_EQ(evaluate(watch, {bad}, 6'000), crash_verdict::parts_blocked);
}

// A prompt with hundreds of parts filled every digest.
TEST(crash_watch, update_has_all_parts_of_a_long_prompt)
{
    crash_watch           watch;
    std::vector<part_key> parts;
    for (part_key part = 0; part < 700; ++part)
    {
        parts.push_back(part);
    }
    record(watch, "long", 0, parts);
    auto const updates = watch.take_updates(at(10));
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates[0].crash.parts.size(), crash_watch_options{}.max_parts);
}

TEST(part_suspects, each_vm_sees_a_share_of_the_calls_that_are_served)
{
    EXPECT_EQ(others_served_at(1, 10), 10);
    EXPECT_EQ(others_served_at(3, 10), 4);
    EXPECT_EQ(others_served_at(9, 10), 2);
    EXPECT_EQ(others_served_at(985, 10), 2);
    EXPECT_EQ(others_served_at(9, 1), 1);
}

} // namespace
} // namespace marigoldcrank
