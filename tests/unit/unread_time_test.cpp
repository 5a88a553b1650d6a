// Pauses of a response: which ends its server may have caused because it was left unread.
#include "policy/unread_time.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

using time_point = unread_time::time_point;

time_point at(int ms)
{
    return time_point{} + std::chrono::hours{1} + millis{ms};
}

TEST(unread_time, one_long_pause_excuses_an_end_soon_after_it)
{
    unread_time time;
    EXPECT_FALSE(time.may_be_cut(at(0)));
    time.record(at(0), at(999));
    EXPECT_FALSE(time.may_be_cut(at(999)));
    time.record(at(9000), at(10000));
    EXPECT_TRUE(time.may_be_cut(at(10000)));
    EXPECT_TRUE(time.may_be_cut(at(19999)));
    EXPECT_FALSE(time.may_be_cut(at(20000)));
}

TEST(unread_time, many_short_pauses_excuse_nothing)
{
    unread_time time;
    for (int number = 0; number < 500; ++number)
    {
        time.record(at(number * 50), at(number * 50 + 20));
        EXPECT_FALSE(time.may_be_cut(at(number * 50 + 20))) << number;
    }
}

// A caller that takes a little now and then holds its server up all the same.
TEST(unread_time, pauses_with_little_reading_between_them_are_one)
{
    unread_time time;
    for (int number = 0; number < 3; ++number)
    {
        time.record(at(number * 510), at(number * 510 + 500));
    }
    EXPECT_TRUE(time.may_be_cut(at(1600)));
}

} // namespace
} // namespace marigoldcrank
