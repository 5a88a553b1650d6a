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

// A frozen engine's last report fades until it looks idle and draws every request of the
// moment, each of which then waits out the silence.
TEST(server_directory, a_server_without_reports_is_the_last_choice)
{
    server_directory     directory;
    backend_server const frozen{.id = "frozen", .group = "wording"};
    backend_server const busy{.id = "busy", .group = "wording"};
    directory.replace({frozen, busy});
    auto const now = boot_clock::now();
    directory.report(frozen, {.read_at = now});
    directory.report(busy, {.running = 20, .prefill_tokens = 2000, .read_at = now});
    auto const chosen = [&]
    {
        return choose_server(directory.group("wording"), {.group = "wording"}, now)
            .chosen->id;
    };
    EXPECT_EQ(chosen(), "frozen");
    directory.missed_report(frozen);
    EXPECT_EQ(chosen(), "busy");
    directory.report(frozen, {.read_at = now});
    EXPECT_EQ(chosen(), "frozen");
}

} // namespace
} // namespace marigoldcrank
