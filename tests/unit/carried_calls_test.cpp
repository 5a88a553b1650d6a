// Which calls a connection may carry.
#include "policy/carried_calls.hpp"

#include <gtest/gtest.h>

#include <string>

namespace marigoldcrank
{
namespace
{

// The second answer to a call's first send was taken for the answer to its second send.
TEST(carried_calls, connection_carries_a_call_once)
{
    carried_calls carried;
    EXPECT_TRUE(carried.may_carry("a"));
    carried.record("a");
    carried.record("b");
    EXPECT_FALSE(carried.may_carry("a"));
    EXPECT_FALSE(carried.may_carry("b"));
    EXPECT_TRUE(carried.may_carry("c"));
}

TEST(carried_calls, requests_without_id_are_not_remembered)
{
    carried_calls carried;
    carried.record("");
    carried.record("");
    EXPECT_TRUE(carried.may_carry(""));
    EXPECT_EQ(carried.requests(), 2);
}

// A connection that forgot its first calls would carry one of them again.
TEST(carried_calls, connection_that_can_remember_no_more_carries_no_more)
{
    carried_calls carried;
    while (!carried.is_full())
    {
        carried.record(std::to_string(carried.requests()));
    }
    EXPECT_EQ(carried.requests(), 1024);
    EXPECT_FALSE(carried.may_carry("0"));
    EXPECT_FALSE(carried.may_carry("another"));
}

} // namespace
} // namespace marigoldcrank
