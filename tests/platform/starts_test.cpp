// Daemons that start with the settings of the deploy file.
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank::tests
{
namespace
{

// Daemons read records at a first start that they had nothing to compare with, and ended.
TEST(platform_starts, daemon_ends_at_its_first_start)
{
    entry_cluster cluster({.daemons = 2, .first_start = true, .deployed = true});
    EXPECT_EQ(cluster.output().find("topic=keyed.crashes"), std::string::npos);
    for (int vm = 0; vm < 2; ++vm)
    {
        EXPECT_EQ(ask(cluster.caller_port(vm), {.id = "first"}).status, 200);
    }
}

// The same settings at a later start, at which there may be records.
TEST(platform_starts, daemon_ends_at_a_later_start)
{
    entry_cluster cluster({.daemons = 2, .first_start = true, .deployed = true});
    ASSERT_TRUE(cluster.restart_all());
    for (int vm = 0; vm < 2; ++vm)
    {
        EXPECT_EQ(ask(cluster.caller_port(vm), {.id = "later"}).status, 200);
    }
}

} // namespace
} // namespace marigoldcrank::tests
