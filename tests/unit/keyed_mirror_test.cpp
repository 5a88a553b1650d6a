// State of a keyed topic that a VM holds for the VMs that query it.
#include "serving/keyed_mirror.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

/// Records are "KEY=VALUE", with a number behind "/" that is no change; "KEY" removes.
topic_format format()
{
    return {.read =
                [](std::string const& record, std::uint64_t offset)
            {
                auto const   sign = record.find('=');
                keyed_record result{.key = record.substr(0, sign), .offset = offset};
                if (sign != std::string::npos)
                {
                    result.value = record.substr(sign + 1);
                }
                return record.empty() ? std::nullopt : std::optional{result};
            },
            .is_change =
                [](keyed_record const& before, keyed_record const& after)
            {
                auto const told = [](keyed_record const& record)
                {
                    return record.value.value_or("-").substr(
                        0, record.value.value_or("-").find('/'));
                };
                return told(before) != told(after);
            }};
}

log_chunk chunk(std::uint64_t from, std::vector<std::string> records)
{
    auto const end = from + records.size();
    return {.from = from, .end = end, .records = std::move(records)};
}

constexpr std::size_t whole = 1 << 20; // bytes; more than any test stores

using texts = std::vector<std::string>;

TEST(keyed_mirror, reports_of_life_are_not_told)
{
    keyed_mirror mirror{format()};
    mirror.merge(chunk(0, {"a=ready/1", "b=ready/1", "a=ready/2"}), at_ms(1));
    auto const told = mirror.read(0, whole);
    EXPECT_EQ(told.records, (texts{"a=ready/1", "b=ready/1"}));
    EXPECT_EQ(told.next(), 3U);
    EXPECT_TRUE(mirror.has_changes(1));
    EXPECT_FALSE(mirror.has_changes(2));
    mirror.merge(chunk(3, {"b=leaving/2"}), at_ms(2));
    EXPECT_EQ(mirror.read(3, whole).records, texts{"b=leaving/2"});
    EXPECT_EQ(mirror.read(3, whole).offset_at(0), 3U);
}

// Servers write every second or two, so a copy of the last records soon lacks the first
// entry of most servers, and VMs that start could not be told of them.
TEST(keyed_mirror, vm_that_starts_is_told_all_servers_however_long_the_history)
{
    constexpr int servers = 6000;
    keyed_mirror  mirror{format()};
    std::uint64_t next = 0;
    for (int beat = 0; beat < 20; ++beat)
    {
        texts records;
        for (int server = 0; server < servers; ++server)
        {
            records.push_back("server-" + std::to_string(server) + "=ready/" +
                              std::to_string(beat));
        }
        mirror.merge(chunk(next, records), at_ms(1 + beat * 2000));
        next += servers;
    }
    ASSERT_EQ(mirror.answer_to(0, true), mirror_answer::held);
    std::size_t   told = 0;
    std::uint64_t from = 0;
    int           parts = 0;
    while (from < next)
    {
        auto const part = mirror.read(from, 32768);
        told += part.records.size();
        from = part.next();
        ++parts;
    }
    EXPECT_EQ(told, static_cast<std::size_t>(servers));
    EXPECT_LE(parts, 10); // of 22 bytes a server, however many records there were
}

// A VM that became a relay took an older state from another one, and told its members
// that nothing had changed since, as of its own last read.
TEST(keyed_mirror, older_listing_hides_changes_that_were_known)
{
    keyed_mirror mirror{format()};
    mirror.merge(chunk(0, {"a=ready", "b=ready", "c=ready", "a=leaving", "b"}), at_ms(9));
    mirror.replace({.end = 3, .records = {"a=ready", "b=ready", "c=ready"}}, at_ms(5));
    EXPECT_EQ(mirror.read(3, whole).records, (texts{"a=leaving", "b"}));
    EXPECT_EQ(mirror.read(3, whole).next(), 5U);
    EXPECT_EQ(mirror.read(0, whole).records, (texts{"c=ready", "a=leaving", "b"}));
    // It doesn't have the changes from 3 to 5, so it isn't the state.
    keyed_mirror begun{format()};
    begun.merge(chunk(5, {"a=leaving"}), at_ms(9));
    begun.replace({.end = 3, .records = {"a=ready", "b=ready", "c=ready"}}, at_ms(5));
    EXPECT_FALSE(begun.complete());
    EXPECT_NE(begun.answer_to(3, false), mirror_answer::held);
    EXPECT_EQ(begun.read(5, whole).records, texts{"a=leaving"});
}

