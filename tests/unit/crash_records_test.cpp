// What VMs record of blocked contents and parts, and what a VM that starts makes of it.
//
// Index: 1 helpers, 2 records of blocks, 3 what is written and removed, 4 entries
#include "ledger/crash_entry.hpp"
#include "policy/crash_records.hpp"
#include "policy/crash_watch.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// 1. Helpers

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1} + millis{ms}};
}

void record(crash_watch& watch, std::string const& call, int ms,
            std::vector<part_key> parts = {})
{
    crash_update const crash{.content = parts.empty() ? "c" : call,
                             .server = "s" + call,
                             .service = "desk",
                             .call_id = call,
                             .parts = std::move(parts),
                             .ran = millis{50}};
    watch.record_crash(crash, at(ms) - crash.ran, at(ms));
}

crash_records::blocks_by_name by_name(std::vector<crash_block> const& blocks)
{
    crash_records::blocks_by_name result;
    for (auto const& each : blocks)
    {
        result.emplace(each.name, each);
    }
    return result;
}

/// A VM that has started at `ms` and read the blocks of another one.
crash_watch started_with(std::vector<crash_block> const& blocks, int ms)
{
    crash_watch watch;
    for (auto const& block : blocks)
    {
        for (auto crash : block.crashes)
        {
            crash.age += std::chrono::duration_cast<millis>(at(ms) - block.as_of);
            watch.merge(crash, update_source::others, at(ms));
        }
    }
    return watch;
}

crash_verdict verdict(crash_watch const& watch, int ms, std::vector<part_key> parts = {})
{
    return watch.evaluate({.content = parts.empty() ? "c" : "new", .parts = parts},
                          at(ms));
}

crash_block block(std::string const& name, std::vector<std::string> const& calls,
                  bool own)
{
    crash_block result{.name = name, .own = own};
    for (auto const& call : calls)
    {
        result.crashes.push_back({.server = "s", .call_id = call});
    }
    return result;
}

// 2. Records of blocks

// A VM that started after all others had ended let the content run again.
TEST(crash_records, block_of_a_content_ends_with_the_vms_that_know_it)
{
    crash_watch first;
    record(first, "1", 0);
    EXPECT_TRUE(first.blocks(at(100)).empty());
    record(first, "2", 1000);
    record(first, "3", 9000);
    auto const blocks = first.blocks(at(9100));
    ASSERT_EQ(blocks.size(), 1U);
    EXPECT_EQ(blocks[0].crashes.size(), 3U);
    EXPECT_TRUE(blocks[0].own);
    auto const second = started_with(blocks, 12'000);
    EXPECT_EQ(verdict(second, 60'000), crash_verdict::content_blocked);
    EXPECT_EQ(verdict(second, 140'000), crash_verdict::may_run);
    EXPECT_FALSE(second.blocks(at(12'000))[0].own);
}

// As above, for a part; the sound parts beside it were unknown to the new VM.
TEST(crash_records, block_of_a_part_takes_sound_parts_with_it)
{
    crash_watch first;
    for (int crash = 0; crash < 4; ++crash)
    {
        record(first, std::to_string(crash), 500 * crash, {7, 9});
        first.record_completion({.content = "x", .service = "desk", .parts = {7}},
                                at(500 * crash + 100), at(500 * crash + 200));
    }
    auto const blocks = first.blocks(at(1800));
    ASSERT_EQ(blocks.size(), 1U);
    auto const second = started_with(blocks, 3000);
    EXPECT_EQ(verdict(second, 3000, {7, 9}), crash_verdict::parts_blocked);
    EXPECT_EQ(verdict(second, 3000, {7}), crash_verdict::may_run);
    EXPECT_EQ(second.suspects().at(0).crashes, first.suspects().at(0).crashes);
}

// A content that was served again stayed blocked on VMs that started later.
TEST(crash_records, block_outlives_the_crashes_that_were_withdrawn)
{
    crash_watch watch;
    record(watch, "1", 0);
    record(watch, "2", 1000);
    auto const before = watch.revision();
    watch.record_completion({.content = "c"}, at(20'000), at(20'100));
    EXPECT_NE(watch.revision(), before);
    EXPECT_TRUE(watch.blocks(at(20'100)).empty());
}

// 3. What is written and removed

// Only the VM that saw the newest crash writes it, at once and until it has succeeded.
TEST(crash_records, crash_is_written_by_no_vm_or_by_all)
{
    crash_records records;
    records.update(by_name({block("a", {"2", "1"}, true), block("b", {"4", "3"}, false)}),
                   at(0));
    auto const due = records.due(at(0));
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].name, "a");
    records.write_failed(at(0));
    EXPECT_TRUE(records.due(at(100)).empty());
    EXPECT_EQ(records.due(at(600)).size(), 1U);
    records.written(due);
    EXPECT_TRUE(records.due(at(600)).empty());
    auto longer = block("a", {"2", "1"}, true);
    longer.crashes[0].others_served = true; // blocks for longer
    records.update(by_name({longer}), at(700));
    EXPECT_EQ(records.due(at(700)).size(), 1U);
    records.update(by_name({block("a", {"5", "2", "1"}, true)}), at(800));
    EXPECT_EQ(records.due(at(800)).at(0).block->crashes.size(), 3U);
}

// The VM that saw the newest crash had ended before it wrote it, and a lifted block
// stayed in the store.
TEST(crash_records, records_differ_from_the_blocks_for_ever)
{
    crash_records records;
    auto const    known = block("a", {"2", "1"}, false);
    records.update(by_name({known}), at(0));
    EXPECT_FALSE(records.begin_check(true, at(500)));
    EXPECT_FALSE(records.begin_check(false, at(1000)));
    EXPECT_TRUE(records.begin_check(true, at(1500)));
    EXPECT_FALSE(records.begin_check(true, at(1600)));
    auto const changes = records.changes(by_name({block("b", {"4", "3"}, false)}));
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0], (crash_record_change{"a", known}));
    EXPECT_EQ(changes[1], (crash_record_change{"b", std::nullopt}));
    EXPECT_TRUE(records.changes(by_name({known})).empty());
    records.check_again(at(1600));
    EXPECT_TRUE(records.begin_check(true, at(2200)));
}

// A VM that doesn't compare records would do so long after the one that does.
TEST(crash_records, every_vm_compares_the_records_once)
{
    crash_records records;
    records.update(by_name({block("a", {"2", "1"}, false)}), at(0));
    EXPECT_FALSE(records.begin_check(false, at(5000)));
    EXPECT_FALSE(records.begin_check(true, at(5100)));
}

// 4. Entries

TEST(crash_records, entry_is_read_as_it_was_written)
{
    crash_entry const entry{.service = "desk",
                            .others_served = true,
                            .crashes = {{.content = "c\xff",
                                         .server = "s",
                                         .call_id = "1",
                                         .parts = {7, ~part_key{0}},
                                         .ended_unix_ms = 1796391320600,
                                         .ran = millis{50}}}};
    auto const        read = parse_crash_entry(format_crash_entry(entry));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->crashes[0].parts, entry.crashes[0].parts);
    EXPECT_EQ(read->crashes[0].ended_unix_ms, entry.crashes[0].ended_unix_ms);
    for (auto const* text : {"", "[]", "{}", R"({"service":1})", "\xff{",
                             R"({"service":"s","others_served":false,"crashes":[]})",
                             R"({"service":"s","others_served":false,"crashes":[1]})"})
    {
        EXPECT_FALSE(parse_crash_entry(text)) << text;
    }
}

} // namespace
} // namespace marigoldcrank
