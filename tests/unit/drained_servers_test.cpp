// Servers that open orders take out of service, and the last one of a group.
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

// Two data centres change the role of their only engine at the same moment: no engine of
// the group takes work, and every caller is refused until one order is closed.
TEST(drained_servers, leave_the_newest_of_a_whole_group_in_service)
{
    EXPECT_EQ(drained_servers({member("a"), member("b")}, {{"a", 5}, {"b", 7}}),
              names{"a"});
    EXPECT_EQ(drained_servers({member("a"), member("b"), member("c", true)},
                              {{"a", 7}, {"b", 5}}),
              names{"b"});
}

TEST(drained_servers, are_all_of_them_while_another_serves)
{
    EXPECT_EQ(
        drained_servers({member("a"), member("b"), member("c")}, {{"a", 5}, {"b", 7}}),
        (names{"a", "b"}));
}

} // namespace
} // namespace marigoldcrank