TEST(keyed_mirror, removals_are_told_for_a_while)
{
    keyed_mirror mirror{format()};
    mirror.merge(chunk(0, {"a=1", "b=1", "a"}), at_ms(1));
    EXPECT_EQ(mirror.read(2, whole).records, texts{"a"});
    mirror.merge(chunk(3, {"c=1"}), at_ms(40000));
    EXPECT_EQ(mirror.read(0, whole).records, (texts{"b=1", "c=1"}));
    EXPECT_EQ(mirror.answer_to(2, false), mirror_answer::trimmed);
    EXPECT_EQ(mirror.answer_to(3, false), mirror_answer::held);
    EXPECT_EQ(mirror.answer_to(2, true), mirror_answer::held);
}

// The store dropped records before this VM read them, or it became a relay just now.
TEST(keyed_mirror, copy_with_a_gap_has_no_state_until_it_is_listed)
{
    keyed_mirror mirror{format()};
    EXPECT_EQ(mirror.answer_to(0, false), mirror_answer::unknown);
    mirror.merge(chunk(5, {"a=1"}), at_ms(1));
    EXPECT_FALSE(mirror.complete());
    EXPECT_EQ(mirror.answer_to(0, true), mirror_answer::unknown);
    EXPECT_EQ(mirror.answer_to(4, false), mirror_answer::unknown);
    EXPECT_EQ(mirror.answer_to(5, false), mirror_answer::held);
    auto const before = mirror.generation();
    mirror.replace({.end = 9, .records = {"a=2", "b=1"}, .offsets = {8, 2}}, at_ms(2));
    EXPECT_NE(mirror.generation(), before);
    EXPECT_EQ(mirror.answer_to(0, true), mirror_answer::held);
    EXPECT_EQ(mirror.answer_to(5, false), mirror_answer::trimmed);
    EXPECT_EQ(mirror.read(0, whole).records, (texts{"b=1", "a=2"}));
    EXPECT_EQ(mirror.read(0, whole).next(), 9U);
}

// A relay that was cut off reads on in parts. Before it has read the newest ones, a
// withdrawn key must not look valid.
TEST(keyed_mirror, copy_is_no_fresher_before_it_reaches_the_end)
{
    keyed_mirror mirror{format()};
    mirror.merge(chunk(0, {"a=1"}), at_ms(1000));
    mirror.merge({.from = 1, .end = 9, .records = {"a=2"}}, at_ms(7000));
    EXPECT_EQ(mirror.age(at_ms(8000)), millis{7000});
    EXPECT_EQ(mirror.read(1, whole).end, 9U);
    mirror.merge({.from = 2, .end = 9, .covered = 9}, at_ms(7500));
    EXPECT_EQ(mirror.age(at_ms(8000)), millis{500});
}

// A VM that read the store itself is ahead of its relay, which must not send it back.
TEST(keyed_mirror, reader_that_is_ahead_has_everything)
{
    keyed_mirror mirror{format()};
    mirror.merge(chunk(0, {"a=1"}), at_ms(1));
    EXPECT_EQ(mirror.answer_to(7, false), mirror_answer::held);
    EXPECT_EQ(mirror.read(7, whole).next(), 7U);
    EXPECT_TRUE(mirror.read(7, whole).records.empty());
}

} // namespace
} // namespace marigoldcrank
