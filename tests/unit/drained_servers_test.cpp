// Tests which servers open orders take out of service, including the last of a group.
#include "policy/drained_servers.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

using names = std::set<std::string>;

backend_server member(std::string const& id, bool leaving = false)
{
    return {.id = id, .group = "wording", .leaving = leaving};
}

// Two data centres order a change of role of their only engine at the same time. Without
// the exception no engine of the group takes work, and every caller is refused until one
// order is closed.
TEST(drained_servers, newest_stays_in_service_if_orders_name_the_complete_group)
{
    EXPECT_EQ(drained_servers({member("a"), member("b")}, {{"a", 5}, {"b", 7}}),
              names{"a"});
    EXPECT_EQ(drained_servers({member("a"), member("b"), member("c", true)},
                              {{"a", 7}, {"b", 5}}),
              names{"b"});
}

TEST(drained_servers, all_ordered_servers_drain_while_another_serves)
{
    EXPECT_EQ(
        drained_servers({member("a"), member("b"), member("c")}, {{"a", 5}, {"b", 7}}),
        (names{"a", "b"}));
}

} // namespace
} // namespace marigoldcrank
