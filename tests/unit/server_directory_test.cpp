// What routing sees of the servers.
#include "app/server_directory.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

TEST(server_directory, forgets_a_server_in_the_group_it_left)
{
    server_directory directory;
    directory.replace({{.id = "engine-1", .group = "wording"}});
    directory.replace({{.id = "engine-1", .group = "claims"}});
    EXPECT_TRUE(directory.group("wording").empty());
    EXPECT_EQ(directory.group("claims").size(), 1U);
}

TEST(server_directory, takes_leaving_from_whoever_says_it)
{
    server_directory     directory;
    backend_server const server{
        .id = "engine-1", .data_centre = "dc-1", .group = "wording"};
    directory.replace({server});
    EXPECT_FALSE(directory.group("wording")[0].server.leaving);
    directory.report(server, {.leaving = true});
    EXPECT_TRUE(directory.group("wording")[0].server.leaving);
    directory.report(server, {});
    directory.set_drains({.revision = 1, .data_centres = {"dc-1"}});
    EXPECT_TRUE(directory.group("wording")[0].server.leaving);
    // The list that is read again must not undo it.
    directory.replace({server});
    EXPECT_TRUE(directory.all()[0].leaving);
    directory.set_drains({.revision = 2});
    EXPECT_FALSE(directory.all()[0].leaving);
}

} // namespace
} // namespace marigoldcrank
