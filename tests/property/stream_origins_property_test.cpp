// Origins of streams over any history of versions, VMs, starts and lost messages.
//
// Index: 1 version_history, 2 stream_origins, 3 conclusions of several VMs
#include "policy/stream_origins.hpp"
#include "policy/version_history.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{millis{1'000'000 + ms}};
}

constexpr millis span{10'000};

// 1. version_history

// A version that had just gone was forgotten, and its streams went on at the next one.
TEST(version_history, version_that_was_listed_lately_is_forgotten)
{
    version_history history;
    history.record("s", {{"v1", 2}}, at(0));
    EXPECT_EQ(history.only_version("s", span, at(9'999)), std::nullopt);
    history.record("s", {{"v1", 2}}, at(10'000));
    EXPECT_EQ(history.only_version("s", span, at(10'000)), "v1");
    history.record("s", {{"v1", 1}, {"v2", 1}}, at(11'000));
    EXPECT_TRUE(history.mixed("s", span, at(11'000)));
    history.record("s", {{"v2", 2}}, at(12'000));
    EXPECT_TRUE(history.mixed("s", span, at(20'999)));
    EXPECT_EQ(history.only_version("s", span, at(20'999)), std::nullopt);
    history.record("s", {{"v2", 2}}, at(21'500));
    EXPECT_EQ(history.only_version("s", span, at(21'500)), "v2");
    EXPECT_FALSE(history.mixed("s", span, at(21'500)));
    EXPECT_EQ(history.only_version("t", span, at(21'500)), std::nullopt);
}

// Versions that no stream can have any more were kept for ever, or others not long
// enough.
TEST(version_history, versions_are_forgotten_too_soon_or_never)
{
    version_history history;
    history.record("s", {{"v1", 1}}, at(0));
    auto const life = static_cast<int>(max_stream_life.count());
    history.record("s", {{"v2", 1}}, at(life));
    EXPECT_TRUE(history.mixed("s", max_stream_life, at(life)));
    history.record("s", {{"v2", 1}}, at(life + 1));
    EXPECT_FALSE(history.mixed("s", 2 * max_stream_life, at(life + 1)));
}

// 2. stream_origins

// A later record of a stream replaced the version that began it.
TEST(stream_origins, later_record_replaces_the_origin)
{
    stream_origins origins;
    origins.record({1, {"s", "v1"}, millis{1000}}, at(0));
    origins.record({1, {"s", "v2"}, millis{3000}}, at(500));
    EXPECT_EQ(origins.find(1, at(3499)), (stream_origin{"s", "v1"}));
    EXPECT_EQ(origins.find(1, at(3500)), std::nullopt);
    EXPECT_EQ(origins.find(2, at(0)), std::nullopt);
}

// An expired record stood in for a new stream with the same id.
TEST(stream_origins, expired_record_is_kept_for_a_new_stream)
{
    stream_origins origins;
    origins.record({1, {"s", "v1"}, millis{1000}}, at(0));
    origins.record({1, {"s", "v2"}, millis{1000}}, at(2000));
    EXPECT_EQ(origins.find(1, at(2500)), (stream_origin{"s", "v2"}));
}

// Without a bound, records of a busy service use up the memory of a VM.
RC_GTEST_PROP(stream_origins, records_grow_beyond_their_bound, ())
{
    constexpr std::size_t                bound = 8;
    stream_origins                       origins{{.max_streams = bound}};
    auto const                           count = *rc::gen::inRange(0, 40);
    std::map<std::uint64_t, std::string> truth;
    for (int step = 0; step < count; ++step)
    {
        auto const key = *rc::gen::inRange<std::uint64_t>(0, 20);
        auto const version = *rc::gen::element<std::string>("v1", "v2");
        auto const life = millis{*rc::gen::inRange(1, 500)};
        truth.try_emplace(key, version);
        origins.record({key, {"s", truth[key]}, life}, at(0));
        RC_ASSERT(origins.size() <= bound);
    }
    for (auto const& [key, version] : truth)
    {
        auto const found = origins.find(key, at(0));
        RC_ASSERT((!found || found->version == version));
    }
    RC_ASSERT(origins.of_service("s", at(0)).size() == origins.size());
    RC_ASSERT(origins.of_service("t", at(0)).empty());
}

// Workspaces shared the keys of their streams.
TEST(stream_key, callers_of_two_workspaces_share_a_key)
{
    EXPECT_EQ(stream_key("north", "a"), stream_key("north", "a"));
    EXPECT_NE(stream_key("north", "a"), stream_key("south", "a"));
    EXPECT_NE(stream_key("north", "1a"), stream_key("north1", "a"));
    EXPECT_NE(stream_key("", "a"), stream_key("north", "a"));
}

// 3. Conclusions of several VMs

/// A VM that may have missed any list and any record.
struct any_vm
{
    version_history history;
    stream_origins  origins{stream_origins_options{}};

    origin_knowledge knowledge(std::uint64_t key, boot_clock::time_point now) const
    {
        return {.recorded = origins.find(key, now),
                .only_version = history.only_version("s", span, now).value_or(""),
                .mixed = history.mixed("s", span, now)};
    }
};

// The VM that takes a stream up asks others; none of them guessed a wrong version as long
// as one of them has followed the list of servers.
RC_GTEST_PROP(origin_conclusion, stream_goes_on_at_a_version_that_did_not_begin_it, ())
{
    constexpr int                        vms = 4;
    constexpr int                        round_ms = 500;
    auto const                           rounds = *rc::gen::inRange(2, 60);
    std::vector<any_vm>                  all(vms);
    std::map<std::uint64_t, std::string> truth;
    std::string                          old_version = "0";
    std::string                          new_version = "0";
    std::uint64_t                        next_key = 1;
    for (int round = 0; round < rounds; ++round)
    {
        auto const now = at(round * round_ms);
        if (*rc::gen::inRange(0, 12) == 0)
        {
            old_version = new_version;
            new_version = std::to_string(round);
        }
        else if (*rc::gen::inRange(0, 8) == 0)
        {
            old_version = new_version;
        }
        std::map<std::string, std::int64_t> const listed{{old_version, 1},
                                                         {new_version, 1}};
        for (int vm = 0; vm < vms; ++vm)
        {
            // VM 0 starts again at times, others miss a list; VM 3 follows all of them.
            bool const starts = vm == 0 && *rc::gen::inRange(0, 10) == 0;
            bool const misses = vm != vms - 1 && *rc::gen::inRange(0, 3) == 0;
            if (starts)
            {
                all[0] = any_vm{};
            }
            if (!misses)
            {
                all[static_cast<std::size_t>(vm)].history.record("s", listed, now);
            }
        }
        auto const key = next_key++;
        truth[key] = *rc::gen::element(old_version, new_version);
        for (auto& vm : all)
        {
            if (*rc::gen::inRange(0, 2) == 0)
            {
                vm.origins.record({key, {"s", truth[key]}, span}, now);
            }
        }
        auto const resumed = *rc::gen::inRange<std::uint64_t>(
            std::max<std::uint64_t>(key, 20) - 19, key + 1);
        auto known = all[0].knowledge(resumed, now);
        for (int vm = 1; vm < vms; ++vm)
        {
            known = add(known, all[static_cast<std::size_t>(vm)].knowledge(resumed, now));
        }
        auto const origin = conclude_origin(known, "s");
        RC_ASSERT((!origin || origin->version == truth[resumed]));
    }
}

} // namespace
} // namespace marigoldcrank
