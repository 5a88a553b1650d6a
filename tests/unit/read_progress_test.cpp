// As of when a log is known, by reads that reach its end and reads that don't.
#include "policy/read_progress.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

TEST(read_progress, read_up_to_the_end_counts)
{
    read_progress progress;
    progress.record(3, 3, at_ms(100));
    EXPECT_EQ(progress.known_as_of(), at_ms(100));
    progress.record(3, 3, at_ms(90)); // a reply that took longer
    EXPECT_EQ(progress.known_as_of(), at_ms(100));
}

// The first part of a backlog made old keys look fresh.
TEST(read_progress, read_that_leaves_records_behind_does_not_count)
{
    read_progress progress;
    progress.record(2, 2, at_ms(100));
    progress.record(8, 13, at_ms(5000));
    EXPECT_EQ(progress.known_as_of(), at_ms(100));
    progress.record(13, 13, at_ms(5040));
    EXPECT_EQ(progress.known_as_of(), at_ms(5040));
}

// A reader that never reaches the current end knows what the topic held a while ago.
TEST(read_progress, reaching_an_end_that_was_stated_before_counts_as_of_then)
{
    read_progress progress;
    progress.record(5, 10, at_ms(1000));
    progress.record(9, 15, at_ms(2000));
    EXPECT_EQ(progress.known_as_of(), at_ms(0));
    progress.record(12, 20, at_ms(3000));
    EXPECT_EQ(progress.known_as_of(), at_ms(1000));
    progress.record(19, 25, at_ms(4000));
    EXPECT_EQ(progress.known_as_of(), at_ms(1000));
    progress.record(23, 30, at_ms(5000));
    EXPECT_EQ(progress.known_as_of(), at_ms(3000));
}

} // namespace
} // namespace marigoldcrank
