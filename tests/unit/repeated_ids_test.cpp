// Calls with an id that others have had.
#include "policy/repeated_ids.hpp"

#include <gtest/gtest.h>

#include <string>

namespace marigoldcrank
{
namespace
{

constexpr repeated_id_options options{.rate = 2, .burst = 3, .remembered = 4};

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{} + std::chrono::hours{1} + millis{ms};
}

// Calls with an id of their own must never be refused, however many there are.
TEST(repeated_ids, calls_with_an_id_of_their_own_are_admitted)
{
    repeated_ids    ids{options};
    repeated_id_use use;
    for (int number = 0; number < 1000; ++number)
    {
        EXPECT_TRUE(ids.admit("call-" + std::to_string(number), use, at(0)));
    }
}

// A client that repeats an id, or sends none, gets a burst and then a rate.
TEST(repeated_ids, repeated_and_missing_ids_have_a_limit)
{
    repeated_ids    ids{options};
    repeated_id_use use;
    EXPECT_TRUE(ids.admit("same", use, at(0)));
    EXPECT_TRUE(ids.admit("same", use, at(0)));
    EXPECT_TRUE(ids.admit("", use, at(0)));
    EXPECT_TRUE(ids.admit("same", use, at(0)));
    EXPECT_FALSE(ids.admit("same", use, at(0)));
    EXPECT_FALSE(ids.admit("", use, at(400)));
    EXPECT_TRUE(ids.admit("same", use, at(500)));
    EXPECT_FALSE(ids.admit("same", use, at(500)));
    EXPECT_TRUE(ids.admit("other", use, at(500)));
}

// What is remembered must not grow with the calls.
TEST(repeated_ids, an_id_is_forgotten_after_many_others)
{
    repeated_ids    ids{{.rate = 0, .burst = 0, .remembered = 4}};
    repeated_id_use use;
    EXPECT_TRUE(ids.admit("same", use, at(0)));
    EXPECT_FALSE(ids.admit("same", use, at(0)));
    for (int number = 0; number < 4; ++number)
    {
        ids.admit("call-" + std::to_string(number), use, at(0));
    }
    EXPECT_TRUE(ids.admit("same", use, at(0)));
}

} // namespace
} // namespace marigoldcrank
