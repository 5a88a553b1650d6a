// Records of a topic that a VM holds for the VMs that query it.
#include "serving/topic_mirror.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

log_chunk chunk(std::uint64_t from, std::vector<std::string> records)
{
    auto const end = from + records.size();
    return {.from = from, .end = end, .records = std::move(records)};
}

constexpr std::size_t whole = 1 << 20; // bytes; more than any test stores

bool holds(topic_mirror const& mirror, std::uint64_t from)
{
    return mirror.answer_to(from, false) == mirror_answer::held;
}

std::vector<std::string> records(topic_mirror const& mirror, std::uint64_t from)
{
    return mirror.read(from, whole).records;
}

TEST(topic_mirror, consecutive_reads_are_joined)
{
    topic_mirror mirror;
    mirror.merge(chunk(10, {"a", "b"}), at_ms(1));
    mirror.merge(chunk(11, {"b", "c"}), at_ms(2));
    EXPECT_EQ(records(mirror, 10), (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_EQ(records(mirror, 12), std::vector<std::string>{"c"});
    EXPECT_TRUE(records(mirror, 13).empty());
    EXPECT_FALSE(mirror.has_changes(13));
    EXPECT_FALSE(holds(mirror, 9));
    EXPECT_FALSE(holds(mirror, 14));
}

// The store dropped records while this VM was away, so the VM continues at a later
// offset. A reader from before the gap must not get the impression that nothing changed
// in it.
TEST(topic_mirror, reader_from_before_a_gap_is_sent_to_the_store)
{
    topic_mirror mirror;
    mirror.merge(chunk(0, {"a"}), at_ms(1));
    mirror.merge(chunk(5, {"f"}), at_ms(2));
    EXPECT_FALSE(holds(mirror, 1));
    EXPECT_EQ(records(mirror, 5), std::vector<std::string>{"f"});
}

// An operator withdraws a key while the read of a relay is in flight. The age counts from
// the sending of that read, not from its response.
TEST(topic_mirror, age_counts_from_the_sending_of_the_newest_answered_read)
{
    topic_mirror mirror;
    mirror.merge(chunk(0, {}), at_ms(1000));
    mirror.merge(chunk(0, {}), at_ms(1700));
    mirror.merge(chunk(0, {}), at_ms(900));
    EXPECT_EQ(mirror.age(at_ms(2000)), millis{300});
}

TEST(topic_mirror, oldest_records_are_dropped_at_the_limits)
{
    topic_mirror mirror{{.max_bytes = 100, .max_records = 3, .min_life = millis{0}}};
    mirror.merge(chunk(0, {"a", "b", "c", "d", "e"}), at_ms(1));
    EXPECT_FALSE(holds(mirror, 1));
    EXPECT_EQ(records(mirror, 2).size(), 3U);
    mirror.merge(chunk(5, {std::string(80, 'x'), std::string(60, 'y')}), at_ms(2));
    EXPECT_EQ(records(mirror, 6), std::vector<std::string>{std::string(60, 'y')});
}

// Each VM of a large fleet adds a record in every window. Members that are a window
// behind must not all read the store.
TEST(topic_mirror, a_window_of_a_large_fleet_is_held)
{
    topic_mirror mirror;
    for (std::uint64_t window = 0; window < 20; ++window)
    {
        auto const now = at_ms(1 + static_cast<std::int64_t>(window) * 5000);
        mirror.merge(
            chunk(window * 2000, std::vector<std::string>(2000, std::string(250, 'r'))),
            now);
    }
    EXPECT_TRUE(holds(mirror, std::uint64_t{19} * 2000));
    EXPECT_TRUE(holds(mirror, std::uint64_t{18} * 2000));
    EXPECT_FALSE(holds(mirror, std::uint64_t{10} * 2000));
}

TEST(topic_mirror, byte_cap_holds_for_new_records_too)
{
    topic_mirror mirror{{.byte_cap = 1000}};
    mirror.merge(chunk(0, std::vector<std::string>(20, std::string(100, 'r'))), at_ms(1));
    EXPECT_EQ(records(mirror, 10).size(), 10U);
    EXPECT_FALSE(holds(mirror, 9));
}

TEST(topic_mirror, replies_have_a_bounded_size)
{
    topic_mirror mirror;
    mirror.merge(chunk(0, std::vector<std::string>(20, std::string(100, 'r'))), at_ms(1));
    auto const part = mirror.read(0, 500);
    EXPECT_EQ(part.records.size(), 5U);
    EXPECT_EQ(part.next(), 5U);
    EXPECT_EQ(part.end, 20U);
}

} // namespace
} // namespace marigoldcrank
