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

TEST(topic_mirror, consecutive_reads_are_joined)
{
    topic_mirror mirror;
    mirror.merge(chunk(10, {"a", "b"}), at_ms(1));
    mirror.merge(chunk(11, {"b", "c"}), at_ms(2));
    EXPECT_EQ(mirror.read(10)->records, (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_EQ(mirror.read(12)->records, std::vector<std::string>{"c"});
    EXPECT_TRUE(mirror.read(13)->records.empty());
    EXPECT_FALSE(mirror.has_changes(13));
    EXPECT_FALSE(mirror.read(9));
    EXPECT_FALSE(mirror.read(14));
}

// The store dropped records while this VM was away, so the VM continues at a later
// offset. A reader from before the gap must not get the impression that nothing changed
// in it.
TEST(topic_mirror, reader_from_before_a_gap_is_sent_to_the_store)
{
    topic_mirror mirror;
    mirror.merge(chunk(0, {"a"}), at_ms(1));
    mirror.merge(chunk(5, {"f"}), at_ms(2));
    EXPECT_FALSE(mirror.read(1));
    EXPECT_EQ(mirror.read(5)->records, std::vector<std::string>{"f"});
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

TEST(topic_mirror, records_without_a_change_keep_their_offsets)
{
    topic_mirror mirror{[](std::string const& record)
                        {
                            return record != "alive";
                        }};
    mirror.merge(chunk(0, {"alive", "leaves", "alive"}), at_ms(1));
    EXPECT_EQ(mirror.read(0)->records, (std::vector<std::string>{"", "leaves", ""}));
    EXPECT_TRUE(mirror.has_changes(1));
    EXPECT_FALSE(mirror.has_changes(2));
}

TEST(topic_mirror, oldest_records_are_dropped_at_the_limits)
{
    topic_mirror mirror{{}, {.max_bytes = 100, .max_records = 3}};
    mirror.merge(chunk(0, {"a", "b", "c", "d", "e"}), at_ms(1));
    EXPECT_FALSE(mirror.read(1));
    EXPECT_EQ(mirror.read(2)->records.size(), 3U);
    mirror.merge(chunk(5, {std::string(80, 'x'), std::string(60, 'y')}), at_ms(2));
    EXPECT_EQ(mirror.read(6)->records, std::vector<std::string>{std::string(60, 'y')});
}

} // namespace
} // namespace marigoldcrank
